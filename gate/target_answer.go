package gate

import (
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/result"
)

// TargetAnswer is a target's complete answer to a run. Its fields have the
// meaning of those of the same names in request.Answer.
type TargetAnswer struct {
	Status      int
	ContentType string
	Header      []byte
	Body        []byte
}

// reportedRun returns the run that an event of the target names. It returns nil
// and counts the event if there is no such run.
func (g *Gate) reportedRun(run uint64) *job {
	j := g.runs[run]
	if j == nil {
		g.counters.Unmatched++
	}
	return j
}

// TargetAnswered handles the target's complete answer to a run. If the run's
// grant is no longer valid, the waiting entry daemons get LeaseLapsedAfter
// instead.
func (g *Gate) TargetAnswered(now mono.Time, run uint64, answer TargetAnswer, out *Actions) {
	j := g.reportedRun(run)
	if j == nil {
		return
	}
	work := g.pace.workBetween(j.startedAt, now)
	g.recordServiceTime(j.req.Route, work)
	if !g.calls.covers(j.req) {
		g.concurrency.ended(endedRun{route: j.req.Route, took: work, startBusy: j.startBusy, endBusy: g.busySlots}, g.target.Slots)
	}
	g.target.nextPause = 0
	a := g.newAnswer(j, result.OK)
	a.Status = answer.Status
	a.ContentType = answer.ContentType
	a.Header = answer.Header
	a.Body = answer.Body
	if !g.grantStillHeld(now, j) {
		a = g.newAnswer(j, result.LeaseLapsedAfter)
	}
	g.step(now, j, eventAnswered, a, out)
	g.startQueued(now, out)
}

// grantStillHeld reports whether the grant of a run is still valid at now. A
// target that checks grants has checked it itself.
func (g *Gate) grantStillHeld(now mono.Time, j *job) bool {
	if !j.needsOwnership() || g.target.ChecksGrants || g.disabled.leaseAfterAnswer {
		return true
	}
	adm := g.cfg.Ownership.Admit(j.req.App, j.req.Key, j.req.Slice, now)
	return adm.Epoch == j.epoch && now.Before(adm.Expires)
}

// TargetRefused handles the target's refusal of a run, which it did not
// execute. The code is FenceRefused, TargetShed, Draining or DeadlineTooShort.
func (g *Gate) TargetRefused(now mono.Time, run uint64, code result.Code, out *Actions) {
	if code == result.TargetShed {
		g.pauseStarts(now)
	}
	g.finishNotRun(now, run, code, out)
}

// TargetShedWithFreeSlot handles a run that the target refused although it states
// that it has a free slot. A pause of the starts would not help such a target, and
// would take the share of requests away that it serves.
func (g *Gate) TargetShedWithFreeSlot(now mono.Time, run uint64, out *Actions) {
	g.counters.Shed++
	g.finishNotRun(now, run, result.TargetShed, out)
}

// TargetConnectFailed handles a run of which nothing was sent to the target.
func (g *Gate) TargetConnectFailed(now mono.Time, run uint64, out *Actions) {
	if g.runs[run] != nil {
		g.connectFailed(now, out)
	}
	g.finishNotRun(now, run, result.TargetUnavailable, out)
}

// finishNotRun finishes a run that the target did not execute.
func (g *Gate) finishNotRun(now mono.Time, run uint64, code result.Code, out *Actions) {
	j := g.reportedRun(run)
	if j == nil {
		return
	}
	a := g.newAnswer(j, code)
	a.RetryAfter = max(g.retryAfter(code), g.target.pausedUntil.Sub(now))
	g.step(now, j, eventRefused, a, out)
	g.startQueued(now, out)
}

// TargetTruncated handles an answer of the target that is incomplete or exceeds
// the size limit. The target executed the run and is done with it.
func (g *Gate) TargetTruncated(now mono.Time, run uint64, out *Actions) {
	j := g.reportedRun(run)
	if j == nil {
		return
	}
	g.step(now, j, eventAnswered, g.newAnswer(j, result.AnswerTruncated), out)
	g.startQueued(now, out)
}

// TargetLost handles the loss of the connection after all or part of a run was
// sent; code says why no answer comes. The target may still execute the run, so
// it keeps its slot.
func (g *Gate) TargetLost(now mono.Time, run uint64, code result.Code, out *Actions) {
	j := g.reportedRun(run)
	if j == nil {
		return
	}
	g.counters.Lost++
	g.releaseConnection(j)
	g.step(now, j, eventLost, g.newAnswer(j, code), out)
	g.releaseIfHoldDisabled(now, j, out)
	g.startQueued(now, out)
}

// releaseIfHoldDisabled frees the slot of a run that may still be executing, if
// a test has disabled that check.
func (g *Gate) releaseIfHoldDisabled(now mono.Time, j *job, out *Actions) {
	if g.disabled.slotHold {
		g.step(now, j, eventRelease, nil, out)
	}
}

// TargetCancelAnswered handles the target's answer to a cancellation; stopped
// means that the run has had no effect and will have none.
func (g *Gate) TargetCancelAnswered(now mono.Time, run uint64, stopped bool, out *Actions) {
	j := g.runs[run]
	if j == nil {
		return
	}
	if !stopped {
		g.step(now, j, eventNotStopped, g.newAnswer(j, result.OutcomeUnknown), out)
		return
	}
	a := g.newAnswer(j, result.DeadlineTooShort)
	a.RetryAfter = g.cfg.RetryAfter
	g.step(now, j, eventStopped, a, out)
	g.startQueued(now, out)
}
