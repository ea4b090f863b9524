package load

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/mono"
)

// scriptedSender is a sender that returns the given replies in turn and
// repeats the last one. Each send advances the clock by takes.
type scriptedSender struct {
	replies  []reply
	attempts []int
	clock    *mono.Time
	takes    time.Duration
}

func (s *scriptedSender) send(_ Request, _ string, attempt int, _ time.Duration) reply {
	s.attempts = append(s.attempts, attempt)
	*s.clock = s.clock.Add(s.takes)
	got := s.replies[0]
	if len(s.replies) > 1 {
		s.replies = s.replies[1:]
	}
	return got
}

var (
	unreached = reply{sending: Sending{}}
	broken    = reply{sending: Sending{Connected: true}}
	notRun    = reply{sending: Sending{Connected: true, Status: 503, Outcome: "not_run"}}
	badInput  = reply{sending: Sending{Connected: true, Status: 400, Outcome: "not_run"}}
	unknown   = reply{sending: Sending{Connected: true, Status: 504, Outcome: "unknown"}}
	done      = reply{sending: Sending{Connected: true, Status: 200, Outcome: "done", BelongsToRequest: true}}
)

func TestCallerResendsOnlyWhatItMay(t *testing.T) {
	cases := []struct {
		name          string
		idempotent    bool
		repeatUnknown bool
		replies       []reply
		attempts      []int
		last          string
	}{
		{"done", false, false, []reply{done}, []int{1}, "done"},
		{"unreached send does not count as an attempt", false, false, []reply{unreached, unreached, done}, []int{1, 1, 1}, "done"},
		{"not run is sent again as the first attempt", false, false, []reply{notRun, done}, []int{1, 1}, "done"},
		{"not run after a broken send keeps the attempt number", true, false, []reply{broken, notRun, done}, []int{1, 2, 2}, "done"},
		{"bad input is not sent again", false, false, []reply{badInput}, []int{1}, "not_run"},
		{"broken, not idempotent", false, false, []reply{broken}, []int{1}, ""},
		{"broken, not idempotent, allowed", false, true, []reply{broken, unknown}, []int{1, 2}, "unknown"},
		{"broken, idempotent", true, false, []reply{broken, done}, []int{1, 2}, "done"},
		{"unknown is final", true, true, []reply{unknown}, []int{1}, "unknown"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			clock := mono.Time(1)
			s := &scriptedSender{replies: c.replies, clock: &clock, takes: time.Millisecond}
			caller := testCaller(s, c.repeatUnknown)
			rec := caller.call(Request{ID: "a", Idempotent: c.idempotent, Deadline: time.Minute}, clock)
			must.Eq(t, c.attempts, s.attempts)
			last, answered := rec.LastAnswered()
			must.Eq(t, c.last, last.Outcome)
			must.Eq(t, c.last != "", answered)
		})
	}
}

func testCaller(s *scriptedSender, repeatUnknown bool) *caller {
	c := newCaller(Config{RepeatUnknown: repeatUnknown}, newDaemonList([]string{"d1", "d2"}), s, 1)
	c.now = func() mono.Time { return *s.clock }
	c.sleep = func(d time.Duration) { *s.clock = s.clock.Add(d) }
	return c
}

func TestCallerStopsAtItsDeadline(t *testing.T) {
	clock := mono.Time(1)
	s := &scriptedSender{replies: []reply{notRun}, clock: &clock, takes: 100 * time.Millisecond}
	rec := testCaller(s, true).call(Request{ID: "a", Deadline: time.Second}, clock)
	must.Less(t, maxSendings, len(rec.Sendings))
	must.LessEq(t, int64(1200*time.Millisecond), rec.EndedNs)
}

func TestUnreachableDaemonIsAvoided(t *testing.T) {
	d := newDaemonList([]string{"a", "b"})
	rng := rand.New(rand.NewPCG(1, 1))
	d.avoid("a", 0)
	for range 50 {
		must.Eq(t, "b", d.pick(rng, 1))
	}
	d.avoid("b", 0)
	must.NotEq(t, "", d.pick(rng, 1))
	seen := map[string]bool{}
	for range 50 {
		seen[d.pick(rng, mono.Time(2*avoidDuration))] = true
	}
	must.MapLen(t, 2, seen)
}
