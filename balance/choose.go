package balance

import (
	"slices"
	"time"

	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/request"
	"github.com/rhubarbring/rhubarbring/result"
)

// Choose returns a gate of the app that was not tried, or the last tried one
// that still exists if there is no other. The code is OK, TargetUnavailable if
// the app has no gate, NoAllowedRegion if it has none in the allowed regions, or
// LinkShareExhausted if only another region has an untried one and the share of
// the link is used up. A gate of this daemon's region that is expected to answer
// within the usable budget is returned without considering other regions, unless
// its region is much busier than the others, as spillGate describes. Gates
// outside the allowed regions are left out throughout.
func (b *Balancer) Choose(now mono.Time, q request.GateQuery) (host.Session, result.Code) {
	p, tried := b.apps[q.App], q.Tried
	if len(q.Regions) > 0 && !b.HasGateIn(q.App, q.Regions) {
		return host.NoSession, result.NoAllowedRegion
	}
	if p == nil {
		return host.NoSession, result.TargetUnavailable
	}
	allowed := b.allowedTiers(p, q.Regions)
	near := b.pickNear(allowed, now, tried)
	if near != nil {
		if far := b.spillGate(p, allowed[otherRegion], now, q); far != nil {
			return far.Session, result.OK
		}
	}
	if near != nil && b.expectedTime(near, now) <= usableBudget(q.Budget) {
		return near.Session, result.OK
	}
	far := b.pickTwo(allowed[otherRegion], nil, now, tried)
	if near == nil && far == nil {
		return lastTried(allowed, tried)
	}
	if far == nil {
		return near.Session, result.OK
	}
	if near != nil && b.expectedTime(far, now) >= b.expectedTime(near, now) {
		return near.Session, result.OK
	}
	if b.link.Take(now, q.Bytes+perMessageOverhead, int(p.meanAnswerBytes)) {
		return far.Session, result.OK
	}
	if near != nil {
		return near.Session, result.OK
	}
	return host.NoSession, result.LinkShareExhausted
}

// perMessageOverhead is about what a request or an answer takes on the wire
// beside its body, in bytes.
const perMessageOverhead = 200

// usableBudget returns how much of its budget a request may be expected to use.
// The remaining fifth is a margin.
func usableBudget(budget time.Duration) time.Duration {
	return budget - budget/5
}

// lastTried returns the last of the tried gates that still exists.
func lastTried(allowed tiers, tried []host.Session) (host.Session, result.Code) {
	for _, s := range slices.Backward(tried) {
		if allowed.contains(s) {
			return s, result.OK
		}
	}
	return host.NoSession, result.TargetUnavailable
}

func (t tiers) contains(s host.Session) bool {
	for _, tier := range t {
		if slices.ContainsFunc(tier, func(g *gateState) bool { return g.Session == s }) {
			return true
		}
	}
	return false
}

// pickNear compares two gates of this daemon's zone with two of the other zones of
// the region, or all from one of these groups if the other is empty. With two gates
// alone, a slow target gets requests as often as both are slow.
func (b *Balancer) pickNear(allowed tiers, now mono.Time, tried []host.Session) *gateState {
	x := b.pickTwo(allowed[sameZone], allowed[sameRegion], now, tried)
	return b.preferred(x, b.pickTwo(allowed[sameZone], allowed[sameRegion], now, tried), now)
}

// pickTwo draws a gate from each list, or two from one if the other is empty,
// and returns the preferred one; nil if no untried gate is left.
func (b *Balancer) pickTwo(first, second []*gateState, now mono.Time, tried []host.Session) *gateState {
	if len(first) == 0 {
		first = second
	}
	if len(second) == 0 {
		second = first
	}
	x := b.draw(first, now, tried, nil)
	return b.preferred(x, b.draw(second, now, tried, x), now)
}

// draw returns a random gate of the list other than drawn and those in tried; nil
// if there is none. It returns a gate that is to be avoided only if there is no
// other.
func (b *Balancer) draw(list []*gateState, now mono.Time, tried []host.Session, drawn *gateState) *gateState {
	if len(list) == 0 {
		return nil
	}
	start := b.rnd.IntN(len(list))
	var fallback *gateState
	for i := range list {
		g := list[(start+i)%len(list)]
		if g == drawn || slices.Contains(tried, g.Session) {
			continue
		}
		if !now.Before(g.avoidUntil) {
			return g
		}
		if fallback == nil {
			fallback = g
		}
	}
	return fallback
}

// preferred returns the gate that is not to be avoided or, if that doesn't
// distinguish them, the one with the lower ranking time. Either may be nil.
func (b *Balancer) preferred(x, y *gateState, now mono.Time) *gateState {
	if x == nil {
		return y
	}
	if y == nil {
		return x
	}
	xAvoided, yAvoided := now.Before(x.avoidUntil), now.Before(y.avoidUntil)
	if xAvoided != yAvoided {
		if xAvoided {
			return y
		}
		return x
	}
	if b.rankingTime(y, now) < b.rankingTime(x, now) {
		return y
	}
	return x
}
