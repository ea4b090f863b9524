package placement

import (
	"cmp"
	"slices"

	"github.com/rhubarbring/rhubarbring/assignment"
	"github.com/rhubarbring/rhubarbring/key"
)

// carve carves hot keys out, and merges cool ones back. A key is carved out to
// the owner of its slice, so nothing moves yet; balance then moves the slice or
// the carve-out. A cool key goes back to the owner of its slice by a handover,
// and is merged when both have one owner.
func (r *round) carve() {
	carved := r.a.carveOuts()
	r.a.loads.prune(r.now, r.c.cfg.ReportAge, func(k string) bool { return carved[k] })
	r.mergeCool()
	r.carveHot(carved)
}

func (a *app) carveOuts() map[string]bool {
	out := make(map[string]bool)
	for _, p := range a.packs {
		if p.pack == nil {
			continue
		}
		for _, c := range p.pack.CarveOuts() {
			out[c.Key] = true
		}
	}
	return out
}

// hotNow returns the keys that are to be carved out, the hottest first.
func (r *round) hotNow() []string {
	var keys []string
	for k, h := range r.a.loads.keys {
		info := r.c.fleet.hosts[h.owner.Host]
		fresh := r.now.Sub(h.at) <= r.c.cfg.ReportAge
		if fresh && info != nil && h.busy > r.a.params.HotKeys.Share*float64(info.slots) {
			keys = append(keys, k)
		}
	}
	slices.SortFunc(keys, func(x, y string) int {
		byBusy := cmp.Compare(r.a.loads.keys[y].busy, r.a.loads.keys[x].busy)
		return cmp.Or(byBusy, cmp.Compare(x, y))
	})
	return keys
}

func (r *round) carveHot(carved map[string]bool) {
	n := len(carved)
	for _, k := range r.hotNow() {
		if n >= r.a.params.HotKeys.Maximum {
			return
		}
		if !carved[k] && r.carveOut(k) {
			n++
		}
	}
}

// carveOut carves a key out if its slice has a living owner and no handover
// under way. Its load is taken from the slice's.
func (r *round) carveOut(k string) bool {
	parent := key.SliceOf(r.a.params.Name, k, r.a.params.Slices).ID
	p := r.a.packOf(parent)
	if p.state != packCurrent || !r.draft(p) {
		return false
	}
	s, _ := p.draft.At(parent)
	if !r.untouched(p, parent) || !r.fit(s.Owner) || !s.Next.IsNobody() {
		return false
	}
	id, ok := p.draft.CarveOut(k)
	if !ok {
		return false
	}
	made, _ := p.draft.At(id)
	r.note(p, id, made.Owner, made, HotKey)
	r.a.loads.slices.remove(id)
	r.a.loads.slices.shift(parent, id, r.a.loads.keys[k].busy)
	return true
}

// isCool reports whether a carved-out key has been below half of the share for
// the expiry. A leader that has just begun counts from its first sight of it.
func (r *round) isCool(c assignment.CarveOut) bool {
	h, ok := r.a.loads.keys[c.Key]
	if !ok {
		h = hotKey{owner: c.Assigned.Owner, at: r.now, hotAt: r.now}
		r.a.loads.keys[c.Key] = h
	}
	return r.now.Sub(h.hotAt) >= r.a.params.HotKeys.Expiry
}

func (r *round) mergeCool() {
	for _, p := range r.a.packs {
		if p.state != packCurrent {
			continue
		}
		for _, c := range p.pack.CarveOuts() {
			if r.isCool(c) {
				r.mergeOne(p, c)
			}
		}
	}
}

// pin keeps the parent of a cool key where it is until the key is merged;
// else the key would have to follow it from host to host.
func (r *round) pin(parent key.SliceID) {
	if r.pinned == nil {
		r.pinned = make(map[key.SliceID]bool)
	}
	r.pinned[parent] = true
}

func (r *round) mergeOne(p *packInfo, c assignment.CarveOut) {
	parent, _ := p.pack.Parent(c.Key)
	r.pin(parent)
	if !r.draft(p) {
		return
	}
	s, _ := p.draft.At(parent)
	held, _ := p.draft.At(c.ID)
	if !r.untouched(p, parent) || !r.untouched(p, c.ID) {
		return
	}
	if !held.Next.IsNobody() || !s.Next.IsNobody() || !r.fit(s.Owner) {
		return
	}
	if held.Owner != s.Owner {
		held.Next = s.Owner
		r.edit(p, c.ID, held, CoolKey)
		return
	}
	if !p.draft.Merge(c.ID) {
		return
	}
	if r.c.guards.noMergeEpoch {
		p.draft.Set(parent, s)
	}
	s, _ = p.draft.At(parent)
	r.note(p, parent, s.Owner, s, Merged)
	r.a.loads.slices.shift(c.ID, parent, r.a.loads.slices.of(c.ID))
	r.a.loads.slices.remove(c.ID)
	delete(r.a.loads.keys, c.Key)
	delete(r.a.releases, c.ID)
}
