package daemon

import (
	"github.com/rhubarbring/rhubarbring/event"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/targetstatus"
)

// heardTarget handles what an answer of an instance of the target says of it.
func (r *routingLoop) heardTarget(now, requestedAt mono.Time, instance uint64, s targetstatus.Statement) {
	if r.targetStatus.Heard(now, requestedAt, instance, s) {
		r.statusChanged(now)
	}
}

// statusChanged applies a changed status of the target.
func (r *routingLoop) statusChanged(now mono.Time) {
	s := r.targetStatus.Status()
	r.log.Event(event.TargetStatus, "app", string(r.target.app), "instance", r.target.instance, "limit", s.RateLimit, "leaving", s.Leaving)
	r.gate.SetRateLimit(now, s.RateLimit, &r.gateActions)
	if s.Leaving {
		r.gate.TargetLeaving(now, &r.gateActions)
		r.onTargetLeaving(r.target.instance)
	}
}
