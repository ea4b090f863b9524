package daemon

import (
	"time"

	"github.com/rhubarbring/rhubarbring/event"
	"github.com/rhubarbring/rhubarbring/gate"
	"github.com/rhubarbring/rhubarbring/handover"
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/internal/peer"
	"github.com/rhubarbring/rhubarbring/internal/wire"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/request"
	"github.com/rhubarbring/rhubarbring/result"
)

// flush carries out the actions that the router and the gate requested, until
// there are none left. Carrying them out can cause further actions, for example
// when a request goes to the local gate; these are collected in the other pair
// of buffers.
func (r *routingLoop) flush(now mono.Time) {
	for len(r.routerActions.Local) > 0 || r.hasActions() {
		r.routerActions, r.routerBatch = r.routerBatch, r.routerActions
		r.executeRouter(now, &r.routerBatch)
		r.routerBatch.Reset()
		r.gateActions, r.gateBatch = r.gateBatch, r.gateActions
		r.executeGate(now, &r.gateBatch)
		r.gateBatch.Reset()
	}
}

func (r *routingLoop) hasActions() bool {
	o, g := &r.routerActions, &r.gateActions
	return len(o.Sends)+len(o.Cancels)+len(o.Acks)+len(o.Replies)+len(o.Risks)+len(o.Settlements) > 0 ||
		len(g.Starts)+len(g.Cancels)+len(g.Answers)+len(g.Risks)+len(g.Settlements) > 0
}

func (r *routingLoop) executeRouter(now mono.Time, out *request.Actions) {
	for _, s := range out.Sends {
		r.send(now, s)
	}
	for _, req := range out.Local {
		r.deliverToGate(now, r.self, req)
	}
	for _, c := range out.Cancels {
		r.cancel(now, c)
	}
	for _, a := range out.Acks {
		r.ack(a)
	}
	for _, reply := range out.Replies {
		r.reply(now, reply)
	}
	for _, risk := range out.Risks {
		r.onRisk(risk)
	}
	for _, s := range out.Settlements {
		r.onSettled(s)
	}
}

func (r *routingLoop) send(now mono.Time, s request.Send) {
	req := s.Request
	r.logSent(s.To, req)
	frame, err := encodeRequest(req)
	if err != nil {
		r.sendFailed(now, s, result.TooLarge, err.Error())
		return
	}
	address := r.fleet.peerAddress(s.To)
	if address == "" || r.sessionOver {
		r.sendFailed(now, s, result.PeerUnreachable, "the address of the session is unknown, or this daemon's session is over")
		return
	}
	if req.Long != nil && r.peers.LacksLongRequests(address) {
		r.sendFailed(now, s, result.PeerUnreachable, "the daemon is of a build that carries no long bodies")
		return
	}
	r.tellGate(s.To, address)
	conn, err := r.peers.Send(address, frame, peer.Tag(req.Seq))
	if err != nil {
		r.sendFailed(now, s, result.PeerUnreachable, err.Error())
		return
	}
	r.sentRequests[req.Seq] = sentRequest{id: req.ID, to: s.To, conn: conn, at: now}
}

// encodeRequest returns the frame of a request.
func encodeRequest(req *request.Request) ([]byte, error) {
	if req.Long != nil {
		return wire.Encode(wire.KindLongRequest, &request.LongRequest{Request: *req, Body: *req.Long})
	}
	return wire.Encode(wire.KindRequest, req)
}

// sendFailed reports to the router that a request did not leave this process.
func (r *routingLoop) sendFailed(now mono.Time, s request.Send, code result.Code, cause string) {
	r.log.Event(event.SendFailed, "id", s.Request.ID, "to", s.To.String(), "cause", cause)
	r.router.SendFailed(now, s.Request.Seq, code, &r.routerActions)
}

func (r *routingLoop) cancel(now mono.Time, c request.SendCancel) {
	if c.To == r.self {
		r.cancelAtGate(now, r.self, c.Cancel)
		return
	}
	s, ok := r.sentRequests[c.Cancel.Seq]
	if !ok {
		return
	}
	if frame, err := wire.Encode(wire.KindCancel, c.Cancel); err == nil {
		_ = s.conn.Send(frame)
	}
}

// cancelAtGate ends a request that waits or runs here.
func (r *routingLoop) cancelAtGate(now mono.Time, from host.Session, c request.Cancel) {
	if r.hostLink != nil {
		r.hostLink.Cancel(from, c.Seq)
	}
	if r.sliceWaiters.Cancel(from, c.Seq) || r.gate == nil {
		return
	}
	r.gate.CancelReceived(now, from, c, &r.gateActions)
}

// ack tells a gate which of its answers reached their callers. If an
// acknowledgement is lost and this daemon is lost later, the gate reports an
// outcome as at risk although it is known.
func (r *routingLoop) ack(a request.SendAck) {
	if a.To == r.self {
		if r.gate != nil {
			r.gate.AckReceived(r.self, a.Ack)
		}
		return
	}
	frame, err := wire.Encode(wire.KindAck, a.Ack)
	if err != nil {
		return
	}
	if address := r.fleet.peerAddress(a.To); address != "" {
		_, _ = r.peers.Send(address, frame, 0)
	}
}

func (r *routingLoop) reply(now mono.Time, reply request.Reply) {
	a := reply.Answer
	r.logAnswered(a)
	waiting, ok := r.waitingCallers[reply.Call]
	if !ok {
		return
	}
	r.metrics.recordAnswer(a.Code, now-waiting.since)
	delete(r.waitingCallers, reply.Call)
	waiting.parent.ended(now, a.Code)
	if a.Code == result.OK {
		r.requestAnswered(waiting.request)
	}
	if waiting.holdAnswer != nil {
		waiting.holdAnswer(len(a.Body))
	}
	waiting.reply <- a
}

// deliverToGate passes a request to the gate, unless it waits for its slice first.
func (r *routingLoop) deliverToGate(now mono.Time, from host.Session, req *request.Request) {
	if !r.waitForSlice(now, from, req) {
		r.passToGate(now, from, req)
	}
}

// passToGate passes a request to the gate, or refuses it if there is no gate yet or
// no document, which says what the target bears.
func (r *routingLoop) passToGate(now mono.Time, from host.Session, req *request.Request) {
	if r.gate != nil && r.fleet.document.Load() != nil {
		if wait, ok := r.reserveHostLink(now, from, req); !ok {
			r.gate.RefuseFull(now, from, req, wait, &r.gateActions)
			return
		}
		before := len(r.gateActions.Answers)
		r.gate.RequestReceived(now, wallMs(), from, req, &r.gateActions)
		r.reporter.meterRefusal(req, r.gateActions.Answers[before:], r.gate.MeanServiceTime())
		return
	}
	code := result.NotOwner
	if r.gate != nil {
		code = result.TargetUnavailable
	}
	a := &request.Answer{ID: req.ID, Attempt: req.Attempt, Seq: req.Seq, Code: code, Owner: string(r.self.Host)}
	r.gateActions.Answers = append(r.gateActions.Answers, gate.Answer{To: from, Answer: a})
}

// reserveHostLink reserves room on this host's link for the answer to a request of
// another daemon. If there is none it returns false and after which time there
// will be. A request that is not idempotent is never refused here: it may be a
// duplicate, which only the gate can tell.
func (r *routingLoop) reserveHostLink(now mono.Time, from host.Session, req *request.Request) (time.Duration, bool) {
	if r.hostLink == nil || from == r.self || !req.Idempotent {
		return 0, true
	}
	return r.hostLink.Reserve(now, from, req.Seq, req.Route, r.gate.ServiceTime(req.Route))
}

func (r *routingLoop) executeGate(now mono.Time, out *gate.Actions) {
	for i := range out.Starts {
		r.startRun(now, &out.Starts[i])
	}
	for _, c := range out.Cancels {
		go r.cancelRun(r.gate, r.target.client, c)
	}
	for _, a := range out.Answers {
		r.answer(now, a)
	}
	for _, risk := range out.Risks {
		r.onRisk(risk)
	}
	for _, s := range out.Settlements {
		r.onSettled(s)
	}
}

// answer sends a gate's answer back to the entry daemon. If it cannot be sent
// it is lost: the entry daemon notices the lost connection or the passed
// deadline, and answers its caller accordingly.
func (r *routingLoop) answer(now mono.Time, a gate.Answer) {
	if a.Answer.Code != result.OK {
		r.metrics.recordRefusal(a.Answer.Code)
		r.logRefused(a.Answer)
	}
	if a.To == r.self {
		r.router.Answered(now, r.self, a.Answer, &r.routerActions)
		return
	}
	if r.hostLink != nil {
		r.hostLink.Answered(now, a.To, a.Answer.Seq, len(a.Answer.Body)+len(a.Answer.Header), a.Answer.Code == result.OK)
	}
	conn, ok := r.entryConns[a.To]
	if !ok {
		return
	}
	r.tellEntry(now, a.To, conn)
	if frame, err := wire.Encode(wire.KindAnswer, a.Answer); err == nil {
		_ = conn.Send(frame)
	}
}

func (r *routingLoop) cancelRun(g *gate.Gate, client Target, c gate.CancelRun) {
	stopped := client.Cancel(c.ID, c.Run, cancelWait)
	r.ring.PushWait(cancelEnded{gate: g, run: c.Run, stopped: stopped}, r.stop)
}

func (r *routingLoop) executeHolder(now mono.Time, actions []handover.Action) {
	changed := false
	for _, action := range actions {
		switch a := action.(type) {
		case handover.Admit:
			changed = true
			r.log.Event(event.SliceAdmitted, "slice", a.Slice.String(), "epoch", a.Epoch)
			r.ownSlice(now, a.Slice, a.Epoch)
		case handover.StopAdmitting:
			changed = true
			r.setNextOwner(a.Slice, a.Next)
			r.withholdSlice(a)
			r.log.Event(event.SliceDraining, "slice", a.Slice.String(), "epoch", a.Epoch, "next", a.Next.String())
		case handover.SendRelease:
			r.releaseSlice(now, a.Release)
		case handover.ReportDrainOverdue:
			r.log.Event(event.DrainOverdue, "slice", a.Slice.String(), "epoch", a.Epoch, "in_flight", a.InFlight)
		case handover.ReportSuperseded:
			r.dropSlice(a.Slice)
			r.log.Event(event.SliceOverruled, "slice", a.Slice.String(), "epoch", a.Epoch, "newest", a.Newest)
		}
	}
	r.tickGrants(now)
	if changed && r.gate != nil {
		r.gate.OwnershipChanged(now, &r.gateActions)
	}
}
