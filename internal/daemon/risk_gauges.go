package daemon

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/rhubarbring/rhubarbring/event"
	"github.com/rhubarbring/rhubarbring/mono"
)

// riskGauges are updated once a second. They are the values that an operator
// looks at first.
type riskGauges struct {
	leaseLeftMs    metrics.Gauge // negative once the lease has lapsed
	storeReachable metrics.Gauge // 1 or 0
	storeAgeMs     metrics.Gauge // since the store's last answer
	heardAgeMs     metrics.Gauge // since the last message of another daemon about the fleet
	sessions       metrics.Gauge // all known sessions, also those that ended
	unownedSlices  metrics.Gauge // only at the relay of a zone; 0 elsewhere
	unsaved        metrics.Gauge // outcomes at risk not yet in the store
	ringing        metrics.Gauge // alarms not yet acknowledged
	unstoredAlarms metrics.Gauge // alarms of this daemon without a record in the store
}

func newRiskGauges(registry metrics.Registry) riskGauges {
	gauge := func(name string) metrics.Gauge { return metrics.GetOrRegisterGauge(name, registry) }
	return riskGauges{
		leaseLeftMs:    gauge("lease.left_ms"),
		storeReachable: gauge("store.reachable"),
		storeAgeMs:     gauge("store.answer_age_ms"),
		heardAgeMs:     gauge("sessions.heard_age_ms"),
		sessions:       gauge("sessions.known"),
		unownedSlices:  gauge("slices.unowned"),
		unsaved:        gauge("outcomes.unsaved"),
		ringing:        gauge("alarm.ringing"),
		unstoredAlarms: gauge("alarm.unstored"),
	}
}

// refusalCounter is a ring that counts the items it refused.
type refusalCounter interface {
	Name() string
	Refused() int64
}

// logRefusals logs each ring that refused items since the last call.
func (r *riskLoop) logRefusals() {
	d := r.d
	for _, c := range []refusalCounter{d.routing.ring, d.lease.ring, d.placement.ring, d.spread.ring, d.store.ring, r.ring} {
		refused := c.Refused()
		if fresh := refused - r.lastRefused[c.Name()]; fresh > 0 {
			d.log.Event(event.RingFull, "ring", c.Name(), "count", fresh)
		}
		r.lastRefused[c.Name()] = refused
	}
}

func (r *riskLoop) updateGauges(now mono.Time) {
	g := &r.gauges
	if r.d.lease.recorded.Load() != nil {
		g.leaseLeftMs.Update(r.d.lease.leaseEnd().Sub(now).Milliseconds())
	}
	reachable := int64(0)
	if r.d.store.reachable() {
		reachable = 1
	}
	g.storeReachable.Update(reachable)
	g.storeAgeMs.Update(time.Since(r.d.store.lastAnswer()).Milliseconds())
	g.heardAgeMs.Update(now.Sub(mono.Time(r.d.spread.lastHeard.Load())).Milliseconds())
	g.sessions.Update(int64(len(r.d.fleet.sessions.Load().records)))
	g.unownedSlices.Update(int64(len(r.lastUnowned)))
	g.unsaved.Update(r.openOutcomes.Load())
	g.ringing.Update(int64(len(r.alarm.Unacknowledged())))
}
