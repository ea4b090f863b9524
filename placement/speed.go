package placement

import (
	"math"

	"github.com/rhubarbring/rhubarbring/host"
)

// Targets of one app differ in speed, so the slots that a slice keeps busy
// depend on where it runs. The leader therefore normalizes loads: a load of 1
// is one busy slot of a target of mean speed. A target's speed is the
// normalized load that one of its busy slots handles.
const (
	// minSpeed and maxSpeed bound the speed that reports can give a target.
	minSpeed = 0.2
	maxSpeed = 2.5
	// minRunsForSpeed is the number of runs of a target, weighted as in
	// runTimes, below which its speed is not computed.
	minRunsForSpeed = 20
	// minSpeedChange is the smallest relative change by which a measured speed
	// replaces the one in use. speedErrorFactor is the same for a speed
	// measured from a single run; divided by the square root of the number of
	// runs, as the error of a mean is, it raises the smallest change when runs
	// are few.
	minSpeedChange   = 0.2
	speedErrorFactor = 2.0
	// maxMeanRunMillis is the mean duration of a run, in milliseconds, from
	// which a report's run times are ignored as implausible.
	maxMeanRunMillis = 3_600_000
	// runRetention is the weight of the earlier runs when a report adds new
	// ones.
	runRetention = 0.8
)

// runTimes holds the number and total duration of a target's runs, weighted in
// favour of recent ones.
type runTimes struct {
	runs float64
	ms   float64 // Sum of their durations, in milliseconds.
}

// rate returns the runs per millisecond of one busy slot.
func (t runTimes) rate() float64 {
	return t.runs / t.ms
}

// addRuns adds the runs of a report to the target's run times. A target without
// runs keeps its speed.
func (l *appLoads) addRuns(from host.Session, r LoadReport) {
	if r.CompletedRuns == 0 || !(r.MeanServiceMs > 0 && r.MeanServiceMs < maxMeanRunMillis) {
		return
	}
	t := l.runTimes[from]
	n := float64(r.CompletedRuns)
	l.runTimes[from] = runTimes{
		runs: t.runs*runRetention + n,
		ms:   t.ms*runRetention + n*float64(r.MeanServiceMs),
	}
}

// updateSpeeds recomputes the speeds of the hosts' targets relative to their
// mean, weighted by runs. A speed that differs little from the one in use is
// not adopted.
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

// speedOf returns the speed of a session's target, or 1 if it is not known.
func (l *appLoads) speedOf(s host.Session) float64 {
	if speed, ok := l.speeds[s]; ok {
		return speed
	}
	return 1
}
