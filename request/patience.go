package request

import "time"

// maxTrackedRoutes bounds the routes whose longest timeout is remembered.
const maxTrackedRoutes = 1024

// ElapsedEstimator estimates how long a caller has already been waiting for a result.
// It remembers the longest timeout that callers of each route have asked for.
// A caller that was refused and retries has less time left than on its first
// submission, so the difference to the longest timeout is the time that has
// passed, although each submission has its own ID. It is not safe for
// concurrent use.
type ElapsedEstimator struct {
	longest map[string]time.Duration
}

// NewElapsedEstimator returns a Patience without any route.
func NewElapsedEstimator() *ElapsedEstimator {
	return &ElapsedEstimator{longest: make(map[string]time.Duration)}
}

// Reset drops all remembered timeouts. It is called when the routes change.
func (p *ElapsedEstimator) Reset() {
	clear(p.longest)
}

// RemainingTarget returns the request's latency target less the time that its caller
// has already been waiting. Asked is the timeout that the caller states, or 0
// if it states none; then the latency target is returned unchanged. A request
// that is already late gets one nanosecond, since 0 would mean no target.
func (p *ElapsedEstimator) RemainingTarget(r *Request, asked time.Duration) time.Duration {
	if r.LatencyTarget == 0 || asked == 0 {
		return r.LatencyTarget
	}
	return max(r.LatencyTarget-p.elapsed(r.Route, asked), time.Nanosecond)
}

// elapsed returns how long a caller that asks for this timeout has been waiting
// already, and remembers the timeout if it is the route's longest so far.
func (p *ElapsedEstimator) elapsed(route string, asked time.Duration) time.Duration {
	longest := p.longest[route]
	if asked > longest && (longest > 0 || len(p.longest) < maxTrackedRoutes) {
		p.longest[route] = asked
		return 0
	}
	return max(longest-asked, 0)
}
