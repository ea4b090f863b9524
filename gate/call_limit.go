package gate

import (
	"math"
	"time"

	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/request"
)

const (
	// minCallShare is the smallest share of the slots that callLimit leaves to runs
	// that make calls. Their calls tell when there is room again.
	minCallShare = 0.25
	// callFailureFactor multiplies the share after a call that failed, and
	// callSuccessStep is added to it after one that did not. Together they bear about
	// one failed call in twenty at three quarters of the slots.
	callFailureFactor = 0.85
	callSuccessStep   = 0.005
	// callFailurePause is the least time between two reductions, so that calls that a
	// run makes at once, or that one full target refuses, count once.
	callFailurePause = 20 * time.Millisecond
	// callSilence is the time without the end of a call after which the share begins to
	// rise by callRecoveryPerSecond. It exceeds the time between calls of runs at a
	// target that still gets a quarter of its load.
	callSilence           = time.Second
	callRecoveryPerSecond = 0.1
)

// callLimit limits the runs that make calls while some of these fail. A run whose
// call fails ends without a result, so that fewer runs produce more. The limit is
// a share of the slots, increased by steps and reduced by a factor.
type callLimit struct {
	routes    map[string]struct{} // routes whose runs have made calls
	share     float64
	reducedAt mono.Time
	endedAt   mono.Time // when the last call ended
	jobs      int       // queued and running jobs of these routes
}

func newCallLimit() callLimit {
	return callLimit{routes: make(map[string]struct{}), share: 1}
}

// ended records the end of a call of a run of a route.
func (l *callLimit) ended(now mono.Time, route string, failed bool) {
	if _, known := l.routes[route]; !known && len(l.routes) < maxRoutes {
		l.routes[route] = struct{}{}
	}
	l.share = l.shareAt(now)
	l.endedAt = now
	if !failed {
		l.share = min(l.share+callSuccessStep, 1)
		return
	}
	if l.share == 1 || now.Sub(l.reducedAt) >= callFailurePause {
		l.share = max(l.share*callFailureFactor, minCallShare)
		l.reducedAt = now
	}
}

// covers reports whether the limit applies to a request: to those of routes whose
// runs make calls, but not to calls themselves.
func (l *callLimit) covers(r *request.Request) bool {
	_, makesCalls := l.routes[r.Route]
	return makesCalls && !r.Class.IsCall()
}

// shareAt returns the share at now. While no call ends, nothing tells of a lack of
// room, and the share rises with time.
func (l *callLimit) shareAt(now mono.Time) float64 {
	idle := max(now.Sub(l.endedAt)-callSilence, 0)
	return min(l.share+idle.Seconds()*callRecoveryPerSecond, 1)
}

// allows reports whether another request of a covered route may be admitted at a
// target with the given slots. Below the full share none waits for a slot.
func (l *callLimit) allows(now mono.Time, slots int) bool {
	share := l.shareAt(now)
	return share == 1 || l.jobs < int(math.Ceil(share*float64(slots)))
}

// CallEnded records the end of a call that the target made while it ran a request
// of the route; failed says that the call was refused, late or lost.
func (g *Gate) CallEnded(now mono.Time, route string, failed bool) {
	g.calls.ended(now, route, failed)
}

// CallShare returns the share of the slots that runs which make calls may take at now.
func (g *Gate) CallShare(now mono.Time) float64 {
	return g.calls.shareAt(now)
}

// refusedForCalls reports whether a request is refused since the calls of its run
// would likely fail, and after which time another run of its route ends.
func (g *Gate) refusedForCalls(now mono.Time, r *request.Request) (time.Duration, bool) {
	slots := g.usableSlots(now)
	if g.disabled.callLimit || !g.calls.covers(r) || g.calls.allows(now, slots) {
		return 0, false
	}
	limit := max(g.calls.shareAt(now)*float64(slots), 1)
	next := time.Duration(float64(g.serviceTimeOf(r.Route).mean()) / limit)
	return max(next, g.cfg.MinRetryAfter), true
}

// countCallingJob counts a job that is admitted, if its run may make calls.
func (g *Gate) countCallingJob(j *job) {
	if g.calls.covers(j.req) {
		j.makesCalls = true
		g.calls.jobs++
	}
}

// dropCallingJob ends the count of a job.
func (g *Gate) dropCallingJob(j *job) {
	if j.makesCalls {
		g.calls.jobs--
	}
}
