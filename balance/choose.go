package balance

import (
	"slices"
	"time"

	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/result"
)

// Choose returns a gate of the app that was not tried, or the last of those
// that were if no other can be had. The code is OK, TargetUnavailable if the
// app has no gate, or LinkShareExhausted if only the other region has one and
// the share of the link is used up.
func (b *Balancer) Choose(app key.App, now mono.Time, budget time.Duration, size int, tried []host.Session) (host.Session, result.Code) {
	p := b.apps[app]
	if p == nil {
		return host.Nobody, result.TargetUnavailable
	}
	near := b.nearest(p, now, tried)
	if near != nil && b.expected(near, now) <= part(budget) {
		return near.Session, result.OK
	}
	far := b.pickTwo(p.tiers[otherRegion], nil, now, tried)
	if near == nil && far == nil {
		return again(p, tried)
	}
	if far == nil {
		return near.Session, result.OK
	}
	if near != nil && b.expected(far, now) >= b.expected(near, now) {
		return near.Session, result.OK
	}
	if b.link.Take(now, size+overheadBytes, int(p.answer)) {
		return far.Session, result.OK
	}
	if near != nil {
		return near.Session, result.OK
	}
	return host.Nobody, result.LinkShareExhausted
}

// overheadBytes is about what a request takes on the wire beside its body.
const overheadBytes = 200

// part is how much of its budget a request may expect to use.
func part(budget time.Duration) time.Duration {
	return budget - budget/5
}

// again returns the last of the gates that were tried and are still there.
func again(p *pool, tried []host.Session) (host.Session, result.Code) {
	for _, s := range slices.Backward(tried) {
		if p.has(s) {
			return s, result.OK
		}
	}
	return host.Nobody, result.TargetUnavailable
}

func (p *pool) has(s host.Session) bool {
	for _, tier := range p.tiers {
		if slices.ContainsFunc(tier, func(g *gate) bool { return g.Session == s }) {
			return true
		}
	}
	return false
}

// nearest compares one gate of the own zone with one of the rest of the
// region, or two of either if the other has none.
func (b *Balancer) nearest(p *pool, now mono.Time, tried []host.Session) *gate {
	return b.pickTwo(p.tiers[sameZone], p.tiers[sameRegion], now, tried)
}

// pickTwo draws a gate from each list, or two from one if the other is empty,
// and returns the one that is likely to answer first.
func (b *Balancer) pickTwo(first, second []*gate, now mono.Time, tried []host.Session) *gate {
	if len(first) == 0 {
		first = second
	}
	if len(second) == 0 {
		second = first
	}
	x := b.draw(first, now, tried, nil)
	return b.better(x, b.draw(second, now, tried, x), now)
}

// draw returns a random gate of a list that is not to be avoided, else any; nil
// if all of them were tried or drawn.
func (b *Balancer) draw(list []*gate, now mono.Time, tried []host.Session, drawn *gate) *gate {
	if len(list) == 0 {
		return nil
	}
	start := b.rnd.IntN(len(list))
	var fallback *gate
	for i := range list {
		g := list[(start+i)%len(list)]
		if g == drawn || slices.Contains(tried, g.Session) {
			continue
		}
		if !now.Before(g.avoid) {
			return g
		}
		if fallback == nil {
			fallback = g
		}
	}
	return fallback
}

func (b *Balancer) better(x, y *gate, now mono.Time) *gate {
	if x == nil {
		return y
	}
	if y == nil {
		return x
	}
	xAvoided, yAvoided := now.Before(x.avoid), now.Before(y.avoid)
	if xAvoided != yAvoided {
		if xAvoided {
			return y
		}
		return x
	}
	if b.rank(y, now) < b.rank(x, now) {
		return y
	}
	return x
}
