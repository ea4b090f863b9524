package alarm_test

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/rhubarbring/rhubarbring/alarm"
	"github.com/rhubarbring/rhubarbring/result"
)

const (
	nightLength = 8 * time.Hour
	tick        = time.Second
)

var bounds = alarm.Bounds{
	UnownedKey:         5 * time.Second,
	DocumentNotInForce: 10 * time.Second,
	AssignmentAtRisk:   5 * time.Second,
	CannotSee:          30 * time.Second,
}

// step is one event of the night.
type step struct {
	at time.Duration
	ev alarm.Event
}

// truth is one thing that is at risk, by the script's own account.
type truth struct {
	kind  alarm.Kind
	cause string
	at    time.Duration
}

// script is a night of faults: what the alarm is told, and what is at risk.
type script struct {
	rand   *rand.Rand
	steps  []step
	truths []truth
	ids    int
	// silent lists when a zone sends no news, and deaf when the receiver
	// takes no call.
	silent []span
	deaf   []span
}

type span struct{ from, to time.Duration }

func (s span) holds(at time.Duration) bool {
	return at >= s.from && at < s.to
}

func newScript(seed uint64) *script {
	s := &script{rand: rand.New(rand.NewPCG(seed, 11))}
	for range 20 {
		s.restart()
		s.documentChange(1 + s.rand.IntN(8))
		s.witnessesLost(1 + s.rand.IntN(4))
		s.refusals(50 + s.rand.IntN(500))
		s.idempotentTimeouts(10 + s.rand.IntN(50))
		s.newsLate(5 + s.rand.IntN(20))
	}
	for range 3 {
		s.hostLost(3, 1+s.rand.IntN(3))
		s.hostLost(60+s.rand.IntN(600), 0)
		s.lateDeposit()
		s.documentChange(60 + s.rand.IntN(300))
		s.witnessesLost(20 + s.rand.IntN(100))
	}
	s.newsLate(600)
	s.deaf = append(s.deaf, s.span(30*time.Minute))
	sort.SliceStable(s.steps, func(i, j int) bool { return s.steps[i].at < s.steps[j].at })
	return s
}

// moment is some time of the night, early enough for what follows it.
func (s *script) moment() time.Duration {
	return time.Duration(s.rand.Int64N(int64(nightLength - time.Hour)))
}

func (s *script) span(length time.Duration) span {
	from := s.moment()
	return span{from, from + length}
}

func (s *script) id() int {
	s.ids++
	return s.ids
}

func (s *script) add(at time.Duration, ev alarm.Event) {
	s.steps = append(s.steps, step{at, ev})
}

// lasts has a condition begin and end; it is at risk if it outlasts the bound.
func (s *script) lasts(at, length, bound time.Duration, c alarm.Condition) {
	s.add(at, alarm.Began{Condition: c})
	s.add(at+length, alarm.Ended{Kind: c.Kind, Subject: c.Subject})
	if length > bound {
		s.truths = append(s.truths, truth{c.Kind, c.Cause, at + bound})
	}
}

// restart is a planned stop: slices change owner within a few seconds.
func (s *script) restart() {
	at, cause := s.moment(), fmt.Sprintf("session r%d/1", s.id())
	for i := range 12 {
		length := time.Duration(500+s.rand.IntN(3500)) * time.Millisecond
		s.lasts(at, length, bounds.UnownedKey, alarm.Condition{Kind: alarm.UnownedKey, Subject: fmt.Sprintf("catalogue/%d@%d", i, s.id()), Cause: cause})
	}
}

// hostLost leaves slices without an owner for some seconds, and some
// outcomes unknown: those that may be repeated are no risk.
func (s *script) hostLost(seconds, unknown int) {
	at, cause := s.moment(), fmt.Sprintf("session h%d/1", s.id())
	for i := range 12 {
		s.lasts(at, time.Duration(seconds)*time.Second, bounds.UnownedKey, alarm.Condition{Kind: alarm.UnownedKey, Subject: fmt.Sprintf("reservation/%d@%d", i, s.id()), Cause: cause})
	}
	for range unknown {
		s.answered(at, false, result.PeerLost, cause)
		s.truths = append(s.truths, truth{alarm.OutcomeAtRisk, cause, at})
	}
	for range 20 {
		s.answered(at, true, result.PeerLost, cause)
	}
}

func (s *script) answered(at time.Duration, idempotent bool, code result.Code, cause string) {
	s.add(at, alarm.Answered{ID: fmt.Sprintf("id%d", s.id()), Idempotent: idempotent, Code: code, Cause: cause})
}

func (s *script) lateDeposit() {
	at, cause := s.moment(), fmt.Sprintf("target t%d slow", s.id())
	s.answered(at, false, result.AnswerLate, cause)
	s.truths = append(s.truths, truth{alarm.OutcomeAtRisk, cause, at})
}

// documentChange has a document come into force host by host.
func (s *script) documentChange(seconds int) {
	at, cause := s.moment(), fmt.Sprintf("document production.%d", s.id())
	for i := range 8 {
		length := time.Duration(seconds*(i+1)) * time.Second / 8
		s.lasts(at, length, bounds.DocumentNotInForce, alarm.Condition{Kind: alarm.DocumentNotInForce, Subject: fmt.Sprintf("host%d@%d", i, s.id()), Cause: cause})
	}
}

func (s *script) witnessesLost(seconds int) {
	at := s.moment()
	subject := fmt.Sprintf("session w%d/1", s.id())
	s.lasts(at, time.Duration(seconds)*time.Second, bounds.AssignmentAtRisk, alarm.Condition{Kind: alarm.AssignmentAtRisk, Subject: subject, Cause: subject})
}

func (s *script) refusals(n int) {
	at := s.moment()
	codes := []result.Code{result.QueueFull, result.NoOwner, result.DeadlineTooShort, result.TargetShed}
	for range n {
		s.answered(at+time.Duration(s.rand.IntN(30))*time.Second, s.rand.IntN(2) == 0, codes[s.rand.IntN(len(codes))], "load")
	}
}

func (s *script) idempotentTimeouts(n int) {
	at := s.moment()
	for range n {
		s.answered(at, true, result.OutcomeUnknown, "target slow")
	}
}

func (s *script) newsLate(seconds int) {
	s.silent = append(s.silent, s.span(time.Duration(seconds)*time.Second))
}

func within(spans []span, at time.Duration) bool {
	for _, s := range spans {
		if s.holds(at) {
			return true
		}
	}
	return false
}
