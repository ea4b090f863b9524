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
	if g.hasStatedLoad(now) {
		return g.expectedFromStatedLoad(now) + b.roundTrip(g)
	}
	ns := b.decayedNs(g, now) * float64(g.inFlight+1)
	ns *= 1 + 2*b.cfg.MaxReportShift*(g.reportedLoad-unknownLoad)
	return time.Duration(ns) + b.roundTrip(g)
}

// hasStatedLoad reports whether the gate has stated its load within statedValidity.
func (g *gateState) hasStatedLoad(now mono.Time) bool {
	return g.slots > 0 && now.Sub(g.statedAt) < statedValidity
}

// hasRecentStatedLoad reports whether the gate has stated its load so recently that a
// slot which was free then is likely free now.
func (b *Balancer) hasRecentStatedLoad(g *gateState, now mono.Time) bool {
	return g.slots > 0 && now.Sub(g.statedAt) < b.cfg.DecayTime
}

// statedValidity is how long the means of what a gate stated count: its speed and the
// number of its jobs. Of 82 entry daemons each hears of a gate once in some seconds, and
// without the means, gates that were not heard of for 2 s would get the requests.
const statedValidity = 5 * time.Second

// presentTime is how long the run time counts that a gate stated, and the time
// constant with which the jobs that it stated give way to the mean. The pace of
// noisy machines changes about every 400 ms, and a gate's jobs last about as long.
// An entry daemon hears of each gate less often than that.
const presentTime = 400 * time.Millisecond

// presentServiceTime returns the time in nanoseconds that a run is expected to take
// at the gate.
func (g *gateState) presentServiceTime(now mono.Time) float64 {
	if now.Sub(g.statedAt) < presentTime {
		return float64(g.serviceTime)
	}
	return g.meanServiceNs
}

// presentJobs returns how many requests are expected to run or wait at the gate:
// what it stated, which with time gives way to the mean of its statements, and what
// was sent there since.
func (g *gateState) presentJobs(now mono.Time) float64 {
	mean := g.meanBusy * float64(g.slots)
	age := float64(now.Sub(g.statedAt)) / float64(presentTime)
	return mean + (float64(g.jobs)-mean)*math.Exp(-age) + float64(g.sentSinceStated)
}

// expectedFromStatedLoad returns the time that an answer is expected to take by
// the load that the gate stated: one service time if a slot is free, and more
// in proportion to the queue if none is.
func (g *gateState) expectedFromStatedLoad(now mono.Time) time.Duration {
	over := max(g.presentJobs(now)+1-float64(g.slots), 0)
	return time.Duration(g.presentServiceTime(now) * (1 + over/float64(g.slots)))
}

// rankingTime returns the value by which gates are compared. It is the expected
// time plus an amount that grows with the target's utilization, so that the load
// is spread before slots run out.
func (b *Balancer) rankingTime(g *gateState, now mono.Time) time.Duration {
	if !g.hasStatedLoad(now) {
		return b.expectedTime(g, now)
	}
	busy := g.presentJobs(now) / float64(g.slots)
	return b.expectedTime(g, now) + time.Duration(g.pool.meanServiceNs*utilizationWeight*busy)
}

// utilizationWeight is by how many mean service times of the app a fully used target
// ranks behind an idle one. With less, the fast targets of an app get so many
// requests that the busiest target has over 1.2 times the slots of the mean in use;
// with more, slow ones get requests that come late.
const utilizationWeight = 4.0

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
