package daemon

import (
	"time"

	"github.com/rhubarbring/rhubarbring/document"
	"github.com/rhubarbring/rhubarbring/event"
	"github.com/rhubarbring/rhubarbring/gate"
	"github.com/rhubarbring/rhubarbring/internal/control"
	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/mono"
)

// setColdLimit passes to the gate what the document says that cold targets of its app
// bear.
func (r *routingLoop) setColdLimit(now mono.Time, appOf func(key.App) (document.App, bool)) {
	if r.gate == nil {
		return
	}
	app, _ := appOf(r.target.app)
	r.gate.SetColdLimit(now, gate.ColdLimit{PerSecond: app.ColdRequestsPerSecond, Start: app.ColdStart.Std()}, &r.gateActions)
}

// reportCold tells the placement leader when the target begins or ceases to count as
// cold, which changes the number of slots that its host counts for.
func (r *routingLoop) reportCold(now mono.Time) {
	if r.target.instance == 0 || r.gate.Cold() == r.coldReported {
		return
	}
	r.coldReported = r.gate.Cold()
	report := r.statusReport(now)
	r.log.Event(event.TargetCold, "app", string(r.target.app), "instance", r.target.instance, "cold", r.coldReported, "usable_slots", report.UsableSlots)
	r.onTargetStatus(report)
}

// ageOf returns the time since the start of the instance that an announcement names, 0
// if it is not known.
func ageOf(a control.Announcement, nowMs int64) time.Duration {
	if a.StartedMs <= 0 || nowMs <= a.StartedMs {
		return 0
	}
	return time.Duration(nowMs-a.StartedMs) * time.Millisecond
}
