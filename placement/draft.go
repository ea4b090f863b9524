package placement

import (
	"github.com/rhubarbring/rhubarbring/assignment"
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/key"
)

// edit changes a slice in the pack's draft and reports whether it did. A pack
// that can't be written in this round stays dirty. An entry that is not in force
// changes only by a new epoch.
func (r *round) edit(p *packInfo, id key.SliceID, s assignment.Ownership, reason Reason) bool {
	if !r.draft(p) {
		return false
	}
	before, _ := p.draft.At(id)
	if !r.inForce(p, id) && s.Epoch <= before.Epoch {
		return false
	}
	if before == s || !p.draft.Set(id, s) {
		return false
	}
	r.recordMove(p, id, before.Owner, s, reason)
	return true
}

func (r *round) recordMove(p *packInfo, id key.SliceID, from host.Session, s assignment.Ownership, reason Reason) {
	m := Move{Slice: key.Slice{App: r.app.params.Name, ID: id}, Reason: reason, From: from, To: s.Owner, Next: s.Next, Epoch: s.Epoch}
	p.draftMoves = append(p.draftMoves, m)
}

// draft makes sure that the pack has a draft, and reports whether it may be
// written in this round. If not, the pack stays dirty.
func (r *round) draft(p *packInfo) bool {
	if p.draft != nil {
		return true
	}
	if p.state != packCurrent || r.writeCount() >= r.core.cfg.MaxWrites {
		p.dirty = true
		return false
	}
	p.draft = p.pack.Clone()
	return true
}

// unchanged reports whether the draft holds a slice as it was read. A slice may
// change at most once in a write.
func (r *round) unchanged(p *packInfo, id key.SliceID) bool {
	if p.draft == nil {
		return true
	}
	read, wasPresent := p.pack.At(id)
	drafted, isPresent := p.draft.At(id)
	return wasPresent == isPresent && read == drafted
}

// writeCount returns the number of writes in flight and of the app's drafts.
func (r *round) writeCount() int {
	n := r.core.writesInFlight
	for _, p := range r.app.packs {
		if p.draft != nil {
			n++
		}
	}
	return n
}

// writeDrafts writes the drafts that contain moves and discards the others.
func (r *round) writeDrafts() {
	for _, p := range r.app.packs {
		if p.draft == nil {
			continue
		}
		if len(p.draftMoves) == 0 {
			p.draft = nil
			continue
		}
		r.core.firePack(r.now, r.app, p, eventPlanned)
	}
}
