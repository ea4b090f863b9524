package daemon

import (
	"time"

	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/placement"
)

// report tells the leader every so often how busy the target is, and earlier
// when slices may have to move.
func (r *routingDuty) report(now mono.Time) {
	if r.gate == nil || now.Before(r.nextReport) && !r.hasHotKey(now) && !r.isFull(now) {
		return
	}
	r.refusedFull = 0
	r.nextFull = now.Add(reportInterval(fullEvery, len(r.fleet.sessions.Load().records)))
	r.nextHotKey = now.Add(hotKeyEvery)
	r.nextReport = now.Add(reportInterval(r.reportEvery, len(r.fleet.sessions.Load().records)))
	r.reports++
	runs, service := r.meter.Runs()
	slices, keys := r.meter.Take(now, reportedKeys)
	r.reportLoad(placement.LoadReport{
		From:     r.self,
		App:      r.target.app,
		Sequence: r.reports,
		Target:   r.target.load,
		Slices:   slices,
		Keys:     keys,
		Runs:     uint32(runs),
		Service:  float32(service.Seconds() * 1000),
	})
}

// isFull reports whether the target has had no room for several requests for
// slices since the last report: their callers wait until slices move.
func (r *routingDuty) isFull(now mono.Time) bool {
	return r.refusedFull >= fullRefusals && !now.Before(r.nextFull)
}

// hasHotKey reports whether a key may have to be carved out: its load is at
// half the document's bound. It looks every hotKeyEvery.
func (r *routingDuty) hasHotKey(now mono.Time) bool {
	if now.Before(r.nextHotKey) {
		return false
	}
	r.nextHotKey = now.Add(hotKeyEvery)
	app, ok := r.fleet.app(r.target.app)
	if !ok || app.HotKeys == nil {
		return false
	}
	bound := app.HotKeys.Share * float64(r.target.slots) / 2
	return float64(r.meter.Hottest(now)) > bound
}

// reportInterval is the time between two reports in a fleet of so many
// daemons: the leader takes no more than reportsPerSecond.
func reportInterval(least time.Duration, daemons int) time.Duration {
	spread := time.Duration(daemons) * time.Second / reportsPerSecond
	return max(least, spread)
}
