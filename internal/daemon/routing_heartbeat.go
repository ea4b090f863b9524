package daemon

import (
	"time"

	"github.com/rhubarbring/rhubarbring/assignment"
	"github.com/rhubarbring/rhubarbring/event"
	"github.com/rhubarbring/rhubarbring/grant"
	"github.com/rhubarbring/rhubarbring/handover"
	"github.com/rhubarbring/rhubarbring/mono"
)

// heartbeatOverdue is how long after its last heartbeat a target that gets its
// slices with heartbeats is no longer waited for before a handover begins.
const heartbeatOverdue = 1500 * time.Millisecond

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
	r.heartbeatAt = now
	r.applyHandovers(now)
	r.heartbeatGrants.SetLease(r.leaseEnd())
	r.heartbeatGrants.Observe(now, report, &r.grantActions)
	r.executeGrants(now)
	a := r.heartbeatGrants.Answer(now)
	r.log.Event(event.HeartbeatAnswered, "held", len(report.Held), "freed", len(report.Freed), "rows", len(a.Rows),
		"hold_ms", a.Hold.Milliseconds(), "deferred", a.Deferred)
	return a
}

// withholdSlice leaves a slice that is draining out of the answers to heartbeats.
func (r *routingLoop) withholdSlice(a handover.StopAdmitting) {
	if r.heartbeatGrants != nil {
		r.heartbeatGrants.Withhold(a.Slice)
	}
}
