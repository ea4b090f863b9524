package balance

import (
	"math"
	"time"

	"github.com/rhubarbring/rhubarbring/mono"
)

// expected is the time that an answer of the gate will likely take.
func (b *Balancer) expected(g *gate, now mono.Time) time.Duration {
	if b.knows(g, now) {
		return g.queued() + b.way(g)
	}
	ns := b.recent(g, now) * float64(g.inFlight+1)
	ns *= 1 + 2*b.cfg.ReportTrust*(g.load-unknownLoad)
	return time.Duration(ns) + b.way(g)
}

// knows reports whether the gate has lately said how busy it is.
func (b *Balancer) knows(g *gate, now mono.Time) bool {
	return g.slots > 0 && now.Sub(g.saidAt) < b.cfg.Memory
}

// queued is the time that an answer will likely take by what the gate said of
// its load: with a slot free, that of one run.
func (g *gate) queued() time.Duration {
	over := max(g.jobs+g.since+1-g.slots, 0)
	return time.Duration(float64(g.service) * (1 + float64(over)/float64(g.slots)))
}

// rank orders gates: the time that an answer will likely take, and more the
// fuller the target is, so that the load spreads before slots run out.
func (b *Balancer) rank(g *gate, now mono.Time) time.Duration {
	if !b.knows(g, now) {
		return b.expected(g, now)
	}
	busy := float64(g.jobs+g.since) / float64(g.slots)
	return b.expected(g, now) + time.Duration(float64(g.service)*crowding*busy)
}

// crowding is by what part of a run a full target ranks behind an idle one.
const crowding = 3.0

// way is the time to the gate and back.
func (b *Balancer) way(g *gate) time.Duration {
	switch g.tier {
	case sameZone:
		return 0
	case sameRegion:
		return 2 * b.cfg.ZoneDelay
	}
	return 2 * b.cfg.RegionDelay
}

// recent is the gate's measured time, drawn towards the mean of all gates as
// it ages, so that a gate that was slow once is tried again.
func (b *Balancer) recent(g *gate, now mono.Time) float64 {
	if !g.seen {
		return g.pool.meanNs
	}
	age := float64(now.Sub(g.seenAt)) / float64(b.cfg.Memory)
	return g.pool.meanNs + (g.tookNs-g.pool.meanNs)*math.Exp(-age)
}
