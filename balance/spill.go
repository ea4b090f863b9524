package balance

import (
	"time"

	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/request"
)

const (
	// minSpillUtilization is the utilization of this daemon's region below which no
	// request leaves it: with that many slots free, requests hardly wait, and bytes
	// between regions cost money.
	minSpillUtilization = 0.5
	// minUtilizationGap is by how much this region's utilization must exceed that of
	// the others. It exceeds the error of the two means.
	minUtilizationGap = 0.1
	// spillGain is the fraction of requests that leave for each unit of utilization
	// beyond the gap. With twice as much, more requests cross between regions of
	// equal load, and targets are not used more evenly.
	spillGain = 3.0
	// maxSpillShare bounds the fraction of requests that leave.
	maxSpillShare = 0.5
	// probeInterval is how old the utilization of the other regions may be. After
	// that a single request goes there, whose answer states it. With 2 s, one request
	// in 25 of an entry daemon with 13 requests a second was a probe.
	probeInterval = 4 * time.Second
)

// spillGate returns a gate of another region for a request that a near gate could
// run, or nil. That is a fraction of the requests in proportion to how much busier
// this daemon's region is than the others, and a probe now and then that finds that
// out. The way there must fit into the request's budget and latency target, and its
// bytes into the share of the link.
func (b *Balancer) spillGate(p *pool, far []*gateState, now mono.Time, q request.GateQuery) *gateState {
	if len(far) == 0 || !b.spills(p, now) {
		return nil
	}
	g := b.pickTwo(far, nil, now, q.Tried)
	if g == nil || now.Before(g.avoidUntil) {
		return nil
	}
	limit := usableBudget(q.Budget)
	if q.LatencyTarget > 0 {
		limit = min(limit, q.LatencyTarget)
	}
	if b.expectedTime(g, now) > limit || !b.link.Take(now, q.Bytes+perMessageOverhead, int(p.meanAnswerBytes)) {
		return nil
	}
	p.probedAt = now
	b.spilled++
	return g
}

// Spilled returns how many requests were sent to another region because this one was
// much busier, or to learn whether it is.
func (b *Balancer) Spilled() uint64 {
	return b.spilled
}

// spills reports whether the next request is to leave this daemon's region.
func (b *Balancer) spills(p *pool, now mono.Time) bool {
	if !p.near.seen || p.near.mean < minSpillUtilization {
		return false
	}
	if !p.far.seen || now.Sub(p.far.at) > probeInterval {
		return p.probedAt == 0 || now.Sub(p.probedAt) > probeInterval
	}
	share := p.spillShare()
	return share > 0 && b.rnd.Float64() < share
}

// spillShare returns the share of the requests that leave this daemon's region; 0 or
// below for none.
func (p *pool) spillShare() float64 {
	return min((p.near.mean-p.far.mean-minUtilizationGap)*spillGain, maxSpillShare)
}

// Spill describes the requests of an app that leave this daemon's region.
type Spill struct {
	// Share is their fraction, and Near and Far are the mean utilizations of this
	// region's gates and of the others.
	Share, Near, Far float64
}

// SpillOf returns what part of an app's requests leaves this daemon's region now.
func (b *Balancer) SpillOf(now mono.Time, app key.App) Spill {
	p := b.apps[app]
	if p == nil || p.near.mean < minSpillUtilization || !p.far.seen || now.Sub(p.far.at) > probeInterval {
		return Spill{}
	}
	return Spill{Share: max(p.spillShare(), 0), Near: p.near.mean, Far: p.far.mean}
}
