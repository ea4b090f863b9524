package request

import (
	"time"

	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/result"
	"github.com/rhubarbring/rhubarbring/timer"
)

// Answered takes a gate's answer. It counts only if session, id, attempt and
// sequence are those of a sending that is still waited for; any other is
// dropped and counted. The router keeps the answer.
func (r *Router) Answered(now mono.Time, from host.Session, a *Answer, out *Actions) {
	c, ok := r.sends[a.Seq]
	if !ok || !r.matches(c, from, a) {
		r.counters.Strays++
		return
	}
	if c.state == stateDoubtful {
		r.lateAnswer(now, c, a, out)
		return
	}
	if c.state != stateSent {
		r.counters.Strays++
		return
	}
	r.endedWith(now, c, a)
	if c.req.Slice != NoSlice {
		r.cfg.Chooser.Returned(from, now, len(a.Body))
	}
	c.lastEpoch = max(c.lastEpoch, a.Epoch)
	r.decide(now, c, from, a, out)
}

func (r *Router) matches(c *call, from host.Session, a *Answer) bool {
	return from == c.to && a.ID == c.req.ID && a.Attempt == c.attempt && a.Seq == c.req.Seq
}

// decide says what an answer in time leads to.
func (r *Router) decide(now mono.Time, c *call, from host.Session, a *Answer, out *Actions) {
	c.lastCode = a.Code
	c.lastAfter = a.RetryAfter
	c.behind = behind(c.req, a)
	switch a.Code {
	case result.NotOwner, result.Draining, result.LeaseLapsed, result.FenceRefused:
		r.moved(now, c, from, a, out)
		return
	case result.QueueFull, result.TargetShed, result.TargetUnavailable, result.DeadlineTooShort:
		if c.req.Slice == NoSlice {
			r.again(now, c, out)
			return
		}
	case result.AnswerLost, result.OutcomeUnknown, result.LeaseLapsedAfter, result.PeerLost:
		if c.req.Idempotent {
			c.inDoubt = a.Code
			r.again(now, c, out)
			return
		}
		r.doubtAnswer(now, c, a, out)
		return
	}
	r.finish(now, c, a, out)
}

// moved follows a slice to its new owner, or waits until one is known. The
// refusal is a true "not run", so that the request may be sent again even if
// it is not idempotent.
func (r *Router) moved(now mono.Time, c *call, from host.Session, a *Answer, out *Actions) {
	if c.gone {
		r.finish(now, c, a, out)
		return
	}
	if c.movedSince == 0 {
		c.movedSince = now
	}
	if now.Sub(c.movedSince) >= r.cfg.MaxWait {
		r.refuse(now, c, result.NoOwner, out)
		return
	}
	if c.req.Slice == NoSlice {
		r.again(now, c, out)
		return
	}
	if a.Code == result.NotOwner && a.OwnEpoch > c.req.Epoch {
		c.hintTo = from
		c.hintEpoch = a.OwnEpoch
	}
	if _, moved := r.look(c); c.behind && !moved {
		r.again(now, c, out)
		return
	}
	if !r.mayRepeat(c) {
		r.refuse(now, c, a.Code, out)
		return
	}
	if !r.spend(a.Code) {
		r.refuse(now, c, result.RetryBudgetSpent, out)
		return
	}
	delete(r.sends, c.req.Seq)
	r.counters.Retried++
	r.route(now, c, out)
}

// behind reports whether a gate that refused a request may soon admit it
// although the map does not change: it has not yet heard of the epoch that it
// was asked at, or its lease has lapsed and may be renewed.
func behind(req *Request, a *Answer) bool {
	return a.Code == result.LeaseLapsed || a.Code == result.NotOwner && a.Epoch < req.Epoch
}

// doubtAnswer passes on a gate's "unknown" and goes on waiting for the late
// answer that the gate sends when it learns the outcome.
func (r *Router) doubtAnswer(now mono.Time, c *call, a *Answer, out *Actions) {
	r.step(now, c, eventDoubt, a, out)
	if r.inState[stateDoubtful] > r.cfg.MaxDoubtful {
		r.step(now, c, eventForget, nil, out)
	}
}

// lateAnswer settles an outcome that the caller was told is unknown, if the
// answer says what became of it.
func (r *Router) lateAnswer(now mono.Time, c *call, a *Answer, out *Actions) {
	r.counters.Strays++
	if a.Code.Outcome() == result.Unknown {
		return
	}
	r.step(now, c, eventAnswer, a, out)
}

// refuse ends a request that no sending of this daemon can have run, unless
// the code says otherwise.
func (r *Router) refuse(now mono.Time, c *call, code result.Code, out *Actions) {
	r.finish(now, c, r.refusal(c, code), out)
}

func (r *Router) finish(now mono.Time, c *call, a *Answer, out *Actions) {
	r.step(now, c, eventAnswer, a, out)
}

// refusal makes an answer of this daemon.
func (r *Router) refusal(c *call, code result.Code) *Answer {
	a := &Answer{ID: c.req.ID, Attempt: c.attempt, Seq: c.req.Seq, Code: code, Owner: string(c.to.Host), Epoch: c.lastEpoch}
	a.RetryAfter = r.retryAfter(c, code)
	return a
}

// retryAfter says when to come back: after a refusal that time can mend, and
// after an unknown outcome, which a repeat with the same id may learn.
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
		return c.lastAfter // The gate knows when room comes.
	}
	return max(r.cfg.RetryAfter, c.lastAfter)
}

// reply answers the caller, or records the outcome if the caller hung up.
func (r *Router) reply(c *call, a *Answer, out *Actions) {
	a.Code = c.finalCode(a.Code)
	a.RetryAfter = max(a.RetryAfter, r.retryAfter(c, a.Code))
	if c.gone {
		r.recordOrphan(c, a, out)
		return
	}
	r.counters.Replied++
	if a.Code == result.OK {
		r.noteAck(c)
		r.settleRepeat(c, out)
	}
	delete(r.callers, c.caller)
	out.Replies = append(out.Replies, Reply{Caller: c.caller, Answer: a})
	if c.state == stateClosed && a.Code.Outcome() != result.Done && a.Code.Outcome() != result.NotRun {
		r.raise(c, a, out)
	}
}

// finalCode is FinalCode for all sendings of a call: a refusal of the last one
// is not told as "not run" if an earlier one may have run.
func (c *call) finalCode(code result.Code) result.Code {
	if c.inDoubt != 0 && code.Outcome() == result.NotRun {
		return c.inDoubt
	}
	return FinalCode(c.req, code)
}

// recordOrphan keeps the outcome of a request whose caller hung up. In the
// doubtful state the raise follows from the chart.
func (r *Router) recordOrphan(c *call, a *Answer, out *Actions) {
	if c.state != stateClosed {
		return
	}
	r.raise(c, a, out)
	r.noteAck(c)
}

func (r *Router) raise(c *call, a *Answer, out *Actions) {
	if c.req.Idempotent {
		return
	}
	r.counters.Raised++
	out.Raises = append(out.Raises, Risk{
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

func (r *Router) settle(c *call, a *Answer, out *Actions) {
	outcome := a.Code.Outcome()
	if outcome == result.Done {
		outcome = result.Late
	}
	if outcome == result.NotRun && FinalCode(c.req, a.Code) != a.Code {
		return
	}
	out.Settles = append(out.Settles, Settlement{ID: c.req.ID, App: c.req.App, Key: c.req.Key, Outcome: outcome})
}

// settleRepeat settles what was raised of an id earlier, now that its caller
// is told.
func (r *Router) settleRepeat(c *call, out *Actions) {
	if c.req.Idempotent || c.req.Repeat == RepeatFirst {
		return
	}
	out.Settles = append(out.Settles, Settlement{ID: c.req.ID, App: c.req.App, Key: c.req.Key, Outcome: result.Done})
}

// ended tells the chooser that a sending is over without a gate's answer.
func (r *Router) ended(now mono.Time, c *call, code result.Code) {
	if c.req.Slice == NoSlice {
		r.cfg.Chooser.Ended(c.to, now, Ended{Took: now.Sub(c.sentAt), Code: code})
	}
}

// endedWith counts the end of a sending by a gate's answer, which says how busy
// the gate's target is.
func (r *Router) endedWith(now mono.Time, c *call, a *Answer) {
	if c.req.Slice != NoSlice {
		return
	}
	r.cfg.Chooser.Ended(c.to, now, Ended{
		Took:    now.Sub(c.sentAt),
		Code:    a.Code,
		Bytes:   len(a.Body),
		Slots:   int(a.Slots),
		Jobs:    int(a.Jobs),
		Service: a.Service,
	})
}

// setTimer replaces the call's timer.
func (r *Router) setTimer(c *call, at mono.Time) {
	c.timer = r.timers.Add(at, c)
	if r.timers.Len() > maxStaleTimers+2*(r.Live()+r.inState[stateDoubtful]) {
		r.timers.Compact(func(e timer.Entry[*call]) bool { return e.Item.timer == e.ID })
	}
}

// maxStaleTimers is how many timers of calls that are over may be kept.
const maxStaleTimers = 4096

func (r *Router) newCall() *call {
	r.inState[stateReceived]++
	if len(r.free) == 0 {
		return &call{}
	}
	c := r.free[len(r.free)-1]
	r.free = r.free[:len(r.free)-1]
	return c
}

// drop forgets a call that is over. Its memory is used again; a timer that
// still points to it is told by its number.
func (r *Router) drop(c *call) {
	r.inState[stateClosed]--
	if c.attempt > 0 {
		delete(r.sends, c.req.Seq)
	}
	if r.callers[c.caller] == c {
		delete(r.callers, c.caller)
	}
	listed := c.listed
	*c = call{}
	if !listed {
		r.free = append(r.free, c)
	}
}
