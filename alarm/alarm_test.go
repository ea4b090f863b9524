package alarm_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/alarm"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/result"
)

// Without the bounds the same nights ring for what heals by itself.
func TestNightsNeedTheBounds(t *testing.T) {
	w := newWatchman(newScript(1))
	w.bounds = alarm.Bounds{CannotSee: bounds.CannotSee}
	w.night()
	_, forNothing := w.judge()
	must.Positive(t, forNothing)
}

// Without delivering again, what rang while the receiver was away is missed.
func TestNightsNeedDeliveryUntilTaken(t *testing.T) {
	missed := 0
	for seed := range uint64(5) {
		w := newWatchman(newScript(seed))
		w.lying = true
		w.night()
		m, _ := w.judge()
		missed += m
	}
	must.Positive(t, missed)
}

// bench drives a core by hand.
type bench struct {
	core *alarm.Core
	now  time.Duration
}

func newBench() *bench {
	cfg := alarm.DefaultConfig()
	cfg.Environment, cfg.Reporter, cfg.Bounds = "production", "h1/1", bounds
	return &bench{core: alarm.New(cfg)}
}

func (b *bench) step(ev alarm.Event) []alarm.Action {
	return b.core.Step(alarm.Clock{Mono: mono.Time(b.now), UnixMs: b.now.Milliseconds()}, ev)
}

// wait lets time pass and returns how often the alarm rang.
func (b *bench) wait(d time.Duration) int {
	rang := 0
	for end := b.now + d; b.now < end; {
		b.now += tick
		for _, a := range b.step(alarm.Tick{}) {
			if _, ok := a.(alarm.Rang); ok {
				rang++
			}
		}
	}
	return rang
}

func unowned(subject string) alarm.Began {
	return alarm.Began{Condition: alarm.Condition{Kind: alarm.UnownedKey, Subject: subject, Cause: "session h9/1"}}
}

// Many things of one cause are one alarm, which stays until acknowledged.
func TestOneAlarmForOneCause(t *testing.T) {
	b := newBench()
	for _, subject := range []string{"a/1", "a/2", "a/3"} {
		b.step(unowned(subject))
	}
	must.Eq(t, 0, b.wait(4*time.Second))
	must.Eq(t, 1, b.wait(time.Minute))
	b.step(alarm.Answered{ID: "x", Code: result.PeerLost, Cause: "session h9/1"})
	for _, subject := range []string{"a/1", "a/2", "a/3"} {
		b.step(alarm.Ended{Kind: alarm.UnownedKey, Subject: subject})
	}
	must.Eq(t, 0, b.wait(time.Hour))
	ringing := b.core.Ringing()
	must.Len(t, 1, ringing)
	must.Eq(t, []alarm.Count{{Kind: alarm.OutcomeAtRisk, AtRisk: 1, Now: 1}, {Kind: alarm.UnownedKey, AtRisk: 3, Now: 0}}, ringing[0].Counts)
	b.step(alarm.Acknowledge{ID: ringing[0].ID})
	must.SliceEmpty(t, b.core.Ringing())
}

// Acknowledging silences what the person was told of, and only that.
func TestAcknowledgeCoversWhatWasTold(t *testing.T) {
	b := newBench()
	b.step(unowned("a/1"))
	must.Eq(t, 1, b.wait(10*time.Second))
	b.step(unowned("a/2"))
	b.wait(2 * time.Second)
	b.step(alarm.Acknowledge{ID: alarm.IDOf("production", "session h9/1")})
	b.step(unowned("a/1"))
	must.Eq(t, 1, b.wait(10*time.Second))
	must.Eq(t, []string{"unowned_key a/2"}, b.core.Ringing()[0].Subjects)
}

func TestSaysWhatItCannotSee(t *testing.T) {
	b := newBench()
	b.step(alarm.Parts{Names: []string{"zone a"}})
	must.Eq(t, 0, b.wait(25*time.Second))
	must.Eq(t, 1, b.wait(10*time.Second))
	must.Eq(t, alarm.Notice, b.core.Ringing()[0].Severity)
	b.step(alarm.Seen{Part: "zone a"})
	must.Eq(t, 0, b.core.Ringing()[0].Counts[0].Now)
}

// Daemons that report one cause share a record; the second need not call.
func TestMerge(t *testing.T) {
	one := alarm.Alarm{ID: "i", Reporter: "h1/1", Severity: alarm.Ring, RaisedMs: 5, Taken: true, Counts: []alarm.Count{{Kind: alarm.OutcomeAtRisk, AtRisk: 2, Now: 2}}}
	two := alarm.Alarm{ID: "i", Reporter: "h2/1", Severity: alarm.Ring, RaisedMs: 4, Counts: []alarm.Count{{Kind: alarm.OutcomeAtRisk, AtRisk: 1, Now: 1}}}
	r, told := alarm.Merge(nil, one)
	must.False(t, told)
	r, told = alarm.Merge(&r, two)
	must.True(t, told)
	must.Eq(t, []alarm.Count{{Kind: alarm.OutcomeAtRisk, AtRisk: 3, Now: 3}}, r.Alarm.Counts)
	must.Eq(t, 4, r.Alarm.RaisedMs)
	r, _ = alarm.Merge(&r, two)
	must.Eq(t, 3, r.Alarm.Counts[0].AtRisk)
	r.Alarm.Acknowledged = &alarm.Acknowledgement{Who: "ana"}
	r, told = alarm.Merge(&r, two)
	must.False(t, told)
	must.Nil(t, r.Alarm.Acknowledged)
	must.Eq(t, 1, r.Alarm.Counts[0].AtRisk)
}
