package gate

import (
	"slices"
	"time"

	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/request"
	"github.com/rhubarbring/rhubarbring/result"
)

// startQueued starts queued jobs as long as slots and connections are free.
func (g *Gate) startQueued(now mono.Time, out *Actions) {
	for g.canStart(now) {
		j := g.nextJob()
		if j == nil {
			return
		}
		g.tryStart(now, j, out)
	}
}

// canStart reports whether a job may be started at now.
func (g *Gate) canStart(now mono.Time) bool {
	if !g.target.present || g.drainGraceOver(now) || now.Before(g.target.pausedUntil) {
		return false
	}
	return g.busySlots < g.usableSlots(now) && g.freeConnection() != noConnection && g.rate.allows(now)
}

// nextJob returns the job to start next, or nil: urgent jobs first, but a
// queued normal job after UrgentBurst urgent ones in a row.
func (g *Gate) nextJob() *job {
	urgent, normal := g.urgent.peek(), g.normal.peek()
	if normal == nil {
		return urgent
	}
	if urgent == nil || g.urgentStreak >= g.cfg.UrgentBurst {
		g.urgentStreak = 0
		return normal
	}
	g.urgentStreak++
	return urgent
}

// tryStart starts a queued job if ownership, lease and deadline still allow it,
// and refuses it otherwise. They may have changed while the job was queued.
func (g *Gate) tryStart(now mono.Time, j *job, out *Actions) {
	code, adm := g.checkOwnership(now, j.req)
	if code != result.OK && !g.disabled.leaseAtStart {
		g.refuseJob(now, j, code, adm, out)
		return
	}
	if g.missesDeadline(j.req, 0, j.deadline.Sub(now)) {
		g.refuseJob(now, j, result.DeadlineTooShort, adm, out)
		return
	}
	j.epoch = adm.Epoch
	j.runDeadline = j.deadline
	if j.needsOwnership() && !g.target.ChecksGrants {
		j.runDeadline = min(j.deadline, adm.Expires)
	}
	g.step(now, j, eventStart, nil, out)
	out.Starts[len(out.Starts)-1].Expires = adm.Expires
}

// startRun takes a slot and a connection for a job and asks the shell to send
// its request.
func (g *Gate) startRun(now mono.Time, j *job, out *Actions) {
	j.queuedIn.remove(j)
	g.lastRun++
	g.busySlots++
	g.rate.take(now)
	g.counters.Started++
	j.run = g.lastRun
	j.conn = g.freeConnection()
	j.startedAt = now
	if j.expectedWait > 0 {
		g.waitEstimateOf(j.req.Route).add(j.expectedWait, now.Sub(j.arrivedAt))
	}
	g.connInUse[j.conn] = true
	g.runs[j.run] = j
	g.setTimer(j, j.runDeadline)
	out.Starts = append(out.Starts, Start{
		Run:        j.run,
		Connection: j.conn,
		Request:    j.req,
		Owner:      g.cfg.Self,
		Epoch:      j.epoch,
		Waited:     now.Sub(j.arrivedAt),
		Deadline:   j.runDeadline,
	})
}

// freeConnection returns the lowest free connection, or noConnection.
func (g *Gate) freeConnection() int {
	limit := min(g.target.Connections, len(g.connInUse))
	return slices.Index(g.connInUse[:limit], false)
}

// releaseSlot frees the slot and the connection of a job.
func (g *Gate) releaseSlot(j *job) {
	g.busySlots--
	g.releaseConnection(j)
}

// releaseConnection frees the connection of a job, if it holds one.
func (g *Gate) releaseConnection(j *job) {
	if j.conn == noConnection {
		return
	}
	g.connInUse[j.conn] = false
	j.conn = noConnection
}

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
	g.recordServiceTime(j.req.Route, now.Sub(j.startedAt))
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

// TargetConnectFailed handles a run of which nothing was sent to the target.
func (g *Gate) TargetConnectFailed(now mono.Time, run uint64, out *Actions) {
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

// CancelReceived handles an entry daemon's cancellation of an attempt. A queued
// request is dropped; a running one continues if it is not idempotent. A
// request is not cancelled if joined repeats wait for its answer.
func (g *Gate) CancelReceived(now mono.Time, from host.Session, c request.Cancel, out *Actions) {
	match := func(j *job) bool {
		return j.req.ID == c.ID && j.firstWaiter == waiter{from: from, attempt: c.Attempt, seq: c.Seq}
	}
	j := g.findJob(match)
	if j == nil || len(j.joinedWaiters) > 0 {
		return
	}
	g.withdraw(now, j, out)
	g.startQueued(now, out)
}

// queuedCount returns the number of queued jobs.
func (g *Gate) queuedCount() int {
	return g.urgent.len() + g.normal.len()
}

// queuedJobs returns the queued jobs in the order of their queues, urgent ones
// first.
func (g *Gate) queuedJobs() []*job {
	return append(g.urgent.all(), g.normal.all()...)
}

// allJobs returns the queued jobs in the order of their queues, urgent ones
// first, and then the running ones by run number.
func (g *Gate) allJobs() []*job {
	jobs := g.queuedJobs()
	queued := len(jobs)
	for _, j := range g.runs {
		jobs = append(jobs, j)
	}
	slices.SortFunc(jobs[queued:], func(a, b *job) int { return int(a.run) - int(b.run) })
	return jobs
}

// OwnershipChanged refuses at once the queued requests whose slices this daemon
// no longer serves, so that they can be sent to the new owner.
func (g *Gate) OwnershipChanged(now mono.Time, out *Actions) {
	for _, j := range g.queuedJobs() {
		if code, adm := g.checkOwnership(now, j.req); code != result.OK {
			g.refuseJob(now, j, code, adm, out)
		}
	}
	g.startQueued(now, out)
}

// handleTimer handles the timer of a job by the job's state.
func (g *Gate) handleTimer(now mono.Time, j *job, out *Actions) {
	switch j.state {
	case stateQueued:
		g.refuseJob(now, j, result.DeadlineTooShort, Admission{}, out)
	case stateRunning:
		g.handleOverdue(now, j, out)
	case stateCancelling:
		g.step(now, j, eventNotStopped, g.newAnswer(j, result.OutcomeUnknown), out)
	case stateLingering:
		g.handleLingerTimer(now, j, out)
	}
}

// handleLingerTimer ends the hold of a run's slice at its deadline and frees
// its slot when the linger timeout is over as well. At a target with
// StopsAbandonedRuns a single timer does both.
func (g *Gate) handleLingerTimer(now mono.Time, j *job, out *Actions) {
	if !j.ended && !g.target.StopsAbandonedRuns {
		g.linger(now, j, out)
		return
	}
	g.endRun(j, out)
	g.step(now, j, eventRelease, nil, out)
}

// handleOverdue cancels a run whose runDeadline has passed. If that was the end
// of the lease and the lease was renewed since, the run continues.
func (g *Gate) handleOverdue(now mono.Time, j *job, out *Actions) {
	if until := g.renewedUntil(now, j); until.After(now) {
		g.setTimer(j, until)
		return
	}
	a := g.newAnswer(j, result.OutcomeUnknown)
	if j.req.Idempotent {
		g.step(now, j, eventOverdue, a, out)
		return
	}
	g.step(now, j, eventOverdueOnce, a, out)
	g.setTimer(j, now.Add(g.cfg.CancelWait))
}

// renewedUntil returns the end of the renewed lease, at most the job's
// deadline, or now if the deadline has passed or the slice is held at another
// epoch.
func (g *Gate) renewedUntil(now mono.Time, j *job) mono.Time {
	if !now.Before(j.deadline) {
		return now
	}
	adm := g.cfg.Ownership.Admit(j.req.App, j.req.Key, j.req.Slice, now)
	if adm.Epoch != j.epoch {
		return now
	}
	return min(j.deadline, adm.Expires)
}

// refuseJob refuses a queued job, which did not run and never will.
func (g *Gate) refuseJob(now mono.Time, j *job, code result.Code, adm Admission, out *Actions) {
	g.refuseJobFor(now, j, code, adm, g.retryAfter(code), out)
}

// refuseJobFor is refuseJob with the time after which the caller may come back.
func (g *Gate) refuseJobFor(now mono.Time, j *job, code result.Code, adm Admission, retryAfter time.Duration, out *Actions) {
	g.counters.Refused++
	a := g.newAnswer(j, code)
	a.Epoch = adm.Newest
	a.OwnerEpoch = adm.Epoch
	a.RetryAfter = retryAfter
	g.step(now, j, eventRefuse, a, out)
}
