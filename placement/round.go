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
	c     *Core
	a     *app
	now   mono.Time
	wants []want

	pinned map[key.SliceID]bool // Not to be moved for balance.
	run    hostRun
}

// hostRun is the neighbouring slices that were placed on one host last.
type hostRun struct {
	next  key.SliceID // The slice that would go on with it.
	to    int
	load  float64
	limit float64 // The most load of a run.
}

// runsPerHost is in how many runs of neighbours each host gets its slices, of
// an app whose slices are ranges. Targets are granted runs by one call each;
// several smaller runs spread busy neighbours better than one large one.
const runsPerHost = 4

// want is a slice that needs an owner or a next owner.
type want struct {
	id     key.SliceID
	held   assignment.Slice
	load   float64
	reason Reason
	grant  bool // The owner changes now; else a next owner is named.
}

func (c *Core) round(now mono.Time, a *app) {
	r := &round{c: c, a: a, now: now}
	due := !now.Before(a.nextBalance)
	if a.generation != c.fleet.generation {
		r.rebuildHosts()
	}
	if !due && !a.anyDirty() {
		return
	}
	if due {
		r.markReported()
		r.fadeLoads()
	}
	if a.stale || due {
		r.sumLoads()
	}
	c.cfg.Policy.Begin(a.params, a.hosts, c.cfg.Seed^c.lead.leader.Term)
	for _, p := range a.packs {
		if p.dirty && p.state == packCurrent {
			r.scan(p)
		}
	}
	r.place()
	if due {
		a.lastBalance = now
		a.nextBalance = now.Add(c.cfg.BalanceInterval)
		r.carve()
		r.balance()
	}
	r.write()
}

func (a *app) anyDirty() bool {
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
	at := r.a.hostsOf(p)
	calm := len(r.a.releases) == 0
	for i := range p.pack.Len() {
		owner, next, _ := p.pack.Places(i)
		if calm && at[owner] >= 0 && next == 0 {
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
	r.a.dropRelease(id, s)
	owner := r.c.fleet.status(s.Owner)
	released := r.a.hasReleased(id, s) || r.c.guards.noRelease && !s.Next.IsNobody()
	switch {
	case owner == statusNobody:
		r.decideUnowned(p, id, s)
	case owner.gone() || r.c.guards.noRecord && owner == statusDraining:
		r.decideGone(p, id, s, owner)
	case released:
		r.want(id, s, ReleasedByOwner, true)
	case !s.Next.IsNobody() && !r.fit(s.Next):
		r.replaceNext(p, id, s)
	case s.Next.IsNobody() && r.mustGive(s.Owner, owner):
		r.want(id, s, DrainingOwner, false)
	}
}

// decideUnowned gives a slice its first owner once the app's hosts are there.
func (r *round) decideUnowned(p *packInfo, id key.SliceID, s assignment.Slice) {
	if s.Epoch == 0 && r.gathering() {
		p.dirty = true
		return
	}
	if r.a.startedAt == 0 {
		r.a.startedAt = r.now
	}
	r.want(id, s, Unowned, true)
}

// gathering reports whether the app's hosts are still coming one by one.
func (r *round) gathering() bool {
	if r.c.cfg.StartWait < 0 {
		return false
	}
	calm := r.now.Sub(r.a.grewAt) >= r.c.cfg.StartWait && !r.c.fleet.awaitsTargets()
	return !calm && r.now.Sub(r.a.hostsSince) < r.c.cfg.StartWaitMax
}

func (r *round) fit(s host.Session) bool {
	return r.c.fleet.fit(s, r.a.params.Name)
}

// mustGive reports whether a living owner must give its slices up.
func (r *round) mustGive(owner host.Session, st status) bool {
	return st != statusUnknown && !r.fit(owner)
}

func (r *round) decideGone(p *packInfo, id key.SliceID, s assignment.Slice, owner status) {
	longest := r.a.params.MaxDeadline
	if r.c.guards.noDeadline {
		longest = 0
	}
	if !r.c.fleet.mayReassign(r.now, s.Owner, longest) {
		p.dirty = true
		return
	}
	heir, known := r.c.fleet.heir(r.now, s.Owner, r.a.params.Name, r.c.cfg.GrantsEnd)
	if !known {
		p.dirty = true
		return
	}
	if !heir.IsNobody() {
		s.Next = heir
	}
	reason := LostOwner
	if owner == statusLeft {
		reason = LeftOwner
	}
	r.want(id, s, reason, true)
}

// replaceNext names another next owner, or withdraws the handover if the owner
// may keep the slice. An owner that has released it already tells so again,
// and then gets it back at a new epoch, or another does.
func (r *round) replaceNext(p *packInfo, id key.SliceID, s assignment.Slice) {
	if r.fit(s.Owner) {
		s.Next = host.Nobody
		r.edit(p, id, s, NextGone)
		return
	}
	r.want(id, s, NextGone, false)
}

func (r *round) want(id key.SliceID, s assignment.Slice, reason Reason, grant bool) {
	w := want{id: id, held: s, load: r.a.loadOf(id), reason: reason, grant: grant}
	r.wants = append(r.wants, w)
}

// place finds a host for each want, the heaviest first.
func (r *round) place() {
	if r.a.params.Ranges {
		r.startRuns()
	} else {
		slices.SortStableFunc(r.wants, func(x, y want) int { return cmp.Compare(y.load, x.load) })
	}
	for _, w := range r.wants {
		r.placeOne(w)
	}
}

func (r *round) placeOne(w want) {
	p := r.a.packOf(w.id)
	to, chosen := r.target(w)
	if to < 0 {
		p.dirty = true
		return
	}
	s := w.held
	if w.grant {
		s = assignment.Slice{Owner: r.a.hosts[to].Session, Epoch: s.Epoch + 1}
	} else {
		s.Next = r.a.hosts[to].Session
	}
	if r.c.guards.noEpoch {
		s.Epoch = w.held.Epoch
	}
	if r.edit(p, w.id, s, w.reason) && chosen {
		r.a.hosts[to].add(w.load)
	}
}

// target returns the host for a want, and whether it was chosen now. A next
// owner named earlier is kept if it can still take the slice: its load counts
// there already.
func (r *round) target(w want) (to int, chosen bool) {
	if w.grant && r.fit(w.held.Next) {
		if i, ok := r.a.index[w.held.Next]; ok {
			return i, false
		}
	}
	if len(r.a.hosts) == 0 {
		return -1, false
	}
	if !r.a.params.Ranges {
		return r.c.cfg.Policy.Choose(r.a.hosts, w.load), true
	}
	return r.goOn(w), true
}

// startRuns sorts the wants so that neighbours follow each other.
func (r *round) startRuns() {
	slices.SortFunc(r.wants, func(x, y want) int { return cmp.Compare(x.id, y.id) })
	total := 0.0
	for _, w := range r.wants {
		total += w.load
	}
	r.run = hostRun{to: -1, limit: total / float64(runsPerHost*max(len(r.a.hosts), 1))}
}

// goOn places a slice on the host of its neighbour as long as the run stays
// within its limit, else on the host that the policy chooses.
func (r *round) goOn(w want) int {
	if r.run.to < 0 || r.run.next != w.id || r.run.load+w.load > r.run.limit {
		r.run.to = r.c.cfg.Policy.Choose(r.a.hosts, w.load)
		r.run.load = 0
	}
	r.run.next = w.id + 1
	r.run.load += w.load
	return r.run.to
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
	r.note(p, id, held.Owner, s, reason)
	return true
}

func (r *round) note(p *packInfo, id key.SliceID, from host.Session, s assignment.Slice, reason Reason) {
	m := Move{Slice: key.Slice{App: r.a.params.Name, ID: id}, Reason: reason, From: from, To: s.Owner, Next: s.Next, Epoch: s.Epoch}
	p.drafted = append(p.drafted, m)
}

// draft opens the pack's draft if the pack may be written now.
func (r *round) draft(p *packInfo) bool {
	if p.draft != nil {
		return true
	}
	if p.state != packCurrent || r.drafts() >= r.c.cfg.MaxWrites {
		p.dirty = true
		return false
	}
	p.draft = p.pack.Clone()
	return true
}

// untouched reports whether the round has left a slice as it was read. A
// slice changes at most once in a write.
func (r *round) untouched(p *packInfo, id key.SliceID) bool {
	if p.draft == nil {
		return true
	}
	held, was := p.pack.At(id)
	drafted, is := p.draft.At(id)
	return was == is && held == drafted
}

// drafts counts the writes under way and those being planned.
func (r *round) drafts() int {
	n := r.c.writes
	for _, p := range r.a.packs {
		if p.draft != nil {
			n++
		}
	}
	return n
}

// write sends the drafts that changed something.
func (r *round) write() {
	for _, p := range r.a.packs {
		if p.draft == nil {
			continue
		}
		if len(p.drafted) == 0 {
			p.draft = nil
			continue
		}
		r.c.firePack(r.now, r.a, p, eventPlanned)
	}
}
