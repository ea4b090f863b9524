package placement

import (
	"slices"

	"github.com/rhubarbring/rhubarbring/assignment"
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/mono"
)

// round is one planning round of an app: the required changes in dirty packs,
// at each balance interval also carve-outs and moves for balance, and finally
// one write for each changed pack.
type round struct {
	core              *Core
	app               *app
	now               mono.Time
	placementRequests []placementRequest

	pinned map[key.SliceID]bool // Slices that must not be moved for balance.
	run    sliceRun
}

// planRound plans and writes the changes to an app's assignments that are due.
func (c *Core) planRound(now mono.Time, a *app) {
	r := &round{core: c, app: a, now: now}
	due := !now.Before(a.nextBalance)
	if a.fleetGeneration != c.fleet.generation {
		r.rebuildHosts()
	}
	if !due && !a.hasDirtyPack() {
		return
	}
	r.refreshLoads(due)
	c.cfg.Policy.Begin(a.params, a.hosts, c.cfg.Seed^c.leadership.leader.Term)
	for _, p := range a.packs {
		if p.mustScan() {
			r.scan(p)
		}
	}
	r.placeRequested()
	if due {
		a.lastBalance = now
		a.nextBalance = now.Add(c.cfg.BalanceInterval)
		r.updateCarveOuts()
		r.balance()
	}
	r.writeDrafts()
}

// refreshLoads brings the loads of slices and hosts up to date; due says that
// the round balances them.
func (r *round) refreshLoads(due bool) {
	if due {
		r.markReported()
		r.decayLoads()
	}
	if r.app.loadsStale || due {
		r.sumLoads()
	}
}

func (a *app) hasDirtyPack() bool {
	return slices.ContainsFunc(a.packs, (*packInfo).mustScan)
}

// mustScan reports whether the pack is dirty and its stored version is known, with
// no write under way.
func (p *packInfo) mustScan() bool {
	return p.dirty && p.state == packCurrent
}

// scan decides on every slice of a pack, which stays dirty if one has to wait.
func (r *round) scan(p *packInfo) {
	p.dirty = false
	indexes := r.app.hostIndexes(p)
	noReleases := len(r.app.releases) == 0 && len(p.notInForce) == 0
	for i := range p.pack.Len() {
		owner, next, _ := p.pack.EntryIndexes(i)
		if noReleases && indexes[owner] >= 0 && next == 0 {
			continue
		}
		id := p.first + key.SliceID(i)
		s, _ := p.pack.At(id)
		r.decide(p, id, s)
	}
	for _, c := range p.pack.CarveOuts() {
		r.decide(p, c.ID, c.Ownership)
	}
}

// decide plans the required change to one slice, if there is one.
func (r *round) decide(p *packInfo, id key.SliceID, s assignment.Ownership) {
	if !r.inForce(p, id) {
		r.decideNotInForce(p, id, s)
		return
	}
	r.app.dropAnsweredRelease(id, s)
	owner := r.core.fleet.status(s.Owner)
	released := r.app.hasReleased(id, s) || r.core.disabled.releaseBeforeGrant && !s.Next.IsZero()
	switch {
	case owner == statusNobody:
		r.decideUnowned(p, id, s)
	case owner == statusUnknown && p.era() > 0:
		r.core.fleet.noteRecordless(r.now, s.Owner)
		p.dirty = true
	case owner.ended() || r.core.disabled.endedRecord && owner == statusDraining:
		r.decideEnded(p, id, s, owner)
	case released:
		r.requestPlacement(id, s, ReleasedByOwner, true)
	case !s.Next.IsZero() && !r.eligible(s.Next):
		r.replaceNext(p, id, s)
	case s.Next.IsZero() && r.mustHandOver(s.Owner, owner):
		r.requestPlacement(id, s, DrainingOwner, false)
	}
}

// decideUnowned requests an owner for a slice that has none. A slice that never
// had an owner waits until the app's hosts have joined.
func (r *round) decideUnowned(p *packInfo, id key.SliceID, s assignment.Ownership) {
	if s.Epoch == 0 && r.awaitsHosts() {
		p.dirty = true
		return
	}
	if r.app.firstGrantAt == 0 {
		r.app.firstGrantAt = r.now
	}
	r.requestPlacement(id, s, Unowned, true)
}

// awaitsHosts reports whether hosts of the app are probably still joining, so
// that the first assignment has to wait. See Config.StartWait.
func (r *round) awaitsHosts() bool {
	if r.core.cfg.StartWait < 0 {
		return false
	}
	stable := r.now.Sub(r.app.hostsGrewAt) >= r.core.cfg.StartWait && !r.core.fleet.awaitsTargets()
	return !stable && r.now.Sub(r.app.firstHostAt) < r.core.cfg.StartWaitMax
}

func (r *round) eligible(s host.Session) bool {
	return r.core.fleet.eligible(s, &r.app.params)
}

// mustHandOver reports whether an owner whose session has not ended must hand
// over its slices. An owner without a record keeps them: its record will be read,
// or the store has lost it, which readRecordless finds out.
func (r *round) mustHandOver(owner host.Session, st status) bool {
	return st != statusUnknown && !r.eligible(owner)
}

// decideEnded requests a new owner for a slice whose owner's session has ended.
// The slice waits while the old owner's requests may still run at the target,
// and while it is not known whether it must go to the host's next session.
func (r *round) decideEnded(p *packInfo, id key.SliceID, s assignment.Ownership, owner status) {
	maxDeadline := r.app.params.MaxDeadline
	if r.core.disabled.deadlineWait {
		maxDeadline = 0
	}
	if !r.core.fleet.mayReassign(r.now, s.Owner, maxDeadline) {
		p.dirty = true
		return
	}
	successor, known := r.core.fleet.successor(r.now, s.Owner, &r.app.params, r.core.cfg.SupersededGrantTTL)
	if !known {
		p.dirty = true
		return
	}
	if !successor.IsZero() {
		s.Next = successor
	}
	reason := LostOwner
	if owner == statusLeft {
		reason = LeftOwner
	}
	r.requestPlacement(id, s, reason, true)
}

// replaceNext names another next owner, or withdraws the handover if the owner
// can keep the slice. An owner that has already released the slice repeats its
// release; the slice is then granted at a new epoch, to it or to another one.
func (r *round) replaceNext(p *packInfo, id key.SliceID, s assignment.Ownership) {
	if r.eligible(s.Owner) {
		s.Next = host.NoSession
		r.edit(p, id, s, NextGone)
		return
	}
	r.requestPlacement(id, s, NextGone, false)
}
