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

// simulation runs a Core through a scenario, answers its deliveries, and restarts
// it halfway.
type simulation struct {
	scenario *scenario
	core     *alarm.Core
	now      time.Duration
	stored   map[string]alarm.Alarm
	open     map[alarm.Condition]time.Duration
	raised   []raisedAlarm
	notices  int
	// taken holds, by cause and kind, the highest count that the receiver
	// has accepted.
	taken map[string]map[alarm.Kind]int
	calls int
	// bounds are those of the Core. falseTaken has every delivery reported
	// as accepted.
	bounds     alarm.Bounds
	falseTaken bool
}

type raisedAlarm struct {
	cause string
	at    time.Duration
}

func newSimulation(s *scenario) *simulation {
	sim := &simulation{
		scenario: s, stored: make(map[string]alarm.Alarm), open: make(map[alarm.Condition]time.Duration),
		taken: make(map[string]map[alarm.Kind]int), bounds: bounds,
	}
	return sim
}

func (sim *simulation) start() {
	cfg := alarm.DefaultConfig()
	cfg.Environment, cfg.Reporter, cfg.Bounds, cfg.HasReceiver = "production", "h1/1", sim.bounds, true
	sim.core = alarm.New(cfg)
	sim.step(alarm.SetParts{Names: []string{"zone a", "zone b"}})
}

func (sim *simulation) clock() alarm.Instant {
	return alarm.Instant{Mono: mono.Time(sim.now), UnixMs: sim.now.Milliseconds()}
}

func (sim *simulation) step(ev alarm.Event) {
	for _, a := range append([]alarm.Action(nil), sim.core.Step(sim.clock(), ev)...) {
		switch a := a.(type) {
		case alarm.Raised:
			sim.recordRaised(a.Alarm)
		case alarm.StoreAlarm:
			sim.stored[a.Alarm.ID] = a.Alarm
		case alarm.Deliver:
			sim.deliver(a.Alarm)
		}
	}
}

func (sim *simulation) recordRaised(a alarm.Alarm) {
	if a.Severity == alarm.Notice {
		sim.notices++
		return
	}
	sim.raised = append(sim.raised, raisedAlarm{a.Cause, sim.now})
}

func (sim *simulation) deliver(a alarm.Alarm) {
	sim.calls++
	taken := !inAnySpan(sim.scenario.receiverDown, sim.now)
	if taken {
		if sim.taken[a.Cause] == nil {
			sim.taken[a.Cause] = make(map[alarm.Kind]int)
		}
		for _, c := range a.Counts {
			sim.taken[a.Cause][c.Kind] = max(sim.taken[a.Cause][c.Kind], c.AtRisk)
		}
	}
	sim.step(alarm.DeliveryDone{ID: a.ID, Taken: taken || sim.falseTaken})
}

// restart replaces the Core by a new one, restores the stored alarms and reports
// the open conditions again.
func (sim *simulation) restart() {
	sim.start()
	for _, a := range sim.stored {
		sim.step(alarm.Restored{Alarm: a})
	}
	for c, since := range sim.open {
		sim.step(alarm.ConditionBegan{Condition: c, For: sim.now - since})
	}
}

func (sim *simulation) run() {
	steps := sim.scenario.events
	sim.start()
	for sim.now = 0; sim.now < simulatedTime; sim.now += tick {
		for len(steps) > 0 && steps[0].at <= sim.now {
			sim.track(steps[0].ev)
			sim.step(steps[0].ev)
			steps = steps[1:]
		}
		sim.step(alarm.PartSeen{Part: "zone a"})
		if !inAnySpan(sim.scenario.zoneSilent, sim.now) {
			sim.step(alarm.PartSeen{Part: "zone b"})
		}
		if sim.now == simulatedTime/2 {
			sim.restart()
		}
		sim.step(alarm.Tick{})
	}
}

func (sim *simulation) track(ev alarm.Event) {
	switch ev := ev.(type) {
	case alarm.ConditionBegan:
		sim.open[ev.Condition] = sim.now
	case alarm.ConditionEnded:
		for c := range sim.open {
			if c.Kind == ev.Kind && c.Subject == ev.Subject {
				delete(sim.open, c)
			}
		}
	}
}

// countErrors returns the number of conditions at risk of which the receiver was
// never informed, and the number of alarms whose cause put nothing at risk.
func (sim *simulation) countErrors() (missed, falseAlarms int) {
	want := make(map[string]map[alarm.Kind]int)
	for _, t := range sim.scenario.expected {
		if want[t.cause] == nil {
			want[t.cause] = make(map[alarm.Kind]int)
		}
		want[t.cause][t.kind]++
	}
	for cause, kinds := range want {
		for kind, n := range kinds {
			missed += max(0, n-sim.taken[cause][kind])
		}
	}
	for _, r := range sim.raised {
		if want[r.cause] == nil {
			falseAlarms++
		}
	}
	return missed, falseAlarms
}

// slowest returns the longest time from the moment at which a condition was at
// risk until the alarm of its cause rang.
func (sim *simulation) slowest() time.Duration {
	first := make(map[string]time.Duration)
	for _, r := range sim.raised {
		if at, ok := first[r.cause]; !ok || r.at < at {
			first[r.cause] = r.at
		}
	}
	var slowest time.Duration
	for _, t := range sim.scenario.expected {
		slowest = max(slowest, first[t.cause]-t.at)
	}
	return slowest
}

// TestGoldenSimulation compares the alarms of one simulation, with their time,
// cause and counts, with the golden file.
func TestGoldenSimulation(t *testing.T) {
	sim := newSimulation(newScenario(1))
	sim.run()
	var log strings.Builder
	for _, r := range sim.raised {
		fmt.Fprintf(&log, "%s %s %v\n", r.at, r.cause, sim.taken[r.cause])
	}
	if *update {
		must.NoError(t, os.MkdirAll("testdata", 0o755))
		must.NoError(t, os.WriteFile("testdata/night.txt", []byte(log.String()), 0o644))
	}
	want, err := os.ReadFile("testdata/night.txt")
	must.NoError(t, err)
	must.Eq(t, string(want), log.String())
}

// An alarm is raised for everything at risk in the scenarios, within two seconds,
// and for nothing else. In the same scenarios an alarm based on thresholds misses
// conditions and raises false alarms.
func TestSimulationRaisesForEveryRiskAndNothingElse(t *testing.T) {
	const scenarios = 20
	var atRisk, raised, notices, thresholdMissed, thresholdRaised, thresholdFalseAlarms int
	for seed := range uint64(scenarios) {
		s := newScenario(seed)
		sim := newSimulation(s)
		sim.run()
		missed, falseAlarms := sim.countErrors()
		must.Eq(t, 0, missed, must.Sprintf("seed %d", seed))
		must.Eq(t, 0, falseAlarms, must.Sprintf("seed %d", seed))
		must.LessEq(t, 2*tick, sim.slowest(), must.Sprintf("seed %d", seed))
		must.Positive(t, sim.notices)
		threshold := newThresholdAlarm(s)
		threshold.run()
		atRisk += len(s.expected)
		raised += len(sim.raised)
		notices += sim.notices
		thresholdMissed += threshold.missed
		thresholdRaised += threshold.raised
		thresholdFalseAlarms += threshold.falseAlarms
	}
	must.Positive(t, thresholdMissed)
	must.Positive(t, thresholdFalseAlarms)
	t.Logf("%d scenarios, %d conditions at risk: %d alarms, 0 missed, 0 false alarms, %d notices", scenarios, atRisk, raised, notices)
	t.Logf("threshold alarm in the same scenarios: %d alarms, %d missed, %d false alarms", thresholdRaised, thresholdMissed, thresholdFalseAlarms)
}

// thresholdAlarm is a conventional alarm for comparison. Every 15 s it checks
// whether more than ten requests failed within the last minute, or any slice has
// no owner, any host an older document or any session no witnesses. It raises an
// alarm for each of these kinds apart, at most once in five minutes.
type thresholdAlarm struct {
	scenario                    *scenario
	raised, missed, falseAlarms int
}

const (
	maxFailuresPerMinute = 10
	checkInterval        = 15 * time.Second
	minAlarmInterval     = 5 * time.Minute
	coverTolerance       = time.Minute
)

func newThresholdAlarm(s *scenario) *thresholdAlarm {
	return &thresholdAlarm{scenario: s}
}

func (a *thresholdAlarm) run() {
	for _, kind := range []alarm.Kind{alarm.OutcomeAtRisk, alarm.UnownedKey, alarm.DocumentNotInForce, alarm.AssignmentAtRisk} {
		raised := a.raiseTimes(kind)
		a.raised += len(raised)
		a.countErrors(kind, raised)
	}
}

// raiseTimes returns the times at which the alarm for a kind is raised.
func (a *thresholdAlarm) raiseTimes(kind alarm.Kind) []time.Duration {
	var raised []time.Duration
	var failed []time.Duration
	open := 0
	steps := a.scenario.events
	for now := time.Duration(0); now < simulatedTime; now += checkInterval {
		for len(steps) > 0 && steps[0].at <= now {
			switch ev := steps[0].ev.(type) {
			case alarm.RequestAnswered:
				if ev.Code != result.OK {
					failed = append(failed, steps[0].at)
				}
			case alarm.ConditionBegan:
				open += boolToInt(ev.Condition.Kind == kind)
			case alarm.ConditionEnded:
				open -= boolToInt(ev.Kind == kind)
			}
			steps = steps[1:]
		}
		for len(failed) > 0 && failed[0] < now-time.Minute {
			failed = failed[1:]
		}
		bad := open > 0
		if kind == alarm.OutcomeAtRisk {
			bad = len(failed) > maxFailuresPerMinute
		}
		if bad && (len(raised) == 0 || now-raised[len(raised)-1] >= minAlarmInterval) {
			raised = append(raised, now)
		}
	}
	return raised
}

func boolToInt(yes bool) int {
	if yes {
		return 1
	}
	return 0
}

// countErrors adds to missed the risks of a kind without an alarm within a
// minute, and to falseAlarms the alarms without a risk of the kind within a
// minute.
func (a *thresholdAlarm) countErrors(kind alarm.Kind, raised []time.Duration) {
	useful := make(map[time.Duration]bool)
	for _, t := range a.scenario.expected {
		if t.kind != kind {
			continue
		}
		covered := false
		for _, at := range raised {
			if at >= t.at-coverTolerance && at <= t.at+coverTolerance {
				covered = true
				useful[at] = true
			}
		}
		a.missed += boolToInt(!covered)
	}
	a.falseAlarms += len(raised) - len(useful)
}
