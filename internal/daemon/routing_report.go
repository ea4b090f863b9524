package daemon

import (
	"cmp"
	"time"

	"github.com/rhubarbring/rhubarbring/document"
	"github.com/rhubarbring/rhubarbring/gate"
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/loadmeter"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/placement"
	"github.com/rhubarbring/rhubarbring/request"
	"github.com/rhubarbring/rhubarbring/result"
)

const (
	// defaultReportInterval is the time between two load reports unless the
	// settings name another. Each report names the reportedHotKeys hottest
	// keys.
	defaultReportInterval = 5 * time.Second
	reportedHotKeys       = 8
	// reportsPerSecond bounds the reports that all daemons together send to the
	// leader. At 130 bytes each they amount to some 5 KB per second.
	reportsPerSecond = 40
	// hotKeyCheckInterval is the time between two checks for a key that is too
	// hot to wait for the next report.
	hotKeyCheckInterval = 15 * time.Second
	// fullReportInterval is the minimum time between two load reports of a
	// daemon whose target's queue is full, and fullReportRefusals the number of
	// requests refused for that reason since the last report that triggers one.
	fullReportInterval = 300 * time.Millisecond
	fullReportRefusals = 5
	// refusedRunShare is the fraction of a mean run that a refused request adds
	// to the load of its slice.
	refusedRunShare = 0.5
)

// loadReporter meters the load on the local target and reports it to the
// placement leader. It is not safe for concurrent use.
type loadReporter struct {
	self host.Session
	// onLoadReport is called with each load report, for the placement leader.
	onLoadReport func(placement.LoadReport)

	meter           *loadmeter.Meter
	reportSequence  uint64
	reportInterval  time.Duration
	nextReport      mono.Time
	nextHotKeyCheck mono.Time
	nextFullReport  mono.Time
	// refusedFull is the number of requests with a slice that were refused
	// because the queue was full, since the last report.
	refusedFull int
}

// reportedTarget is what a load report needs to know of the target.
type reportedTarget struct {
	app     key.App
	load    float32 // as reported by the target
	slots   int
	hotKeys *document.HotKeys // of the app; nil if no key becomes a slice of its own
}

// newLoadReporter returns a reporter whose meter starts at now. If the interval
// between reports is 0, it is defaultReportInterval.
func newLoadReporter(self host.Session, interval time.Duration, now mono.Time) *loadReporter {
	return &loadReporter{
		self:           self,
		meter:          loadmeter.New(now),
		reportInterval: cmp.Or(interval, defaultReportInterval),
	}
}

// meterRun adds a run that took the given time to the load of its slice.
func (l *loadReporter) meterRun(req *request.Request, took time.Duration) {
	if req.Slice != request.NoSlice {
		l.meter.AddRun(req.Slice, req.Key, took)
	}
}

// meterRefusal adds load to the slice of a request that was refused because the
// target's queue was full, so that the slice can move to another daemon although
// none of its requests run. Callers repeat refused requests, so each refusal
// counts only as refusedRunShare of a run.
func (l *loadReporter) meterRefusal(req *request.Request, answers []gate.Answer, meanRun time.Duration) {
	if req.Slice == request.NoSlice {
		return
	}
	for _, a := range answers {
		if a.Answer.Code == result.QueueFull && a.Answer.ID == req.ID {
			l.refusedFull++
			l.meter.AddRejected(req.Slice, req.Key, time.Duration(refusedRunShare*float64(meanRun)))
		}
	}
}

// report sends the load on the target to the placement leader at regular
// intervals, and earlier if slices may have to move because of a hot key or a
// full target. The more daemons there are, the longer the intervals may be. It
// returns whether it sent a report.
func (l *loadReporter) report(now mono.Time, t reportedTarget, daemons int) bool {
	if !l.isDue(now, t) {
		return false
	}
	l.scheduleNext(now, daemons)
	l.onLoadReport(l.takeReport(now, t))
	return true
}

// isDue reports whether it is time for a report. A check for a hot key counts as
// made even if it finds none.
func (l *loadReporter) isDue(now mono.Time, t reportedTarget) bool {
	return !now.Before(l.nextReport) || l.hasHotKey(now, t) || l.isFull(now)
}

// scheduleNext sets when the next report is due, for each of its reasons.
func (l *loadReporter) scheduleNext(now mono.Time, daemons int) {
	l.refusedFull = 0
	l.nextFullReport = now.Add(limitedReportInterval(fullReportInterval, daemons))
	l.nextHotKeyCheck = now.Add(hotKeyCheckInterval)
	l.nextReport = now.Add(limitedReportInterval(l.reportInterval, daemons))
}

// takeReport returns the report of the load since the last one.
func (l *loadReporter) takeReport(now mono.Time, t reportedTarget) placement.LoadReport {
	l.reportSequence++
	runs, service := l.meter.RunStats()
	slices, keys := l.meter.Take(now, reportedHotKeys)
	return placement.LoadReport{
		From:              l.self,
		App:               t.app,
		Sequence:          l.reportSequence,
		TargetUtilization: t.load,
		Slices:            slices,
		Keys:              keys,
		CompletedRuns:     uint32(runs),
		MeanServiceMs:     float32(service.Seconds() * 1000),
	}
}

// isFull reports whether at least fullReportRefusals requests were refused since
// the last report because the target's queue was full, and the next early report
// for that reason is due. Callers keep repeating such requests until slices
// move.
func (l *loadReporter) isFull(now mono.Time) bool {
	return l.refusedFull >= fullReportRefusals && !now.Before(l.nextFullReport)
}

// hasHotKey reports whether a key may have to be carved out: its load has
// passed half of the document's bound. It checks once every
// hotKeyCheckInterval.
func (l *loadReporter) hasHotKey(now mono.Time, t reportedTarget) bool {
	if now.Before(l.nextHotKeyCheck) {
		return false
	}
	l.nextHotKeyCheck = now.Add(hotKeyCheckInterval)
	if t.hotKeys == nil {
		return false
	}
	bound := t.hotKeys.Share * float64(t.slots) / 2
	return float64(l.meter.HottestKeyLoad(now)) > bound
}

// limitedReportInterval returns the time between two reports of one daemon: at
// least the given time, and long enough that all daemons together send no more
// than reportsPerSecond.
func limitedReportInterval(least time.Duration, daemons int) time.Duration {
	fairInterval := time.Duration(daemons) * time.Second / reportsPerSecond
	return max(least, fairInterval)
}
