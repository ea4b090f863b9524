package daemon

import (
	"slices"

	"github.com/rhubarbring/rhubarbring/assignment"
	"github.com/rhubarbring/rhubarbring/document"
	"github.com/rhubarbring/rhubarbring/event"
	"github.com/rhubarbring/rhubarbring/gate"
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/internal/control"
	"github.com/rhubarbring/rhubarbring/internal/entry"
	"github.com/rhubarbring/rhubarbring/internal/peer"
	"github.com/rhubarbring/rhubarbring/internal/targetclient"
	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/request"
	"github.com/rhubarbring/rhubarbring/result"
)

// Tasks of the routing loop.
type (
	requestSubmitted struct{ submission entry.Submission }
	callerGone       struct{ call request.CallID }
	// requestReceived is a request from another daemon.
	requestReceived struct {
		from    *peer.Conn
		request *request.Request
	}
	cancelReceived struct {
		from   *peer.Conn
		cancel request.Cancel
	}
	ackReceived struct {
		from *peer.Conn
		ack  request.Ack
	}
	// answerReceived is an answer and the connection on which it arrived.
	answerReceived struct {
		conn   *peer.Conn
		answer *request.Answer
	}
	requestNotSent struct{ seq uint64 }
	connLost       struct{ conn *peer.Conn }
	runEnded       struct {
		run   *targetRun
		reply targetclient.Reply
	}
	cancelEnded struct {
		gate    *gate.Gate
		run     uint64
		stopped bool
	}
	packsObserved   struct{ packs []packVersion }
	targetAnnounced struct{ announcement control.Announcement }
	// documentChanged is the document that came into force.
	documentChanged struct{ document *document.Document }
	sessionEnded    struct{ session host.Session }
	abandonSent     struct{}
	stopRequested   struct{}
	// answerCallersBy bounds the time until all callers are answered.
	answerCallersBy struct{ stop request.Stop }
	// drainGate makes the gate accept no more requests. Its runs end by stopsAt.
	drainGate struct{ stopsAt mono.Time }
)

// packVersion is a pack with its object version in the store. It is written if it
// came from the daemon that wrote it, just after the store had taken it.
type packVersion struct {
	pack    *assignment.Pack
	version uint64
	written bool
}

func (w requestSubmitted) handle(r *routingLoop, now mono.Time) {
	s := w.submission
	parent := r.markCall(s.Request)
	r.waitingCallers[s.Call] = waitingCaller{reply: s.Reply, holdAnswer: s.HoldAnswer, since: now, request: s.Request, parent: parent}
	if !s.Request.Class.IsCall() {
		// A call asks for the time that its run has left, which tells nothing of
		// how long the call has been waiting.
		s.Request.LatencyTarget = r.elapsed.RemainingTarget(s.Request, s.CallerTimeout)
	}
	r.router.Submit(now, s.Request, s.Deadline, s.Call, &r.routerActions)
}

func (w callerGone) handle(r *routingLoop, now mono.Time) {
	r.router.CallerGone(now, w.call, &r.routerActions)
	if waiting, ok := r.waitingCallers[w.call]; ok {
		delete(r.waitingCallers, w.call)
		r.logCallerLeft(waiting.request.ID, now.Sub(waiting.since))
		waiting.parent.abandoned(now)
		waiting.reply <- &request.Answer{Code: result.Cancelled}
	}
}

func (w requestReceived) handle(r *routingLoop, now mono.Time) {
	from := w.from.Session()
	if from.IsZero() {
		return
	}
	r.entryConns[from] = w.from
	r.deliverToGate(now, from, w.request)
}

func (w cancelReceived) handle(r *routingLoop, now mono.Time) {
	r.cancelAtGate(now, w.from.Session(), w.cancel)
}

func (w ackReceived) handle(r *routingLoop, _ mono.Time) {
	if r.gate != nil {
		r.gate.AckReceived(w.from.Session(), w.ack)
	}
}

// An answer is accepted only on the connection on which its request was sent.
func (w answerReceived) handle(r *routingLoop, now mono.Time) {
	s, ok := r.sentRequests[w.answer.Seq]
	if !ok || s.conn != w.conn {
		r.log.Event(event.AnswerDropped, "id", w.answer.ID, "attempt", w.answer.Attempt, "code", uint16(w.answer.Code))
		return
	}
	if w.answer.Code.Outcome() != result.Unknown {
		delete(r.sentRequests, w.answer.Seq)
	}
	r.router.Answered(now, s.to, w.answer, &r.routerActions)
}

func (w requestNotSent) handle(r *routingLoop, now mono.Time) {
	s := r.sentRequests[w.seq]
	delete(r.sentRequests, w.seq)
	r.peerTargets.Forget(s.to)
	r.log.Event(event.SendFailed, "id", s.id, "to", s.to.String(), "cause", "no connection could be opened")
	r.router.SendFailed(now, w.seq, result.PeerUnreachable, &r.routerActions)
}

func (w connLost) handle(r *routingLoop, now mono.Time) {
	for _, seq := range r.sentOn(w.conn) {
		delete(r.sentRequests, seq)
		r.router.ConnectionLost(now, seq, &r.routerActions)
	}
	from := w.conn.Session()
	r.peerTargets.Forget(from)
	if r.entryConns[from] != w.conn {
		return
	}
	delete(r.entryConns, from)
	delete(r.statusTold, from)
	r.sliceWaiters.DropFrom(from)
	if r.hostLink != nil {
		r.hostLink.DropFrom(from)
	}
	for _, g := range r.gates() {
		g.EntryDisconnected(now, from, &r.gateActions)
	}
}

func (w runEnded) handle(r *routingLoop, now mono.Time) {
	g, run := w.run.gate, w.run.number
	took := now.Sub(w.run.started)
	r.metrics.service.Update(took.Microseconds())
	r.observeRun(now, w.run, w.reply)
	r.heardTarget(now, w.run.started, w.run.instance, w.reply.Statement)
	r.reporter.meterRun(w.run.request, g.UsualTime(w.run.started, now))
	switch w.reply.Verdict {
	case targetclient.Answered:
		g.TargetAnswered(now, run, gate.TargetAnswer{Status: w.reply.Status, ContentType: w.reply.Type, Header: w.reply.Header, Body: w.reply.Body}, &r.gateActions)
	case targetclient.Refused:
		targetRefused(now, g, run, w.reply, &r.gateActions)
	case targetclient.NotSent:
		g.TargetConnectFailed(now, run, &r.gateActions)
	case targetclient.AnswerTooLarge:
		g.TargetTruncated(now, run, &r.gateActions)
	default:
		g.TargetLost(now, run, result.AnswerLost, &r.gateActions)
		r.endAfterDeadline(now, w.run)
		r.endTicketsOfReplaced(now)
		return
	}
	r.endTicket(now, w.run)
}

// targetRefused passes a target's refusal to the gate of the run.
func targetRefused(now mono.Time, g *gate.Gate, run uint64, reply targetclient.Reply, out *gate.Actions) {
	code := refusalCode(reply.Reason)
	if code == result.TargetShed && reply.Statement.HasFreeSlot {
		g.TargetShedWithFreeSlot(now, run, out)
		return
	}
	g.TargetRefused(now, run, code, out)
}

func refusalCode(reason string) result.Code {
	switch reason {
	case targetclient.ReasonFence:
		return result.FenceRefused
	case targetclient.ReasonBodyGone:
		return result.PeerUnreachable
	case targetclient.ReasonCancelled:
		return result.Cancelled
	case "draining":
		return result.Draining
	case "deadline":
		return result.DeadlineTooShort
	default:
		return result.TargetShed
	}
}

func (w cancelEnded) handle(r *routingLoop, now mono.Time) {
	w.gate.TargetCancelAnswered(now, w.run, w.stopped, &r.gateActions)
}

func (w packsObserved) handle(r *routingLoop, now mono.Time) {
	for _, p := range w.packs {
		r.observeEra(p.version)
		for _, change := range r.owners.PutPack(p.pack, p.version) {
			r.applyChange(now, change, p.written)
		}
	}
	r.contestHeld(now)
	r.router.MapChanged(now, &r.routerActions)
	if !r.allSlicesOwned.Load() {
		r.allSlicesOwned.Store(r.allOwned())
	}
}

// allOwned reports whether each slice of each app of the document has an owner.
func (r *routingLoop) allOwned() bool {
	d := r.fleet.document.Load()
	if d == nil {
		return false
	}
	for name, app := range d.apps {
		if !hasSlices(app) {
			continue
		}
		total := r.owners.Total(name)
		if total == 0 {
			return false
		}
		for id := range total {
			if s, ok := r.owners.At(key.Slice{App: name, ID: key.SliceID(id)}); !ok || s.Owner.IsZero() {
				return false
			}
		}
	}
	return true
}

// applyChange passes a change of an assignment to the holder. A change that
// requires a release is confirmed with the store first, unless its writer has just
// done so.
func (r *routingLoop) applyChange(now mono.Time, c assignment.Change, written bool) {
	if c.Merged {
		r.mergedAtMs[key.Slice{App: c.Slice.App, ID: c.Parent}] = wallMs()
	}
	r.history.add(wallMs(), c)
	switch {
	case c.NotInForce:
		return
	case !r.requiresRelease(c):
		r.executeHolder(now, r.holder.ApplyChange(now, c))
	case written && r.store.reachable():
		r.beginHandover(now, c)
	default:
		r.confirmChange(c)
	}
}

func (w documentChanged) handle(r *routingLoop, now mono.Time) {
	r.updateHedgeBudgets()
	r.elapsed.Reset()
	for _, a := range w.document.Apps {
		r.owners.SetNumericKeys(a.Name, a.KeyNumbers)
	}
	r.setColdLimit(now, w.document.App)
	if r.granter == nil {
		r.startGranting()
		r.offerOwned(now)
	}
}

func (w sessionEnded) handle(r *routingLoop, now mono.Time) {
	if w.session == r.self {
		r.holder.EndSession()
		r.sessionOver = true
		r.router.SessionEnded(now, &r.routerActions)
		if r.gate != nil {
			r.gate.OwnershipChanged(now, &r.gateActions)
		}
		return
	}
	for _, g := range r.gates() {
		g.EntryLost(now, w.session, &r.gateActions)
	}
}

// gates returns the current gate and the retired ones, which only finish their
// runs.
func (r *routingLoop) gates() []*gate.Gate {
	if r.gate == nil {
		return nil
	}
	return append(slices.Clone(r.retiredGates), r.gate)
}

// abandonSent ends the wait for answers of other daemons. They drop requests
// from a session that they know has ended, so answers may never come.
func (abandonSent) handle(r *routingLoop, now mono.Time) {
	for seq := range r.sentRequests {
		delete(r.sentRequests, seq)
		r.router.ConnectionLost(now, seq, &r.routerActions)
	}
}

func (w answerCallersBy) handle(r *routingLoop, _ mono.Time) {
	r.router.BeginStop(w.stop)
}

func (w drainGate) handle(r *routingLoop, now mono.Time) {
	if r.gate != nil {
		r.gate.DrainBy(now, w.stopsAt, &r.gateActions)
	}
}

func (stopRequested) handle(r *routingLoop, now mono.Time) {
	owned := r.holder.Counts().Owned
	r.stopOwned.Store(int64(owned))
	r.log.Event(event.PlannedStopBegan, "owned", owned)
	r.holder.BeginStop(now)
}

// sentOn returns the sequence numbers of the unanswered requests that were sent
// on a connection.
func (r *routingLoop) sentOn(conn *peer.Conn) []uint64 {
	var seqs []uint64
	for seq, s := range r.sentRequests {
		if s.conn == conn {
			seqs = append(seqs, seq)
		}
	}
	return seqs
}
