package request

import (
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/result"
)

// again sends once more after a pause, if budget and deadline allow. No
// earlier sending may have run, or the request is idempotent.
func (r *Router) again(now mono.Time, c *call, out *Actions) {
	if c.gone {
		r.finish(now, c, r.refusal(c, result.Cancelled), out)
		return
	}
	if r.over || r.sendingBudget(now, c) <= 0 || !r.mayRepeat(c) {
		r.refuse(now, c, c.lastCode, out)
		return
	}
	if !r.spend(c.lastCode) {
		r.refuse(now, c, r.spentCode(c), out)
		return
	}
	delete(r.sends, c.req.Seq)
	c.noteTried()
	r.step(now, c, eventAgain, nil, out)
}

// noteTried keeps the chosen gate of the last sending, so that the next one
// goes to another.
func (c *call) noteTried() {
	if c.req.Slice != NoSlice {
		return
	}
	c.tried = append(c.tried, c.to)
	if noRoom(c.lastCode) {
		c.full = append(c.full, c.to)
	}
}

// spentCode is what the caller is told when the retry budget is spent: the
// failure itself if it leaves the outcome open.
func (r *Router) spentCode(c *call) result.Code {
	if c.lastCode.Outcome() == result.NotRun {
		return result.RetryBudgetSpent
	}
	return c.lastCode
}

// deposit counts a first sending.
func (r *Router) deposit() {
	r.budget.Deposit()
	if r.redirect != r.budget {
		r.redirect.Deposit()
	}
}

// spend takes a sending that follows one with the given end from its budget.
func (r *Router) spend(code result.Code) bool {
	if reachedTarget(code) {
		return r.budget.Spend()
	}
	return r.redirect.Spend()
}

// reachedTarget reports whether a sending that ended with the code may have
// reached a target: a refusal of a gate itself has not.
func reachedTarget(code result.Code) bool {
	switch code {
	case result.TargetShed, result.FenceRefused:
		return true
	}
	return code.Outcome() != result.NotRun
}

// mayRepeat counts the end of a sending and reports whether the request's and
// the router's bounds allow another.
func (r *Router) mayRepeat(c *call) bool {
	if reachedTarget(c.lastCode) {
		c.arrivals++
		return c.req.MaxAttempts == 0 || c.arrivals < c.req.MaxAttempts
	}
	if noRoom(c.lastCode) {
		c.refusals++
		return r.cfg.MaxRedirects == 0 || c.refusals <= r.cfg.MaxRedirects
	}
	return true
}

// noRoom reports whether a gate refused since it could not serve in time.
func noRoom(code result.Code) bool {
	switch code {
	case result.QueueFull, result.DeadlineTooShort, result.TargetUnavailable:
		return true
	}
	return false
}
