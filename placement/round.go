package placement

import (
	"cmp"
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

// sliceRun is the run of adjacent slices that is being placed on one host.
type sliceRun struct {
	next  key.SliceID // The slice that would extend the run.
	host  int
	load  float64
	limit float64 // Maximum load of a run.
}

// runsPerHost is the number of runs of adjacent slices that each host is given
// when an app's slices are ranges. A target is granted each run by one call, so
// runs should be few; but several smaller runs spread busy adjacent slices
// better than one large run.
const runsPerHost = 4

// placementRequest is a slice that needs an owner or a next owner.
type placementRequest struct {
	id       key.SliceID
	assigned assignment.Ownership
	load     float64
	reason   Reason
	grantNow bool // The owner changes now; otherwise only a next owner is named.
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
	if due {
		r.markReported()
		r.decayLoads()
	}
	if a.loadsStale || due {
		r.sumLoads()
	}
	c.cfg.Policy.Begin(a.params, a.hosts, c.cfg.Seed^c.leadership.leader.Term)
	for _, p := range a.packs {
		if p.dirty && p.state == packCurrent {
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

func (a *app) hasDirtyPack() bool {
	for _, p := range a.packs {
		if p.dirty && p.state == packCurrent {
			return true
		}
	}
	return false
}

// scan decides on every slice of a pack, which stays dirty if one has to wait.
func (r *round) scan(p *packInfo) {
	p.dirty = false
	indexes := r.app.hostIndexes(p)
	noReleases := len(r.app.releases) == 0
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
	r.app.dropAnsweredRelease(id, s)
	owner := r.core.fleet.status(s.Owner)
	released := r.app.hasReleased(id, s) || r.core.disabled.releaseBeforeGrant && !s.Next.IsZero()
	switch {
	case owner == statusNobody:
		r.decideUnowned(p, id, s)
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
	return r.core.fleet.eligible(s, r.app.params.Name)
}

// mustHandOver reports whether an owner whose session has not ended must hand
// over its slices. An owner without a record keeps them.
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
	successor, known := r.core.fleet.successor(r.now, s.Owner, r.app.params.Name, r.core.cfg.SupersededGrantTTL)
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

func (r *round) requestPlacement(id key.SliceID, s assignment.Ownership, reason Reason, grantNow bool) {
	req := placementRequest{id: id, assigned: s, load: r.app.loadOf(id), reason: reason, grantNow: grantNow}
	r.placementRequests = append(r.placementRequests, req)
}

// placeRequested places all requested slices, the most loaded first, or in
// order of their IDs if the app's slices are ranges.
func (r *round) placeRequested() {
	if r.app.params.DividedByRange {
		r.startRuns()
	} else {
		slices.SortStableFunc(r.placementRequests, func(x, y placementRequest) int { return cmp.Compare(y.load, x.load) })
	}
	for _, req := range r.placementRequests {
		r.placeOne(req)
	}
}

// placeOne drafts one request. The pack stays dirty if there is no host.
func (r *round) placeOne(req placementRequest) {
	p := r.app.packOf(req.id)
	to, newlyChosen := r.chooseHost(req)
	if to < 0 {
		p.dirty = true
		return
	}
	s := req.assigned
	if req.grantNow {
		s = assignment.Ownership{Owner: r.app.hosts[to].Session, Epoch: s.Epoch + 1}
	} else {
		s.Next = r.app.hosts[to].Session
	}
	if r.core.disabled.epochIncrement {
		s.Epoch = req.assigned.Epoch
	}
	if r.edit(p, req.id, s, req.reason) && newlyChosen {
		r.app.hosts[to].add(req.load)
	}
}

// chooseHost returns the index of the host for a request, or -1, and whether
// the host was newly chosen. A next owner named earlier is kept if it can still
// take the slice; the slice's load is counted there already.
func (r *round) chooseHost(req placementRequest) (to int, newlyChosen bool) {
	if req.grantNow && r.eligible(req.assigned.Next) {
		if i, ok := r.app.indexBySession[req.assigned.Next]; ok {
			return i, false
		}
	}
	if len(r.app.hosts) == 0 {
		return -1, false
	}
	if !r.app.params.DividedByRange {
		return r.core.cfg.Policy.Choose(r.app.hosts, req.load), true
	}
	return r.placeInRun(req), true
}

// startRuns sorts the requests by slice, so that adjacent slices form runs.
func (r *round) startRuns() {
	slices.SortFunc(r.placementRequests, func(x, y placementRequest) int { return cmp.Compare(x.id, y.id) })
	total := 0.0
	for _, req := range r.placementRequests {
		total += req.load
	}
	r.run = sliceRun{host: -1, limit: total / float64(runsPerHost*max(len(r.app.hosts), 1))}
}

// placeInRun returns the host of the preceding slice while the run stays within
// its limit, and otherwise starts a run on the host that the policy chooses.
func (r *round) placeInRun(req placementRequest) int {
	if r.run.host < 0 || r.run.next != req.id || r.run.load+req.load > r.run.limit {
		r.run.host = r.core.cfg.Policy.Choose(r.app.hosts, req.load)
		r.run.load = 0
	}
	r.run.next = req.id + 1
	r.run.load += req.load
	return r.run.host
}

// edit changes a slice in the pack's draft and reports whether it did. A pack
// that can't be written in this round stays dirty.
func (r *round) edit(p *packInfo, id key.SliceID, s assignment.Ownership, reason Reason) bool {
	if !r.draft(p) {
		return false
	}
	before, _ := p.draft.At(id)
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
