package placement

import (
	"math"

	"github.com/rhubarbring/rhubarbring/host"
)

// Targets of one app differ in speed, and what a slice keeps busy depends on
// where it runs. The leader counts load in work: busy slots at a target of mean
// speed. A target's pace is the work that one of its busy slots does.
const (
	// minSpeed and maxPace bound what a report can make of a target.
	minSpeed = 0.2
	maxSpeed = 2.5
	// minRunsForSpeed is how many runs must be known of a target before its pace
	// counts.
	minRunsForSpeed = 20
	// minSpeedChange is the least part by which a pace must differ from the one in
	// use before it takes its place, and paceDoubt that part for one run; it
	// falls with the root of their number, as the error of a mean does.
	minSpeedChange   = 0.2
	speedErrorFactor = 2.0
	// maxMeanRunMillis bounds the mean time of a run that is believed, in
	// milliseconds.
	maxMeanRunMillis = 3_600_000
	// runRetention is the part of the runs known before that a report leaves.
	runRetention = 0.8
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

// addRuns takes what a report says of the target's runs. A target that ran
// nothing keeps the pace that it had.
func (l *appLoads) addRuns(from host.Session, r LoadReport) {
	if r.Runs == 0 || !(r.Service > 0 && r.Service < maxMeanRunMillis) {
		return
	}
	t := l.runTimes[from]
	n := float64(r.Runs)
	l.runTimes[from] = runTimes{
		runs: t.runs*runRetention + n,
		ms:   t.ms*runRetention + n*float64(r.Service),
	}
}

// updateSpeeds compares the targets of the hosts anew. Paces that differ little
// from those in use change nothing.
func (l *appLoads) updateSpeeds(hosts []HostLoad) {
	var rates, runs float64
	for _, h := range hosts {
		if t, ok := l.runTimes[h.Session]; ok {
			rates += t.runs * t.rate()
			runs += t.runs
		}
	}
	for _, h := range hosts {
		s := h.Session
		t := l.runTimes[s]
		if t.runs < minRunsForSpeed {
			continue
		}
		speed := min(max(t.rate()*runs/rates, minSpeed), maxSpeed)
		minChange := max(minSpeedChange, speedErrorFactor/math.Sqrt(t.runs))
		if current := l.speedOf(s); math.Abs(speed-current) > minChange*current {
			l.speeds[s] = speed
		}
	}
}

// speedOf returns the work that a busy slot of a target does; 1 if its runs are
// not known.
func (l *appLoads) speedOf(s host.Session) float64 {
	if speed, ok := l.speeds[s]; ok {
		return speed
	}
	return 1
}
