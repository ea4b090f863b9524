package alarm_test

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/alarm"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/result"
)

var update = flag.Bool("update", false, "write the golden files anew")

// watchman runs the alarm through a script, answers its deliveries, and
// restarts it in the middle of the night.
type watchman struct {
	script *script
	core   *alarm.Core
	now    time.Duration
	kept   map[string]alarm.Alarm
	open   map[alarm.Condition]time.Duration
	rings  []ring
	notice int
	// taken holds the most of each cause and kind that the receiver took.
	taken map[string]map[alarm.Kind]int
	calls int
	// bounds are the alarm's; lying has every delivery reported as taken.
	bounds alarm.Bounds
	lying  bool
}

type ring struct {
	cause string
	at    time.Duration
}

func newWatchman(s *script) *watchman {
	w := &watchman{
		script: s, kept: make(map[string]alarm.Alarm), open: make(map[alarm.Condition]time.Duration),
		taken: make(map[string]map[alarm.Kind]int), bounds: bounds,
	}
	return w
}

func (w *watchman) start() {
	cfg := alarm.DefaultConfig()
	cfg.Environment, cfg.Reporter, cfg.Bounds, cfg.Receiver = "production", "h1/1", w.bounds, true
	w.core = alarm.New(cfg)
	w.step(alarm.Parts{Names: []string{"zone a", "zone b"}})
}

func (w *watchman) clock() alarm.Clock {
	return alarm.Clock{Mono: mono.Time(w.now), UnixMs: w.now.Milliseconds()}
}

func (w *watchman) step(ev alarm.Event) {
	for _, a := range append([]alarm.Action(nil), w.core.Step(w.clock(), ev)...) {
		switch a := a.(type) {
		case alarm.Rang:
			w.rang(a.Alarm)
		case alarm.Keep:
			w.kept[a.Alarm.ID] = a.Alarm
		case alarm.Deliver:
			w.deliver(a.Alarm)
		}
	}
}

func (w *watchman) rang(a alarm.Alarm) {
	if a.Severity == alarm.Notice {
		w.notice++
		return
	}
	w.rings = append(w.rings, ring{a.Cause, w.now})
}

func (w *watchman) deliver(a alarm.Alarm) {
	w.calls++
	taken := !within(w.script.deaf, w.now)
	if taken {
		if w.taken[a.Cause] == nil {
			w.taken[a.Cause] = make(map[alarm.Kind]int)
		}
		for _, c := range a.Counts {
			w.taken[a.Cause][c.Kind] = max(w.taken[a.Cause][c.Kind], c.AtRisk)
		}
	}
	w.step(alarm.Delivered{ID: a.ID, Taken: taken || w.lying})
}

// restart starts the alarm anew from what the store keeps, and tells it again
// what lasts.
func (w *watchman) restart() {
	w.start()
	for _, a := range w.kept {
		w.step(alarm.Restored{Alarm: a})
	}
	for c, since := range w.open {
		w.step(alarm.Began{Condition: c, For: w.now - since})
	}
}

func (w *watchman) night() {
	steps := w.script.steps
	w.start()
	for w.now = 0; w.now < nightLength; w.now += tick {
		for len(steps) > 0 && steps[0].at <= w.now {
			w.note(steps[0].ev)
			w.step(steps[0].ev)
			steps = steps[1:]
		}
		w.step(alarm.Seen{Part: "zone a"})
		if !within(w.script.silent, w.now) {
			w.step(alarm.Seen{Part: "zone b"})
		}
		if w.now == nightLength/2 {
			w.restart()
		}
		w.step(alarm.Tick{})
	}
}

func (w *watchman) note(ev alarm.Event) {
	switch ev := ev.(type) {
	case alarm.Began:
		w.open[ev.Condition] = w.now
	case alarm.Ended:
		for c := range w.open {
			if c.Kind == ev.Kind && c.Subject == ev.Subject {
				delete(w.open, c)
			}
		}
	}
}

// judge counts the things at risk that the receiver was never told of, and
// the rings whose cause put nothing at risk.
func (w *watchman) judge() (missed, forNothing int) {
	want := make(map[string]map[alarm.Kind]int)
	for _, t := range w.script.truths {
		if want[t.cause] == nil {
			want[t.cause] = make(map[alarm.Kind]int)
		}
		want[t.cause][t.kind]++
	}
	for cause, kinds := range want {
		for kind, n := range kinds {
			missed += max(0, n-w.taken[cause][kind])
		}
	}
	for _, r := range w.rings {
		if want[r.cause] == nil {
			forNothing++
		}
	}
	return missed, forNothing
}

// slowest returns the longest time from when a thing was at risk until the
// alarm of its cause rang.
func (w *watchman) slowest() time.Duration {
	first := make(map[string]time.Duration)
	for _, r := range w.rings {
		if at, ok := first[r.cause]; !ok || r.at < at {
			first[r.cause] = r.at
		}
	}
	var slowest time.Duration
	for _, t := range w.script.truths {
		slowest = max(slowest, first[t.cause]-t.at)
	}
	return slowest
}

// One night's alarms, as golden file: when each rang, and for what.
func TestGoldenNight(t *testing.T) {
	w := newWatchman(newScript(1))
	w.night()
	var log strings.Builder
	for _, r := range w.rings {
		fmt.Fprintf(&log, "%s %s %v\n", r.at, r.cause, w.taken[r.cause])
	}
	if *update {
		must.NoError(t, os.MkdirAll("testdata", 0o755))
		must.NoError(t, os.WriteFile("testdata/night.txt", []byte(log.String()), 0o644))
	}
	want, err := os.ReadFile("testdata/night.txt")
	must.NoError(t, err)
	must.Eq(t, string(want), log.String())
}

// Nights of scripted faults: everything at risk is rung, nothing else is. A
// threshold alarm on the same nights does neither.
func TestNights(t *testing.T) {
	const nights = 20
	var atRisk, rings, notices, naiveMissed, naiveRings, naiveForNothing int
	for seed := range uint64(nights) {
		s := newScript(seed)
		w := newWatchman(s)
		w.night()
		missed, forNothing := w.judge()
		must.Eq(t, 0, missed, must.Sprintf("seed %d", seed))
		must.Eq(t, 0, forNothing, must.Sprintf("seed %d", seed))
		must.LessEq(t, 2*tick, w.slowest(), must.Sprintf("seed %d", seed))
		must.Positive(t, w.notice)
		n := newThreshold(s)
		n.night()
		atRisk += len(s.truths)
		rings += len(w.rings)
		notices += w.notice
		naiveMissed += n.missed
		naiveRings += n.rings
		naiveForNothing += n.forNothing
	}
	must.Positive(t, naiveMissed)
	must.Positive(t, naiveForNothing)
	t.Logf("%d nights, %d things at risk: %d alarms, 0 missed, 0 for nothing, %d notices", nights, atRisk, rings, notices)
	t.Logf("threshold alarm on the same nights: %d alarms, %d missed, %d for nothing", naiveRings, naiveMissed, naiveForNothing)
}

// threshold is the naive alarm: it rings when more than ten requests in a
// minute failed, or when at a look each 15 s a slice has no owner, a host an
// older document or a session no witnesses. It has one ring for each of
// these, and is quiet for five minutes after it.
type threshold struct {
	script                    *script
	rings, missed, forNothing int
}

const (
	failedInAMinute = 10
	lookEvery       = 15 * time.Second
	quietFor        = 5 * time.Minute
	coveredFor      = time.Minute
)

func newThreshold(s *script) *threshold {
	return &threshold{script: s}
}

func (n *threshold) night() {
	for _, kind := range []alarm.Kind{alarm.OutcomeAtRisk, alarm.UnownedKey, alarm.DocumentNotInForce, alarm.AssignmentAtRisk} {
		rung := n.rung(kind)
		n.rings += len(rung)
		n.judge(kind, rung)
	}
}

// rung returns when the ring of a kind rang.
func (n *threshold) rung(kind alarm.Kind) []time.Duration {
	var rung []time.Duration
	var failed []time.Duration
	open := 0
	steps := n.script.steps
	for now := time.Duration(0); now < nightLength; now += lookEvery {
		for len(steps) > 0 && steps[0].at <= now {
			switch ev := steps[0].ev.(type) {
			case alarm.Answered:
				if ev.Code != result.OK {
					failed = append(failed, steps[0].at)
				}
			case alarm.Began:
				open += one(ev.Condition.Kind == kind)
			case alarm.Ended:
				open -= one(ev.Kind == kind)
			}
			steps = steps[1:]
		}
		for len(failed) > 0 && failed[0] < now-time.Minute {
			failed = failed[1:]
		}
		bad := open > 0
		if kind == alarm.OutcomeAtRisk {
			bad = len(failed) > failedInAMinute
		}
		if bad && (len(rung) == 0 || now-rung[len(rung)-1] >= quietFor) {
			rung = append(rung, now)
		}
	}
	return rung
}

func one(yes bool) int {
	if yes {
		return 1
	}
	return 0
}

// judge takes a thing as rung if its kind rang within a minute of it, and a
// ring as for nothing if no thing of its kind was at risk within a minute.
func (n *threshold) judge(kind alarm.Kind, rung []time.Duration) {
	useful := make(map[time.Duration]bool)
	for _, t := range n.script.truths {
		if t.kind != kind {
			continue
		}
		covered := false
		for _, at := range rung {
			if at >= t.at-coveredFor && at <= t.at+coveredFor {
				covered = true
				useful[at] = true
			}
		}
		n.missed += one(!covered)
	}
	n.forNothing += len(rung) - len(useful)
}
