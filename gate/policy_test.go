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

// bench is a gate that owns all, with one entry daemon.
type fixture struct {
	g   *Gate
	out Actions
	seq uint64
}

const (
	startTime = mono.Time(time.Hour)
	ms        = mono.Time(time.Millisecond)
)

func newFixture(a Announcement, at mono.Time) *fixture {
	cfg := DefaultConfig()
	cfg.App = modelApp
	cfg.Owner = ownsAll{}
	b := &fixture{g: New(cfg)}
	b.g.Announced(at, a, &b.out)
	return b
}

// warmBench has a target that has all its slots.
func newWarmFixture(slots int) *fixture {
	return newFixture(Announcement{Slots: slots, Connections: 130, State: Warm}, startTime-mono.Time(time.Minute))
}

func (b *fixture) arrive(now mono.Time, class request.Class, change func(*request.Request)) {
	b.seq++
	r := &request.Request{ID: fmt.Sprint("id", b.seq), App: modelApp, Epoch: 1, Attempt: 1, Seq: b.seq, Class: class, Repeat: request.RepeatFirst, Budget: time.Second}
	if change != nil {
		change(r)
	}
	b.out.Reset()
	b.g.Arrive(now, wallStartMs, host.Session{Host: "e", Incarnation: 1}, r, &b.out)
}

func (b *fixture) fill(n int) {
	for range n {
		b.arrive(startTime, request.Normal, nil)
	}
}

func (b *fixture) code(t *testing.T) result.Code {
	t.Helper()
	must.SliceLen(t, 1, b.out.Answers)
	return b.out.Answers[0].Answer.Code
}

func TestNewTargetWarmsUp(t *testing.T) {
	b := newFixture(Announcement{Slots: 12, Connections: 130, State: Warm}, startTime)
	must.Eq(t, 3, b.g.Load(startTime).Slots)
	must.Eq(t, 12, b.g.Load(startTime.Add(5*time.Second)).Slots)
	cold := newFixture(Announcement{Slots: 12, Connections: 130, State: Cold}, startTime)
	must.Less(t, 12, cold.g.Load(startTime.Add(5*time.Second)).Slots)
	must.Eq(t, 12, cold.g.Load(startTime.Add(10*time.Second)).Slots)
}

// A false report of load takes a quarter of the slots, not more, and gives
// none.
func TestReportedLoadIsTrustedWithinBounds(t *testing.T) {
	b := newFixture(Announcement{Slots: 12, Connections: 130, State: Warm, Load: 1}, startTime)
	must.Eq(t, 9, b.g.Load(startTime.Add(time.Minute)).Slots)
	b = newFixture(Announcement{Slots: 12, Connections: 130, State: Warm, Load: -5}, startTime)
	must.Eq(t, 12, b.g.Load(startTime.Add(time.Minute)).Slots)
}

func TestShedRequestPausesStarts(t *testing.T) {
	b := newWarmFixture(1)
	b.fill(3)
	b.out.Reset()
	b.g.TargetRefused(startTime, 1, result.TargetShed, &b.out)
	must.Eq(t, result.TargetShed, b.code(t))
	must.SliceEmpty(t, b.out.Starts)
	b.g.Tick(startTime+19*ms, wallStartMs, &b.out)
	must.SliceEmpty(t, b.out.Starts)
	b.g.Tick(startTime+20*ms, wallStartMs, &b.out)
	must.SliceLen(t, 1, b.out.Starts)
	b.out.Reset()
	b.g.TargetRefused(startTime+20*ms, 2, result.TargetShed, &b.out)
	b.g.Tick(startTime+59*ms, wallStartMs, &b.out)
	must.SliceEmpty(t, b.out.Starts)
	b.g.Tick(startTime+60*ms, wallStartMs, &b.out)
	must.SliceLen(t, 1, b.out.Starts)
}

// Two seconds after a drain began nothing is begun, and what runs finishes.
func TestDrainStartsNothingAfterGrace(t *testing.T) {
	b := newWarmFixture(1)
	patient := func(r *request.Request) { r.Budget = time.Minute }
	b.arrive(startTime, request.Normal, patient)
	b.arrive(startTime, request.Normal, patient)
	b.out.Reset()
	b.g.Drain(startTime, &b.out)
	must.SliceEmpty(t, b.out.Answers)
	b.arrive(startTime, request.Normal, func(r *request.Request) { r.Idempotent = true; r.Slice = request.NoSlice })
	must.Eq(t, result.Draining, b.code(t))
	b.out.Reset()
	b.g.Tick(startTime+2000*ms, wallStartMs, &b.out)
	must.Eq(t, result.Draining, b.code(t))
	b.arrive(startTime+2001*ms, request.Normal, patient)
	must.Eq(t, result.Draining, b.code(t))
	b.out.Reset()
	b.g.TargetAnswered(startTime+3000*ms, 1, TargetAnswer{Status: 200}, &b.out)
	must.Eq(t, result.OK, b.code(t))
	must.SliceEmpty(t, b.out.Starts)
	must.True(t, b.g.Idle())
}

// Urgent requests go first, and a normal one after each eight of them.
func TestUrgentRequestsDoNotStarveNormalOnes(t *testing.T) {
	b := newWarmFixture(1)
	b.fill(3)
	for range 20 {
		b.arrive(startTime, request.Urgent, nil)
	}
	var order []request.Class
	for run := uint64(1); run <= 23; run++ {
		b.out.Reset()
		b.g.TargetAnswered(startTime, run, TargetAnswer{Status: 200}, &b.out)
		for _, s := range b.out.Starts {
			order = append(order, s.Request.Class)
		}
	}
	must.SliceLen(t, 22, order)
	for i, class := range order {
		must.Eq(t, i == 8 || i == 17, class == request.Normal)
	}
}

// What can't be done in time is refused at arrival; an idle target gets work
// whatever it took before.
func TestRequestThatWillMissItsDeadlineIsRefusedOnArrival(t *testing.T) {
	b := newWarmFixture(1)
	b.arrive(startTime, request.Normal, nil)
	b.g.TargetAnswered(startTime+600*ms, 1, TargetAnswer{Status: 200}, &b.out)
	hurried := func(r *request.Request) { r.Budget = 300 * time.Millisecond }
	b.arrive(startTime+600*ms, request.Normal, hurried)
	must.SliceLen(t, 1, b.out.Starts)
	b.arrive(startTime+600*ms, request.Normal, hurried)
	must.Eq(t, result.DeadlineTooShort, b.code(t))
	must.Positive(t, b.out.Answers[0].Answer.RetryAfter)
}

// A new instance of the target runs nothing of the old one's: its slots are
// free, and what was lost with it is told and raised.
func TestRestartedTargetFreesItsSlots(t *testing.T) {
	b := newWarmFixture(2)
	b.fill(2)
	b.out.Reset()
	b.g.Announced(startTime+ms, Announcement{Slots: 2, Connections: 130, State: Warm, Instance: 2}, &b.out)
	must.SliceLen(t, 2, b.out.Answers)
	must.SliceLen(t, 2, b.out.Raises)
	must.Zero(t, b.g.Load(startTime+ms).Busy)
	must.True(t, b.g.Idle())
}

// An answer that is too large is told and raised, and its slot is free: the
// target is done with the run.
func TestTruncatedAnswerFreesItsSlot(t *testing.T) {
	b := newWarmFixture(1)
	b.fill(2)
	b.out.Reset()
	b.g.TargetTruncated(startTime, 1, &b.out)
	must.Eq(t, result.AnswerTruncated, b.code(t))
	must.SliceLen(t, 1, b.out.Raises)
	must.SliceLen(t, 1, b.out.Starts)
}

// A gate whose clock is behind that of an entry daemon can't tell by dates
// what it knows.
func TestClockBehindRefusesUndecidableRepeat(t *testing.T) {
	b := newWarmFixture(1)
	b.arrive(startTime, request.Normal, func(r *request.Request) {
		r.Repeat = request.RepeatAgain
		r.IDTimeMs = wallStartMs
		r.AcceptedMs = wallStartMs
	})
	must.SliceLen(t, 1, b.out.Starts)
	b.arrive(startTime, request.Normal, func(r *request.Request) {
		r.Repeat = request.RepeatAgain
		r.IDTimeMs = wallStartMs
		r.AcceptedMs = wallStartMs + 10_000
	})
	must.Eq(t, result.IDTooOld, b.code(t))
}

// A target that comes back at another address gets a new gate, which still
// knows what ran.
func TestSuccessorKeepsIDsRunNumbersAndUnackedAnswers(t *testing.T) {
	b := newWarmFixture(1)
	again := func(r *request.Request) {
		r.ID = "deposit"
		r.Repeat = request.RepeatAgain
		r.IDTimeMs = wallStartMs
	}
	b.arrive(startTime, request.Normal, again)
	b.g.TargetAnswered(startTime, 1, TargetAnswer{Status: 200, Body: []byte("did it")}, &b.out)
	b.g = b.g.Successor(b.g.cfg)
	b.g.Announced(startTime, Announcement{Slots: 1, Connections: 1, State: Warm}, &b.out)
	b.arrive(startTime, request.Normal, again)
	must.SliceEmpty(t, b.out.Starts)
	must.Eq(t, "did it", string(b.out.Answers[0].Answer.Body))
	b.arrive(startTime, request.Normal, nil)
	must.Eq(t, 2, b.out.Starts[0].Run)
	b.out.Reset()
	b.g.OriginLost(startTime, host.Session{Host: "e", Incarnation: 1}, &b.out)
	must.SliceLen(t, 1, b.out.Raises)
}

// Timers of requests that are over don't pile up until their deadlines.
func TestStaleTimersAreBounded(t *testing.T) {
	b := newWarmFixture(12)
	for run := range uint64(20_000) {
		b.arrive(startTime, request.Normal, func(r *request.Request) { r.Budget = time.Minute; r.Idempotent = true })
		b.g.TargetAnswered(startTime, run+1, TargetAnswer{Status: 200}, &b.out)
	}
	must.True(t, b.g.Idle())
	must.LessEq(t, maxStaleTimers+2, b.g.timers.Len())
}
