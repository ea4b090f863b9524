package daemon

import (
	"github.com/rcrowley/go-metrics"

	"github.com/rhubarbring/rhubarbring/mono"
)

// riskGauges show once a second what an operator would look at first.
type riskGauges struct {
	leaseLeftMs    metrics.Gauge // negative once the lease has lapsed
	storeReachable metrics.Gauge // 1 or 0
	unownedSlices  metrics.Gauge // at the relay of a zone; 0 elsewhere
	unsaved        metrics.Gauge // outcomes at risk not yet in the store
	ringing        metrics.Gauge // alarms that nobody has acknowledged
}

func newRiskGauges(registry metrics.Registry) riskGauges {
	gauge := func(name string) metrics.Gauge { return metrics.GetOrRegisterGauge(name, registry) }
	return riskGauges{
		leaseLeftMs:    gauge("lease.left_ms"),
		storeReachable: gauge("store.reachable"),
		unownedSlices:  gauge("slices.unowned"),
		unsaved:        gauge("outcomes.unsaved"),
		ringing:        gauge("alarm.ringing"),
	}
}

func (r *riskDuty) updateGauges(now mono.Time) {
	g := &r.gauges
	if r.d.lease.recorded.Load() != nil {
		g.leaseLeftMs.Update(r.d.lease.lease().Sub(now).Milliseconds())
	}
	reachable := int64(0)
	if r.d.store.reachable() {
		reachable = 1
	}
	g.storeReachable.Update(reachable)
	g.unownedSlices.Update(int64(len(r.lastUnowned)))
	g.unsaved.Update(r.open.Load())
	g.ringing.Update(int64(len(r.alarm.Ringing())))
}
