package balance

import (
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/request"
)

// maxHedgeUtilization is the mean utilization of the near gates from which no second
// attempt of a request is sent: each takes a slot from another request.
const maxHedgeUtilization = 0.7

// ChooseHedge returns a gate for a second attempt of a request whose first one is
// under way, and false if none is to be sent: the app's gates are short of room, or
// no untried gate of this daemon's region is known to have a free slot and expected
// to answer within the usable budget.
func (b *Balancer) ChooseHedge(now mono.Time, q request.GateQuery) (host.Session, bool) {
	p := b.apps[q.App]
	if p == nil || !p.near.seen || p.near.mean >= maxHedgeUtilization {
		return host.NoSession, false
	}
	g := b.pickNear(b.allowedTiers(p, q.Regions), now, q.Tried)
	if g == nil || now.Before(g.avoidUntil) || !b.hasRecentStatedLoad(g, now) {
		return host.NoSession, false
	}
	if g.presentJobs(now)+1 > float64(g.slots) || b.expectedTime(g, now) > usableBudget(q.Budget) {
		return host.NoSession, false
	}
	return g.Session, true
}
