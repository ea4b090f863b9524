package placement

import (
	"github.com/rhubarbring/rhubarbring/assignment"
	"github.com/rhubarbring/rhubarbring/handover"
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/session"
)

// checkPack checks a landed write against the version before it.
func (w *model) checkPack(old, pack *assignment.Pack) {
	merged := map[key.SliceID]bool{}
	carved := map[assignment.CarveOut]assignment.Slice{}
	for _, c := range pack.CarveOuts() {
		carved[assignment.CarveOut{Key: c.Key, ID: c.ID}] = c.Assigned
	}
	for _, c := range old.CarveOuts() {
		parent, _ := old.Parent(c.Key)
		name := assignment.CarveOut{Key: c.Key, ID: c.ID}
		if now, ok := carved[name]; ok {
			w.checkSlice(c.ID, c.Assigned, now, false)
			delete(carved, name)
			continue
		}
		merged[parent] = true
		before, _ := old.At(parent)
		if before.Owner != c.Assigned.Owner || !before.Next.IsNobody() || !c.Assigned.Next.IsNobody() {
			w.fail("key %s merged from %s into %s", c.Key, c.Assigned.Owner, before.Owner)
		}
	}
	for carveOut, assigned := range carved {
		parent, _ := old.Parent(carveOut.Key)
		if before, _ := old.At(parent); before.Owner != assigned.Owner {
			w.fail("key %s carved out of %s to %s", carveOut.Key, before.Owner, assigned.Owner)
		}
	}
	for i := range key.SliceID(old.Len()) {
		before, _ := old.At(i)
		now, _ := pack.At(i)
		w.checkSlice(i, before, now, merged[i])
	}
}

// checkSlice checks one slice: an owner changes only by release or departure,
// and the epoch rises by exactly one whenever it is granted anew.
func (w *model) checkSlice(id key.SliceID, before, now assignment.Slice, merged bool) {
	if before.Owner == now.Owner && before.Epoch == now.Epoch {
		return
	}
	if now.Epoch != before.Epoch+1 {
		w.fail("slice %d: epoch %d to %d", id, before.Epoch, now.Epoch)
	}
	if merged && before.Owner == now.Owner || before.Owner.IsNobody() {
		return
	}
	release := handover.Release{From: before.Owner, App: w.app.Name, ID: id, Epoch: before.Epoch}
	if !w.sentReleases[release] && !w.mayReassign(before.Owner) {
		w.fail("slice %d taken from %s at epoch %d without a release", id, before.Owner, before.Epoch)
	}
}

// mayReassign reports whether a session is recorded lost or left; a lost one
// whose target does not check grants only when the longest deadline is over.
func (w *model) mayReassign(s host.Session) bool {
	for _, r := range w.records[s.Host] {
		if r.record.Session != s {
			continue
		}
		if r.record.State == session.Left {
			return true
		}
		if r.record.State == session.Lost {
			return r.record.Target.ChecksGrants || w.now.Sub(r.at) >= modelDeadline
		}
	}
	return false
}

// checkApplied checks that a leader reports only writes that landed.
func (w *model) checkApplied(a Applied) {
	versions := w.packs[a.Name]
	for _, v := range versions {
		if v.version != a.Version {
			continue
		}
		for _, m := range a.Moves {
			if s, ok := v.pack.At(m.Slice.ID); m.Reason != Merged && (!ok || s.Owner != m.To || s.Epoch != m.Epoch) {
				w.fail("reported %v, stored %v", m, s)
			}
		}
		return
	}
	w.fail("reported version %d of %s, which is not stored", a.Version, a.Name)
}

// checkServed checks after a calm time that every slice has a fit owner that
// admits it, with no handover under way.
func (w *model) checkServed() {
	for name, versions := range w.packs {
		p := versions[len(versions)-1].pack
		for _, k := range w.keys {
			id := key.SliceOf(w.app.Name, k, w.app.Slices).ID
			for _, c := range p.CarveOuts() {
				if c.Key == k {
					id = c.ID
				}
			}
			s, _ := p.At(id)
			if !w.ownerAdmits(s.Owner, key.Slice{App: w.app.Name, ID: id}) {
				w.fail("%s: key %s of slice %d is not served: %+v", name, k, id, s)
			}
		}
	}
}

func (w *model) ownerAdmits(owner host.Session, s key.Slice) bool {
	for _, h := range w.hosts {
		if h.self == owner {
			return h.alive && !h.lost && h.holder.Admits(w.now, s).Admitted()
		}
	}
	return false
}
