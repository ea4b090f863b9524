package placement

import (
	"math"

	"github.com/rhubarbring/rhubarbring/host"
)

// Targets of one app differ in speed, and what a slice keeps busy depends on
// where it runs. The leader counts load in work: busy slots at a target of mean
// speed. A target's pace is the work that one of its busy slots does.
const (
	// minPace and maxPace bound what a report can make of a target.
	minPace = 0.2
	maxPace = 2.5
	// pacedRuns is how many runs must be known of a target before its pace
	// counts.
	pacedRuns = 20
	// paceBand is the least part by which a pace must differ from the one in
	// use before it takes its place, and paceDoubt that part for one run; it
	// falls with the root of their number, as the error of a mean does.
	paceBand  = 0.2
	paceDoubt = 2.0
	// longestRun bounds the mean time of a run that is believed, in
	// milliseconds.
	longestRun = 3_600_000
	// runsKept is the part of the runs known before that a report leaves.
	runsKept = 0.8
)

// runTimes are the runs of one target, the newest with the most weight.
type runTimes struct {
	runs float64
	ms   float64 // Sum of their times.
}

// rate is the runs for each millisecond of a busy slot.
func (t runTimes) rate() float64 {
	return t.runs / t.ms
}

// noteRuns takes what a report says of the target's runs. A target that ran
// nothing keeps the pace that it had.
func (l *loads) noteRuns(from host.Session, r LoadReport) {
	if r.Runs == 0 || !(r.Service > 0 && r.Service < longestRun) {
		return
	}
	t := l.times[from]
	n := float64(r.Runs)
	l.times[from] = runTimes{
		runs: t.runs*runsKept + n,
		ms:   t.ms*runsKept + n*float64(r.Service),
	}
}

// comparePaces compares the targets of the hosts anew. Paces that differ little
// from those in use change nothing.
func (l *loads) comparePaces(hosts []HostLoad) {
	var rates, runs float64
	for _, h := range hosts {
		if t, ok := l.times[h.Session]; ok {
			rates += t.runs * t.rate()
			runs += t.runs
		}
	}
	for _, h := range hosts {
		s := h.Session
		t := l.times[s]
		if t.runs < pacedRuns {
			continue
		}
		p := min(max(t.rate()*runs/rates, minPace), maxPace)
		band := max(paceBand, paceDoubt/math.Sqrt(t.runs))
		if used := l.paceOf(s); math.Abs(p-used) > band*used {
			l.paces[s] = p
		}
	}
}

// paceOf returns the work that a busy slot of a target does; 1 if its runs are
// not known.
func (l *loads) paceOf(s host.Session) float64 {
	if p, ok := l.paces[s]; ok {
		return p
	}
	return 1
}
