package daemon

import (
	"github.com/rhubarbring/rhubarbring/balance"
	"github.com/rhubarbring/rhubarbring/hedge"
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/request"
)

// hedger implements request.Hedger: the policy says when a second attempt may be sent,
// the balancer to which gate.
type hedger struct {
	hedge.Policy
	balancer *balance.Balancer
}

// Choose implements request.Hedger.
func (h *hedger) Choose(now mono.Time, q request.GateQuery) (host.Session, bool) {
	return h.balancer.ChooseHedge(now, q)
}

// updateHedgeBudgets takes the budgets of second attempts from the document in force.
func (r *routingLoop) updateHedgeBudgets() {
	d := r.fleet.document.Load()
	if d == nil {
		return
	}
	ratios := make(map[key.App]float64, len(d.apps))
	for name, app := range d.apps {
		ratios[name] = app.HedgeBudget
	}
	r.hedger.SetBudgets(ratios)
}
