package daemon

import (
	"github.com/rhubarbring/rhubarbring/event"
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/internal/peer"
	"github.com/rhubarbring/rhubarbring/internal/wire"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/targetstatus"
)

// Tasks of the routing loop that concern what targets say of themselves.
type (
	// localStatusReported is what another daemon reports of this host's target.
	localStatusReported struct{ report targetstatus.Report }
	// peerStatusReported is what the daemon beside a target reports of it.
	peerStatusReported struct {
		from   host.Session
		report targetstatus.Report
	}
)

// targetStatusReceived passes a report to the loops that use it. It runs on an
// event loop of package peer.
func (d *Daemon) targetStatusReceived(from *peer.Conn, report targetstatus.Report) {
	if report.Host == d.self.Host {
		d.routing.ring.Push(localStatusReported{report})
		return
	}
	d.routing.ring.Push(peerStatusReported{from: from.Session(), report: report})
	d.placement.push(targetStatusReported{from: from.Session(), report: report})
}

func (w localStatusReported) handle(r *routingLoop, now mono.Time) {
	if r.targetStatus.Reported(w.report) && r.gate != nil {
		r.statusChanged(now)
	}
}

func (w peerStatusReported) handle(r *routingLoop, now mono.Time) {
	r.peerTargets.Learn(now, w.from, w.report)
	if w.report.Leaving {
		gatesChanged{}.handle(r, now)
	}
}

// heardTarget handles what an answer of an instance of the target says of it.
func (r *routingLoop) heardTarget(now, requestedAt mono.Time, instance uint64, s targetstatus.Statement) {
	if s.WorkTime > 0 && r.gate != nil && instance == r.target.instance {
		r.gate.SetWorkTime(now, s.WorkTime)
	}
	if r.targetStatus.Heard(now, requestedAt, instance, s) {
		r.statusChanged(now)
	}
}

// statusChanged applies a changed status of the target.
func (r *routingLoop) statusChanged(now mono.Time) {
	s := r.targetStatus.Status()
	r.log.Event(event.TargetStatus, "app", string(r.target.app), "instance", r.target.instance, "limit", s.RateLimit, "leaving", s.Leaving)
	r.gate.SetRateLimit(now, s.RateLimit, &r.gateActions)
	if s.Leaving {
		r.gate.TargetLeaving(now, r.leavingSince(now), &r.gateActions)
		r.onTargetLeaving(r.target.instance)
	}
	r.process.rememberStatus(r.targetStatus.Report(r.self.Host))
	r.onTargetStatus(r.statusReport(now))
}

// leavingSince returns since when the target has been known to be about to end. If
// another daemon knew it before this one, that is assumed to be long ago.
func (r *routingLoop) leavingSince(now mono.Time) mono.Time {
	if r.targetStatus.LeavingReported() {
		return mono.Never
	}
	return now
}

// statusReport returns the status of the target as it is reported to other daemons.
func (r *routingLoop) statusReport(now mono.Time) targetstatus.Report {
	report := r.targetStatus.Report(r.self.Host)
	if report.RateLimit > 0 || r.gate.Cold() {
		report.UsableSlots = float32(r.gate.MeanBusySlots(now))
	}
	return report
}

// tellEntry tells an entry daemon the status of the target before it gets the next
// answer, if it has changed. The entry daemon tells it to the next daemon on this
// host.
func (r *routingLoop) tellEntry(now mono.Time, to host.Session, conn *peer.Conn) {
	revision := r.targetStatus.Revision()
	if r.statusTold[to] == revision {
		return
	}
	frame, err := wire.Encode(wire.KindTargetStatus, r.statusReport(now))
	if err != nil {
		return
	}
	if conn.Send(frame) == nil {
		r.statusTold[to] = revision
	}
}

// tellGate tells a session what an earlier one of its host reported of the target
// beside it, on the connection on which the next request follows.
func (r *routingLoop) tellGate(to host.Session, address string) {
	report, ok := r.peerTargets.Untold(to)
	if !ok {
		return
	}
	frame, err := wire.Encode(wire.KindTargetStatus, report)
	if err != nil {
		return
	}
	if _, err := r.peers.Send(address, frame, 0); err == nil {
		r.peerTargets.Told(to)
	}
}
