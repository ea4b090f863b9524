package placement

import (
	"time"

	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/mono"
)

// warmUpStartShare is the share of its slots that a new host counts for. The
// share rises linearly to 1 over Config.WarmUp.
const warmUpStartShare = 0.25

func (h *HostLoad) add(load float64) {
	h.Load += load
	h.Slices++
}

func (h *HostLoad) remove(load float64) {
	h.Load -= load
	h.Slices--
}

// rebuildHosts rebuilds the app's hosts from the fleet and marks every pack
// dirty.
func (r *round) rebuildHosts() {
	a := r.app
	a.fleetGeneration = r.core.fleet.generation
	serving := r.core.fleet.serving(&a.params)
	if len(serving) > len(a.hosts) {
		a.hostsGrewAt = r.now
	}
	if len(a.hosts) == 0 {
		a.firstHostAt = r.now
	}
	a.hosts = make([]HostLoad, len(serving))
	a.indexBySession = make(map[host.Session]int, len(serving))
	for i, h := range serving {
		a.hosts[i] = HostLoad{Session: h.session, Place: h.place}
		a.indexBySession[h.session] = i
	}
	for _, p := range a.packs {
		p.dirty, p.hostIndexes = true, nil
	}
	a.loadsStale = true
}

// markReported marks the hosts that have reported since the last balance round.
func (r *round) markReported() {
	for i := range r.app.hosts {
		h := &r.app.hosts[i]
		h.reportedSinceBalance = r.app.loads.reports[h.Session].balanceRound == r.app.loads.slices.balanceRound
	}
}

// decayLoads lowers the loads of slices that are missing from their owners'
// reports since the last balance round, and starts the next balance round.
func (r *round) decayLoads() {
	a := r.app
	for _, p := range a.packs {
		if p.pack != nil && a.params.DividedByKey {
			a.decayPack(p)
		}
	}
	a.loads.slices.balanceRound++
}

// decayPack lowers the loads of those slices of a pack that their owners,
// although they reported, left out of their reports.
func (a *app) decayPack(p *packInfo) {
	indexes := a.hostIndexes(p)
	for i := range p.pack.Len() {
		owner, _, _ := p.pack.EntryIndexes(i)
		if hostIndex := indexes[owner]; hostIndex >= 0 && a.hosts[hostIndex].reportedSinceBalance {
			a.loads.slices.decay(p.first + key.SliceID(i))
		}
	}
	for _, c := range p.pack.CarveOuts() {
		if hostIndex := a.hostIndex(c.Ownership.Owner); hostIndex >= 0 && a.hosts[hostIndex].reportedSinceBalance {
			a.loads.slices.decay(c.ID)
		}
	}
}

// sumLoads computes the load of each host from its slices. A slice with a
// handover in progress counts for its next owner.
func (r *round) sumLoads() {
	a := r.app
	a.loadsStale = false
	var slots float64
	a.loads.updateSpeeds(a.hosts)
	for i := range a.hosts {
		r.resetHost(&a.hosts[i])
		slots += a.hosts[i].Capacity
	}
	a.loads.idlePerSlice = 1
	if a.params.DividedByKey && a.loads.slices.reportedCount > 0 {
		a.loads.idlePerSlice = idleShare * slots / float64(a.params.Slices)
	}
	for _, p := range a.packs {
		if p.pack != nil {
			a.sumPack(p)
		}
	}
	for i := range a.hosts {
		a.hosts[i].Load *= a.loads.correctionFor(r.now, a.hosts[i].Session, r.core.cfg.MaxReportAge)
	}
	r.holdColdHosts()
}

// resetHost sets a host's capacity and clears its load. A host that was there
// when the app's slices were first granted does not warm up.
func (r *round) resetHost(h *HostLoad) {
	info := r.core.fleet.hosts[h.Session.Host]
	share := warmUpShare(r.now.Sub(info.firstSeenAt), r.core.cfg.WarmUp)
	if r.app.firstGrantAt == 0 || info.firstSeenAt <= r.app.firstGrantAt {
		share = 1
	}
	h.Warming = share < 1
	h.Capacity = r.core.slotsOf(r.now, info) * share * r.app.loads.speedOf(h.Session)
	h.Load, h.Slices = 0, 0
}

// warmUpShare returns the share of its slots that a host of the given age
// counts for.
func warmUpShare(age, warmUp time.Duration) float64 {
	if age < 0 || age >= warmUp {
		return 1
	}
	return warmUpStartShare + (1-warmUpStartShare)*float64(age)/float64(warmUp)
}

func (a *app) sumPack(p *packInfo) {
	indexes := a.hostIndexes(p)
	for i := range p.pack.Len() {
		owner, next, _ := p.pack.EntryIndexes(i)
		to := indexes[owner]
		if next != 0 {
			to = indexes[next]
		}
		if to >= 0 {
			a.hosts[to].add(a.loadOn(to, p.first+key.SliceID(i)))
		}
	}
	for _, c := range p.pack.CarveOuts() {
		to := a.hostIndex(c.Ownership.Owner)
		if !c.Ownership.Next.IsZero() {
			to = a.hostIndex(c.Ownership.Next)
		}
		if to >= 0 {
			a.hosts[to].add(a.loadOn(to, c.ID))
		}
	}
}

// loadOf returns the load that a slice counts for: its reported load plus its
// part of the idle load. In an app that is not divided by key, or that has no
// reported loads yet, each slice counts for 1.
func (a *app) loadOf(id key.SliceID) float64 {
	return a.loads.slices.estimate(id) + a.loads.idlePerSlice
}

// loadOn returns the load of a slice on a host. The idle load is multiplied by
// the speed of the host's target, so that idle slices are spread in proportion
// to slots whatever the speeds.
func (a *app) loadOn(to int32, id key.SliceID) float64 {
	return a.loads.slices.estimate(id) + a.loads.idlePerSlice*a.loads.speedOf(a.hosts[to].Session)
}

// movable returns the slices that may be moved now from hosts whose utilization
// is above minUtilization.
func (r *round) movable(minUtilization float64) []Candidate {
	a := r.app
	var out []Candidate
	for _, p := range a.packs {
		if p.state != packCurrent {
			continue
		}
		out = r.movableOf(p, minUtilization, out)
	}
	return out
}

func (r *round) movableOf(p *packInfo, minUtilization float64, out []Candidate) []Candidate {
	indexes := r.app.hostIndexes(p)
	for i := range p.pack.Len() {
		owner, next, _ := p.pack.EntryIndexes(i)
		hostIndex := indexes[owner]
		if hostIndex < 0 || next != 0 || r.app.hosts[hostIndex].Utilization() <= minUtilization {
			continue
		}
		out = r.appendCandidate(p, p.first+key.SliceID(i), int(hostIndex), out)
	}
	for _, c := range p.pack.CarveOuts() {
		hostIndex := r.app.hostIndex(c.Ownership.Owner)
		if hostIndex < 0 || !c.Ownership.Next.IsZero() || r.app.hosts[hostIndex].Utilization() <= minUtilization || r.isCool(c) {
			continue
		}
		out = r.appendCandidate(p, c.ID, int(hostIndex), out)
	}
	return out
}

// appendCandidate appends a slice to out unless it was moved recently, is
// pinned or has changed in this round.
func (r *round) appendCandidate(p *packInfo, id key.SliceID, hostIndex int, out []Candidate) []Candidate {
	if moved, ok := r.app.movedAt[id]; ok && r.now.Sub(moved) < r.cooldown(id, hostIndex) {
		return out
	}
	if r.pinned[id] || !r.unchanged(p, id) {
		return out
	}
	return append(out, Candidate{ID: id, Load: r.app.loadOn(int32(hostIndex), id), Host: hostIndex})
}

// cooldown returns how long a slice must stay after a move: Config.MoveCooldown, or
// less if the slice dominates the load of a full host.
func (r *round) cooldown(id key.SliceID, hostIndex int) time.Duration {
	h := &r.app.hosts[hostIndex]
	if h.Utilization() >= fullUtilization && r.app.loadOn(int32(hostIndex), id) >= dominantShare*h.Load {
		return r.core.cfg.MoveCooldown / dominantCooldownDivisor
	}
	return r.core.cfg.MoveCooldown
}

const (
	// dominantShare is the share of a full host's load from which a slice
	// dominates it.
	dominantShare = 0.4
	// dominantCooldownDivisor divides Config.MoveCooldown for such a slice.
	dominantCooldownDivisor = 4
)

// balance names next owners for slices of the most utilized hosts, as long as
// fewer than App.MaxMoves handovers are in progress.
func (r *round) balance() {
	limit := r.app.params.MaxMoves - r.app.handoverCount()
	if limit <= 0 {
		return
	}
	for _, t := range r.core.cfg.Policy.Transfers(r.app.hosts, r.movable, limit) {
		r.transfer(t)
	}
	r.app.pruneMoves(r.now, r.core.cfg.MoveCooldown)
}

// transfer drafts one move for balance by naming the next owner.
func (r *round) transfer(t Transfer) {
	to := &r.app.hosts[t.To]
	reason := Imbalance
	if to.Warming {
		reason = NewHost
	}
	s, _ := r.app.assigned(t.ID)
	s.Next = to.Session
	if r.edit(r.app.packOf(t.ID), t.ID, s, reason) {
		r.app.hosts[t.From].remove(t.Load)
		to.add(t.Load)
	}
}

// handoverCount returns the number of handovers in progress.
func (a *app) handoverCount() int {
	n := 0
	for _, p := range a.packs {
		n += p.handovers
	}
	return n
}

// pruneMoves drops the times of moves that are older than the cooldown.
func (a *app) pruneMoves(now mono.Time, cooldown time.Duration) {
	for id, at := range a.movedAt {
		if now.Sub(at) >= cooldown {
			delete(a.movedAt, id)
		}
	}
}
