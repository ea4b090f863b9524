package gate

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/request"
	"github.com/rhubarbring/rhubarbring/result"
)

// fixture is a gate that owns every slice, with one entry daemon.
type fixture struct {
	gate *Gate
	out  Actions
	seq  uint64
	from host.ID // the entry daemon of the next requests
}

const (
	startTime = mono.Time(time.Hour)
	ms        = mono.Time(time.Millisecond)
)

func newFixture(a Announcement, at mono.Time) *fixture {
	cfg := DefaultConfig()
	cfg.App = modelApp
	cfg.Ownership = ownsAll{}
	f := &fixture{gate: New(cfg), from: "e"}
	f.gate.TargetAnnounced(at, a, &f.out)
	return f
}

// newWarmFixture returns a fixture whose target has finished its warm-up.
func newWarmFixture(slots int) *fixture {
	return newFixture(Announcement{Slots: slots, Connections: 130, State: Warm}, startTime-mono.Time(time.Minute))
}

// arrive passes a new request to the gate, after modify has changed it.
func (f *fixture) arrive(now mono.Time, class request.Class, modify func(*request.Request)) {
	f.seq++
	r := &request.Request{ID: fmt.Sprint("id", f.seq), App: modelApp, Epoch: 1, Attempt: 1, Seq: f.seq, Class: class, Repeat: request.RepeatFirst, Budget: time.Second}
	if modify != nil {
		modify(r)
	}
	f.out.Reset()
	f.gate.RequestReceived(now, wallStartMs, host.Session{Host: f.from, Incarnation: 1}, r, &f.out)
}

// fill passes n normal requests to the gate.
func (f *fixture) fill(n int) {
	for range n {
		f.arrive(startTime, request.Normal, nil)
	}
}

// code returns the result code of the only answer.
func (f *fixture) code(t *testing.T) result.Code {
	t.Helper()
	must.SliceLen(t, 1, f.out.Answers)
	return f.out.Answers[0].Answer.Code
}

func TestNewTargetWarmsUp(t *testing.T) {
	f := newFixture(Announcement{Slots: 12, Connections: 130, State: Warm}, startTime)
	must.Eq(t, 3, f.gate.Load(startTime).Slots)
	must.Eq(t, 12, f.gate.Load(startTime.Add(5*time.Second)).Slots)
	cold := newFixture(Announcement{Slots: 12, Connections: 130, State: Cold}, startTime)
	must.Less(t, 12, cold.gate.Load(startTime.Add(5*time.Second)).Slots)
	must.Eq(t, 12, cold.gate.Load(startTime.Add(10*time.Second)).Slots)
}

// A target that reports a wrong load loses at most a quarter of its slots, and
// gains none.
func TestReportedLoadIsTrustedWithinBounds(t *testing.T) {
	f := newFixture(Announcement{Slots: 12, Connections: 130, State: Warm, Load: 1}, startTime)
	must.Eq(t, 9, f.gate.Load(startTime.Add(time.Minute)).Slots)
	f = newFixture(Announcement{Slots: 12, Connections: 130, State: Warm, Load: -5}, startTime)
	must.Eq(t, 12, f.gate.Load(startTime.Add(time.Minute)).Slots)
}

// The pause after a shed request is 20 ms, and 40 ms after the next one.
func TestShedRequestPausesStarts(t *testing.T) {
	f := newWarmFixture(1)
	f.fill(3)
	f.out.Reset()
	f.gate.TargetRefused(startTime, 1, result.TargetShed, &f.out)
	must.Eq(t, result.TargetShed, f.code(t))
	must.SliceEmpty(t, f.out.Starts)
	f.gate.Tick(startTime+19*ms, wallStartMs, &f.out)
	must.SliceEmpty(t, f.out.Starts)
	f.gate.Tick(startTime+20*ms, wallStartMs, &f.out)
	must.SliceLen(t, 1, f.out.Starts)
	f.out.Reset()
	f.gate.TargetRefused(startTime+20*ms, 2, result.TargetShed, &f.out)
	f.gate.Tick(startTime+59*ms, wallStartMs, &f.out)
	must.SliceEmpty(t, f.out.Starts)
	f.gate.Tick(startTime+60*ms, wallStartMs, &f.out)
	must.SliceLen(t, 1, f.out.Starts)
}

// Guards against pauses at a target that refuses a share of its requests although it
// has free slots: they would leave it idle.
func TestShedRequestWithFreeSlotDoesNotPauseStarts(t *testing.T) {
	f := newWarmFixture(1)
	f.fill(3)
	f.out.Reset()
	f.gate.TargetShedWithFreeSlot(startTime, 1, &f.out)
	must.Eq(t, result.TargetShed, f.code(t))
	must.SliceLen(t, 1, f.out.Starts)
}

// Guards against a request that may not be repeated and reaches the target although its
// caller has left: one that is queued is dropped as not run. One that runs goes on.
func TestCancelledOrderIsDroppedUnlessItRuns(t *testing.T) {
	f := newWarmFixture(1)
	from := host.Session{Host: f.from, Incarnation: 1}
	f.fill(2)
	f.out.Reset()
	f.gate.CancelReceived(startTime, from, request.Cancel{ID: "id2", Attempt: 1, Seq: 2}, &f.out)
	must.Eq(t, result.Cancelled, f.code(t))
	f.out.Reset()
	f.gate.CancelReceived(startTime, from, request.Cancel{ID: "id1", Attempt: 1, Seq: 1}, &f.out)
	must.SliceEmpty(t, f.out.Cancels)
	must.SliceEmpty(t, f.out.Answers)
	f.gate.TargetAnswered(startTime, 1, TargetAnswer{Status: 200}, &f.out)
	must.Eq(t, result.OK, f.code(t))
	must.SliceEmpty(t, f.out.Starts)
}

// Two seconds after the start of a drain nothing is started any more, and
// running requests finish.
func TestDrainStartsNothingAfterGrace(t *testing.T) {
	f := newWarmFixture(1)
	longBudget := func(r *request.Request) { r.Budget = time.Minute }
	f.arrive(startTime, request.Normal, longBudget)
	f.arrive(startTime, request.Normal, longBudget)
	f.out.Reset()
	f.gate.Drain(startTime, &f.out)
	must.SliceEmpty(t, f.out.Answers)
	f.arrive(startTime, request.Normal, func(r *request.Request) { r.Idempotent = true; r.Slice = request.NoSlice })
	must.Eq(t, result.Draining, f.code(t))
	f.out.Reset()
	f.gate.Tick(startTime+2000*ms, wallStartMs, &f.out)
	must.Eq(t, result.Draining, f.code(t))
	f.arrive(startTime+2001*ms, request.Normal, longBudget)
	must.Eq(t, result.Draining, f.code(t))
	f.out.Reset()
	f.gate.TargetAnswered(startTime+3000*ms, 1, TargetAnswer{Status: 200}, &f.out)
	must.Eq(t, result.OK, f.code(t))
	must.SliceEmpty(t, f.out.Starts)
	must.True(t, f.gate.Idle())
}

// Urgent requests start first, but a normal one starts after each eight of
// them.
func TestUrgentRequestsDoNotStarveNormalOnes(t *testing.T) {
	f := newWarmFixture(1)
	f.fill(3)
	for range 20 {
		f.arrive(startTime, request.Urgent, nil)
	}
	var order []request.Class
	for run := uint64(1); run <= 23; run++ {
		f.out.Reset()
		f.gate.TargetAnswered(startTime, run, TargetAnswer{Status: 200}, &f.out)
		for _, s := range f.out.Starts {
			order = append(order, s.Request.Class)
		}
	}
	must.SliceLen(t, 22, order)
	for i, class := range order {
		must.Eq(t, i == 8 || i == 17, class == request.Normal)
	}
}

// A request that can't finish in time is refused on arrival. An idle target
// gets it nevertheless, whatever its estimated service time.
func TestRequestThatWillMissItsDeadlineIsRefusedOnArrival(t *testing.T) {
	f := newWarmFixture(1)
	f.arrive(startTime, request.Normal, nil)
	f.gate.TargetAnswered(startTime+600*ms, 1, TargetAnswer{Status: 200}, &f.out)
	shortBudget := func(r *request.Request) { r.Budget = 300 * time.Millisecond }
	f.arrive(startTime+600*ms, request.Normal, shortBudget)
	must.SliceLen(t, 1, f.out.Starts)
	f.arrive(startTime+600*ms, request.Normal, shortBudget)
	must.Eq(t, result.DeadlineTooShort, f.code(t))
	must.Positive(t, f.out.Answers[0].Answer.RetryAfter)
}

// A new instance of the target executes none of the old one's runs: their slots
// are free, and their outcomes are answered and reported as risks.
func TestRestartedTargetFreesItsSlots(t *testing.T) {
	f := newWarmFixture(2)
	f.fill(2)
	f.out.Reset()
	f.gate.TargetAnnounced(startTime+ms, Announcement{Slots: 2, Connections: 130, State: Warm, Instance: 2}, &f.out)
	must.SliceLen(t, 2, f.out.Answers)
	must.SliceLen(t, 2, f.out.Risks)
	must.Zero(t, f.gate.Load(startTime+ms).Busy)
	must.True(t, f.gate.Idle())
}

// An answer that exceeds the size limit is answered as truncated and reported
// as a risk. Its slot is free, since the target is done with the run.
func TestTruncatedAnswerFreesItsSlot(t *testing.T) {
	f := newWarmFixture(1)
	f.fill(2)
	f.out.Reset()
	f.gate.TargetTruncated(startTime, 1, &f.out)
	must.Eq(t, result.AnswerTruncated, f.code(t))
	must.SliceLen(t, 1, f.out.Risks)
	must.SliceLen(t, 1, f.out.Starts)
}

// A gate whose clock is behind an entry daemon's can't decide by times whether
// it has seen an id, and has to refuse a repeat.
func TestClockBehindRefusesUndecidableRepeat(t *testing.T) {
	f := newWarmFixture(1)
	f.arrive(startTime, request.Normal, func(r *request.Request) {
		r.Repeat = request.RepeatAgain
		r.IDTimeMs = wallStartMs
		r.AcceptedMs = wallStartMs
	})
	must.SliceLen(t, 1, f.out.Starts)
	f.arrive(startTime, request.Normal, func(r *request.Request) {
		r.Repeat = request.RepeatAgain
		r.IDTimeMs = wallStartMs
		r.AcceptedMs = wallStartMs + 10_000
	})
	must.Eq(t, result.IDTooOld, f.code(t))
}

// A gate for a target at a new address still knows the ids that ran, continues
// the run numbers and reports unacknowledged answers. Otherwise a repeat would
// run twice.
func TestSuccessorKeepsIDsRunNumbersAndUnackedAnswers(t *testing.T) {
	f := newWarmFixture(1)
	repeat := func(r *request.Request) {
		r.ID = "deposit"
		r.Repeat = request.RepeatAgain
		r.IDTimeMs = wallStartMs
	}
	f.arrive(startTime, request.Normal, repeat)
	f.gate.TargetAnswered(startTime, 1, TargetAnswer{Status: 200, Body: []byte("did it")}, &f.out)
	f.gate = f.gate.Successor(f.gate.cfg)
	f.gate.TargetAnnounced(startTime, Announcement{Slots: 1, Connections: 1, State: Warm}, &f.out)
	f.arrive(startTime, request.Normal, repeat)
	must.SliceEmpty(t, f.out.Starts)
	must.Eq(t, "did it", string(f.out.Answers[0].Answer.Body))
	f.arrive(startTime, request.Normal, nil)
	must.Eq(t, 2, f.out.Starts[0].Run)
	f.out.Reset()
	f.gate.EntryLost(startTime, host.Session{Host: "e", Incarnation: 1}, &f.out)
	must.SliceLen(t, 1, f.out.Risks)
}

// Timers of finished requests do not accumulate until their deadlines.
func TestStaleTimersAreBounded(t *testing.T) {
	f := newWarmFixture(12)
	for run := range uint64(20_000) {
		f.arrive(startTime, request.Normal, func(r *request.Request) { r.Budget = time.Minute; r.Idempotent = true })
		f.gate.TargetAnswered(startTime, run+1, TargetAnswer{Status: 200}, &f.out)
	}
	must.True(t, f.gate.Idle())
	must.LessEq(t, maxStaleTimers+2, f.gate.timers.Len())
}

// Long bodies that run count as well: a target has slots for many of them.
func TestLongBodiesAreBoundedAlsoWhileTheyRun(t *testing.T) {
	f := newWarmFixture(12)
	f.gate.cfg.MaxBodyBytes = 3 * longBodyBytes
	long := func(r *request.Request) { r.Body = make([]byte, longBodyBytes) }
	for range 3 {
		f.arrive(startTime, request.Normal, long)
		must.SliceLen(t, 1, f.out.Starts)
	}
	first := f.out.Starts[0].Run
	f.arrive(startTime, request.Normal, long)
	must.Eq(t, result.QueueFull, f.code(t))
	f.arrive(startTime, request.Normal, func(r *request.Request) { r.Body = make([]byte, longBodyBytes-1) })
	must.SliceLen(t, 1, f.out.Starts, must.Sprint("short bodies go on"))
	f.out.Reset()
	f.gate.TargetAnswered(startTime, first, TargetAnswer{}, &f.out)
	f.arrive(startTime, request.Normal, func(r *request.Request) { r.Body = make([]byte, 4*longBodyBytes) })
	must.Eq(t, result.QueueFull, f.code(t))
}

// A body above the bound is admitted if it is alone.
func TestLongestBodyIsAdmittedAlone(t *testing.T) {
	f := newWarmFixture(12)
	f.gate.cfg.MaxBodyBytes = longBodyBytes
	f.arrive(startTime, request.Normal, func(r *request.Request) { r.Body = make([]byte, 2*longBodyBytes) })
	must.SliceLen(t, 1, f.out.Starts)
}

// Callers decide how long their long bodies keep a slot: more than one at a time would
// keep ordinary requests out.
func TestOneLongBodyAtATime(t *testing.T) {
	f := newWarmFixture(6)
	long := func(r *request.Request) { r.Idempotent, r.Long = true, &request.LongBody{Length: 1 << 26} }
	f.arrive(startTime, request.Normal, long)
	must.Len(t, 1, f.out.Starts)
	run := f.out.Starts[0].Run
	f.arrive(startTime, request.Normal, long)
	must.SliceEmpty(t, f.out.Starts)
	must.Eq(t, result.QueueFull, f.out.Answers[0].Answer.Code)
	f.arrive(startTime, request.Normal, nil)
	must.Len(t, 1, f.out.Starts)
	f.gate.TargetAnswered(startTime, run, TargetAnswer{Status: 200}, &f.out)
	f.arrive(startTime, request.Normal, long)
	must.Len(t, 1, f.out.Starts)
}
