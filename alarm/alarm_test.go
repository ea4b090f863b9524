package alarm_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/alarm"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/result"
)

// Without bounds, alarms are raised for conditions that end by themselves.
func TestWithoutBoundsTransientFaultsRaiseAlarms(t *testing.T) {
	sim := newSimulation(newScenario(1))
	sim.bounds = alarm.Bounds{CannotSee: bounds.CannotSee}
	sim.run()
	_, falseAlarms := sim.countErrors()
	must.Positive(t, falseAlarms)
}

// Without repeated delivery, alarms raised while the receiver is down are
// missed.
func TestWithoutRedeliveryRisksAreMissed(t *testing.T) {
	missed := 0
	for seed := range uint64(5) {
		sim := newSimulation(newScenario(seed))
		sim.falseTaken = true
		sim.run()
		m, _ := sim.countErrors()
		missed += m
	}
	must.Positive(t, missed)
}

// harness drives a Core step by step.
type harness struct {
	core *alarm.Core
	now  time.Duration
}

func newHarness() *harness {
	cfg := alarm.DefaultConfig()
	cfg.Environment, cfg.Reporter, cfg.Bounds = "production", "h1/1", bounds
	return &harness{core: alarm.New(cfg)}
}

func (h *harness) step(ev alarm.Event) []alarm.Action {
	return h.core.Step(alarm.Instant{Mono: mono.Time(h.now), UnixMs: h.now.Milliseconds()}, ev)
}

// advance lets time pass, with a Tick every second, and returns how many alarms
// and notices were raised.
func (h *harness) advance(d time.Duration) int {
	rang := 0
	for end := h.now + d; h.now < end; {
		h.now += tick
		for _, a := range h.step(alarm.Tick{}) {
			if _, ok := a.(alarm.Raised); ok {
				rang++
			}
		}
	}
	return rang
}

func unownedSlice(subject string) alarm.ConditionBegan {
	return alarm.ConditionBegan{Condition: alarm.Condition{Kind: alarm.UnownedKey, Subject: subject, Cause: "session h9/1"}}
}

// Conditions of one cause are one alarm, which stays until it is acknowledged.
func TestRisksOfOneCauseShareOneAlarm(t *testing.T) {
	h := newHarness()
	for _, subject := range []string{"a/1", "a/2", "a/3"} {
		h.step(unownedSlice(subject))
	}
	must.Eq(t, 0, h.advance(4*time.Second))
	must.Eq(t, 1, h.advance(time.Minute))
	h.step(alarm.RequestAnswered{ID: "x", Code: result.PeerLost, Cause: "session h9/1"})
	for _, subject := range []string{"a/1", "a/2", "a/3"} {
		h.step(alarm.ConditionEnded{Kind: alarm.UnownedKey, Subject: subject})
	}
	must.Eq(t, 0, h.advance(time.Hour))
	ringing := h.core.Unacknowledged()
	must.Len(t, 1, ringing)
	must.Eq(t, []alarm.Count{{Kind: alarm.OutcomeAtRisk, AtRisk: 1, Now: 1}, {Kind: alarm.UnownedKey, AtRisk: 3, Now: 0}}, ringing[0].Counts)
	h.step(alarm.Acknowledge{ID: ringing[0].ID})
	must.SliceEmpty(t, h.core.Unacknowledged())
}

// An acknowledgement covers the conditions that had been delivered, and no
// others.
func TestAcknowledgementCoversOnlyDeliveredRisks(t *testing.T) {
	h := newHarness()
	h.step(unownedSlice("a/1"))
	must.Eq(t, 1, h.advance(10*time.Second))
	h.step(unownedSlice("a/2"))
	h.advance(2 * time.Second)
	h.step(alarm.Acknowledge{ID: alarm.IDOf("production", "session h9/1")})
	h.step(unownedSlice("a/1"))
	must.Eq(t, 1, h.advance(10*time.Second))
	must.Eq(t, []string{"unowned_key a/2"}, h.core.Unacknowledged()[0].Subjects)
}

func TestSilentPartRaisesNotice(t *testing.T) {
	h := newHarness()
	h.step(alarm.SetParts{Names: []string{"zone a"}})
	must.Eq(t, 0, h.advance(25*time.Second))
	must.Eq(t, 1, h.advance(10*time.Second))
	must.Eq(t, alarm.Notice, h.core.Unacknowledged()[0].Severity)
	h.step(alarm.PartSeen{Part: "zone a"})
	must.Eq(t, 0, h.core.Unacknowledged()[0].Counts[0].Now)
}

// Daemons that report the same cause share a record, and the second one need not
// deliver the alarm.
func TestMergeSumsReportsOfOneCause(t *testing.T) {
	one := alarm.Alarm{ID: "i", Reporter: "h1/1", Severity: alarm.Ring, RaisedMs: 5, Taken: true, Counts: []alarm.Count{{Kind: alarm.OutcomeAtRisk, AtRisk: 2, Now: 2}}}
	two := alarm.Alarm{ID: "i", Reporter: "h2/1", Severity: alarm.Ring, RaisedMs: 4, Counts: []alarm.Count{{Kind: alarm.OutcomeAtRisk, AtRisk: 1, Now: 1}}}
	r, takenByOther := alarm.Merge(nil, one)
	must.False(t, takenByOther)
	r, takenByOther = alarm.Merge(&r, two)
	must.True(t, takenByOther)
	must.Eq(t, []alarm.Count{{Kind: alarm.OutcomeAtRisk, AtRisk: 3, Now: 3}}, r.Alarm.Counts)
	must.Eq(t, 4, r.Alarm.RaisedMs)
	r, _ = alarm.Merge(&r, two)
	must.Eq(t, 3, r.Alarm.Counts[0].AtRisk)
	r.Alarm.Acknowledged = &alarm.Acknowledgement{Who: "ana"}
	r, takenByOther = alarm.Merge(&r, two)
	must.False(t, takenByOther)
	must.Nil(t, r.Alarm.Acknowledged)
	must.Eq(t, 1, r.Alarm.Counts[0].AtRisk)
}
