package admission

import (
	"time"

	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/request"
)

// Preview returns the share of requests like this one that Admit refuses now, and
// the time after which a gate may have room. It counts as no request and draws
// nothing.
func (c *Controller) Preview(now mono.Time, q request.AdmissionQuery) (time.Duration, float64) {
	r := q.Request
	if r.LatencyTarget == 0 || r.Class.IsCall() {
		return 0, 0
	}
	room, full := c.roomIn(now, q)
	share := 0.0
	if t := c.flows[flow{app: r.App, route: r.Route}]; t != nil && q.Owner.IsZero() {
		share = t.refusalShare(now, r)
	}
	if full {
		share = 1
	}
	return room, share * (1 - probeShare)
}
