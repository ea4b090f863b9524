package request

import (
	"time"

	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/result"
	"github.com/rhubarbring/rhubarbring/timer"
)

// Answered handles a gate's answer. The answer is accepted only if its session,
// ID, attempt and sequence number match an attempt that is still pending; any
// other is dropped and counted as unmatched. The router keeps a.
func (r *Router) Answered(now mono.Time, from host.Session, a *Answer, out *Actions) {
	c, ok := r.bySeq[a.Seq]
	if !ok || !r.matches(c, from, a) {
		r.counters.UnmatchedAnswers++
		return
	}
	if c.state == stateDoubtful {
		r.lateAnswer(now, c, a, out)
		return
	}
	if c.state != stateSent {
		r.counters.UnmatchedAnswers++
		return
	}
	if c.isSecond(a.Seq) {
		r.secondAnswered(now, c, a, out)
		return
	}
	r.attemptAnswered(now, c, a)
	r.tellAdmission(now, c, from, a)
	if a.Code == result.OK {
		r.recordAnswerTime(now, c)
	}
	if c.req.Slice != NoSlice {
		r.cfg.Chooser.Returned(from, now, len(a.Body))
	}
	c.lastEpoch = max(c.lastEpoch, a.Epoch)
	r.handleAnswer(now, c, from, a, out)
}

// matches reports whether an answer belongs to an attempt of the call that is under
// way.
func (r *Router) matches(c *call, from host.Session, a *Answer) bool {
	if c.isSecond(a.Seq) {
		return from == c.second.to && a.ID == c.req.ID && a.Attempt == c.second.req.Attempt
	}
	return from == c.to && a.ID == c.req.ID && a.Attempt == c.req.Attempt && a.Seq == c.req.Seq
}

// handleAnswer decides what follows from an answer that arrived before the
// deadline: a retry, another gate, an unknown outcome or the final answer.
func (r *Router) handleAnswer(now mono.Time, c *call, from host.Session, a *Answer, out *Actions) {
	c.lastCode = a.Code
	c.lastAfter = a.RetryAfter
	c.gateBehind = gateMayCatchUp(c.req, a)
	switch a.Code {
	case result.NotOwner, result.Draining, result.LeaseLapsed, result.FenceRefused:
		r.ownershipRefused(now, c, from, a, out)
		return
	case result.QueueFull, result.TargetShed, result.TargetUnavailable, result.DeadlineTooShort:
		if c.req.Slice == NoSlice {
			r.retryLater(now, c, out)
			return
		}
	case result.AnswerLost, result.OutcomeUnknown, result.LeaseLapsedAfter, result.PeerLost:
		if c.req.Idempotent {
			c.unknownCode = a.Code
			r.retryLater(now, c, out)
			return
		}
		r.reportUnknownAnswer(now, c, a, out)
		return
	}
	r.finish(now, c, a, out)
}

// ownershipRefused handles a gate's refusal for lack of ownership: it sends the
// request to the slice's new owner, or lets it wait until one is known. The
// refused attempt did not run and never will, so that even a request that is
// not idempotent may be sent again. After MaxWait of such refusals the request
// is refused with NoOwner.
func (r *Router) ownershipRefused(now mono.Time, c *call, from host.Session, a *Answer, out *Actions) {
	if c.callerGone {
		r.finish(now, c, a, out)
		return
	}
	if c.refusedSince == 0 {
		c.refusedSince = now
	}
	if now.Sub(c.refusedSince) >= r.cfg.MaxWait {
		r.refuse(now, c, result.NoOwner, out)
		return
	}
	if c.req.Slice == NoSlice {
		r.retryLater(now, c, out)
		return
	}
	if a.Code == result.NotOwner && a.OwnerEpoch > c.req.Epoch {
		c.hintOwner = from
		c.hintEpoch = a.OwnerEpoch
	}
	if _, moved := r.lookupOwner(c); c.gateBehind && !moved {
		r.retryLater(now, c, out)
		return
	}
	if !r.countAndCheckLimits(c) {
		r.refuse(now, c, a.Code, out)
		return
	}
	if !r.spendRetry(c.req.App, a.Code) {
		r.refuse(now, c, result.RetryBudgetSpent, out)
		return
	}
	delete(r.bySeq, c.req.Seq)
	r.counters.Retried++
	r.route(now, c, out)
}

// gateMayCatchUp reports whether a gate that refused a request may soon admit it
// although the map does not change: it does not know the request's epoch yet,
// or its lease has lapsed and may be renewed.
func gateMayCatchUp(req *Request, a *Answer) bool {
	return a.Code == result.LeaseLapsed || a.Code == result.NotOwner && a.Epoch < req.Epoch
}

// reportUnknownAnswer passes a gate's answer with an unknown outcome to the
// caller and awaits the late answer that the gate sends when it learns the
// outcome, unless too many are awaited already.
func (r *Router) reportUnknownAnswer(now mono.Time, c *call, a *Answer, out *Actions) {
	r.step(now, c, eventDoubt, a, out)
	if r.countInState[stateDoubtful] > r.cfg.MaxUnknown {
		r.step(now, c, eventForget, nil, out)
	}
}

// lateAnswer handles an answer to a request whose caller was already told that
// the outcome is unknown. It settles the outcome if the answer states it.
func (r *Router) lateAnswer(now mono.Time, c *call, a *Answer, out *Actions) {
	r.counters.UnmatchedAnswers++
	if a.Code.Outcome() == result.Unknown {
		return
	}
	r.step(now, c, eventAnswer, a, out)
}

// refuse ends a request with an answer of this daemon. Unless the code's outcome
// says otherwise, no attempt of this daemon can have run.
func (r *Router) refuse(now mono.Time, c *call, code result.Code, out *Actions) {
	r.finish(now, c, r.newRefusal(c, code), out)
}

// finish ends a request with the answer a.
func (r *Router) finish(now mono.Time, c *call, a *Answer, out *Actions) {
	r.step(now, c, eventAnswer, a, out)
}

// newRefusal returns an answer with the code that is made by this daemon itself.
func (r *Router) newRefusal(c *call, code result.Code) *Answer {
	a := &Answer{ID: c.req.ID, Attempt: c.attempt, Seq: c.req.Seq, Code: code, Owner: string(c.to.Host), Epoch: c.lastEpoch}
	a.RetryAfter = r.retryAfter(c, code)
	return a
}

// retryAfter returns the Retry-After advice for a code, or 0 for none. There is
// advice for refusals that may pass with time, and for unknown outcomes, which
// the caller can learn by repeating the request with the same ID.
func (r *Router) retryAfter(c *call, code result.Code) time.Duration {
	switch code {
	case result.Cancelled, result.IDTooOld, result.IDReused, result.AlreadyRan, result.AnswerTruncated:
		return 0
	}
	if outcome := code.Outcome(); outcome != result.NotRun && outcome != result.Unknown {
		return 0
	}
	if code < result.NoOwner {
		return 0
	}
	if code == result.QueueFull && c.lastAfter > 0 {
		return c.lastAfter // The gate's own estimate is the best one.
	}
	return max(r.cfg.RetryAfter, c.lastAfter)
}

// reply answers the caller, or records the outcome if the caller disconnected.
// An answer that closes the request and is neither done nor not run raises a
// risk.
func (r *Router) reply(now mono.Time, c *call, a *Answer, out *Actions) {
	a.Code = c.codeForCaller(a.Code)
	a.RetryAfter = max(a.RetryAfter, r.retryAfter(c, a.Code))
	r.endAdmission(now, c, a)
	if c.callerGone {
		r.recordUndelivered(c, a, out)
		return
	}
	r.counters.Replied++
	if a.Code == result.OK {
		r.queueAck(c)
		r.settleEarlierRisk(c, out)
	}
	delete(r.byCaller, c.caller)
	out.Replies = append(out.Replies, Reply{Call: c.caller, Answer: a})
	if c.state == stateClosed && a.Code.Outcome() != result.Done && a.Code.Outcome() != result.NotRun {
		r.raiseRisk(c, a, out)
	}
}

// codeForCaller applies CodeForCaller to a call with several attempts: if an
// earlier attempt may have run, a refusal of the last one is not reported as
// "not run".
func (c *call) codeForCaller(code result.Code) result.Code {
	if c.second != nil && code.Outcome() == result.NotRun {
		return result.OutcomeUnknown
	}
	if c.unknownCode != 0 && code.Outcome() == result.NotRun {
		return c.unknownCode
	}
	return CodeForCaller(c.req, code)
}

// recordUndelivered raises the outcome of a request whose caller disconnected.
// In the doubtful state it does nothing, since the state chart raises the risk.
func (r *Router) recordUndelivered(c *call, a *Answer, out *Actions) {
	if c.state != stateClosed {
		return
	}
	r.raiseRisk(c, a, out)
	r.queueAck(c)
}

// raiseRisk emits a Risk for a request that is not idempotent.
func (r *Router) raiseRisk(c *call, a *Answer, out *Actions) {
	if c.req.Idempotent {
		return
	}
	r.counters.Raised++
	out.Risks = append(out.Risks, Risk{
		ID:      c.req.ID,
		App:     c.req.App,
		Key:     c.req.Key,
		Slice:   c.req.Slice,
		Epoch:   c.req.Epoch,
		Owner:   c.to,
		Code:    a.Code,
		Outcome: a.Code.Outcome(),
	})
}

// settleRisk emits the Settlement of a request that was raised as unknown. A
// run that is done counts as late, since the caller was told before that the
// outcome is unknown. A "not run" settles nothing if an earlier submission of
// the ID may have run.
func (r *Router) settleRisk(c *call, a *Answer, out *Actions) {
	outcome := a.Code.Outcome()
	if outcome == result.Done {
		outcome = result.Late
	}
	if outcome == result.NotRun && CodeForCaller(c.req, a.Code) != a.Code {
		return
	}
	out.Settlements = append(out.Settlements, Settlement{ID: c.req.ID, App: c.req.App, Key: c.req.Key, Outcome: outcome})
}

// settleEarlierRisk emits the Settlement of a risk that an earlier submission of
// the ID may have raised, now that the caller gets the answer.
func (r *Router) settleEarlierRisk(c *call, out *Actions) {
	if c.req.Idempotent || c.req.Repeat == RepeatFirst {
		return
	}
	out.Settlements = append(out.Settlements, Settlement{ID: c.req.ID, App: c.req.App, Key: c.req.Key, Outcome: result.Done})
}

// attemptEnded tells the chooser that an attempt ended without a gate's answer.
func (r *Router) attemptEnded(now mono.Time, c *call, code result.Code) {
	if c.req.Slice == NoSlice {
		r.cfg.Chooser.AttemptEnded(c.to, now, AttemptResult{Took: now.Sub(c.sentAt), Code: code})
	}
}

// attemptAnswered tells the chooser that an attempt ended with a gate's answer,
// which also reports the load of the gate's target.
func (r *Router) attemptAnswered(now mono.Time, c *call, a *Answer) {
	if c.req.Slice != NoSlice {
		return
	}
	r.cfg.Chooser.AttemptEnded(c.to, now, attemptResult(now.Sub(c.sentAt), a))
}

// attemptResult describes an attempt that ended with a gate's answer.
func attemptResult(took time.Duration, a *Answer) AttemptResult {
	return AttemptResult{
		Took:        took,
		Code:        a.Code,
		Bytes:       len(a.Body),
		Slots:       int(a.Slots),
		Jobs:        int(a.Jobs),
		ServiceTime: a.ServiceTime,
	}
}

// setTimer replaces the call's timer. The old entry stays in the queue, where it
// no longer matches the call's timer ID; stale entries are removed when there
// are many.
func (r *Router) setTimer(c *call, at mono.Time) {
	c.timerID = r.timers.Add(at, c)
	c.timerAt = at
	if r.timers.Len() > maxStaleTimers+2*(r.Live()+r.countInState[stateDoubtful]) {
		r.timers.Compact(func(e timer.Entry[*call]) bool { return e.Item.timerID == e.ID })
	}
}

// maxStaleTimers is how many entries the timer queue may hold, beyond two for
// each call, before the stale ones are removed.
const maxStaleTimers = 4096

// newCall returns an empty call in the received state.
func (r *Router) newCall() *call {
	r.countInState[stateReceived]++
	if len(r.freeCalls) == 0 {
		return &call{}
	}
	c := r.freeCalls[len(r.freeCalls)-1]
	r.freeCalls = r.freeCalls[:len(r.freeCalls)-1]
	return c
}

// releaseCall removes a closed call and makes its memory available for reuse. A
// timer that still points to it is recognized by its ID. A call that was added
// to the waiting list is not reused, since it may still be listed there.
func (r *Router) releaseCall(c *call) {
	r.countInState[stateClosed]--
	if c.attempt > 0 {
		delete(r.bySeq, c.req.Seq)
	}
	if r.byCaller[c.caller] == c {
		delete(r.byCaller, c.caller)
	}
	listed := c.wasInWaitList
	*c = call{}
	if !listed {
		r.freeCalls = append(r.freeCalls, c)
	}
}
