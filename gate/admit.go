package gate

import (
	"time"

	"github.com/rhubarbring/rhubarbring/dedup"
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/request"
	"github.com/rhubarbring/rhubarbring/result"
)

// RequestReceived handles a request from an entry daemon, which may be this
// one; nowMs is the wall clock in milliseconds since 1970. The gate keeps the
// request and does not change it.
func (g *Gate) RequestReceived(now mono.Time, nowMs int64, from host.Session, r *request.Request, out *Actions) {
	g.counters.Arrived++
	if !r.Idempotent && g.isStale(from, r.Seq) {
		g.counters.Stale++
		return
	}
	w := waiter{from: from, attempt: r.Attempt, seq: r.Seq}
	code, adm := g.checkOwnership(now, r)
	if code != result.OK {
		g.refuseRequest(now, w, r, code, adm, g.retryAfter(code), out)
		return
	}
	if needsDedup(r) && !g.disabled.dedup && g.handleRepeat(now, nowMs, w, r, adm, out) {
		return
	}
	if left, held := g.quarantined(now, r); held {
		g.refuseRequest(now, w, r, result.Quarantined, adm, left, out)
		return
	}
	if code, retryAfter := g.checkCapacity(now, r); code != result.OK {
		g.refuseRequest(now, w, r, code, adm, retryAfter, out)
		return
	}
	g.accept(now, nowMs, w, r, adm, out)
}

// isStale reports whether an attempt is a duplicate or a leftover of an older
// connection or session: within a session sequence numbers rise.
// RequestReceived calls it only for non-idempotent requests.
func (g *Gate) isStale(from host.Session, seq uint64) bool {
	last := g.seen[from.Host]
	if from.Incarnation < last.incarnation {
		return !g.disabled.sequence
	}
	if from.Incarnation == last.incarnation && seq <= last.seq {
		return !g.disabled.sequence
	}
	g.seen[from.Host] = lastSeen{incarnation: from.Incarnation, seq: seq}
	return false
}

// checkOwnership returns whether this daemon may serve the request at now, as
// far as the ownership of its slice is concerned. A non-idempotent request is
// served only at the epoch that its sender addressed, so that an attempt delayed
// across changes of the owner never runs.
func (g *Gate) checkOwnership(now mono.Time, r *request.Request) (result.Code, Admission) {
	if r.App != g.cfg.App {
		return result.NotOwner, Admission{}
	}
	if r.Slice == request.NoSlice {
		if needsDedup(r) {
			return result.BadRequest, Admission{}
		}
		return result.OK, Admission{}
	}
	adm := g.cfg.Ownership.Admit(r.App, r.Key, r.Slice, now)
	if adm.Code != result.OK {
		return adm.Code, adm
	}
	if !now.Before(adm.Expires) {
		return result.LeaseLapsed, adm
	}
	if r.Epoch > adm.Epoch {
		return result.NotOwner, adm
	}
	if !r.Idempotent && r.Epoch != adm.Epoch && !g.disabled.epoch {
		return result.NotOwner, adm
	}
	return result.OK, adm
}

// needsDedup reports whether the gate remembers the request's id because the
// request may be repeated and must not run twice.
func needsDedup(r *request.Request) bool {
	return !r.Idempotent && !r.FreshID
}

// handleRepeat answers a request whose id was admitted before, or may have
// been. It returns false if the id is new.
func (g *Gate) handleRepeat(now mono.Time, nowMs int64, w waiter, r *request.Request, adm Admission, out *Actions) bool {
	slice := key.Slice{App: r.App, ID: r.Slice}
	found := g.dedup.Find(slice, r)
	if found.State == dedup.Unseen {
		if g.provablyNew(nowMs, slice, r, adm) || g.disabled.horizon {
			return false
		}
		g.refuseRequest(now, w, r, result.IDTooOld, adm, 0, out)
		return true
	}
	if !found.SameContent && !g.disabled.content {
		g.refuseRequest(now, w, r, result.IDReused, adm, 0, out)
		return true
	}
	if found.State == dedup.InFlight {
		g.join(now, w, r, found.Ref, adm, out)
		return true
	}
	g.replay(now, w, r, found.Answer, adm, out)
	return true
}

// provablyNew reports whether a request under an id that is not recorded
// certainly never ran. For RepeatFirst the caller guarantees that, and a
// duplicate of the same attempt was already dropped by its sequence number.
// Otherwise the id must have been generated later, by more than the clock skew,
// than both the slice's horizon and the time since when only this daemon admits
// the slice's requests, and not later than now plus the skew. A request that was
// accepted later than this host's clock shows, by more than the skew, proves
// that the clock is behind. The recorded grant times may then be too early, so
// that they prove nothing.
func (g *Gate) provablyNew(nowMs int64, s key.Slice, r *request.Request, adm Admission) bool {
	if r.Repeat == request.RepeatFirst {
		return true
	}
	skew := g.cfg.Dedup.Skew.Milliseconds()
	if r.IDTimeMs == 0 || r.AcceptedMs > nowMs+skew {
		return false
	}
	horizon := max(g.dedup.HorizonMs(s), adm.CompleteSinceMs)
	return within(r.IDTimeMs, horizon+skew, nowMs+skew)
}

// within reports whether t is after one time and not after the other.
func within(t, after, upTo int64) bool {
	return t > after && t <= upTo
}

// join lets a repeat wait for the answer of the request in flight.
func (g *Gate) join(now mono.Time, w waiter, r *request.Request, ref dedup.EntryRef, adm Admission, out *Actions) {
	j := g.inFlightJob(ref)
	if j == nil || len(j.joinedWaiters) >= g.cfg.MaxJoined {
		g.refuseRequest(now, w, r, result.DuplicateInFlight, adm, g.cfg.RetryAfter, out)
		return
	}
	g.counters.Joined++
	j.joinedWaiters = append(j.joinedWaiters, w)
}

// inFlightJob returns the job whose id is recorded in the given dedup entry, or
// nil. It searches the jobs, since repeats are rare and the jobs few.
func (g *Gate) inFlightJob(ref dedup.EntryRef) *job {
	return g.findJob(func(j *job) bool { return j.dedupRef == ref })
}

// findJob returns the queued or running job that matches, or nil. At most one
// job may match.
func (g *Gate) findJob(match func(*job) bool) *job {
	for _, j := range g.runs {
		if match(j) {
			return j
		}
	}
	for _, q := range [...]*queue{&g.urgent, &g.normal} {
		for _, j := range q.jobs[q.head:] {
			if j != nil && match(j) {
				return j
			}
		}
	}
	return nil
}

// replay answers a repeat with the kept answer or, if there is none, with
// AlreadyRan.
func (g *Gate) replay(now mono.Time, w waiter, r *request.Request, kept *request.Answer, adm Admission, out *Actions) {
	if kept == nil {
		g.refuseRequest(now, w, r, result.AlreadyRan, adm, 0, out)
		return
	}
	g.counters.Replayed++
	g.answerWaiter(w, kept, out)
}

// checkCapacity returns OK if the target can likely serve the request in time,
// or the code of the refusal and the retry delay.
func (g *Gate) checkCapacity(now mono.Time, r *request.Request) (result.Code, time.Duration) {
	if !g.target.present {
		return result.TargetUnavailable, g.cfg.RetryAfter
	}
	if g.drainGraceOver(now) || g.target.draining && r.Slice == request.NoSlice {
		return result.Draining, 0
	}
	wait := g.correctedWait(r.Route, g.expectedWait(now, r.Class, g.softDeadline(now, r)))
	if r.Budget <= 0 || g.missesDeadline(r, wait, r.Budget) {
		return result.DeadlineTooShort, max(wait, g.cfg.RetryAfter)
	}
	if excess := g.excessWait(now, r, wait); excess > 0 {
		return result.QueueFull, g.retryAfterExcess(now, r, excess)
	}
	if r.LatencyTarget > 0 && g.queueFullUntried(now) {
		return result.QueueFull, g.cfg.MinRetryAfter
	}
	q := g.queueOf(r.Class)
	if q.len() >= g.cfg.MaxQueued || q.bodyBytes+len(r.Body) > g.cfg.MaxQueuedBytes {
		return result.QueueFull, max(wait, g.cfg.RetryAfter)
	}
	return result.OK, 0
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
	return wait+g.serviceTimeOf(r.Route).mean() > left
}

// missesSoftDeadline reports whether a request is late: its answer would likely
// miss the soft deadline even if it started at once.
func (g *Gate) missesSoftDeadline(r *request.Request) bool {
	return r.LatencyTarget > 0 && r.LatencyTarget <= g.serviceTimeOf(r.Route).mean()
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
		return wait - (r.LatencyTarget - g.serviceTimeOf(r.Route).mean())
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

// accept admits a request: it is started or queued.
func (g *Gate) accept(now mono.Time, nowMs int64, w waiter, r *request.Request, adm Admission, out *Actions) {
	var ref dedup.EntryRef
	if needsDedup(r) {
		var room bool
		ref, room = g.dedup.Begin(key.Slice{App: r.App, ID: r.Slice}, r, nowMs)
		if !room {
			g.refuseRequest(now, w, r, result.QueueFull, adm, g.cfg.RetryAfter, out)
			return
		}
	}
	j := g.newJob()
	j.req = r
	j.firstWaiter = w
	j.dedupRef = ref
	j.arrivedAt = now
	j.deadline = now.Add(r.Budget)
	j.softDeadline = g.softDeadline(now, r)
	j.expectedWait = g.expectedWait(now, r.Class, j.softDeadline)
	g.step(now, j, eventQueue, nil, out)
	g.queueOf(r.Class).push(j)
	g.setTimer(j, g.queueDeadline(now, j))
	g.startQueued(now, out)
}

// queueDeadline returns until when a job may be queued. A late one gives way to
// others: it is refused after at most twice LateWait, so that its caller learns
// of it long before a distant deadline.
func (g *Gate) queueDeadline(now mono.Time, j *job) mono.Time {
	if g.missesSoftDeadline(j.req) {
		return min(j.deadline, now.Add(2*g.cfg.LateWait))
	}
	return j.deadline
}

// queueOf returns the queue of a class.
func (g *Gate) queueOf(c request.Class) *queue {
	if c == request.Urgent {
		return &g.urgent
	}
	return &g.normal
}

// retryAfter returns the retry delay for a refusal: RetryAfter if the request
// did not run for a reason that may pass, otherwise 0. Codes from NoOwner on
// are such reasons; lower ones are faults of the request.
func (g *Gate) retryAfter(code result.Code) time.Duration {
	if code.Outcome() != result.NotRun || code < result.NoOwner {
		return 0
	}
	return g.cfg.RetryAfter
}

// RefuseFull refuses a request that the target has not seen, since something else
// on the way of its answer has no room.
func (g *Gate) RefuseFull(now mono.Time, from host.Session, r *request.Request, retryAfter time.Duration, out *Actions) {
	g.counters.Arrived++
	w := waiter{from: from, attempt: r.Attempt, seq: r.Seq}
	g.refuseRequest(now, w, r, result.QueueFull, Admission{}, max(retryAfter, g.cfg.MinRetryAfter), out)
}

// refuseRequest answers an attempt that is not admitted.
func (g *Gate) refuseRequest(now mono.Time, w waiter, r *request.Request, code result.Code, adm Admission, retryAfter time.Duration, out *Actions) {
	g.counters.Refused++
	a := &request.Answer{
		ID:         r.ID,
		Attempt:    w.attempt,
		Seq:        w.seq,
		Code:       code,
		Owner:      string(g.cfg.Self.Host),
		Epoch:      adm.Newest,
		OwnerEpoch: adm.Epoch,
		RetryAfter: retryAfter,
	}
	g.addLoad(now, a)
	out.Answers = append(out.Answers, Answer{To: w.from, Answer: a})
}
