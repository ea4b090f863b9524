package judge

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/rhubarbring/rhubarbring/result"
)

// Timeline is what a trial looked like over time, in steps of equal length
// from the load's start.
type Timeline struct {
	Step  time.Duration
	Apps  []string
	Steps []Step
	// Faults are the trial's faults, with times from the load's start.
	Faults []FaultWindow
	// Gaps are the gaps of all slices, by their beginning.
	Gaps []GapWindow
}

// Step is one step of a timeline.
type Step struct {
	// P50 and P99 are latencies of the requests done that were asked for in
	// the step; 0 if there were none.
	P50, P99 time.Duration
	// Asked and Failed count the requests asked for in the step, and those
	// of them that were not done.
	Asked, Failed int
	// Imbalance is by app, in the order of Timeline.Apps.
	Imbalance []float64
	// Changes counts the changes of owners that targets saw, and Forced those
	// away from a session that a fault stopped or killed.
	Changes, Forced int
}

// FaultWindow is a fault's time from the load's start.
type FaultWindow struct {
	Kind  FaultKind
	Begin time.Duration
	End   time.Duration
}

// GapWindow is a gap's time from the load's start.
type GapWindow struct {
	Slice string
	Begin time.Duration
	End   time.Duration
}

// NewTimeline works out the timeline of a trial. Gaps shorter than minGap are
// left out.
func NewTimeline(in Input, step, minGap time.Duration) Timeline {
	runs := runsOf(in)
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

func (t *Timeline) index(sinceStart int64) (int, bool) {
	i := int(sinceStart / int64(t.Step))
	return i, sinceStart >= 0 && i < len(t.Steps)
}

func (t *Timeline) addRequests(in Input, load span) {
	latencies := make([][]time.Duration, len(t.Steps))
	for _, r := range in.Records {
		i, ok := t.index(r.AskedNs - load.from)
		if !ok {
			continue
		}
		t.Steps[i].Asked++
		w, _ := r.Last()
		if w.Outcome != result.Done.String() {
			t.Steps[i].Failed++
			continue
		}
		latencies[i] = append(latencies[i], time.Duration(w.AnsweredNs-r.AskedNs))
	}
	for i, l := range latencies {
		t.Steps[i].P50 = percentile(l, median)
		t.Steps[i].P99 = percentile(l, percentile99)
	}
}

func (t *Timeline) addChanges(in Input, runs []run, load span) {
	victims := victimSessions(in, runs)
	for _, c := range ownerChanges(runs) {
		i, ok := t.index(c.atNs - load.from)
		if !ok {
			continue
		}
		t.Steps[i].Changes++
		if c.forced(victims) {
			t.Steps[i].Forced++
		}
	}
}

func (t *Timeline) addGaps(in Input, runs []run, load span, minGap time.Duration) {
	for name, asks := range asksBySlice(in, runs) {
		for _, g := range gaps(name, asks) {
			if g.Length() >= minGap {
				t.Gaps = append(t.Gaps, GapWindow{name, time.Duration(g.BeginNs - load.from), time.Duration(g.EndNs - load.from)})
			}
		}
	}
	slices.SortFunc(t.Gaps, func(a, b GapWindow) int {
		return cmp.Or(cmp.Compare(a.Begin, b.Begin), cmp.Compare(a.Slice, b.Slice))
	})
}

// InGap returns how many slices were in a gap at some time of step i.
func (t *Timeline) InGap(i int) int {
	from := time.Duration(i) * t.Step
	n := 0
	for _, g := range t.Gaps {
		if g.Begin < from+t.Step && g.End > from {
			n++
		}
	}
	return n
}
