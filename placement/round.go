package placement

import (
	"cmp"
	"slices"

	"github.com/rhubarbring/rhubarbring/assignment"
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/mono"
)

// round plans one round of an app: first what must be done, for the packs in
// which something changed, then at intervals the moves for balance and the
// carve-outs, then one write for each pack that changes.
type round struct {
	core     *Core
	app      *app
	now      mono.Time
	requests []placementRequest

	pinned map[key.SliceID]bool // Not to be moved for balance.
	run    sliceRun
}

// sliceRun is the neighbouring slices that were placed on one host last.
type sliceRun struct {
	next  key.SliceID // The slice that would go on with it.
	host  int
	load  float64
	limit float64 // The most load of a run.
}

// runsPerHost is in how many runs of neighbours each host gets its slices, of
// an app whose slices are ranges. Targets are granted runs by one call each;
// several smaller runs spread busy neighbours better than one large one.
const runsPerHost = 4

// placementRequest is a slice that needs an owner or a next owner.
type placementRequest struct {
	id       key.SliceID
	assigned assignment.Slice
	load     float64
	reason   Reason
	grantNow bool // The owner changes now; else a next owner is named.
}

func (c *Core) round(now mono.Time, a *app) {
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
	r.place()
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

// scan collects what must be done in a pack. The pack stays dirty if some of
// it has to wait.
func (r *round) scan(p *packInfo) {
	p.dirty = false
	indexes := r.app.hostIndexes(p)
	noReleases := len(r.app.releases) == 0
	for i := range p.pack.Len() {
		owner, next, _ := p.pack.Places(i)
		if noReleases && indexes[owner] >= 0 && next == 0 {
			continue
		}
		id := p.first + key.SliceID(i)
		s, _ := p.pack.At(id)
		r.decide(p, id, s)
	}
	for _, c := range p.pack.CarveOuts() {
		r.decide(p, c.ID, c.Assigned)
	}
}

// decide applies the rules to one slice.
func (r *round) decide(p *packInfo, id key.SliceID, s assignment.Slice) {
	r.app.dropAnsweredRelease(id, s)
	owner := r.core.fleet.status(s.Owner)
	released := r.app.hasReleased(id, s) || r.core.disabled.releaseBeforeGrant && !s.Next.IsNobody()
	switch {
	case owner == statusNobody:
		r.decideUnowned(p, id, s)
	case owner.ended() || r.core.disabled.endedRecord && owner == statusDraining:
		r.decideEnded(p, id, s, owner)
	case released:
		r.request(id, s, ReleasedByOwner, true)
	case !s.Next.IsNobody() && !r.eligible(s.Next):
		r.replaceNext(p, id, s)
	case s.Next.IsNobody() && r.mustHandOver(s.Owner, owner):
		r.request(id, s, DrainingOwner, false)
	}
}

// decideUnowned gives a slice its first owner once the app's hosts are there.
func (r *round) decideUnowned(p *packInfo, id key.SliceID, s assignment.Slice) {
	if s.Epoch == 0 && r.awaitsHosts() {
		p.dirty = true
		return
	}
	if r.app.firstGrantAt == 0 {
		r.app.firstGrantAt = r.now
	}
	r.request(id, s, Unowned, true)
}

// awaitsHosts reports whether the app's hosts are still coming one by one.
func (r *round) awaitsHosts() bool {
	if r.core.cfg.StartWait < 0 {
		return false
	}
	stable := r.now.Sub(r.app.hostsGrewAt) >= r.core.cfg.StartWait && !r.core.fleet.awaitsTargets()
	return !stable && r.now.Sub(r.app.hostsSince) < r.core.cfg.StartWaitMax
}

func (r *round) eligible(s host.Session) bool {
	return r.core.fleet.eligible(s, r.app.params.Name)
}

// mustHandOver reports whether a living owner must give its slices up.
func (r *round) mustHandOver(owner host.Session, st status) bool {
	return st != statusUnknown && !r.eligible(owner)
}

func (r *round) decideEnded(p *packInfo, id key.SliceID, s assignment.Slice, owner status) {
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
	if !successor.IsNobody() {
		s.Next = successor
	}
	reason := LostOwner
	if owner == statusLeft {
		reason = LeftOwner
	}
	r.request(id, s, reason, true)
}

// replaceNext names another next owner, or withdraws the handover if the owner
// may keep the slice. An owner that has released it already tells so again,
// and then gets it back at a new epoch, or another does.
func (r *round) replaceNext(p *packInfo, id key.SliceID, s assignment.Slice) {
	if r.eligible(s.Owner) {
		s.Next = host.Nobody
		r.edit(p, id, s, NextGone)
		return
	}
	r.request(id, s, NextGone, false)
}

func (r *round) request(id key.SliceID, s assignment.Slice, reason Reason, grant bool) {
	w := placementRequest{id: id, assigned: s, load: r.app.loadOf(id), reason: reason, grantNow: grant}
	r.requests = append(r.requests, w)
}

// place finds a host for each want, the heaviest first.
func (r *round) place() {
	if r.app.params.Ranges {
		r.startRuns()
	} else {
		slices.SortStableFunc(r.requests, func(x, y placementRequest) int { return cmp.Compare(y.load, x.load) })
	}
	for _, w := range r.requests {
		r.placeOne(w)
	}
}

func (r *round) placeOne(w placementRequest) {
	p := r.app.packOf(w.id)
	to, newlyChosen := r.chooseHost(w)
	if to < 0 {
		p.dirty = true
		return
	}
	s := w.assigned
	if w.grantNow {
		s = assignment.Slice{Owner: r.app.hosts[to].Session, Epoch: s.Epoch + 1}
	} else {
		s.Next = r.app.hosts[to].Session
	}
	if r.core.disabled.epochIncrement {
		s.Epoch = w.assigned.Epoch
	}
	if r.edit(p, w.id, s, w.reason) && newlyChosen {
		r.app.hosts[to].add(w.load)
	}
}

// chooseHost returns the host for a want, and whether it was chosen now. A next
// owner named earlier is kept if it can still take the slice: its load counts
// there already.
func (r *round) chooseHost(w placementRequest) (to int, newlyChosen bool) {
	if w.grantNow && r.eligible(w.assigned.Next) {
		if i, ok := r.app.indexBySession[w.assigned.Next]; ok {
			return i, false
		}
	}
	if len(r.app.hosts) == 0 {
		return -1, false
	}
	if !r.app.params.Ranges {
		return r.core.cfg.Policy.Choose(r.app.hosts, w.load), true
	}
	return r.placeInRun(w), true
}

// startRuns sorts the wants so that neighbours follow each other.
func (r *round) startRuns() {
	slices.SortFunc(r.requests, func(x, y placementRequest) int { return cmp.Compare(x.id, y.id) })
	total := 0.0
	for _, w := range r.requests {
		total += w.load
	}
	r.run = sliceRun{host: -1, limit: total / float64(runsPerHost*max(len(r.app.hosts), 1))}
}

// placeInRun places a slice on the host of its neighbour as long as the run stays
// within its limit, else on the host that the policy chooses.
func (r *round) placeInRun(w placementRequest) int {
	if r.run.host < 0 || r.run.next != w.id || r.run.load+w.load > r.run.limit {
		r.run.host = r.core.cfg.Policy.Choose(r.app.hosts, w.load)
		r.run.load = 0
	}
	r.run.next = w.id + 1
	r.run.load += w.load
	return r.run.host
}

// edit changes a slice in the pack's draft. It returns false if the pack can't
// be written in this round; it then stays dirty.
func (r *round) edit(p *packInfo, id key.SliceID, s assignment.Slice, reason Reason) bool {
	if !r.draft(p) {
		return false
	}
	held, _ := p.draft.At(id)
	if held == s || !p.draft.Set(id, s) {
		return false
	}
	r.recordMove(p, id, held.Owner, s, reason)
	return true
}

func (r *round) recordMove(p *packInfo, id key.SliceID, from host.Session, s assignment.Slice, reason Reason) {
	m := Move{Slice: key.Slice{App: r.app.params.Name, ID: id}, Reason: reason, From: from, To: s.Owner, Next: s.Next, Epoch: s.Epoch}
	p.draftMoves = append(p.draftMoves, m)
}

// draft opens the pack's draft if the pack may be written now.
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

// unchanged reports whether the round has left a slice as it was read. A
// slice changes at most once in a write.
func (r *round) unchanged(p *packInfo, id key.SliceID) bool {
	if p.draft == nil {
		return true
	}
	held, was := p.pack.At(id)
	drafted, is := p.draft.At(id)
	return was == is && held == drafted
}

// writeCount counts the writes under way and those being planned.
func (r *round) writeCount() int {
	n := r.core.writesInFlight
	for _, p := range r.app.packs {
		if p.draft != nil {
			n++
		}
	}
	return n
}

// writeDrafts sends the drafts that changed something.
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
