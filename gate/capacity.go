package gate

import (
	"slices"
	"time"

	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/request"
	"github.com/rhubarbring/rhubarbring/result"
)

// checkCapacity returns OK if the target can likely serve the request in time,
// or the code of the refusal and the retry delay. A call is in time up to its
// deadline: if it is refused, the run that makes it fails and its work is lost.
func (g *Gate) checkCapacity(now mono.Time, r *request.Request, f *flow) (result.Code, time.Duration) {
	if !g.target.present {
		return result.TargetUnavailable, g.cfg.RetryAfter
	}
	if g.drainGraceOver(now) || g.isDraining() && r.Slice == request.NoSlice {
		return result.Draining, 0
	}
	if excess := g.coldExcess(r, g.coldWaitOf(now, r, f)); excess > 0 {
		return result.QueueFull, g.retryAfterExcess(now, r, excess)
	}
	wait := g.likelyWait(now, r, f)
	if left := g.runEnd(now.Add(r.Budget)).Sub(now); left <= 0 || g.missesDeadline(r, wait, left) {
		return result.DeadlineTooShort, max(wait, g.cfg.RetryAfter)
	}
	if excess := g.excessWait(now, r, wait); excess > 0 && !r.Class.IsCall() {
		return result.QueueFull, g.retryAfterExcess(now, r, excess)
	}
	if r.LatencyTarget > 0 && g.queueFullUntried(now) {
		return result.QueueFull, g.cfg.MinRetryAfter
	}
	if next, refused := g.refusedForCalls(now, r); refused {
		return result.QueueFull, next
	}
	if g.lacksQueuePlace(r) || g.lacksMemory(r) {
		return result.QueueFull, max(wait, g.cfg.RetryAfter)
	}
	return result.OK, 0
}

// lacksQueuePlace reports whether a request would exceed the bounds of its queue or
// of all queues.
func (g *Gate) lacksQueuePlace(r *request.Request) bool {
	q := g.queueOf(r.Class)
	if q.len() >= g.cfg.MaxQueued || q.bodyBytes+len(r.Body) > g.cfg.MaxQueuedBytes {
		return true
	}
	return g.queuedCount() >= 2*g.cfg.MaxQueued || g.queuedBytes()+len(r.Body) > 2*g.cfg.MaxQueuedBytes
}

// longBodyBytes is the size from which a body counts as long.
const longBodyBytes = 64 << 10

// lacksMemory reports whether a request's long body would exceed MaxBodyBytes with
// the bodies that are here. Alone, any body is admitted. One that is not held here is
// admitted if it is the only such one.
func (g *Gate) lacksMemory(r *request.Request) bool {
	if r.Long != nil {
		return g.hasLongBody()
	}
	if g.cfg.MaxBodyBytes == 0 || len(r.Body) < longBodyBytes {
		return false
	}
	here := g.bodyBytes()
	return here > 0 && here+len(r.Body) > g.cfg.MaxBodyBytes
}

// hasLongBody reports whether a request with a request.LongBody is queued or running.
// Only one is admitted at a time: its caller decides how long it keeps its slot.
func (g *Gate) hasLongBody() bool {
	return slices.ContainsFunc(g.allJobs(), func(j *job) bool { return j.req.Long != nil })
}

// bodyBytes returns the total size of the bodies of the queued and running requests.
func (g *Gate) bodyBytes() int {
	sum := g.queuedBytes()
	for _, j := range g.runs {
		sum += len(j.req.Body)
	}
	return sum
}

// queueFullUntried reports whether as many requests wait as there are slots while no
// run has ended yet. Until one has, no wait can be estimated, and a gate that has
// just started would queue more than its target serves before their deadlines.
func (g *Gate) queueFullUntried(now mono.Time) bool {
	return !g.serviceTime.seen && g.queuedCount() >= g.usableSlots(now)
}

// missesDeadline reports whether a request will likely miss its deadline, given
// its wait for a slot and the time left. An idle target gets requests whatever
// its estimated service time, since otherwise a high estimate would never be
// corrected.
func (g *Gate) missesDeadline(r *request.Request, wait, left time.Duration) bool {
	if g.busySlots == 0 {
		return wait >= left
	}
	return wait+g.expectedRunOf(r.Route) > left
}

// runEnd returns when the run of a request with the deadline has to end: before the
// daemon does, too.
func (g *Gate) runEnd(deadline mono.Time) mono.Time {
	if g.target.stopsAt == 0 {
		return deadline
	}
	return min(deadline, g.target.stopsAt)
}

// missesSoftDeadline reports whether a request is late: its answer would likely
// miss the soft deadline even if it started at once.
func (g *Gate) missesSoftDeadline(r *request.Request) bool {
	return r.LatencyTarget > 0 && r.LatencyTarget <= g.expectedRunOf(r.Route)
}

// softDeadline returns when a request's answer is wanted; without a latency
// target that is at once, which makes the queue first in, first out. A late
// request gets its deadline instead, so that it is queued behind those that can
// be in time.
func (g *Gate) softDeadline(now mono.Time, r *request.Request) mono.Time {
	if g.missesSoftDeadline(r) {
		return now.Add(r.Budget)
	}
	return now.Add(r.LatencyTarget)
}

// excessWait returns by how much a request's expected wait exceeds what is
// allowed; there is room after about that time. A request without a latency
// target may wait as long as its deadline allows, and one that is not late as
// long as it can still meet its soft deadline. A late one may wait for
// LateWait, but not at all within OverloadWindow of an overload.
//
// This limits the queue under a load that exceeds the target's capacity for
// long: a longer queue would not serve more requests, but make every request
// late, and a slot for a late request makes another one late.
func (g *Gate) excessWait(now mono.Time, r *request.Request, wait time.Duration) time.Duration {
	switch {
	case r.LatencyTarget == 0:
		return 0
	case !g.missesSoftDeadline(r):
		return wait - (r.LatencyTarget - g.expectedRunOf(r.Route))
	case g.overloaded(now):
		return wait
	}
	return wait - g.cfg.LateWait
}

// overloaded reports whether a request that could still have met its soft
// deadline was refused within the last OverloadWindow.
func (g *Gate) overloaded(now mono.Time) bool {
	return g.overloadedAt > 0 && now.Sub(g.overloadedAt) < g.cfg.OverloadWindow
}

// retryAfterExcess returns the retry delay for a request that would wait too
// long: until there is room or, for a late request, which is in no hurry, at
// least RetryAfter. For a request that is not late it also records the
// overload.
func (g *Gate) retryAfterExcess(now mono.Time, r *request.Request, excess time.Duration) time.Duration {
	if g.missesSoftDeadline(r) {
		return max(excess, g.cfg.RetryAfter)
	}
	g.overloadedAt = now
	return max(excess, g.cfg.MinRetryAfter)
}

// queueDeadline returns until when a job may be queued. A late one gives way to
// others: it is refused after at most twice LateWait, so that its caller learns
// of it long before a distant deadline.
func (g *Gate) queueDeadline(j *job) mono.Time {
	if g.missesSoftDeadline(j.req) && !j.req.Class.IsCall() {
		return min(j.deadline, j.arrivedAt.Add(2*g.cfg.LateWait))
	}
	return j.deadline
}

// queueCheck returns when to look whether a job is still to be queued: when it
// becomes late, each LateWait from then on, and at its queueDeadline.
func (g *Gate) queueCheck(now mono.Time, j *job) mono.Time {
	next := now.Add(g.cfg.LateWait)
	if late := g.lateAt(j); late.After(now) {
		next = late
	}
	return min(next, g.queueDeadline(j))
}

// checkQueued refuses a job at its queueDeadline or, while room is shared out, when
// it has become late in the queue: others are started before it, and another gate
// may have room.
func (g *Gate) checkQueued(now mono.Time, j *job, out *Actions) {
	switch {
	case !now.Before(g.queueDeadline(j)):
		g.refuseJob(now, j, result.DeadlineTooShort, Admission{}, out)
	case g.sharesRoom(now) && !g.canBeInTime(now, j) && !g.missesSoftDeadline(j.req):
		g.refuseJob(now, j, result.QueueFull, Admission{}, out)
	default:
		g.setTimer(j, g.queueCheck(now, j))
	}
}
