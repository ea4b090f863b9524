package gate

import (
	"time"

	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/request"
)

// expectedWait returns how long a new request of a class with the given soft
// deadline would wait for a slot and for the limits on the rate of starts. The flow
// may be nil.
func (g *Gate) expectedWait(now mono.Time, class request.Class, softDeadline mono.Time, f *flow) time.Duration {
	slots := g.usableSlots(now)
	if slots == 0 {
		return 0
	}
	queued := g.queuedAhead(now, class, softDeadline, f)
	slotWait := max(g.target.pausedUntil.Sub(now), 0)
	if ahead := queued + g.busySlots - slots; ahead >= 0 {
		slotWait += time.Duration(ahead+1) * g.expectedRun() / time.Duration(slots)
	}
	return max(slotWait, g.startWait(now, queued+1))
}

// maxWaitCorrection bounds the correction of an expected wait.
const maxWaitCorrection = 8.0

// waitEstimate compares the waits of a route's requests with what was expected at
// their admission. The queue's length alone understates the wait of a request
// that later ones overtake, urgent ones or those whose answers are wanted sooner,
// and of one that waits for runs longer than the mean.
type waitEstimate struct {
	expected, actual ewma
}

// add records a request that was expected to wait and has started.
func (e *waitEstimate) add(expected, actual time.Duration) {
	e.expected.add(expected)
	e.actual.add(actual)
}

// correct returns the expected wait of another request of the route.
func (e *waitEstimate) correct(wait time.Duration) time.Duration {
	if e.expected.mean() <= 0 {
		return wait
	}
	ratio := float64(e.actual.mean()) / float64(e.expected.mean())
	return time.Duration(float64(wait) * min(max(ratio, 1), maxWaitCorrection))
}

// waitEstimateOf returns the estimate of a route. Beyond maxRoutes routes, it is
// one that records nothing.
func (g *Gate) waitEstimateOf(route string) *waitEstimate {
	e := g.waitEstimates[route]
	if e == nil {
		e = &waitEstimate{}
		if len(g.waitEstimates) < maxRoutes {
			g.waitEstimates[route] = e
		}
	}
	return e
}

// correctedWait returns the expected wait of a request of a route.
func (g *Gate) correctedWait(route string, wait time.Duration) time.Duration {
	if g.disabled.waitCorrection {
		return wait
	}
	return g.waitEstimateOf(route).correct(wait)
}

// likelyWait returns the wait that decides whether a request of a flow is admitted.
func (g *Gate) likelyWait(now mono.Time, r *request.Request, f *flow) time.Duration {
	wait := g.correctedWait(r.Route, g.expectedWait(now, r.Class, g.softDeadline(now, r), f))
	if g.sharesRoom(now) && g.flows.starves(now, f) {
		return min(wait, g.flows.starvingWait(f))
	}
	return wait
}
