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
	simulatedTime = 8 * time.Hour
	tick          = time.Second
)

var bounds = alarm.Bounds{
	UnownedKey:         5 * time.Second,
	DocumentNotInForce: 10 * time.Second,
	AssignmentAtRisk:   5 * time.Second,
	CannotSee:          30 * time.Second,
}

// timedEvent is an event of a scenario.
type timedEvent struct {
	at time.Duration
	ev alarm.Event
}

// expectedRisk is a condition that is at risk by construction of the scenario.
type expectedRisk struct {
	kind  alarm.Kind
	cause string
	at    time.Duration
}

// scenario is eight hours of faults: the events for the Core, and the conditions
// that are at risk.
type scenario struct {
	rand     *rand.Rand
	events   []timedEvent
	expected []expectedRisk
	ids      int
	// zoneSilent lists when a zone sends no news, and receiverDown when the
	// receiver takes no delivery.
	zoneSilent   []span
	receiverDown []span
}

type span struct{ from, to time.Duration }

func (s span) contains(at time.Duration) bool {
	return at >= s.from && at < s.to
}

func newScenario(seed uint64) *scenario {
	s := &scenario{rand: rand.New(rand.NewPCG(seed, 11))}
	for range 20 {
		s.restart()
		s.documentChange(1 + s.rand.IntN(8))
		s.witnessesLost(1 + s.rand.IntN(4))
		s.refusals(50 + s.rand.IntN(500))
		s.idempotentTimeouts(10 + s.rand.IntN(50))
		s.silenceZone(5 + s.rand.IntN(20))
	}
	for range 3 {
		s.hostLost(3, 1+s.rand.IntN(3))
		s.hostLost(60+s.rand.IntN(600), 0)
		s.lateAnswer()
		s.documentChange(60 + s.rand.IntN(300))
		s.witnessesLost(20 + s.rand.IntN(100))
	}
	s.silenceZone(600)
	s.receiverDown = append(s.receiverDown, s.randomSpan(30*time.Minute))
	sort.SliceStable(s.events, func(i, j int) bool { return s.events[i].at < s.events[j].at })
	return s
}

// randomTime returns a time at least an hour before the end, to leave room for
// the events that follow it.
func (s *scenario) randomTime() time.Duration {
	return time.Duration(s.rand.Int64N(int64(simulatedTime - time.Hour)))
}

func (s *scenario) randomSpan(length time.Duration) span {
	from := s.randomTime()
	return span{from, from + length}
}

func (s *scenario) id() int {
	s.ids++
	return s.ids
}

func (s *scenario) add(at time.Duration, ev alarm.Event) {
	s.events = append(s.events, timedEvent{at, ev})
}

// addCondition adds a condition that begins at a time and ends after a length. It
// is at risk if it lasts longer than the bound.
func (s *scenario) addCondition(at, length, bound time.Duration, c alarm.Condition) {
	s.add(at, alarm.ConditionBegan{Condition: c})
	s.add(at+length, alarm.ConditionEnded{Kind: c.Kind, Subject: c.Subject})
	if length > bound {
		s.expected = append(s.expected, expectedRisk{c.Kind, c.Cause, at + bound})
	}
}

// restart adds a planned stop: slices are without an owner for less than four
// seconds, which is within their bound of five.
func (s *scenario) restart() {
	at, cause := s.randomTime(), fmt.Sprintf("session r%d/1", s.id())
	for i := range 12 {
		length := time.Duration(500+s.rand.IntN(3500)) * time.Millisecond
		s.addCondition(at, length, bounds.UnownedKey, alarm.Condition{Kind: alarm.UnownedKey, Subject: fmt.Sprintf("catalogue/%d@%d", i, s.id()), Cause: cause})
	}
}

// hostLost leaves slices without an owner for some seconds, and makes some
// outcomes unknown. Those of requests that may be repeated are not at risk.
func (s *scenario) hostLost(seconds, unknown int) {
	at, cause := s.randomTime(), fmt.Sprintf("session h%d/1", s.id())
	for i := range 12 {
		s.addCondition(at, time.Duration(seconds)*time.Second, bounds.UnownedKey, alarm.Condition{Kind: alarm.UnownedKey, Subject: fmt.Sprintf("reservation/%d@%d", i, s.id()), Cause: cause})
	}
	for range unknown {
		s.answered(at, false, result.PeerLost, cause)
		s.expected = append(s.expected, expectedRisk{alarm.OutcomeAtRisk, cause, at})
	}
	for range 20 {
		s.answered(at, true, result.PeerLost, cause)
	}
}

func (s *scenario) answered(at time.Duration, idempotent bool, code result.Code, cause string) {
	s.add(at, alarm.RequestAnswered{ID: fmt.Sprintf("id%d", s.id()), Idempotent: idempotent, Code: code, Cause: cause})
}

func (s *scenario) lateAnswer() {
	at, cause := s.randomTime(), fmt.Sprintf("target t%d slow", s.id())
	s.answered(at, false, result.AnswerLate, cause)
	s.expected = append(s.expected, expectedRisk{alarm.OutcomeAtRisk, cause, at})
}

// documentChange has a document come into force on one host after another.
func (s *scenario) documentChange(seconds int) {
	at, cause := s.randomTime(), fmt.Sprintf("document production.%d", s.id())
	for i := range 8 {
		length := time.Duration(seconds*(i+1)) * time.Second / 8
		s.addCondition(at, length, bounds.DocumentNotInForce, alarm.Condition{Kind: alarm.DocumentNotInForce, Subject: fmt.Sprintf("host%d@%d", i, s.id()), Cause: cause})
	}
}

func (s *scenario) witnessesLost(seconds int) {
	at := s.randomTime()
	subject := fmt.Sprintf("session w%d/1", s.id())
	s.addCondition(at, time.Duration(seconds)*time.Second, bounds.AssignmentAtRisk, alarm.Condition{Kind: alarm.AssignmentAtRisk, Subject: subject, Cause: subject})
}

func (s *scenario) refusals(n int) {
	at := s.randomTime()
	codes := []result.Code{result.QueueFull, result.NoOwner, result.DeadlineTooShort, result.TargetShed}
	for range n {
		s.answered(at+time.Duration(s.rand.IntN(30))*time.Second, s.rand.IntN(2) == 0, codes[s.rand.IntN(len(codes))], "load")
	}
}

func (s *scenario) idempotentTimeouts(n int) {
	at := s.randomTime()
	for range n {
		s.answered(at, true, result.OutcomeUnknown, "target slow")
	}
}

func (s *scenario) silenceZone(seconds int) {
	s.zoneSilent = append(s.zoneSilent, s.randomSpan(time.Duration(seconds)*time.Second))
}

func inAnySpan(spans []span, at time.Duration) bool {
	for _, s := range spans {
		if s.contains(at) {
			return true
		}
	}
	return false
}
