package gate

import (
	"github.com/rhubarbring/rhubarbring/chart"
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/idmemory"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/request"
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
	doStart uint8 = iota
	doCancel
	doAnswer
	doRaise
	doSettle
	doFree
)

var (
	states  = []chart.State{"arrived", "queued", "running", "cancelling", "lingering", "closed"}
	events  = []chart.Event{"refuse", "queue", "start", "withdraw", "answered", "refused", "lost", "overdue", "overdue_once", "stopped", "not_stopped", "release"}
	actions = []chart.Action{"start", "cancel", "answer", "raise", "settle", "free"}
)

// origin is one sending that waits for a job's answer.
type origin struct {
	from    host.Session
	attempt uint32
	seq     uint64
}

// noConnection marks a job that holds no connection.
const noConnection = -1

// job is one request at the gate.
type job struct {
	req       *request.Request
	first     origin
	joined    []origin
	abandoned bool // the first origin is lost
	arrivedAt mono.Time
	deadline  mono.Time
	wanted    mono.Time // when the answer is wanted; orders the queue
	state     uint8
	slot      idmemory.Slot
	timer     uint64
	queuedIn  *queue
	// From the start on:
	run       uint64
	conn      int
	startedAt mono.Time
	epoch     uint64
	due       mono.Time // when the target's time for it is up
	ended     bool      // it holds its slice no longer
}

// owned reports whether the job needs the ownership of its slice.
func (j *job) owned() bool {
	return j.req.Slice != request.NoSlice
}

// waits reports whether anyone waits for the job's answer.
func (j *job) waits() bool {
	return !j.abandoned || len(j.joined) > 0
}

func (g *Gate) newJob() *job {
	if len(g.free) == 0 {
		return &job{conn: noConnection}
	}
	j := g.free[len(g.free)-1]
	g.free = g.free[:len(g.free)-1]
	return j
}

// drop forgets a job that is over. Its memory is used again; a timer that
// still points to it is told by its number.
func (g *Gate) drop(j *job) {
	if j.run != 0 {
		delete(g.runs, j.run)
	}
	if j.queuedIn != nil {
		j.queuedIn.gone(j)
	}
	*j = job{conn: noConnection, joined: j.joined[:0]}
	g.free = append(g.free, j)
}

func (g *Gate) setTimer(j *job, at mono.Time) {
	j.timer = g.timers.Add(at, j)
	if g.timers.Len() > maxStaleTimers+2*(len(g.runs)+g.urgent.len()+g.normal.len()) {
		g.timers.Compact(func(e timer.Entry[*job]) bool { return e.Item.timer == e.ID })
	}
}

// maxStaleTimers is how many timers of jobs that are over may be kept.
const maxStaleTimers = 4096

// step takes the chart's transition and does its actions. The answer is what
// the event says of the outcome, or nil.
func (g *Gate) step(now mono.Time, j *job, event uint8, a *request.Answer, out *Actions) {
	cell := g.table.Next(j.state, event)
	if !cell.Taken {
		return
	}
	j.state = cell.To
	for _, do := range cell.Do {
		g.do(now, j, do, a, out)
	}
	if j.state == stateLingering {
		g.linger(now, j, out)
	}
	if j.state == stateClosed {
		g.end(j, out)
		g.drop(j)
	}
}

// linger lets a run that was answered for hold its slice to its deadline, and
// its slot for a while longer.
func (g *Gate) linger(now mono.Time, j *job, out *Actions) {
	if g.target.StopsRuns {
		g.lingerBriefly(now, j, out)
		return
	}
	if now.Before(j.deadline) {
		g.setTimer(j, j.deadline)
		return
	}
	g.end(j, out)
	g.setTimer(j, j.deadline.Add(g.cfg.RunHold))
}

// lingerBriefly is linger at a target that stops runs itself: those whose
// connection is closed at once, the others at their deadline.
func (g *Gate) lingerBriefly(now mono.Time, j *job, out *Actions) {
	until := now
	if j.conn != noConnection && !j.req.Idempotent {
		until = latest(now, j.deadline)
	}
	if !now.Before(until) {
		g.end(j, out)
	}
	g.setTimer(j, until.Add(g.cfg.StopHold))
}

func latest(a, b mono.Time) mono.Time {
	return max(a, b)
}

func (g *Gate) end(j *job, out *Actions) {
	if j.run == 0 || j.ended {
		return
	}
	j.ended = true
	out.Ends = append(out.Ends, j.run)
}

func (g *Gate) do(now mono.Time, j *job, action uint8, a *request.Answer, out *Actions) {
	switch action {
	case doStart:
		g.start(now, j, out)
	case doCancel:
		out.Cancels = append(out.Cancels, CancelRun{ID: j.req.ID, Run: j.run})
	case doAnswer:
		g.answer(now, j, a, out)
	case doRaise:
		if !j.req.Idempotent {
			g.raise(j, a, out)
		}
	case doSettle:
		g.settle(now, j, a, out)
	case doFree:
		g.freeSlot(j)
	}
}
