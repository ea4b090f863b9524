package balance

import (
	"math"
	"time"

	"github.com/rhubarbring/rhubarbring/mono"
)

// expectedTime returns the time that an answer of the gate is expected to take,
// with the network round trip. The factor for the reported load is between
// 1-MaxReportShift and 1+MaxReportShift.
func (b *Balancer) expectedTime(g *gateState, now mono.Time) time.Duration {
	if b.hasRecentStatedLoad(g, now) {
		return g.expectedFromStatedLoad() + b.roundTrip(g)
	}
	ns := b.decayedNs(g, now) * float64(g.inFlight+1)
	ns *= 1 + 2*b.cfg.MaxReportShift*(g.reportedLoad-unknownLoad)
	return time.Duration(ns) + b.roundTrip(g)
}

// hasRecentStatedLoad reports whether the gate's last statement of its load is
// recent enough to be used.
func (b *Balancer) hasRecentStatedLoad(g *gateState, now mono.Time) bool {
	return g.slots > 0 && now.Sub(g.statedAt) < b.cfg.DecayTime
}

// expectedFromStatedLoad returns the time that an answer is expected to take by
// the load that the gate stated: one service time if a slot is free, and more
// in proportion to the queue if none is.
func (g *gateState) expectedFromStatedLoad() time.Duration {
	over := max(g.jobs+g.sentSinceStated+1-g.slots, 0)
	return time.Duration(float64(g.serviceTime) * (1 + float64(over)/float64(g.slots)))
}

// rankingTime returns the value by which gates are compared. It is the expected
// time plus an amount that grows with the target's utilization, so that the load
// is spread before slots run out.
func (b *Balancer) rankingTime(g *gateState, now mono.Time) time.Duration {
	if !b.hasRecentStatedLoad(g, now) {
		return b.expectedTime(g, now)
	}
	busy := float64(g.jobs+g.sentSinceStated) / float64(g.slots)
	return b.expectedTime(g, now) + time.Duration(float64(g.serviceTime)*utilizationWeight*busy)
}

// utilizationWeight is by how many service times a fully used target ranks behind
// an idle one.
const utilizationWeight = 3.0

// roundTrip returns the network round trip time to the gate.
func (b *Balancer) roundTrip(g *gateState) time.Duration {
	switch g.tier {
	case sameZone:
		return 0
	case sameRegion:
		return 2 * b.cfg.ZoneDelay
	}
	return 2 * b.cfg.RegionDelay
}

// decayedNs returns the gate's measured time in nanoseconds. As the measurement
// ages it decays to the mean of the app's gates, so that a gate that was slow
// once is tried again.
func (b *Balancer) decayedNs(g *gateState, now mono.Time) float64 {
	if !g.measured {
		return g.pool.meanAnswerNs
	}
	age := float64(now.Sub(g.measuredAt)) / float64(b.cfg.DecayTime)
	return g.pool.meanAnswerNs + (g.answerNs-g.pool.meanAnswerNs)*math.Exp(-age)
}
