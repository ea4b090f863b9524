package gate

import (
	"math"
	"time"
)

const (
	// quietShare is the share of the slots up to which runs are taken for undisturbed
	// by each other, and fullShare the share of the limit from which they are not.
	quietShare = 0.5
	fullShare  = 0.8
	// minQuietRuns is the number of undisturbed runs of a route from which their mean
	// time is used, and maxQuietRuns the number that the mean remembers.
	minQuietRuns = 100
	maxQuietRuns = 256
	// concurrencyWindow is the number of runs of a full target by which the limit is
	// changed once.
	concurrencyWindow = 64
	// bearableSlowdown is the factor by which runs may take longer at a full target.
	// Only standardErrors beyond it count as a slowdown, so that the spread of the
	// runs' sizes does not.
	bearableSlowdown = 1.1
	standardErrors   = 3
	// minConcurrencyShare is the share of the slots that the limit leaves, and
	// concurrencyFactor the largest reduction for one window.
	minConcurrencyShare = 0.5
	concurrencyFactor   = 0.9
	// concurrencyHeadroom is by how much the limit exceeds the number of runs that
	// the target seems to work on at full speed, so that it always has work.
	concurrencyHeadroom = 1.1
)

// concurrency follows how many concurrent runs the target bears. A target that works on
// fewer runs than it has slots slows all of them down: the rest would better wait in
// the gate's queue, where urgent requests pass them and late ones are refused.
//
// Run times are compared with those of the same route while at most quietShare of the
// slots is in use. Runs that make calls are left out, since their times follow the load
// of other targets.
type concurrency struct {
	enabled bool
	quiet   map[string]*quietRuns
	limit   float64 // 0 for none
	window  slowdowns
}

// quietRuns is the mean time of undisturbed runs of a route.
type quietRuns struct {
	meanNs float64
	count  float64
}

func (q *quietRuns) add(took time.Duration) {
	q.count = min(q.count+1, maxQuietRuns)
	q.meanNs += (float64(took) - q.meanNs) / q.count
}

// slowdowns sums up the slowdowns of runs at a full target, and their concurrency.
type slowdowns struct {
	count, sum, squares float64
	busy                float64
}

// endedRun is a run that was answered: its time at the usual pace, and the slots in use
// when it was started and when it ended, with its own.
type endedRun struct {
	route              string
	took               time.Duration
	startBusy, endBusy int
}

// ended records a run at a target with the given number of slots.
func (c *concurrency) ended(r endedRun, slots int) {
	if !c.enabled {
		return
	}
	q := c.quietOf(r.route)
	if q == nil {
		return
	}
	busy := max(r.startBusy, r.endBusy)
	known := q.count >= minQuietRuns && q.meanNs > 0
	if known && float64(min(r.startBusy, r.endBusy)) >= fullShare*c.limitOf(slots) {
		c.window.add(float64(r.took)/q.meanNs, float64(busy))
	}
	if float64(busy) <= math.Ceil(quietShare*float64(slots)) {
		q.add(r.took)
	}
	if c.window.count >= concurrencyWindow {
		c.adjust(float64(slots))
	}
}

// quietOf returns the undisturbed runs of a route; nil if there are too many routes.
func (c *concurrency) quietOf(route string) *quietRuns {
	q := c.quiet[route]
	if q != nil || len(c.quiet) >= maxRoutes {
		return q
	}
	if c.quiet == nil {
		c.quiet = make(map[string]*quietRuns)
	}
	q = &quietRuns{}
	c.quiet[route] = q
	return q
}

func (s *slowdowns) add(slowdown, busy float64) {
	s.count++
	s.sum += slowdown
	s.squares += slowdown * slowdown
	s.busy += busy
}

// mean returns the mean slowdown and its standard error.
func (s *slowdowns) mean() (mean, standardError float64) {
	mean = s.sum / s.count
	return mean, math.Sqrt(max(s.squares/s.count-mean*mean, 0) / s.count)
}

// adjust changes the limit by the slowdowns of a window: one more run while runs are not
// slower than alone, otherwise down to the number of runs that the target seems to work
// on at full speed.
func (c *concurrency) adjust(slots float64) {
	limit := c.limitOf(int(slots))
	mean, standardError := c.window.mean()
	if mean-standardErrors*standardError > bearableSlowdown {
		bearable := c.window.busy / c.window.count / mean * concurrencyHeadroom
		c.limit = max(minConcurrencyShare*slots, concurrencyFactor*limit, min(bearable, limit))
	} else {
		c.limit = min(limit+1, slots)
	}
	c.window = slowdowns{}
}

// limitOf returns the number of concurrent runs that the target with the given slots
// bears.
func (c *concurrency) limitOf(slots int) float64 {
	if c.limit == 0 {
		return float64(slots)
	}
	return min(c.limit, float64(slots))
}

// BearableRuns returns how many concurrent runs the target bears; 0 without a target.
func (g *Gate) BearableRuns() float64 {
	return g.concurrency.limitOf(g.target.Slots)
}
