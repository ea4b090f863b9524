package gate

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/request"
	"github.com/rhubarbring/rhubarbring/result"
)

// limitWindow is the time over which a target counts the requests that it gets, and
// allowedFactor and allowedExtra what it bears in it beyond its limit.
const (
	limitWindow   = 4 * time.Second
	allowedFactor = 1.5
	allowedExtra  = 5
)

// mostInWindow returns the largest number of starts in any limitWindow.
func mostInWindow(starts []mono.Time) int {
	most := 0
	for i, first := range starts {
		n := 0
		for _, at := range starts[i:] {
			if at.Sub(first) < limitWindow {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// playLimited lets requests arrive at a gate each 5 ms for 20 s, with the runs
// answered after 100 ms, and returns when runs were started.
func playLimited(f *fixture, perSecond float64) []mono.Time {
	type run struct {
		number uint64
		endsAt mono.Time
	}
	var starts []mono.Time
	var running []run
	f.gate.SetRateLimit(startTime, perSecond, &f.out)
	for now := startTime; now < startTime+20_000*ms; now += 5 * ms {
		f.arrive(now, request.Normal, func(r *request.Request) { r.Budget = 500 * time.Millisecond })
		f.gate.Tick(now, wallStartMs, &f.out)
		for _, s := range f.out.Starts {
			starts = append(starts, now)
			running = append(running, run{s.Run, now + 100*ms})
		}
		for len(running) > 0 && running[0].endsAt <= now {
			f.out.Reset()
			f.gate.TargetAnswered(now, running[0].number, TargetAnswer{Status: 200}, &f.out)
			for _, s := range f.out.Starts {
				starts = append(starts, now)
				running = append(running, run{s.Run, now + 100*ms})
			}
			running = running[1:]
		}
	}
	return starts
}

// A gate that only counts slots, as before there were limits, exceeds every limit
// below its capacity; the rate limit keeps it and uses most of it.
func TestRateLimitIsKeptAndUsed(t *testing.T) {
	for _, perSecond := range []float64{0.25, 1, 2.5, 9.8, 40} {
		allowed := allowedFactor*perSecond*limitWindow.Seconds() + allowedExtra
		naive := playLimited(newWarmFixture(12), 0)
		must.Greater(t, allowed, float64(mostInWindow(naive)), must.Sprint(perSecond))
		starts := playLimited(newWarmFixture(12), perSecond)
		must.LessEq(t, perSecond*limitWindow.Seconds()+max(1, perSecond/4)+1, float64(mostInWindow(starts)), must.Sprint(perSecond))
		must.GreaterEq(t, int(perSecond*20*0.95)-1, len(starts), must.Sprint(perSecond))
	}
}

// Whenever and however often the limit changes, the starts of any time stay within
// what the limits in force allow, plus one burst.
func TestRateLimitHoldsWhileItChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l rateLimit
		now := startTime
		l.set(now, 5)
		allowed, started, most := 0.0, 0, 0.0
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			step := rapid.IntRange(0, 400).Draw(t, "ms")
			allowed += float64(step) / 1000 * l.perSecond
			now += mono.Time(step) * ms
			if rapid.IntRange(0, 9).Draw(t, "change") == 0 {
				l.set(now, rapid.Float64Range(0.25, 60).Draw(t, "limit"))
			}
			most = max(most, l.capacity())
			for l.allows(now) {
				l.take(now)
				started++
			}
			must.LessEq(t, allowed+most+0.01, float64(started))
		}
	})
}

func TestEndOfLimitStartsWhatWaits(t *testing.T) {
	f := newWarmFixture(4)
	f.gate.SetRateLimit(startTime, 1, &f.out)
	for range 3 {
		f.arrive(startTime, request.Normal, func(r *request.Request) { r.Budget = time.Minute })
	}
	must.SliceEmpty(t, f.out.Starts)
	at, ok := f.gate.NextTick(startTime)
	must.True(t, ok)
	must.Eq(t, startTime+1000*ms, at)
	f.out.Reset()
	f.gate.SetRateLimit(startTime, 0, &f.out)
	must.SliceLen(t, 3, f.out.Starts)
}

func TestLimitDoesNotOutliveInstance(t *testing.T) {
	f := newFixture(Announcement{Slots: 4, Connections: 4, State: Warm, Instance: 1}, startTime-mono.Time(time.Minute))
	f.gate.SetRateLimit(startTime, 1, &f.out)
	f.gate.TargetLeaving(startTime, startTime, &f.out)
	f.gate.TargetAnnounced(startTime, Announcement{Slots: 4, Connections: 4, State: Warm, Instance: 1}, &f.out)
	must.True(t, f.gate.target.draining)
	f.gate.TargetAnnounced(startTime, Announcement{Slots: 4, Connections: 4, State: Warm, Instance: 2}, &f.out)
	must.False(t, f.gate.target.draining)
	f.arrive(startTime, request.Normal, nil)
	must.SliceLen(t, 1, f.out.Starts)
}

func TestLeavingTargetGetsNothingAfterGrace(t *testing.T) {
	f := newFixture(Announcement{Slots: 1, Connections: 4, State: Warm, Instance: 1}, startTime-mono.Time(time.Minute))
	f.gate.TargetLeaving(startTime, startTime, &f.out)
	f.arrive(startTime, request.Normal, func(r *request.Request) { r.Idempotent = true; r.Slice = request.NoSlice })
	must.Eq(t, result.Draining, f.code(t))
	f.arrive(startTime+1999*ms, request.Normal, nil)
	must.SliceLen(t, 1, f.out.Starts)
	f.gate.TargetAnnounced(startTime+1999*ms, Announcement{Slots: 1, Connections: 4, State: Warm, Instance: 1}, &f.out)
	f.arrive(startTime+2000*ms, request.Normal, nil)
	must.Eq(t, result.Draining, f.code(t))
}

// If it becomes known that the target has been leaving for long, its grace is over.
func TestGraceOfLeavingTargetCountsFromFirstStatement(t *testing.T) {
	f := newFixture(Announcement{Slots: 4, Connections: 4, State: Warm, Instance: 1}, startTime-mono.Time(time.Minute))
	f.gate.TargetLeaving(startTime, startTime, &f.out)
	f.arrive(startTime, request.Normal, nil)
	must.SliceLen(t, 1, f.out.Starts)
	f.gate.TargetLeaving(startTime+100*ms, startTime-3000*ms, &f.out)
	f.arrive(startTime+100*ms, request.Normal, nil)
	must.Eq(t, result.Draining, f.code(t))
	f.gate.TargetLeaving(startTime+200*ms, startTime+200*ms, &f.out)
	f.arrive(startTime+200*ms, request.Normal, nil)
	must.Eq(t, result.Draining, f.code(t))
}

// What can't be served within the limit is refused at once, with the time from
// which it can be; an urgent request overtakes normal ones.
func TestRequestBeyondLimitIsRefusedAtOnce(t *testing.T) {
	f := newWarmFixture(12)
	f.fill(1)
	f.gate.TargetAnswered(startTime+100*ms, 1, TargetAnswer{Status: 200}, &f.out)
	now := startTime + 1000*ms
	f.gate.SetRateLimit(now, 4, &f.out)
	wanted := func(r *request.Request) { r.LatencyTarget = 600 * time.Millisecond; r.Budget = 2 * time.Second }
	f.arrive(now, request.Normal, wanted)
	must.SliceEmpty(t, f.out.Answers)
	f.arrive(now, request.Normal, wanted)
	must.SliceEmpty(t, f.out.Answers)
	f.arrive(now, request.Normal, wanted)
	must.Eq(t, result.QueueFull, f.code(t))
	must.Between(t, 200*time.Millisecond, f.out.Answers[0].Answer.RetryAfter, 300*time.Millisecond)
	f.arrive(now, request.Urgent, wanted)
	must.SliceEmpty(t, f.out.Answers)
	f.out.Reset()
	f.gate.Tick(now+250*ms, wallStartMs, &f.out)
	must.SliceLen(t, 1, f.out.Starts)
	must.Eq(t, request.Urgent, f.out.Starts[0].Request.Class)
}

// A limit is stated to those who choose among gates as the capacity that it leaves.
func TestStatedLoadFollowsLimit(t *testing.T) {
	f := newWarmFixture(12)
	f.fill(1)
	f.gate.TargetAnswered(startTime+200*ms, 1, TargetAnswer{Status: 200}, &f.out)
	now := startTime + 1000*ms
	must.Eq(t, statedLoad{slots: 12, serviceTime: 200 * time.Millisecond}, f.gate.statedLoad(now))
	must.Eq(t, 12.0, f.gate.MeanBusySlots(now))
	f.gate.SetRateLimit(now, 9, &f.out)
	must.Eq(t, statedLoad{slots: 2, jobs: 2, serviceTime: time.Second * 2 / 9}, f.gate.statedLoad(now))
	must.Eq(t, statedLoad{slots: 2, jobs: 0, serviceTime: time.Second * 2 / 9}, f.gate.statedLoad(now+500*ms))
	must.Between(t, 1.79, f.gate.MeanBusySlots(now), 1.81)
	for _, large := range []float64{1000, 1e12, 1e300} {
		f.gate.SetRateLimit(now, large, &f.out)
		must.Eq(t, 12, f.gate.statedLoad(now+500*ms).slots)
		must.Eq(t, 12.0, f.gate.MeanBusySlots(now))
		must.Positive(t, f.gate.rate.wait(now, 1))
		must.Zero(t, f.gate.rate.wait(now+ms, 1))
	}
}
