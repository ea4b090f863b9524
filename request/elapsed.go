package request

import "time"

// maxTrackedRoutes bounds the routes whose longest timeout is remembered.
const maxTrackedRoutes = 1024

// ElapsedEstimator estimates how long a caller has already been waiting for a
// result. It remembers the longest timeout that callers of each route have
// asked for. A caller that was refused and retries has less time left than on
// its first submission, so the difference to the longest timeout is the time
// that has passed, although each submission has its own ID. It is not safe for
// concurrent use.
type ElapsedEstimator struct {
	longest map[string]time.Duration
}

// NewElapsedEstimator returns an ElapsedEstimator without any route.
func NewElapsedEstimator() *ElapsedEstimator {
	return &ElapsedEstimator{longest: make(map[string]time.Duration)}
}

// Reset drops all remembered timeouts. It is called when the routes change.
func (e *ElapsedEstimator) Reset() {
	clear(e.longest)
}

// RemainingTarget returns the request's latency target less the time that its
// caller has already been waiting. Asked is the timeout that the caller states,
// or 0 if it states none; then the latency target is returned unchanged. A
// request that is already late gets one nanosecond, since 0 would mean no
// target.
func (e *ElapsedEstimator) RemainingTarget(r *Request, asked time.Duration) time.Duration {
	if r.LatencyTarget == 0 || asked == 0 {
		return r.LatencyTarget
	}
	return max(r.LatencyTarget-e.elapsed(r.Route, asked), time.Nanosecond)
}

// elapsed returns how long a caller that asks for this timeout has been waiting
// already, and remembers the timeout if it is the route's longest so far.
func (e *ElapsedEstimator) elapsed(route string, asked time.Duration) time.Duration {
	longest := e.longest[route]
	if asked > longest && (longest > 0 || len(e.longest) < maxTrackedRoutes) {
		e.longest[route] = asked
		return 0
	}
	return max(longest-asked, 0)
}
