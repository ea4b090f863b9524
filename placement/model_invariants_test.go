package placement

import (
	"github.com/rhubarbring/rhubarbring/assignment"
	"github.com/rhubarbring/rhubarbring/handover"
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/session"
)

// checkPack checks an applied write against the previous version.
func (m *model) checkPack(old, pack *assignment.Pack) {
	merged := map[key.SliceID]bool{}
	carved := map[assignment.CarveOut]assignment.Ownership{}
	for _, c := range pack.CarveOuts() {
		carved[assignment.CarveOut{Key: c.Key, ID: c.ID}] = c.Ownership
	}
	for _, c := range old.CarveOuts() {
		parent, _ := old.Parent(c.Key)
		name := assignment.CarveOut{Key: c.Key, ID: c.ID}
		if current, ok := carved[name]; ok {
			m.checkSlice(c.ID, c.Ownership, current, false)
			delete(carved, name)
			continue
		}
		merged[parent] = true
		before, _ := old.At(parent)
		if before.Owner != c.Ownership.Owner || !before.Next.IsZero() || !c.Ownership.Next.IsZero() {
			m.fail("key %s merged from %s into %s", c.Key, c.Ownership.Owner, before.Owner)
		}
	}
	for carveOut, assigned := range carved {
		parent, _ := old.Parent(carveOut.Key)
		if before, _ := old.At(parent); before.Owner != assigned.Owner {
			m.fail("key %s carved out of %s to %s", carveOut.Key, before.Owner, assigned.Owner)
		}
	}
	for i := range key.SliceID(old.Len()) {
		before, _ := old.At(i)
		current, _ := pack.At(i)
		m.checkSlice(i, before, current, merged[i])
	}
}

// checkSlice checks one slice: the owner changes only after a release or after
// the owner's session ended, and each change of owner increases the epoch by
// exactly one. So does a merge into the slice, which leaves the owner as it is.
func (m *model) checkSlice(id key.SliceID, before, current assignment.Ownership, merged bool) {
	if before.Owner == current.Owner && before.Epoch == current.Epoch {
		return
	}
	if current.Epoch != before.Epoch+1 {
		m.fail("slice %d: epoch %d to %d", id, before.Epoch, current.Epoch)
	}
	if merged && before.Owner == current.Owner || before.Owner.IsZero() {
		return
	}
	release := handover.Release{From: before.Owner, App: m.app.Name, ID: id, Epoch: before.Epoch}
	if !m.sentReleases[release] && !m.mayReassign(before.Owner) {
		m.fail("slice %d taken from %s at epoch %d without a release", id, before.Owner, before.Epoch)
	}
}

// mayReassign reports whether a session is recorded left, or lost; if lost and
// its target does not check grants, only once the longest deadline has passed.
func (m *model) mayReassign(s host.Session) bool {
	for _, r := range m.records[s.Host] {
		if r.record.Session != s {
			continue
		}
		if r.record.State == session.Left {
			return true
		}
		if r.record.State == session.Lost {
			return r.record.Target.ChecksGrants || m.now.Sub(r.at) >= modelDeadline
		}
	}
	return false
}

// checkApplied checks that a leader reports only writes that were applied.
func (m *model) checkApplied(a PackApplied) {
	versions := m.packs[a.Name]
	for _, v := range versions {
		if v.version != a.Version {
			continue
		}
		for _, move := range a.Moves {
			if s, ok := v.pack.At(move.Slice.ID); move.Reason != KeyMerged && (!ok || s.Owner != move.To || s.Epoch != move.Epoch) {
				m.fail("reported %v, stored %v", move, s)
			}
		}
		return
	}
	m.fail("reported version %d of %s, which is not stored", a.Version, a.Name)
}

// checkServed checks, after a time without faults, that every key's slice has
// an owner that admits requests for it.
func (m *model) checkServed() {
	for name, versions := range m.packs {
		p := versions[len(versions)-1].pack
		if p == nil {
			m.fail("%s: the store has lost the pack, and nobody has written it again", name)
			return
		}
		for _, k := range m.keys {
			id := key.SliceOf(m.app.Name, k, m.app.Slices).ID
			for _, c := range p.CarveOuts() {
				if c.Key == k {
					id = c.ID
				}
			}
			s, _ := p.At(id)
			if !m.ownerAdmits(s.Owner, key.Slice{App: m.app.Name, ID: id}) {
				m.fail("%s: key %s of slice %d is not served: %+v", name, k, id, s)
			}
		}
	}
}

// ownerAdmits reports whether the owner is alive, not lost and admits a slice.
func (m *model) ownerAdmits(owner host.Session, s key.Slice) bool {
	for _, h := range m.hosts {
		if h.self == owner {
			return h.alive && !h.lost && h.holder.Admits(m.now, s).Admitted()
		}
	}
	return false
}
