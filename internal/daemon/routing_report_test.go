package daemon

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/document"
	"github.com/rhubarbring/rhubarbring/gate"
	"github.com/rhubarbring/rhubarbring/grant"
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/placement"
	"github.com/rhubarbring/rhubarbring/request"
	"github.com/rhubarbring/rhubarbring/result"
	"github.com/rhubarbring/rhubarbring/session"
)

// reportingHost is a load reporter that has just sent its first report, with a
// clock that the test advances.
type reportingHost struct {
	*loadReporter
	now     mono.Time
	target  reportedTarget
	daemons int
	reports []placement.LoadReport // all but the first
}

func newReportingHost(interval time.Duration, daemons int) *reportingHost {
	start := mono.Time(time.Hour)
	h := &reportingHost{
		loadReporter: newLoadReporter(host.Session{Host: "h1", Incarnation: 1}, interval, start),
		now:          start,
		target:       reportedTarget{app: "katalog", load: 0.75, slots: 12},
		daemons:      daemons,
	}
	h.onLoadReport = func(r placement.LoadReport) { h.reports = append(h.reports, r) }
	h.advance(time.Millisecond)
	h.reports = nil
	return h
}

// advance lets some time pass, and then the reporter send what is due.
func (h *reportingHost) advance(d time.Duration) {
	h.now = h.now.Add(d)
	h.report(h.now, h.target, h.daemons)
}

// refuse meters n requests of one slice that were refused because the target's
// queue was full. A run takes 200 ms in the mean.
func (h *reportingHost) refuse(n int) {
	for range n {
		h.meterRefusal(&request.Request{ID: "a", Slice: 1, Key: "k"}, refusal("a", result.QueueFull), 200*time.Millisecond)
	}
}

func refusal(id string, code result.Code) []gate.Answer {
	return []gate.Answer{{Answer: &request.Answer{ID: id, Code: code, ServiceTime: 200 * time.Millisecond}}}
}

// requireReportAfter requires that the next report is sent after the given time
// and not before.
func (h *reportingHost) requireReportAfter(t *testing.T, d time.Duration) {
	t.Helper()
	before := len(h.reports)
	h.advance(d - 1)
	must.Len(t, before, h.reports, must.Sprint("sent too early"))
	h.advance(1)
	must.Len(t, before+1, h.reports, must.Sprint("not sent in time"))
}

// The first report is sent as soon as there is a target, and the next ones at the
// interval of the settings, or at the default one if they name none.
func TestLoadIsReportedAtRegularIntervals(t *testing.T) {
	h := newReportingHost(2*time.Second, 1)
	must.Eq(t, 1, h.reportSequence)
	h.requireReportAfter(t, 2*time.Second)
	h.requireReportAfter(t, 2*time.Second)
	h = newReportingHost(0, 1)
	h.requireReportAfter(t, defaultReportInterval)
	h.requireReportAfter(t, defaultReportInterval)
}

// A report holds the load since the one before it, without the runs of requests
// that have no slice.
func TestLoadReportHoldsLoadSinceLastReport(t *testing.T) {
	h := newReportingHost(5*time.Second, 1)
	h.meterRun(&request.Request{Slice: 1, Key: "a"}, time.Second)
	h.meterRun(&request.Request{Slice: 2, Key: "b"}, 2*time.Second)
	h.meterRun(&request.Request{Slice: request.NoSlice}, 4*time.Second)
	h.advance(5 * time.Second)
	h.advance(5 * time.Second)
	must.Eq(t, []placement.LoadReport{
		{
			From:              h.self,
			App:               "katalog",
			Sequence:          2,
			TargetUtilization: 0.75,
			Slices:            []placement.SliceLoad{{ID: 1, BusySlots: 0.2}, {ID: 2, BusySlots: 0.4}},
			Keys:              []placement.KeyLoad{{Key: "b", BusySlots: 0.4}, {Key: "a", BusySlots: 0.2}},
			CompletedRuns:     2,
			MeanServiceMs:     1500,
		},
		{
			From:              h.self,
			App:               "katalog",
			Sequence:          3,
			TargetUtilization: 0.75,
			Slices:            []placement.SliceLoad{},
			Keys:              []placement.KeyLoad{},
		},
	}, h.reports)
}

// Requests refused because the target's queue is full bring the next report
// forward once there are enough of them. Each report counts them anew.
func TestFullQueueIsReportedEarly(t *testing.T) {
	h := newReportingHost(5*time.Second, 1)
	h.refuse(fullReportRefusals - 1)
	h.advance(fullReportInterval)
	must.SliceEmpty(t, h.reports)
	h.refuse(1)
	h.advance(0)
	must.Len(t, 1, h.reports)
	h.refuse(fullReportRefusals)
	h.requireReportAfter(t, fullReportInterval)
	h.refuse(fullReportRefusals - 1)
	h.requireReportAfter(t, 5*time.Second)
}

// A refused request adds a part of a run to the load of its slice and key, and is
// not a run.
func TestRefusalAddsPartOfRunToLoad(t *testing.T) {
	h := newReportingHost(5*time.Second, 1)
	h.refuse(fullReportRefusals)
	h.advance(time.Second)
	must.Len(t, 1, h.reports)
	r := h.reports[0]
	must.Eq(t, []placement.SliceLoad{{ID: 1, BusySlots: 0.5}}, r.Slices)
	must.Eq(t, []placement.KeyLoad{{Key: "k", BusySlots: 0.5}}, r.Keys)
	must.Zero(t, r.CompletedRuns)
}

// Other refusals, those of other requests and those of requests without a slice
// are no reason to move slices.
func TestOtherRefusalsAreNotMetered(t *testing.T) {
	h := newReportingHost(5*time.Second, 1)
	for range fullReportRefusals {
		h.meterRefusal(&request.Request{ID: "a", Slice: 1}, refusal("a", result.NotOwner), 200*time.Millisecond)
		h.meterRefusal(&request.Request{ID: "a", Slice: 1}, refusal("b", result.QueueFull), 200*time.Millisecond)
		h.meterRefusal(&request.Request{ID: "a", Slice: request.NoSlice}, refusal("a", result.QueueFull), 200*time.Millisecond)
	}
	h.requireReportAfter(t, 5*time.Second)
	must.SliceEmpty(t, h.reports[0].Slices)
}

// A key whose load is more than half of what makes it a slice of its own brings
// the next report forward.
func TestHotKeyIsReportedEarly(t *testing.T) {
	// The bound is a quarter of 12 slots; half of it over one check interval:
	const halfBound = 3 * hotKeyCheckInterval / 2
	tests := []struct {
		name    string
		hotKeys *document.HotKeys
		busy    time.Duration
		reports int
	}{
		{"above half of the bound", &document.HotKeys{Share: 0.25}, halfBound + time.Second, 1},
		{"half of the bound", &document.HotKeys{Share: 0.25}, halfBound, 0},
		{"no hot keys in the document", nil, halfBound + time.Second, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := newReportingHost(time.Minute, 1)
			h.target.hotKeys = test.hotKeys
			h.meterRun(&request.Request{Slice: 1, Key: "k"}, test.busy)
			h.advance(hotKeyCheckInterval - 1)
			must.SliceEmpty(t, h.reports, must.Sprint("sent before the check"))
			h.advance(1)
			must.Len(t, test.reports, h.reports)
		})
	}
}

// A key that gets hot after a check is found by the next one.
func TestHotKeysAreCheckedAtIntervals(t *testing.T) {
	h := newReportingHost(time.Minute, 1)
	h.target.hotKeys = &document.HotKeys{Share: 0.25}
	h.advance(hotKeyCheckInterval)
	must.SliceEmpty(t, h.reports)
	h.meterRun(&request.Request{Slice: 1, Key: "k"}, time.Minute)
	h.requireReportAfter(t, hotKeyCheckInterval)
	// The report begins a new interval.
	h.meterRun(&request.Request{Slice: 1, Key: "k"}, time.Minute)
	h.requireReportAfter(t, hotKeyCheckInterval)
}

// A regular report begins a new interval between checks for hot keys, too.
func TestRegularReportPostponesHotKeyCheck(t *testing.T) {
	h := newReportingHost(20*time.Second, 1)
	h.target.hotKeys = &document.HotKeys{Share: 0.25}
	h.advance(hotKeyCheckInterval)
	h.advance(5 * time.Second)
	must.Len(t, 1, h.reports)
	h.meterRun(&request.Request{Slice: 1, Key: "k"}, time.Minute)
	h.requireReportAfter(t, hotKeyCheckInterval)
}

// All daemons together send no more than reportsPerSecond, whether their reports
// are regular or early.
func TestReportIntervalIsLimitedByNumberOfDaemons(t *testing.T) {
	const seconds = 10
	h := newReportingHost(5*time.Second, seconds*reportsPerSecond)
	h.requireReportAfter(t, seconds*time.Second)
	h.refuse(fullReportRefusals)
	h.requireReportAfter(t, seconds*time.Second)
	// The regular interval is long enough, that of a full queue is not.
	h = newReportingHost(5*time.Second, 2*reportsPerSecond)
	h.refuse(fullReportRefusals)
	h.requireReportAfter(t, 2*time.Second)
	h.requireReportAfter(t, 5*time.Second)
}

// The routing loop tells its reporter of the target and of the size of the fleet.
func TestLoopReportsLoadOfItsTarget(t *testing.T) {
	h := newHeartbeatHost(t)
	var reports []placement.LoadReport
	h.r.reporter.onLoadReport = func(r placement.LoadReport) { reports = append(reports, r) }
	h.r.target.load = 0.75
	records := make(map[host.Session]session.VersionedRecord)
	for i := range uint64(10 * reportsPerSecond) {
		records[host.Session{Host: "h", Incarnation: i}] = session.VersionedRecord{}
	}
	h.r.fleet.sessions.Store(&sessionDirectory{records: records})
	h.r.reportLoad(h.now)
	must.Len(t, 1, reports)
	must.Eq(t, h.r.self, reports[0].From)
	must.Eq(t, "katalog", reports[0].App)
	must.Eq(t, 0.75, reports[0].TargetUtilization)
	must.Eq(t, h.now.Add(10*time.Second), h.r.reporter.nextReport)
}

// The routing loop meters the runs at its target, and takes the bound for hot keys
// from the document in force.
func TestLoopReportsHotKey(t *testing.T) {
	h := newHeartbeatHost(t)
	var reports []placement.LoadReport
	h.r.reporter.onLoadReport = func(r placement.LoadReport) { reports = append(reports, r) }
	h.r.reporter.reportInterval = time.Minute
	app, _ := h.r.fleet.app("katalog")
	app.HotKeys = &document.HotKeys{Share: 0.25}
	h.r.fleet.adopt(&document.Stored{Version: 2}, &document.Document{Apps: []document.App{app}})
	h.r.reportLoad(h.now)
	must.Len(t, 1, reports)
	run := &targetRun{gate: h.r.gate, request: &request.Request{App: "katalog", Key: "k"}, started: h.now}
	// Half of the bound is 1.5 of the target's 12 slots.
	h.now = h.now.Add(hotKeyCheckInterval)
	runEnded{run: run}.handle(h.r, h.now)
	h.r.reportLoad(h.now)
	must.Len(t, 1, reports, must.Sprint("the key keeps one slot busy"))
	run.started = h.now.Add(-5 * hotKeyCheckInterval)
	runEnded{run: run}.handle(h.r, h.now)
	h.now = h.now.Add(hotKeyCheckInterval)
	h.r.reportLoad(h.now)
	must.Len(t, 2, reports, must.Sprint("the key kept three slots busy"))
}

// The routing loop meters the requests that its gate refuses, and no others.
func TestLoopMetersRefusals(t *testing.T) {
	h := newHeartbeatHost(t)
	h.heartbeat(time.Second, grant.Report{})
	h.now = h.now.Add(grant.AnswerTransit)
	const requests = 50 // more than the slots and the queue hold
	for i := range requests {
		h.r.passToGate(h.now, h.r.self, &request.Request{
			ID: fmt.Sprint(i), App: "katalog", Seq: uint64(i + 1), Epoch: 1, Idempotent: true, FreshID: true, Budget: 3 * time.Second,
		})
	}
	refused := 0
	for _, a := range h.r.gateActions.Answers {
		if a.Answer.Code == result.QueueFull {
			refused++
		}
	}
	must.Between(t, 1, refused, requests-1)
	must.Eq(t, refused, h.r.reporter.refusedFull)
}
