package placement

import (
	"cmp"
	"slices"

	"github.com/rhubarbring/rhubarbring/assignment"
	"github.com/rhubarbring/rhubarbring/key"
)

// updateCarveOuts carves hot keys out and merges cool ones back. A carved-out
// key is first owned by the owner of its parent slice, so nothing moves yet;
// balance may then move either. A cool key is handed over to the owner of its
// parent slice and is merged once both have the same owner.
//
// In a pack of an era above 0 no key is carved out or merged: the epochs of
// carve-outs count up by one, which would give some of them twice after a restore.
func (r *round) updateCarveOuts() {
	carved := r.app.carveOuts()
	r.app.loads.prune(r.now, r.core.cfg.MaxReportAge, func(k string) bool { return carved[k] })
	r.mergeCoolKeys()
	r.carveOutHot(carved)
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

// hotKeys returns the keys whose load is above the share for hot keys, the
// hottest first.
func (r *round) hotKeys() []string {
	var keys []string
	for k, h := range r.app.loads.keys {
		info := r.core.fleet.hosts[h.owner.Host]
		isRecent := r.now.Sub(h.reportedAt) <= r.core.cfg.MaxReportAge
		if isRecent && info != nil && h.busy > r.app.params.HotKeys.Share*float64(info.slots) {
			keys = append(keys, k)
		}
	}
	slices.SortFunc(keys, func(x, y string) int {
		byBusy := cmp.Compare(r.app.loads.keys[y].busy, r.app.loads.keys[x].busy)
		return cmp.Or(byBusy, cmp.Compare(x, y))
	})
	return keys
}

// carveOutHot carves out hot keys, up to HotKeys.Maximum carve-outs in the app.
func (r *round) carveOutHot(carved map[string]bool) {
	n := len(carved)
	for _, k := range r.hotKeys() {
		if n >= r.app.params.HotKeys.Maximum {
			return
		}
		if !carved[k] && r.carveOut(k) {
			n++
		}
	}
}

// carveOut carves a key out, and reports whether it did. Its parent slice must
// have an eligible owner and no handover in progress. The key's load is moved
// from the parent to the carve-out.
func (r *round) carveOut(k string) bool {
	parent := key.SliceOf(r.app.params.Name, k, r.app.params.Slices).ID
	p := r.app.packOf(parent)
	if p.state != packCurrent || p.era() > 0 || !r.draft(p) {
		return false
	}
	s, _ := p.draft.At(parent)
	if !r.unchanged(p, parent) || !r.eligible(s.Owner) || !s.Next.IsZero() {
		return false
	}
	id, ok := p.draft.AddCarveOut(k)
	if !ok {
		return false
	}
	carved, _ := p.draft.At(id)
	r.recordMove(p, id, carved.Owner, carved, HotKey)
	r.app.loads.slices.remove(id)
	r.app.loads.slices.shift(parent, id, r.app.loads.keys[k].busy)
	return true
}

// isCool reports whether a carved-out key has been below half of HotKeys.Share
// for at least HotKeys.Expiry. For a key without reports, a new leader counts
// from when it first checks the key.
func (r *round) isCool(c assignment.CarveOut) bool {
	h, ok := r.app.loads.keys[c.Key]
	if !ok {
		h = keyState{owner: c.Ownership.Owner, reportedAt: r.now, lastHotAt: r.now}
		r.app.loads.keys[c.Key] = h
	}
	return r.now.Sub(h.lastHotAt) >= r.app.params.HotKeys.Expiry
}

func (r *round) mergeCoolKeys() {
	for _, p := range r.app.packs {
		if p.state != packCurrent || p.era() > 0 {
			continue
		}
		for _, c := range p.pack.CarveOuts() {
			if r.isCool(c) {
				r.mergeKey(p, c)
			}
		}
	}
}

// pin excludes the parent of a cool key from moves for balance until the key is
// merged; otherwise the key would have to follow it from host to host.
func (r *round) pin(parent key.SliceID) {
	if r.pinned == nil {
		r.pinned = make(map[key.SliceID]bool)
	}
	r.pinned[parent] = true
}

// mergeKey merges a cool key into its parent slice, or starts the handover of
// the key to the parent's owner.
func (r *round) mergeKey(p *packInfo, c assignment.CarveOut) {
	parent, _ := p.pack.Parent(c.Key)
	r.pin(parent)
	if !r.draft(p) {
		return
	}
	s, _ := p.draft.At(parent)
	carved, _ := p.draft.At(c.ID)
	if !r.unchanged(p, parent) || !r.unchanged(p, c.ID) {
		return
	}
	if !carved.Next.IsZero() || !s.Next.IsZero() || !r.eligible(s.Owner) {
		return
	}
	if carved.Owner != s.Owner {
		carved.Next = s.Owner
		r.edit(p, c.ID, carved, CoolKey)
		return
	}
	if !p.draft.MergeCarveOut(c.ID) {
		return
	}
	if r.core.disabled.mergeEpoch {
		p.draft.Set(parent, s)
	}
	s, _ = p.draft.At(parent)
	r.recordMove(p, parent, s.Owner, s, KeyMerged)
	r.app.loads.slices.shift(c.ID, parent, r.app.loads.slices.estimate(c.ID))
	r.app.loads.slices.remove(c.ID)
	delete(r.app.loads.keys, c.Key)
	delete(r.app.releases, c.ID)
}
