package gate

import (
	"time"

	"github.com/rhubarbring/rhubarbring/dedup"
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/request"
	"github.com/rhubarbring/rhubarbring/statechart"
	"github.com/rhubarbring/rhubarbring/timer"
)

// The states, events and actions of charts/admission.json, in the order of
// the lists below.
const (
	stateArrived uint8 = iota
	stateQueued
	stateRunning
	stateCancelling
	stateLingering
	stateClosed
)

const (
	eventRefuse uint8 = iota
	eventQueue
	eventStart
	eventWithdraw
	eventAnswered
	eventRefused
	eventLost
	eventOverdue
	eventOverdueOnce
	eventStopped
	eventNotStopped
	eventRelease
)

const (
	actionStart uint8 = iota
	actionCancel
	actionAnswer
	actionRaise
	actionSettle
	actionFree
)

var (
	states  = []statechart.State{"arrived", "queued", "running", "cancelling", "lingering", "closed"}
	events  = []statechart.Event{"refuse", "queue", "start", "withdraw", "answered", "refused", "lost", "overdue", "overdue_once", "stopped", "not_stopped", "release"}
	actions = []statechart.Action{"start", "cancel", "answer", "raise", "settle", "free"}
)

// waiter is an attempt of an entry daemon that waits for a job's answer.
type waiter struct {
	from    host.Session
	attempt uint32
	seq     uint64
}

// noConnection is the connection of a job that holds none.
const noConnection = -1

// job is a request from its admission until its slot is free.
type job struct {
	req           *request.Request
	firstWaiter   waiter
	joinedWaiters []waiter
	firstGone     bool // the session of firstWaiter is over
	arrivedAt     mono.Time
	// expectedWait is how long the job was expected to wait for a slot when it
	// arrived, without correction.
	expectedWait time.Duration
	deadline     mono.Time
	softDeadline mono.Time // when the answer is wanted; orders the queue
	state        uint8
	dedupRef     dedup.EntryRef
	timer        uint64
	queuedIn     *queue
	flow         *flow // nil if there are too many
	makesCalls   bool  // it is counted in Gate.calls
	// Set when the job is started:
	run         uint64
	conn        int
	startedAt   mono.Time
	startBusy   int // slots in use, with its own
	epoch       uint64
	runDeadline mono.Time // time by which the target has to finish the run
	ended       bool      // it no longer holds its slice
}

// needsOwnership reports whether the job may run only while this daemon owns
// its slice.
func (j *job) needsOwnership() bool {
	return j.req.Slice != request.NoSlice
}

// hasWaiters reports whether an entry daemon waits for the job's answer.
func (j *job) hasWaiters() bool {
	return !j.firstGone || len(j.joinedWaiters) > 0
}

// newJob returns an empty job, reused if possible.
func (g *Gate) newJob() *job {
	if len(g.freeJobs) == 0 {
		return &job{conn: noConnection}
	}
	j := g.freeJobs[len(g.freeJobs)-1]
	g.freeJobs = g.freeJobs[:len(g.freeJobs)-1]
	return j
}

// recycle removes a job that is over and keeps its memory for reuse. A timer
// that still refers to it is recognized as stale by its ID.
func (g *Gate) recycle(j *job) {
	if j.run != 0 {
		delete(g.runs, j.run)
		if g.runByID[j.req.ID] == j.run {
			delete(g.runByID, j.req.ID)
		}
	}
	if j.queuedIn != nil {
		j.queuedIn.remove(j)
	}
	g.dropCallingJob(j)
	*j = job{conn: noConnection, joinedWaiters: j.joinedWaiters[:0]}
	g.freeJobs = append(g.freeJobs, j)
}

// setTimer sets the job's only timer, which makes an earlier one stale, and
// compacts the queue of timers when most are stale.
func (g *Gate) setTimer(j *job, at mono.Time) {
	j.timer = g.timers.Add(at, j)
	if g.timers.Len() > maxStaleTimers+2*(len(g.runs)+g.queuedCount()) {
		g.timers.Compact(func(e timer.Entry[*job]) bool { return e.Item.timer == e.ID })
	}
}

// maxStaleTimers is the number of stale timers that are always tolerated.
const maxStaleTimers = 4096

// step applies an event to the job's state by the chart and performs the
// actions of the transition. The answer carries the outcome that the event
// brings; it is nil if there is none.
func (g *Gate) step(now mono.Time, j *job, event uint8, a *request.Answer, out *Actions) {
	cell := g.table.Next(j.state, event)
	if !cell.Taken {
		return
	}
	j.state = cell.To
	for _, do := range cell.Actions {
		g.perform(now, j, do, a, out)
	}
	if j.state == stateLingering {
		g.linger(now, j, out)
	}
	if j.state == stateClosed {
		g.endRun(j, out)
		g.recycle(j)
	}
}

// linger lets a run that was answered before its end hold its slice until its
// deadline and its slot for LingerTimeout longer, since the target may still
// execute it.
func (g *Gate) linger(now mono.Time, j *job, out *Actions) {
	if g.target.StopsAbandonedRuns {
		g.lingerBriefly(now, j, out)
		return
	}
	if now.Before(j.deadline) {
		g.setTimer(j, j.deadline)
		return
	}
	g.endRun(j, out)
	g.setTimer(j, j.deadline.Add(g.cfg.LingerTimeout))
}

// lingerBriefly is linger at a target that stops runs itself. Runs whose
// connection was lost and idempotent runs, whose connection is closed by their
// cancellation, count as stopped at once, the others at their deadline.
func (g *Gate) lingerBriefly(now mono.Time, j *job, out *Actions) {
	until := now
	if j.conn != noConnection && !j.req.Idempotent {
		until = max(now, j.deadline)
	}
	if !now.Before(until) {
		g.endRun(j, out)
	}
	g.setTimer(j, until.Add(g.cfg.StoppedLingerTimeout))
}

// endRun reports once that a run no longer holds its slice.
func (g *Gate) endRun(j *job, out *Actions) {
	if j.run == 0 || j.ended {
		return
	}
	j.ended = true
	out.Ends = append(out.Ends, j.run)
}

// perform performs an action of the chart.
func (g *Gate) perform(now mono.Time, j *job, action uint8, a *request.Answer, out *Actions) {
	switch action {
	case actionStart:
		g.startRun(now, j, out)
	case actionCancel:
		out.Cancels = append(out.Cancels, CancelRun{ID: j.req.ID, Run: j.run})
	case actionAnswer:
		g.answerJob(now, j, a, out)
	case actionRaise:
		if !j.req.Idempotent {
			g.raiseUnknown(j, a, out)
		}
	case actionSettle:
		g.settle(now, j, a, out)
	case actionFree:
		g.releaseSlot(j)
	}
}
