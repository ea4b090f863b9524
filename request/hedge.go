package request

import (
	"slices"
	"time"

	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/result"
)

// Hedger decides on second attempts of requests whose first one takes long.
type Hedger interface {
	// Submitted records a request that may get a second attempt.
	Submitted(app key.App)
	// Delay returns the time without an answer after which a second attempt is due;
	// 0 if there is to be none.
	Delay(app key.App, route string) time.Duration
	// Choose returns a gate that has room for a second attempt and was not tried.
	Choose(now mono.Time, q GateQuery) (host.Session, bool)
	// Spend takes one second attempt from the app's budget, if one is left.
	Spend(app key.App) bool
	// Answered records the time from the first attempt to the answer.
	Answered(app key.App, route string, took time.Duration)
}

// secondAttempt is an attempt that was sent while the call's first one was under
// way. It has its own number and sequence number.
type secondAttempt struct {
	req    *Request
	to     host.Session
	sentAt mono.Time
}

// mayHedge reports whether the call may get a second attempt: it may run twice, any
// gate may run it, it has had none, and MaxAttempts leaves room for two more targets,
// the first attempt's and another.
func (r *Router) mayHedge(c *call) bool {
	return r.cfg.Hedger != nil && !c.hedged && c.req.Idempotent && c.req.Slice == NoSlice &&
		(c.req.MaxAttempts == 0 || c.targetAttempts+2 <= c.req.MaxAttempts)
}

// creditHedges credits the budget of second attempts for a new request.
func (r *Router) creditHedges(c *call) {
	if r.mayHedge(c) {
		r.cfg.Hedger.Submitted(c.req.App)
	}
}

// answerWait returns when the call's timer is due after an attempt was sent: at its
// deadline, or when a second attempt is.
func (r *Router) answerWait(now mono.Time, c *call) mono.Time {
	if !r.mayHedge(c) {
		return c.deadline
	}
	delay := r.cfg.Hedger.Delay(c.req.App, c.req.Route)
	if delay == 0 {
		return c.deadline
	}
	return earlierOf(now.Add(delay), c.deadline)
}

// hedge sends a second attempt if there is a gate with room for it and the budgets
// allow it. A request in quarantine would end a second target.
func (r *Router) hedge(now mono.Time, c *call, out *Actions) {
	r.setTimer(c, c.deadline)
	budget := r.attemptBudget(now, c)
	if !r.mayHedge(c) || c.callerGone || r.sessionEnded || budget <= 0 {
		return
	}
	if _, held := r.quarantined(now, c.req); held {
		return
	}
	to, ok := r.cfg.Hedger.Choose(now, GateQuery{
		App:     c.req.App,
		Budget:  budget,
		Bytes:   len(c.req.Body),
		Regions: c.req.Regions,
		Tried:   append(slices.Clone(c.triedGates), c.to),
	})
	if !ok || r.retryBudget(c.req.App).Remaining() < 1 || !r.cfg.Hedger.Spend(c.req.App) {
		return
	}
	r.retryBudget(c.req.App).Spend()
	r.sendSecond(now, c, to, budget, out)
}

// sendSecond sends the second attempt of a call.
func (r *Router) sendSecond(now mono.Time, c *call, to host.Session, budget time.Duration, out *Actions) {
	r.seq++
	c.attempt++
	again := *c.req
	again.Attempt, again.Seq, again.Budget = c.attempt, r.seq, budget
	c.second = &secondAttempt{req: &again, to: to, sentAt: now}
	c.hedged = true
	r.bySeq[r.seq] = c
	r.counters.Sent++
	r.counters.Hedged++
	r.cfg.Chooser.Sent(to, now)
	if to == r.cfg.Self {
		out.Local = append(out.Local, &again)
		return
	}
	out.Sends = append(out.Sends, Send{To: to, Request: &again})
}

// isSecond reports whether a sequence number is that of the call's second attempt.
func (c *call) isSecond(seq uint64) bool {
	return c.second != nil && c.second.req.Seq == seq
}

// sentTo returns the gate that an attempt of the call was sent to.
func (c *call) sentTo(seq uint64) host.Session {
	if c.isSecond(seq) {
		return c.second.to
	}
	return c.to
}

// secondAnswered handles the answer to a call's second attempt. A success wins over
// the first attempt, which is cancelled. Anything else is passed over: the first
// attempt goes on.
func (r *Router) secondAnswered(now mono.Time, c *call, a *Answer, out *Actions) {
	s := c.second
	r.cfg.Chooser.AttemptEnded(s.to, now, attemptResult(now.Sub(s.sentAt), a))
	if a.Code != result.OK {
		r.dropSecond(c, a.Code)
		return
	}
	r.counters.HedgesWon++
	r.recordAnswerTime(now, c)
	r.attemptEnded(now, c, result.Cancelled)
	out.Cancels = append(out.Cancels, SendCancel{To: c.to, Cancel: cancelOf(c.req)})
	r.promoteSecond(c)
	r.handleAnswer(now, c, c.to, a, out)
}

// secondLost handles a second attempt to which no answer comes.
func (r *Router) secondLost(now mono.Time, c *call, code result.Code) {
	r.cfg.Chooser.AttemptEnded(c.second.to, now, AttemptResult{Took: now.Sub(c.second.sentAt), Code: code})
	r.dropSecond(c, code)
}

// dropSecond forgets a second attempt that ended without success. If it may have run,
// the request is no longer one that has not.
func (r *Router) dropSecond(c *call, code result.Code) {
	s := c.second
	delete(r.bySeq, s.req.Seq)
	c.second = nil
	c.triedGates = append(c.triedGates, s.to)
	switch {
	case isCapacityRefusal(code):
		c.fullGates = append(c.fullGates, s.to)
	case mayHaveReachedTarget(code):
		c.targetAttempts++
	}
	if code.Outcome() == result.Unknown {
		c.unknownCode = code
	}
}

// replaceBySecond makes the second attempt the request's only one after the first
// one ended without success, and reports whether there is one.
func (r *Router) replaceBySecond(c *call) bool {
	if c.second == nil {
		return false
	}
	if mayHaveReachedTarget(c.lastCode) {
		c.targetAttempts++
	}
	c.recordTriedGate()
	r.promoteSecond(c)
	return true
}

// promoteSecond puts the second attempt in the place of the first one.
func (r *Router) promoteSecond(c *call) {
	delete(r.bySeq, c.req.Seq)
	c.req, c.to, c.sentAt = c.second.req, c.second.to, c.second.sentAt
	c.second = nil
}

// cancelSecond abandons the second attempt of a call that is over.
func (r *Router) cancelSecond(now mono.Time, c *call, out *Actions) {
	s := c.second
	out.Cancels = append(out.Cancels, SendCancel{To: s.to, Cancel: cancelOf(s.req)})
	r.secondLost(now, c, result.Cancelled)
}

// recordAnswerTime records the time since the call's first attempt was sent.
func (r *Router) recordAnswerTime(now mono.Time, c *call) {
	if r.cfg.Hedger != nil && c.req.Idempotent && c.req.Slice == NoSlice {
		r.cfg.Hedger.Answered(c.req.App, c.req.Route, now.Sub(c.sentAt))
	}
}

// cancelOf returns the cancellation of an attempt.
func cancelOf(req *Request) Cancel {
	return Cancel{ID: req.ID, Attempt: req.Attempt, Seq: req.Seq}
}
