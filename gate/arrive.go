package gate

import (
	"time"

	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/idmemory"
	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/request"
	"github.com/rhubarbring/rhubarbring/result"
)

// Arrive takes a request from an entry daemon, which may be this one; nowMs is
// the wall clock in milliseconds since 1970. The gate keeps the request and
// does not change it.
func (g *Gate) Arrive(now mono.Time, nowMs int64, from host.Session, r *request.Request, out *Actions) {
	g.counters.Arrived++
	if !r.Idempotent && g.stale(from, r.Seq) {
		g.counters.Stale++
		return
	}
	o := origin{from: from, attempt: r.Attempt, seq: r.Seq}
	code, adm := g.admit(now, r)
	if code != result.OK {
		g.refuseArrival(now, o, r, code, adm, g.adviceFor(code), out)
		return
	}
	if remembered(r) && !g.guards.noMemory && g.known(now, nowMs, o, r, adm, out) {
		return
	}
	if code, after := g.capacity(now, r); code != result.OK {
		g.refuseArrival(now, o, r, code, adm, after, out)
		return
	}
	g.accept(now, nowMs, o, r, adm, out)
}

// stale reports whether a sending is a duplicate or a leftover: each sending
// of a session has a higher number than the ones before it. Only requests that
// must not repeat are held to it.
func (g *Gate) stale(from host.Session, seq uint64) bool {
	last := g.seen[from.Host]
	if from.Incarnation < last.incarnation {
		return !g.guards.anySeq
	}
	if from.Incarnation == last.incarnation && seq <= last.seq {
		return !g.guards.anySeq
	}
	g.seen[from.Host] = lastSeen{incarnation: from.Incarnation, seq: seq}
	return false
}

// admit says whether this daemon may serve the request now, as far as the
// ownership of its slice goes.
func (g *Gate) admit(now mono.Time, r *request.Request) (result.Code, Admission) {
	if r.App != g.cfg.App {
		return result.NotOwner, Admission{}
	}
	if r.Slice == request.NoSlice {
		if remembered(r) {
			return result.BadRequest, Admission{}
		}
		return result.OK, Admission{}
	}
	adm := g.cfg.Owner.Admit(r.App, r.Key, r.Slice, now)
	if adm.Code != result.OK {
		return adm.Code, adm
	}
	if !now.Before(adm.Expires) {
		return result.LeaseLapsed, adm
	}
	if r.Epoch > adm.Epoch {
		return result.NotOwner, adm
	}
	if !r.Idempotent && r.Epoch != adm.Epoch && !g.guards.anyEpoch {
		return result.NotOwner, adm
	}
	return result.OK, adm
}

// remembered reports whether the gate remembers the request's id: a repeat of
// it may come.
func remembered(r *request.Request) bool {
	return !r.Idempotent && !r.FreshID
}

// known answers a request whose id was let in before, or of which the gate
// can't know whether it was. It returns false if the request may run.
func (g *Gate) known(now mono.Time, nowMs int64, o origin, r *request.Request, adm Admission, out *Actions) bool {
	slice := key.Slice{App: r.App, ID: r.Slice}
	found := g.memory.Find(slice, r)
	if found.State == idmemory.Unseen {
		if g.knowable(nowMs, slice, r, adm) || g.guards.noHorizon {
			return false
		}
		g.refuseArrival(now, o, r, result.IDTooOld, adm, 0, out)
		return true
	}
	if !found.SameContent && !g.guards.anyContent {
		g.refuseArrival(now, o, r, result.IDReused, adm, 0, out)
		return true
	}
	if found.State == idmemory.InFlight {
		g.join(now, o, r, found.Slot, adm, out)
		return true
	}
	g.replay(now, o, r, found.Answer, adm, out)
	return true
}

// knowable reports whether an id that is not in the memory is surely new. For
// a first sending that is the caller's word; a duplicate of it was dropped by
// its number before. A request that was accepted in this host's future shows
// that the host's clock is behind: it dates its grants too early to tell.
func (g *Gate) knowable(nowMs int64, s key.Slice, r *request.Request, adm Admission) bool {
	if r.Repeat == request.RepeatFirst {
		return true
	}
	skew := g.cfg.Memory.Skew.Milliseconds()
	if r.IDTimeMs == 0 || r.AcceptedMs > nowMs+skew {
		return false
	}
	horizon := max(g.memory.DroppedMs(s), adm.KnownSinceMs)
	return within(r.IDTimeMs, horizon+skew, nowMs+skew)
}

func within(t, after, upTo int64) bool {
	return t > after && t <= upTo
}

// join lets a repeat wait for the answer of the request in flight.
func (g *Gate) join(now mono.Time, o origin, r *request.Request, slot idmemory.Slot, adm Admission, out *Actions) {
	j := g.inFlight(slot)
	if j == nil || len(j.joined) >= g.cfg.MaxJoined {
		g.refuseArrival(now, o, r, result.DuplicateInFlight, adm, g.cfg.RetryAfter, out)
		return
	}
	g.counters.Joined++
	j.joined = append(j.joined, o)
}

// inFlight returns the job that holds a slot of the memory. Repeats are rare,
// and the jobs few, so that it searches them.
func (g *Gate) inFlight(slot idmemory.Slot) *job {
	return g.findJob(func(j *job) bool { return j.slot == slot })
}

// findJob returns a job that waits or runs and matches, or nil. At most one
// may match.
func (g *Gate) findJob(match func(*job) bool) *job {
	for _, j := range g.runs {
		if match(j) {
			return j
		}
	}
	for _, q := range [...]*queue{&g.urgent, &g.normal} {
		for _, j := range q.jobs[q.first:] {
			if j != nil && match(j) {
				return j
			}
		}
	}
	return nil
}

// replay gives a repeat the kept answer, or says that the id ran.
func (g *Gate) replay(now mono.Time, o origin, r *request.Request, kept *request.Answer, adm Admission, out *Actions) {
	if kept == nil {
		g.refuseArrival(now, o, r, result.AlreadyRan, adm, 0, out)
		return
	}
	g.counters.Replayed++
	g.send(o, kept, out)
}

// capacity says whether the target can do the request in time.
func (g *Gate) capacity(now mono.Time, r *request.Request) (result.Code, time.Duration) {
	if !g.target.present {
		return result.TargetUnavailable, g.cfg.RetryAfter
	}
	if g.drained(now) || g.target.draining && r.Slice == request.NoSlice {
		return result.Draining, 0
	}
	wait := g.expectedWait(now, r.Class, g.wanted(now, r))
	if r.Budget <= 0 || g.tooLate(r, wait, r.Budget) {
		return result.DeadlineTooShort, max(wait, g.cfg.RetryAfter)
	}
	if over := g.tooLong(now, r, wait); over > 0 {
		return result.QueueFull, g.comeBack(now, r, over)
	}
	q := g.queueOf(r.Class)
	if q.len() >= g.cfg.MaxQueued || q.bytes+len(r.Body) > g.cfg.MaxQueuedBytes {
		return result.QueueFull, max(wait, g.cfg.RetryAfter)
	}
	return result.OK, 0
}

// tooLate reports whether a request that waits so long will likely miss its
// deadline. An idle target gets work whatever it took before, so that the
// estimate can't lock it out for good.
func (g *Gate) tooLate(r *request.Request, wait, left time.Duration) bool {
	if g.slots == 0 {
		return wait >= left
	}
	return wait+g.serviceOf(r.Route).mean() > left
}

// isLate reports whether a request's answer can't come when it is wanted, even
// if it starts now.
func (g *Gate) isLate(r *request.Request) bool {
	return r.Target > 0 && r.Target <= g.serviceOf(r.Route).mean()
}

// wanted is when a request's answer is wanted. One that is late goes behind
// those that can be in time.
func (g *Gate) wanted(now mono.Time, r *request.Request) mono.Time {
	if g.isLate(r) {
		return now.Add(r.Budget)
	}
	return now.Add(r.Target)
}

// tooLong returns by how much a request would wait too long for its answer to
// come when it is wanted; room comes about that much later. One that is late
// waits a while, but only for a slot that is free if the target has lately had
// too much to do.
//
// The load that this answers is one above the target's capacity that lasts: a
// longer queue serves no more requests then, and each of them late; and a slot
// that goes to one that is late makes another late.
func (g *Gate) tooLong(now mono.Time, r *request.Request, wait time.Duration) time.Duration {
	switch {
	case r.Target == 0:
		return 0
	case !g.isLate(r):
		return wait - (r.Target - g.serviceOf(r.Route).mean())
	case g.overloaded(now):
		return wait
	}
	return wait - g.cfg.LateWait
}

// overloaded reports whether a request that could have been in time was refused
// a short while ago.
func (g *Gate) overloaded(now mono.Time) bool {
	return g.tooMuchAt > 0 && now.Sub(g.tooMuchAt) < g.cfg.OverloadFor
}

// comeBack is when a request that would wait too long should come back: when
// room comes, or later if it is late already and has no hurry.
func (g *Gate) comeBack(now mono.Time, r *request.Request, over time.Duration) time.Duration {
	if g.isLate(r) {
		return max(over, g.cfg.RetryAfter)
	}
	g.tooMuchAt = now
	return max(over, g.cfg.LeastRetryAfter)
}

// accept lets a request in: it starts now or waits for a slot.
func (g *Gate) accept(now mono.Time, nowMs int64, o origin, r *request.Request, adm Admission, out *Actions) {
	var slot idmemory.Slot
	if remembered(r) {
		var room bool
		slot, room = g.memory.Begin(key.Slice{App: r.App, ID: r.Slice}, r, nowMs)
		if !room {
			g.refuseArrival(now, o, r, result.QueueFull, adm, g.cfg.RetryAfter, out)
			return
		}
	}
	j := g.newJob()
	j.req = r
	j.first = o
	j.slot = slot
	j.arrivedAt = now
	j.deadline = now.Add(r.Budget)
	j.wanted = g.wanted(now, r)
	g.step(now, j, eventQueue, nil, out)
	g.queueOf(r.Class).push(j)
	g.setTimer(j, g.queuedUntil(now, j))
	g.pump(now, out)
}

// queuedUntil is how long a request may wait for a slot: one that is late gives
// way to others, and is told so long before its deadline.
func (g *Gate) queuedUntil(now mono.Time, j *job) mono.Time {
	if g.isLate(j.req) {
		return min(j.deadline, now.Add(2*g.cfg.LateWait))
	}
	return j.deadline
}

func (g *Gate) queueOf(c request.Class) *queue {
	if c == request.Urgent {
		return &g.urgent
	}
	return &g.normal
}

// adviceFor is when to come back after a refusal for want of ownership.
func (g *Gate) adviceFor(code result.Code) time.Duration {
	if code.Outcome() != result.NotRun || code < result.NoOwner {
		return 0
	}
	return g.cfg.RetryAfter
}

// refuseArrival answers a sending that was not let in.
func (g *Gate) refuseArrival(now mono.Time, o origin, r *request.Request, code result.Code, adm Admission, after time.Duration, out *Actions) {
	g.counters.Refused++
	a := &request.Answer{
		ID:         r.ID,
		Attempt:    o.attempt,
		Seq:        o.seq,
		Code:       code,
		Owner:      string(g.cfg.Self.Host),
		Epoch:      adm.Newest,
		OwnEpoch:   adm.Epoch,
		RetryAfter: after,
	}
	g.report(now, a)
	out.Answers = append(out.Answers, Answer{To: o.from, Answer: a})
}
