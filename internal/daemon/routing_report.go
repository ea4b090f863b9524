package daemon

import (
	"time"

	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/placement"
)

// report sends the load on the target to the placement leader at regular
// intervals, and earlier if slices may have to move because of a hot key or a
// full target.
func (r *routingLoop) report(now mono.Time) {
	if r.gate == nil || now.Before(r.nextReport) && !r.hasHotKey(now) && !r.isFull(now) {
		return
	}
	r.refusedFull = 0
	r.nextFullReport = now.Add(limitedReportInterval(fullReportInterval, len(r.fleet.sessions.Load().records)))
	r.nextHotKeyCheck = now.Add(hotKeyCheckInterval)
	r.nextReport = now.Add(limitedReportInterval(r.reportInterval, len(r.fleet.sessions.Load().records)))
	r.reportSequence++
	runs, service := r.meter.RunStats()
	slices, keys := r.meter.Take(now, reportedHotKeys)
	r.onLoadReport(placement.LoadReport{
		From:              r.self,
		App:               r.target.app,
		Sequence:          r.reportSequence,
		TargetUtilization: r.target.load,
		Slices:            slices,
		Keys:              keys,
		CompletedRuns:     uint32(runs),
		MeanServiceMs:     float32(service.Seconds() * 1000),
	})
}

// isFull reports whether at least fullReportRefusals requests were refused since
// the last report because the target's queue was full, and the next early report
// for that reason is due. Callers keep repeating such requests until slices
// move.
func (r *routingLoop) isFull(now mono.Time) bool {
	return r.refusedFull >= fullReportRefusals && !now.Before(r.nextFullReport)
}

// hasHotKey reports whether a key may have to be carved out: its load has
// passed half of the document's bound. It checks once every
// hotKeyCheckInterval.
func (r *routingLoop) hasHotKey(now mono.Time) bool {
	if now.Before(r.nextHotKeyCheck) {
		return false
	}
	r.nextHotKeyCheck = now.Add(hotKeyCheckInterval)
	app, ok := r.fleet.app(r.target.app)
	if !ok || app.HotKeys == nil {
		return false
	}
	bound := app.HotKeys.Share * float64(r.target.slots) / 2
	return float64(r.meter.HottestKeyLoad(now)) > bound
}

// limitedReportInterval returns the time between two reports of one daemon: at
// least the given time, and long enough that all daemons together send no more
// than reportsPerSecond.
func limitedReportInterval(least time.Duration, daemons int) time.Duration {
	fairInterval := time.Duration(daemons) * time.Second / reportsPerSecond
	return max(least, fairInterval)
}
