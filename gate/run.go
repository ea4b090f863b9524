package gate

import (
	"slices"

	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/request"
	"github.com/rhubarbring/rhubarbring/result"
)

// pump starts what waits while there are slots.
func (g *Gate) pump(now mono.Time, out *Actions) {
	for g.mayStart(now) {
		j := g.next()
		if j == nil {
			return
		}
		g.tryStart(now, j, out)
	}
}

func (g *Gate) mayStart(now mono.Time) bool {
	if !g.target.present || g.drained(now) || now.Before(g.target.pausedUntil) {
		return false
	}
	return g.slots < g.usableSlots(now) && g.freeConnection() != noConnection
}

// next returns the job to start next: urgent ones first, but a normal one
// after every UrgentRun of them.
func (g *Gate) next() *job {
	urgent, normal := g.urgent.peek(), g.normal.peek()
	if normal == nil {
		return urgent
	}
	if urgent == nil || g.urgents >= g.cfg.UrgentRun {
		g.urgents = 0
		return normal
	}
	g.urgents++
	return urgent
}

// tryStart checks the grant and the time once more, immediately before the
// start.
func (g *Gate) tryStart(now mono.Time, j *job, out *Actions) {
	code, adm := g.admit(now, j.req)
	if code != result.OK && !g.guards.leaseOnce {
		g.refuseJob(now, j, code, adm, out)
		return
	}
	if g.tooLate(j.req, 0, j.deadline.Sub(now)) {
		g.refuseJob(now, j, result.DeadlineTooShort, adm, out)
		return
	}
	j.epoch = adm.Epoch
	j.due = j.deadline
	if j.owned() && !g.target.ChecksGrants {
		j.due = min(j.deadline, adm.Expires)
	}
	g.step(now, j, eventStart, nil, out)
	out.Starts[len(out.Starts)-1].Expires = adm.Expires
}

func (g *Gate) start(now mono.Time, j *job, out *Actions) {
	j.queuedIn.gone(j)
	g.run++
	g.slots++
	g.counters.Started++
	j.run = g.run
	j.conn = g.freeConnection()
	j.startedAt = now
	g.conns[j.conn] = true
	g.runs[j.run] = j
	g.setTimer(j, j.due)
	out.Starts = append(out.Starts, Start{
		Run:        j.run,
		Connection: j.conn,
		Request:    j.req,
		Owner:      g.cfg.Self,
		Epoch:      j.epoch,
		Waited:     now.Sub(j.arrivedAt),
		Deadline:   j.due,
	})
}

// freeConnection returns the lowest free connection, or noConnection.
func (g *Gate) freeConnection() int {
	limit := min(g.target.Connections, len(g.conns))
	return slices.Index(g.conns[:limit], false)
}

// freeSlot gives the slot and the connection of a job back.
func (g *Gate) freeSlot(j *job) {
	g.slots--
	g.freeConn(j)
}

func (g *Gate) freeConn(j *job) {
	if j.conn == noConnection {
		return
	}
	g.conns[j.conn] = false
	j.conn = noConnection
}

// TargetAnswer is a target's whole answer to a run, as in request.Answer.
type TargetAnswer struct {
	Status int
	Type   string
	Header []byte
	Body   []byte
}

// TargetAnswered takes the target's whole answer to a run.
func (g *Gate) TargetAnswered(now mono.Time, run uint64, answer TargetAnswer, out *Actions) {
	j := g.runs[run]
	if j == nil {
		g.counters.Strays++
		return
	}
	g.learn(j.req.Route, now.Sub(j.startedAt))
	g.target.pause = 0
	a := g.outcome(j, result.OK)
	a.Status = answer.Status
	a.Type = answer.Type
	a.Header = answer.Header
	a.Body = answer.Body
	if !g.stillHeld(now, j) {
		a = g.outcome(j, result.LeaseLapsedAfter)
	}
	g.step(now, j, eventAnswered, a, out)
	g.pump(now, out)
}

// stillHeld reports whether the grant under which a run was started held until
// now. A target that checks grants has checked it itself.
func (g *Gate) stillHeld(now mono.Time, j *job) bool {
	if !j.owned() || g.target.ChecksGrants || g.guards.noAfterCheck {
		return true
	}
	adm := g.cfg.Owner.Admit(j.req.App, j.req.Key, j.req.Slice, now)
	return adm.Epoch == j.epoch && now.Before(adm.Expires)
}

// TargetRefused says that the target refused a run and did not run it. The
// code is FenceRefused, TargetShed, Draining or DeadlineTooShort.
func (g *Gate) TargetRefused(now mono.Time, run uint64, code result.Code, out *Actions) {
	if code == result.TargetShed {
		g.shed(now)
	}
	g.notRun(now, run, code, out)
}

// TargetConnectFailed says that nothing of a run was sent.
func (g *Gate) TargetConnectFailed(now mono.Time, run uint64, out *Actions) {
	g.notRun(now, run, result.TargetUnavailable, out)
}

func (g *Gate) notRun(now mono.Time, run uint64, code result.Code, out *Actions) {
	j := g.runs[run]
	if j == nil {
		g.counters.Strays++
		return
	}
	a := g.outcome(j, code)
	a.RetryAfter = max(g.adviceFor(code), g.target.pausedUntil.Sub(now))
	g.step(now, j, eventRefused, a, out)
	g.pump(now, out)
}

// TargetTruncated says that the target answered a run, but not whole, or with
// more than the limit: it ran, and no longer does.
func (g *Gate) TargetTruncated(now mono.Time, run uint64, out *Actions) {
	j := g.runs[run]
	if j == nil {
		g.counters.Strays++
		return
	}
	g.step(now, j, eventAnswered, g.outcome(j, result.AnswerTruncated), out)
	g.pump(now, out)
}

// TargetLost says that the connection was lost after a run was sent, wholly
// or in part; code says why no answer comes.
func (g *Gate) TargetLost(now mono.Time, run uint64, code result.Code, out *Actions) {
	j := g.runs[run]
	if j == nil {
		g.counters.Strays++
		return
	}
	g.counters.Lost++
	g.freeConn(j)
	g.step(now, j, eventLost, g.outcome(j, code), out)
	g.releaseEarly(now, j, out)
	g.pump(now, out)
}

// releaseEarly is where a test drops the hold of a slot that may be in use.
func (g *Gate) releaseEarly(now mono.Time, j *job, out *Actions) {
	if g.guards.freeAtOnce {
		g.step(now, j, eventRelease, nil, out)
	}
}

// CancelResult takes the target's answer to a cancellation; stopped means
// that the run did not and will not take effect.
func (g *Gate) CancelResult(now mono.Time, run uint64, stopped bool, out *Actions) {
	j := g.runs[run]
	if j == nil {
		return
	}
	if !stopped {
		g.step(now, j, eventNotStopped, g.outcome(j, result.OutcomeUnknown), out)
		return
	}
	a := g.outcome(j, result.DeadlineTooShort)
	a.RetryAfter = g.cfg.RetryAfter
	g.step(now, j, eventStopped, a, out)
	g.pump(now, out)
}

// Cancelled takes an entry daemon's cancellation of a sending. What waits is
// dropped; what runs goes on if it is not idempotent.
func (g *Gate) Cancelled(now mono.Time, from host.Session, c request.Cancel, out *Actions) {
	match := func(j *job) bool {
		return j.req.ID == c.ID && j.first == origin{from: from, attempt: c.Attempt, seq: c.Seq}
	}
	j := g.findJob(match)
	if j == nil || len(j.joined) > 0 {
		return
	}
	g.withdraw(now, j, out)
	g.pump(now, out)
}

// jobs returns all jobs: those that wait, in order, then the runs by number.
func (g *Gate) jobs() []*job {
	jobs := append(g.urgent.all(), g.normal.all()...)
	waiting := len(jobs)
	for _, j := range g.runs {
		jobs = append(jobs, j)
	}
	slices.SortFunc(jobs[waiting:], func(a, b *job) int { return int(a.run) - int(b.run) })
	return jobs
}

// OwnershipChanged refuses at once what waits and is no longer this daemon's,
// so that it can go to the new owner.
func (g *Gate) OwnershipChanged(now mono.Time, out *Actions) {
	for _, q := range [...]*queue{&g.urgent, &g.normal} {
		for _, j := range q.all() {
			if code, adm := g.admit(now, j.req); code != result.OK {
				g.refuseJob(now, j, code, adm, out)
			}
		}
	}
	g.pump(now, out)
}

// due handles the timer of a job.
func (g *Gate) due(now mono.Time, j *job, out *Actions) {
	switch j.state {
	case stateQueued:
		g.refuseJob(now, j, result.DeadlineTooShort, Admission{}, out)
	case stateRunning:
		g.overdue(now, j, out)
	case stateCancelling:
		g.step(now, j, eventNotStopped, g.outcome(j, result.OutcomeUnknown), out)
	case stateLingering:
		g.lingered(now, j, out)
	}
}

func (g *Gate) lingered(now mono.Time, j *job, out *Actions) {
	if !j.ended && !g.target.StopsRuns {
		g.linger(now, j, out)
		return
	}
	g.end(j, out)
	g.step(now, j, eventRelease, nil, out)
}

// overdue cancels a run whose time is up. If only the lease at its start is
// over and it was renewed, the run goes on.
func (g *Gate) overdue(now mono.Time, j *job, out *Actions) {
	if until := g.extended(now, j); until.After(now) {
		g.setTimer(j, until)
		return
	}
	a := g.outcome(j, result.OutcomeUnknown)
	if j.req.Idempotent {
		g.step(now, j, eventOverdue, a, out)
		return
	}
	g.step(now, j, eventOverdueOnce, a, out)
	g.setTimer(j, now.Add(g.cfg.CancelWait))
}

func (g *Gate) extended(now mono.Time, j *job) mono.Time {
	if !now.Before(j.deadline) {
		return now
	}
	adm := g.cfg.Owner.Admit(j.req.App, j.req.Key, j.req.Slice, now)
	if adm.Epoch != j.epoch {
		return now
	}
	return min(j.deadline, adm.Expires)
}

// refuseJob refuses a job that waits: it did not run and never will.
func (g *Gate) refuseJob(now mono.Time, j *job, code result.Code, adm Admission, out *Actions) {
	g.counters.Refused++
	a := g.outcome(j, code)
	a.Epoch = adm.Newest
	a.OwnEpoch = adm.Epoch
	a.RetryAfter = g.adviceFor(code)
	g.step(now, j, eventRefuse, a, out)
}
