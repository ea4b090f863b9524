package placement

import (
	"time"

	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/mono"
)

// coldShare is the share of its slots that a host counts for when it is new;
// the share rises to 1 over Config.WarmUp.
const coldShare = 0.25

func (h *HostLoad) add(load float64) {
	h.Load += load
	h.Slices++
}

func (h *HostLoad) remove(load float64) {
	h.Load -= load
	h.Slices--
}

// rebuildHosts takes a change of the fleet in: every pack is looked at again.
func (r *round) rebuildHosts() {
	a := r.a
	a.generation = r.c.fleet.generation
	serving := r.c.fleet.serving(a.params.Name)
	if len(serving) > len(a.hosts) {
		a.grewAt = r.now
	}
	if len(a.hosts) == 0 {
		a.hostsSince = r.now
	}
	a.hosts = make([]HostLoad, len(serving))
	a.index = make(map[host.Session]int, len(serving))
	for i, h := range serving {
		a.hosts[i] = HostLoad{Session: h.session, Place: h.place}
		a.index[h.session] = i
	}
	for _, p := range a.packs {
		p.dirty, p.at = true, nil
	}
	a.stale = true
}

// markReported notes which hosts reported since the last round for balance.
func (r *round) markReported() {
	for i := range r.a.hosts {
		h := &r.a.hosts[i]
		h.reported = r.a.loads.reports[h.Session].round == r.a.loads.slices.round
	}
}

// fadeLoads lowers the loads of slices that the reports since the last round
// for balance left out, and begins the next round.
func (r *round) fadeLoads() {
	a := r.a
	for _, p := range a.packs {
		if p.pack != nil && a.params.DividedByKey {
			a.fadePack(p)
		}
	}
	a.loads.slices.round++
}

func (a *app) fadePack(p *packInfo) {
	at := a.hostsOf(p)
	for i := range p.pack.Len() {
		owner, _, _ := p.pack.Places(i)
		if on := at[owner]; on >= 0 && a.hosts[on].reported {
			a.loads.slices.fade(p.first + key.SliceID(i))
		}
	}
	for _, c := range p.pack.CarveOuts() {
		if on := a.place(c.Assigned.Owner); on >= 0 && a.hosts[on].reported {
			a.loads.slices.fade(c.ID)
		}
	}
}

// sumLoads sums the loads of the slices on their hosts. A slice whose handover
// is under way counts on its next owner.
func (r *round) sumLoads() {
	a := r.a
	a.stale = false
	var slots float64
	a.loads.comparePaces(a.hosts)
	for i := range a.hosts {
		r.resetHost(&a.hosts[i])
		slots += a.hosts[i].Capacity
	}
	a.loads.idle = 1
	if a.params.DividedByKey && a.loads.slices.known > 0 {
		a.loads.idle = idleShare * slots / float64(a.params.Slices)
	}
	for _, p := range a.packs {
		if p.pack != nil {
			a.sumPack(p)
		}
	}
	for i := range a.hosts {
		a.hosts[i].Load *= a.loads.sway(r.now, a.hosts[i].Session, r.c.cfg.ReportAge)
	}
}

func (r *round) resetHost(h *HostLoad) {
	info := r.c.fleet.hosts[h.Session.Host]
	share := warmth(r.now.Sub(info.since), r.c.cfg.WarmUp)
	if r.a.startedAt == 0 || info.since <= r.a.startedAt {
		share = 1
	}
	h.Warming = share < 1
	h.Capacity = float64(info.slots) * share * r.a.loads.paceOf(h.Session)
	h.Load, h.Slices = 0, 0
}

// warmth returns the share of its slots that a host of the given age counts
// for.
func warmth(age, warmUp time.Duration) float64 {
	if age < 0 || age >= warmUp {
		return 1
	}
	return coldShare + (1-coldShare)*float64(age)/float64(warmUp)
}

func (a *app) sumPack(p *packInfo) {
	at := a.hostsOf(p)
	for i := range p.pack.Len() {
		owner, next, _ := p.pack.Places(i)
		to := at[owner]
		if next != 0 {
			to = at[next]
		}
		if to >= 0 {
			a.hosts[to].add(a.loadOn(to, p.first+key.SliceID(i)))
		}
	}
	for _, c := range p.pack.CarveOuts() {
		to := a.place(c.Assigned.Owner)
		if !c.Assigned.Next.IsNobody() {
			to = a.place(c.Assigned.Next)
		}
		if to >= 0 {
			a.hosts[to].add(a.loadOn(to, c.ID))
		}
	}
}

// loadOf returns the load that a slice counts for: what the gates saw, and its
// share of the idle load. An app that is not divided by key, or of which
// nothing is reported yet, counts slices.
func (a *app) loadOf(id key.SliceID) float64 {
	return a.loads.slices.of(id) + a.loads.idle
}

// loadOn returns the load of a slice on a host. The idle load goes with the
// host's pace, so that idle slices are spread by slots whatever the speed.
func (a *app) loadOn(to int32, id key.SliceID) float64 {
	return a.loads.slices.of(id) + a.loads.idle*a.loads.paceOf(a.hosts[to].Session)
}

// movable returns the slices of hosts above a use that may be moved now.
func (r *round) movable(use float64) []Candidate {
	a := r.a
	var out []Candidate
	for _, p := range a.packs {
		if p.state != packCurrent {
			continue
		}
		out = r.movableOf(p, use, out)
	}
	return out
}

func (r *round) movableOf(p *packInfo, use float64, out []Candidate) []Candidate {
	at := r.a.hostsOf(p)
	for i := range p.pack.Len() {
		owner, next, _ := p.pack.Places(i)
		on := at[owner]
		if on < 0 || next != 0 || r.a.hosts[on].Use() <= use {
			continue
		}
		out = r.candidate(p, p.first+key.SliceID(i), int(on), out)
	}
	for _, c := range p.pack.CarveOuts() {
		on := r.a.place(c.Assigned.Owner)
		if on < 0 || !c.Assigned.Next.IsNobody() || r.a.hosts[on].Use() <= use || r.isCool(c) {
			continue
		}
		out = r.candidate(p, c.ID, int(on), out)
	}
	return out
}

func (r *round) candidate(p *packInfo, id key.SliceID, on int, out []Candidate) []Candidate {
	if moved, ok := r.a.movedAt[id]; ok && r.now.Sub(moved) < r.settle(id, on) {
		return out
	}
	if r.pinned[id] || !r.untouched(p, id) {
		return out
	}
	return append(out, Candidate{ID: id, Load: r.a.loadOn(int32(on), id), Host: on})
}

// settle is how long a slice stays where it is: less if it fills its host.
func (r *round) settle(id key.SliceID, on int) time.Duration {
	h := &r.a.hosts[on]
	if h.Use() >= fullUse && r.a.loadOn(int32(on), id) >= fillsShare*h.Load {
		return r.c.cfg.Settle / settlePart
	}
	return r.c.cfg.Settle
}

const (
	// fillsShare is the part of a full host's load from which one slice fills
	// it.
	fillsShare = 0.4
	// settlePart is the part of the time to settle that such a slice stays.
	settlePart = 4
)

// balance names next owners for slices of the most used hosts.
func (r *round) balance() {
	limit := r.a.params.MaxMoves - r.a.underWay()
	if limit <= 0 {
		return
	}
	for _, t := range r.c.cfg.Policy.Transfers(r.a.hosts, r.movable, limit) {
		r.transfer(t)
	}
	r.a.tidyMoves(r.now, r.c.cfg.Settle)
}

func (r *round) transfer(t Transfer) {
	to := &r.a.hosts[t.To]
	reason := Imbalance
	if to.Warming {
		reason = NewHost
	}
	s, _ := r.a.at(t.ID)
	s.Next = to.Session
	if r.edit(r.a.packOf(t.ID), t.ID, s, reason) {
		r.a.hosts[t.From].remove(t.Load)
		to.add(t.Load)
	}
}

// underWay counts the handovers under way.
func (a *app) underWay() int {
	n := 0
	for _, p := range a.packs {
		n += p.handovers
	}
	return n
}

func (a *app) tidyMoves(now mono.Time, settle time.Duration) {
	for id, at := range a.movedAt {
		if now.Sub(at) >= settle {
			delete(a.movedAt, id)
		}
	}
}
