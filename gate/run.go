package gate

import (
	"slices"

	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/request"
	"github.com/rhubarbring/rhubarbring/result"
)

// startQueued starts queued jobs as long as slots and connections are free.
func (g *Gate) startQueued(now mono.Time, out *Actions) {
	for g.canStart(now) {
		j := g.nextJob(now)
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
	return g.busySlots < g.usableSlots(now) && g.freeConnection() != noConnection && g.startWait(now, 1) == 0
}

// tryStart starts a queued job if ownership, lease and deadline still allow it,
// and refuses it otherwise. They may have changed while the job was queued.
func (g *Gate) tryStart(now mono.Time, j *job, out *Actions) {
	code, adm := g.checkOwnership(now, j.req)
	if code != result.OK && !g.disabled.leaseAtStart {
		g.refuseJob(now, j, code, adm, out)
		return
	}
	if g.missesDeadline(j.req, 0, g.runEnd(j.deadline).Sub(now)) {
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
	g.takeStart(now)
	g.flows.start(now, j.flow, g.serviceTimeOf(j.req.Route).mean())
	g.counters.Started++
	j.run = g.lastRun
	j.conn = g.freeConnection()
	j.startedAt = now
	j.startBusy = g.busySlots
	if j.expectedWait > 0 {
		g.waitEstimateOf(j.req.Route).add(j.expectedWait, now.Sub(j.arrivedAt))
	}
	g.takeConnection(j.conn)
	g.runs[j.run] = j
	g.runByID[j.req.ID] = j.run
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

// freeConnection returns the lowest free connection, or noConnection. It is the
// next new one if all that were used so far are taken.
func (g *Gate) freeConnection() int {
	used := g.connInUse[:min(g.target.Connections, len(g.connInUse))]
	if free := slices.Index(used, false); free >= 0 {
		return free
	}
	if len(used) < g.target.Connections {
		return len(used)
	}
	return noConnection
}

// takeConnection marks a connection that freeConnection returned as in use.
func (g *Gate) takeConnection(number int) {
	if number == len(g.connInUse) {
		g.connInUse = append(g.connInUse, true)
		return
	}
	g.connInUse[number] = true
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

// handleTimer handles the timer of a job by the job's state.
func (g *Gate) handleTimer(now mono.Time, j *job, out *Actions) {
	switch j.state {
	case stateQueued:
		g.checkQueued(now, j, out)
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
