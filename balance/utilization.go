package balance

import (
	"math"
	"time"

	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/request"
)

// utilization is the mean utilization of the gates of this daemon's region, or of
// the other ones, by the loads that they stated.
type utilization struct {
	mean float64
	at   mono.Time
	seen bool
}

// utilizationTime is the time constant of the mean. It smooths over single gates and
// follows loads that swing within 10 s.
const utilizationTime = 2 * time.Second

// utilizationWeightLimit bounds the weight of one statement, so that the first one
// after a pause does not decide alone.
const utilizationWeightLimit = 0.25

// add records a gate's utilization.
func (u *utilization) add(now mono.Time, busy float64) {
	if !u.seen {
		*u = utilization{mean: busy, at: now, seen: true}
		return
	}
	weight := 1 - math.Exp(-float64(now.Sub(u.at))/float64(utilizationTime))
	weight = min(max(weight, 1.0/64), utilizationWeightLimit)
	u.mean += weight * (busy - u.mean)
	u.at = now
}

// recordStatedLoad records the load that a gate stated in an answer.
func (g *gateState) recordStatedLoad(now mono.Time, e request.AttemptResult) {
	g.slots, g.jobs, g.serviceTime = e.Slots, e.Jobs, e.ServiceTime
	busy := float64(e.Jobs) / float64(e.Slots)
	if g.meanServiceNs == 0 {
		g.meanServiceNs, g.meanBusy = float64(e.ServiceTime), busy
	}
	g.meanBusy += gateWeight * (busy - g.meanBusy)
	g.meanServiceNs += gateWeight * (float64(e.ServiceTime) - g.meanServiceNs)
	g.statedAt = now
	g.sentSinceStated = 0
	p := g.pool
	if p.meanServiceNs == 0 {
		p.meanServiceNs = float64(e.ServiceTime)
	}
	p.meanServiceNs += poolWeight * (float64(e.ServiceTime) - p.meanServiceNs)
	p.utilizationOf(g.tier).add(now, busy)
}

// utilizationOf returns the mean utilization of the gates of a tier.
func (p *pool) utilizationOf(tier int) *utilization {
	if tier == otherRegion {
		return &p.far
	}
	return &p.near
}
