package daemon

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"github.com/rhubarbring/rhubarbring/gate"
	"github.com/rhubarbring/rhubarbring/handover"
	"github.com/rhubarbring/rhubarbring/internal/longbody"
	"github.com/rhubarbring/rhubarbring/internal/targetclient"
	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/request"
)

// targetRun is a request that is running at the local target.
type targetRun struct {
	number   uint64
	gate     *gate.Gate
	instance uint64 // of the target
	request  *request.Request
	ticket   handover.Ticket
	started  mono.Time
	deadline mono.Time
	lost     bool // Its connection broke before the answer.
}

// heldRuns holds the runs whose tickets keep their slices from being released.
type heldRuns map[*targetRun]struct{}

// ticketEnded ends the ticket of a run whose connection was lost.
type ticketEnded struct{ run *targetRun }

func (w ticketEnded) handle(r *routingLoop, now mono.Time) {
	r.endTicket(now, w.run)
}

// startRun sends a run to the target on its own goroutine. For a request with a
// slice it takes a ticket that keeps the slice from being released until the run
// has ended or, if the connection to the target is lost, until the deadline or
// until the target's instance is known to have ended.
func (r *routingLoop) startRun(now mono.Time, s *gate.Start) {
	req := s.Request
	r.logStarted(s)
	r.metrics.queue.Update(s.Waited.Microseconds())
	active := &targetRun{number: s.Run, gate: r.gate, instance: r.target.instance, request: req, started: now, deadline: s.Deadline}
	if req.Slice != request.NoSlice {
		ticket, verdict := r.holder.Begin(now, key.Slice{App: req.App, ID: req.Slice})
		if !verdict.Admitted() {
			r.gate.TargetRefused(now, s.Run, verdict.Code, &r.gateActions)
			return
		}
		active.ticket = ticket
		r.heldRuns[active] = struct{}{}
	}
	call := targetclient.Call{
		RunID:    s.Run,
		Request:  req,
		Slice:    key.Slice{App: req.App, ID: req.Slice},
		Grant:    targetclient.Grant{Owner: s.Owner, Epoch: s.Epoch, Expires: s.Expires},
		Deadline: s.Deadline,
		Timeout:  s.Deadline.Sub(now) + lateAnswerWait,
	}
	client := r.target.client
	go func() { r.ring.PushWait(runEnded{run: active, reply: doRun(client, call)}, r.stop) }()
}

// doRun sends a run to the target, with its long body if it has one, and waits until it
// has ended.
func doRun(client Target, call targetclient.Call) targetclient.Reply {
	if call.Request.Long == nil {
		return client.Do(call)
	}
	ctx, cancel := context.WithTimeout(context.Background(), call.Timeout)
	defer cancel()
	body, err := longbody.Open(ctx, *call.Request.Long)
	if err != nil {
		return targetclient.Reply{Verdict: targetclient.Refused, Reason: targetclient.ReasonBodyGone}
	}
	defer func() { _ = body.Close() }()
	call.LongBody = body
	return client.Do(call)
}

// endAfterDeadline keeps the slice held until the deadline of a run whose
// connection was lost, since the target may be working on it until then.
func (r *routingLoop) endAfterDeadline(now mono.Time, run *targetRun) {
	run.lost = true
	if _, held := r.heldRuns[run]; !held {
		return
	}
	left := max(run.deadline.Sub(now), 0)
	time.AfterFunc(left, func() { r.ring.PushWait(ticketEnded{run}, r.stop) })
}

// endTicket ends the ticket of a run, unless it has ended or there is none.
func (r *routingLoop) endTicket(now mono.Time, run *targetRun) {
	if _, held := r.heldRuns[run]; !held {
		return
	}
	delete(r.heldRuns, run)
	r.executeHolder(now, r.holder.End(now, run.ticket))
}

// endTicketsOf ends the tickets of an instance of the target that has ended: none of
// its runs goes on.
func (r *routingLoop) endTicketsOf(now mono.Time, instance uint64) {
	r.endTickets(now, func(run *targetRun) bool { return run.instance == instance })
}

// endLostTicketsOf ends the tickets of an instance that listens no more, of which
// the runs that were lost do not go on. Others may: a process that is about to end
// closes its listener first.
func (r *routingLoop) endLostTicketsOf(now mono.Time, instance uint64) {
	r.endTickets(now, func(run *targetRun) bool { return run.instance == instance && run.lost })
}

// endTickets ends the tickets of the runs that match.
func (r *routingLoop) endTickets(now mono.Time, matches func(*targetRun) bool) {
	runs := slices.SortedFunc(maps.Keys(r.heldRuns), func(a, b *targetRun) int { return cmp.Compare(a.number, b.number) })
	for _, run := range runs {
		if matches(run) {
			r.endTicket(now, run)
		}
	}
}
