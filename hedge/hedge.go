// Package hedge decides when a second attempt of a request may be sent because the
// first one takes unusually long. Policy keeps, for each route, the distribution of
// answer times, and, for each app, the budget of such attempts that the document
// allows. Which gate gets the attempt, and whether there is room for it, is decided
// elsewhere.
package hedge

import (
	"time"

	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/retry"
)

const (
	// delayQuantile is the part of a route's requests that is answered before a
	// second attempt is due. One in twenty requests reaches it, which a budget of
	// 0.05 covers.
	delayQuantile = 0.95
	// minSamples is the number of answer times below which a route's quantile is
	// not used: with fewer, one or two slow answers decide it.
	minSamples = 100
	// budgetBurst is the number of attempts that an app's budget can hold. It covers
	// the requests that one slow target delays at once.
	budgetBurst = 5
	// maxRoutes bounds the routes whose times are kept. Further ones get no second
	// attempts.
	maxRoutes = 256
)

// Policy keeps budgets and answer times. The zero Policy allows nothing. It is not
// safe for concurrent use.
type Policy struct {
	budgets map[key.App]*budget
	routes  map[routeID]*distribution
}

// budget is the budget of one app.
type budget struct {
	ratio float64
	left  *retry.Budget
}

// routeID identifies a route; its name is empty for requests that name the app.
type routeID struct {
	app  key.App
	name string
}

// SetBudgets sets the average number of second attempts for each repeatable request
// of the apps. Apps that are left out, or have 0, get none. An unchanged budget keeps
// what is left of it.
func (p *Policy) SetBudgets(ratios map[key.App]float64) {
	budgets := make(map[key.App]*budget, len(ratios))
	for app, ratio := range ratios {
		if ratio <= 0 {
			continue
		}
		b := p.budgets[app]
		if b == nil || b.ratio != ratio {
			b = &budget{ratio: ratio, left: newBudget(ratio)}
		}
		budgets[app] = b
	}
	p.budgets = budgets
	for id := range p.routes {
		if budgets[id.app] == nil {
			delete(p.routes, id)
		}
	}
}

// newBudget returns an empty budget: an entry that has just started has sent nothing
// that it could hedge.
func newBudget(ratio float64) *retry.Budget {
	b := retry.NewBudget(retry.Config{Ratio: ratio, Burst: budgetBurst})
	for b.Spend() {
	}
	return b
}

// Submitted credits an app's budget for a repeatable request.
func (p *Policy) Submitted(app key.App) {
	if b := p.budgets[app]; b != nil {
		b.left.Deposit()
	}
}

// Spend takes one attempt from an app's budget. It returns false if none was left.
func (p *Policy) Spend(app key.App) bool {
	b := p.budgets[app]
	return b != nil && b.left.Spend()
}

// Delay returns the time without an answer after which a second attempt of a request
// of the route is due; 0 if there is to be none.
func (p *Policy) Delay(app key.App, route string) time.Duration {
	if p.budgets[app] == nil {
		return 0
	}
	d := p.routes[routeID{app, route}]
	if d == nil || d.total < minSamples {
		return 0
	}
	return d.delay
}

// Answered records how long a route's request took from its first attempt to its
// answer, whichever attempt that came from.
func (p *Policy) Answered(app key.App, route string, took time.Duration) {
	if p.budgets[app] == nil {
		return
	}
	id := routeID{app, route}
	d := p.routes[id]
	if d == nil {
		if len(p.routes) >= maxRoutes {
			return
		}
		if p.routes == nil {
			p.routes = make(map[routeID]*distribution)
		}
		d = &distribution{}
		p.routes[id] = d
	}
	d.add(took)
}
