package judge

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/rhubarbring/rhubarbring/result"
)

// Timeline shows a trial over time, in steps of equal length from the start of
// the load.
type Timeline struct {
	Step  time.Duration
	Apps  []string
	Steps []Step
	// Faults holds the injected faults.
	Faults []FaultWindow
	// Gaps holds the gaps of all slices, sorted by beginning.
	Gaps []GapWindow
}

// Step holds the figures of one step of a timeline.
type Step struct {
	// P50 and P99 are latencies of the requests that arrived in the step and
	// were done, or 0 if there were none.
	P50, P99 time.Duration
	// Requests counts the requests that arrived in the step, and Failed those of
	// them that were not done.
	Requests, Failed int
	// Imbalance holds a value for each app, in the order of Timeline.Apps; 0 if
	// no target of the app was up.
	Imbalance []float64
	// Changes counts the changes of slice owners that targets saw, and Forced
	// those away from a session after a fault stopped or killed it.
	Changes, Forced int
}

// FaultWindow is the interval of a fault, relative to the start of the load.
type FaultWindow struct {
	Kind  FaultKind
	Begin time.Duration
	End   time.Duration
}

// GapWindow is the interval of a gap, relative to the start of the load.
type GapWindow struct {
	Slice string
	Begin time.Duration
	End   time.Duration
}

// NewTimeline returns the timeline of a trial. It leaves out gaps shorter than
// minGap.
func NewTimeline(in Input, step, minGap time.Duration) Timeline {
	runs := runsFromJournals(in)
	load := loadSpan(in)
	t := Timeline{Step: step, Apps: appsOf(in)}
	for from := load.from; from < load.to; from += int64(step) {
		t.Steps = append(t.Steps, Step{Imbalance: imbalanceIn(in, runs, span{from, from + int64(step)}, t.Apps)})
	}
	t.addRequests(in, load)
	t.addChanges(in, runs, load)
	for _, f := range in.Faults {
		t.Faults = append(t.Faults, FaultWindow{f.Kind, time.Duration(f.BeginNs - load.from), time.Duration(f.EndNs - load.from)})
	}
	t.addGaps(in, runs, load, minGap)
	return t
}

func appsOf(in Input) []string {
	apps := map[string]bool{}
	for _, h := range in.Hosts {
		apps[h.App] = true
	}
	return slices.Sorted(maps.Keys(apps))
}

func imbalanceIn(in Input, runs []run, s span, apps []string) []float64 {
	byApp := map[string]float64{}
	for _, b := range balancesIn(in, runs, []span{s}) {
		byApp[b.App] = b.Imbalance
	}
	out := make([]float64, len(apps))
	for i, app := range apps {
		out[i] = byApp[app]
	}
	return out
}

// index returns the step of a time since the start of the load, in nanoseconds,
// and whether the timeline has that step.
func (t *Timeline) index(sinceStart int64) (int, bool) {
	i := int(sinceStart / int64(t.Step))
	return i, sinceStart >= 0 && i < len(t.Steps)
}

func (t *Timeline) addRequests(in Input, load span) {
	latencies := make([][]time.Duration, len(t.Steps))
	for _, r := range in.Records {
		i, ok := t.index(r.ArrivalNs - load.from)
		if !ok {
			continue
		}
		t.Steps[i].Requests++
		w, _ := r.LastAnswered()
		if w.Outcome != result.Done.String() {
			t.Steps[i].Failed++
			continue
		}
		latencies[i] = append(latencies[i], time.Duration(w.AnsweredNs-r.ArrivalNs))
	}
	for i, l := range latencies {
		t.Steps[i].P50 = percentile(l, median)
		t.Steps[i].P99 = percentile(l, percentile99)
	}
}

func (t *Timeline) addChanges(in Input, runs []run, load span) {
	endedAt := sessionsEndedByFaults(in, runs)
	for _, c := range ownerChanges(runs) {
		i, ok := t.index(c.atNs - load.from)
		if !ok {
			continue
		}
		t.Steps[i].Changes++
		if c.forced(endedAt) {
			t.Steps[i].Forced++
		}
	}
}

func (t *Timeline) addGaps(in Input, runs []run, load span, minGap time.Duration) {
	for name, requests := range requestSpansBySlice(in, runs) {
		for _, g := range gaps(name, requests) {
			if g.Length() >= minGap {
				t.Gaps = append(t.Gaps, GapWindow{name, time.Duration(g.BeginNs - load.from), time.Duration(g.EndNs - load.from)})
			}
		}
	}
	slices.SortFunc(t.Gaps, func(a, b GapWindow) int {
		return cmp.Or(cmp.Compare(a.Begin, b.Begin), cmp.Compare(a.Slice, b.Slice))
	})
}

// GapCount returns how many gaps overlap step i.
func (t *Timeline) GapCount(i int) int {
	from := time.Duration(i) * t.Step
	n := 0
	for _, g := range t.Gaps {
		if g.Begin < from+t.Step && g.End > from {
			n++
		}
	}
	return n
}
