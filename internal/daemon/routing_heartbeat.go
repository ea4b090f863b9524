package daemon

import (
	"cmp"
	"time"

	"github.com/rhubarbring/rhubarbring/assignment"
	"github.com/rhubarbring/rhubarbring/event"
	"github.com/rhubarbring/rhubarbring/grant"
	"github.com/rhubarbring/rhubarbring/handover"
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/request"
)

// heartbeatOverdue is how long after its last heartbeat a target that gets its
// slices with heartbeats is no longer waited for before a handover begins.
const heartbeatOverdue = 1500 * time.Millisecond

const (
	// defaultHeartbeatInterval is assumed until two heartbeats have come.
	// Heartbeats that follow sooner than earlyHeartbeat are sent early, by a
	// target that is releasing slices.
	defaultHeartbeatInterval = time.Second
	earlyHeartbeat           = 300 * time.Millisecond
	// maxSliceWaiters bounds the requests that wait for slices.
	maxSliceWaiters = 256
)

// slicesHeld is a task for when the answer to a heartbeat has reached the target.
type slicesHeld struct{}

func (slicesHeld) handle(r *routingLoop, now mono.Time) {
	r.deliverWaiters(now)
}

// waitForSlice makes a request wait for its slice if this session owns it and the
// target gets it with its next heartbeat, soon enough. It reports whether it does.
func (r *routingLoop) waitForSlice(now mono.Time, from host.Session, req *request.Request) bool {
	if r.heartbeatGrants == nil || req.Slice == request.NoSlice || r.sessionOver || r.heartbeatAt == 0 {
		return false
	}
	s := key.Slice{App: req.App, ID: req.Slice}
	if !r.holder.Admits(now, s).Admitted() || r.heartbeatGrants.Holds(now, s) {
		return false
	}
	next := max(r.heartbeatAt.Add(cmp.Or(r.heartbeatInterval, defaultHeartbeatInterval)), now)
	heldAt, ok := r.heartbeatGrants.HeldFrom(now, next, s)
	return ok && r.sliceWaiters.Add(now, from, req, heldAt)
}

// deliverWaiters passes the requests to the gate whose slices the target holds, or
// that can't wait any longer.
func (r *routingLoop) deliverWaiters(now mono.Time) {
	if r.sliceWaiters.Len() == 0 {
		return
	}
	ready := func(req *request.Request) bool {
		s := key.Slice{App: req.App, ID: req.Slice}
		return r.sessionOver || !r.holder.Admits(now, s).Admitted() || r.targetHolds(now, s)
	}
	for _, a := range r.sliceWaiters.Take(now, ready) {
		r.passToGate(now, a.From, a.Request)
	}
}

// noteHeartbeat records the arrival of a heartbeat. A longer gap than the default
// means that heartbeats were lost, and not that they come less often.
func (r *routingLoop) noteHeartbeat(now mono.Time) {
	if gap := now.Sub(r.heartbeatAt); r.heartbeatAt != 0 && gap >= earlyHeartbeat {
		r.heartbeatInterval = min(gap, defaultHeartbeatInterval)
	}
	r.heartbeatAt = now
}

// beginHandover begins the handover of a slice to its next owner. A target that
// gets its slices with heartbeats can't be told of it before its next heartbeat,
// and serves the slice until then.
func (r *routingLoop) beginHandover(now mono.Time, c assignment.Change) {
	if r.heartbeatGrants != nil && now.Sub(r.heartbeatAt) < heartbeatOverdue {
		r.awaitingHeartbeat = append(r.awaitingHeartbeat, c)
		return
	}
	r.applyHandover(now, c)
}

// applyHandover stops admitting requests for a slice if it is still to be handed
// over.
func (r *routingLoop) applyHandover(now mono.Time, c assignment.Change) {
	if held, ok := r.owners.At(c.Slice); ok && held == c.To {
		r.executeHolder(now, r.holder.ApplyChange(now, c))
	}
}

// applyHandovers begins the handovers that waited for a heartbeat.
func (r *routingLoop) applyHandovers(now mono.Time) {
	waiting := r.awaitingHeartbeat
	r.awaitingHeartbeat = nil
	for _, c := range waiting {
		r.applyHandover(now, c)
	}
}

// tickHeartbeatHandovers begins the handovers that wait for a heartbeat which
// does not come.
func (r *routingLoop) tickHeartbeatHandovers(now mono.Time) {
	if now.Sub(r.heartbeatAt) >= heartbeatOverdue {
		r.applyHandovers(now)
	}
}

// answerHeartbeat handles the report of a target's heartbeat and returns what the
// target is to hold. The answer names nothing for targets that are granted slices
// by calls.
func (r *routingLoop) answerHeartbeat(now mono.Time, report grant.Report) grant.HeartbeatAnswer {
	if r.heartbeatGrants == nil || r.sessionOver {
		return grant.HeartbeatAnswer{}
	}
	r.noteHeartbeat(now)
	r.applyHandovers(now)
	r.heartbeatGrants.SetLease(r.leaseEnd())
	r.heartbeatGrants.Observe(now, report, &r.grantActions)
	r.executeGrants(now)
	a := r.heartbeatGrants.Answer(now)
	time.AfterFunc(grant.AnswerTransit, func() { r.ring.Push(slicesHeld{}) }) // Else the next tick delivers.
	r.log.Event(event.HeartbeatAnswered, "instance", r.target.instance, "held", len(report.Held), "freed", len(report.Freed), "rows", len(a.Rows),
		"hold_ms", a.Hold.Milliseconds(), "deferred", a.Deferred)
	if a.Deferred > 0 {
		r.log.Event(event.GrantsDeferred, "rows", len(a.Rows), "deferred", a.Deferred)
	}
	return a
}

// withholdSlice leaves a slice that is draining out of the answers to heartbeats.
func (r *routingLoop) withholdSlice(a handover.StopAdmitting) {
	if r.heartbeatGrants != nil {
		r.heartbeatGrants.Withhold(a.Slice)
	}
}
