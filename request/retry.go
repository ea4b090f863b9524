package request

import (
	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/result"
	"github.com/rhubarbring/rhubarbring/retry"
)

// retryLater sends the request again after a pause if the retry budget, the
// limits and the deadline allow it, and ends it otherwise. It must only be
// called if no earlier attempt can have run or the request is idempotent.
func (r *Router) retryLater(now mono.Time, c *call, out *Actions) {
	if c.callerGone {
		r.finish(now, c, r.newRefusal(c, result.Cancelled), out)
		return
	}
	if r.replaceBySecond(c) {
		return
	}
	if r.sessionEnded || r.attemptBudget(now, c) <= 0 || !r.countAndCheckLimits(c) {
		r.refuse(now, c, c.lastCode, out)
		return
	}
	if !r.spendRetry(c.req.App, c.lastCode) {
		r.refuse(now, c, r.budgetSpentCode(c), out)
		return
	}
	delete(r.bySeq, c.req.Seq)
	c.recordTriedGate()
	r.step(now, c, eventAgain, nil, out)
}

// recordTriedGate records the chosen gate of the last attempt, so that the next
// attempt goes to another one. For a request with a slice it does nothing.
func (c *call) recordTriedGate() {
	if c.req.Slice != NoSlice {
		return
	}
	c.triedGates = append(c.triedGates, c.to)
	if isCapacityRefusal(c.lastCode) {
		c.fullGates = append(c.fullGates, c.to)
	}
}

// budgetSpentCode returns the code for the caller when the retry budget is
// spent: RetryBudgetSpent if the last attempt did not run, otherwise the code
// of its failure, which leaves the outcome open.
func (r *Router) budgetSpentCode(c *call) result.Code {
	if c.lastCode.Outcome() == result.NotRun {
		return result.RetryBudgetSpent
	}
	return c.lastCode
}

// creditBudgets credits the retry budgets for a newly submitted request.
func (r *Router) creditBudgets(app key.App) {
	r.retryBudget(app).Deposit()
	if r.redirectBudget != nil {
		r.redirectBudget.Deposit()
	}
}

// retryBudget returns the budget of an app.
func (r *Router) retryBudget(app key.App) *retry.Budget {
	b := r.retryBudgets[app]
	if b == nil {
		b = retry.NewBudget(r.cfg.Retry)
		r.retryBudgets[app] = b
	}
	return b
}

// spendRetry takes a retry from the budget that applies after an attempt of a
// request to the app that ended with the code, and reports whether there was one.
func (r *Router) spendRetry(app key.App, code result.Code) bool {
	if mayHaveReachedTarget(code) || r.redirectBudget == nil {
		return r.retryBudget(app).Spend()
	}
	return r.redirectBudget.Spend()
}

// mayHaveReachedTarget reports whether an attempt that ended with the code may
// have reached a target. One that the gate itself refused has not.
func mayHaveReachedTarget(code result.Code) bool {
	switch code {
	case result.TargetShed, result.FenceRefused:
		return true
	}
	return code.Outcome() != result.NotRun
}

// countAndCheckLimits counts the end of the last attempt and reports whether
// MaxAttempts and MaxRedirects allow another one.
func (r *Router) countAndCheckLimits(c *call) bool {
	if mayHaveReachedTarget(c.lastCode) {
		c.targetAttempts++
		return c.req.MaxAttempts == 0 || c.targetAttempts < c.req.MaxAttempts
	}
	if isCapacityRefusal(c.lastCode) {
		c.capacityRefusals++
		return r.cfg.MaxRedirects == 0 || c.capacityRefusals <= r.cfg.MaxRedirects
	}
	return true
}

// isCapacityRefusal reports whether the code says that the gate could not serve
// the request in time.
func isCapacityRefusal(code result.Code) bool {
	switch code {
	case result.QueueFull, result.DeadlineTooShort, result.TargetUnavailable:
		return true
	}
	return false
}
