package daemon

import (
	"time"

	"github.com/rhubarbring/rhubarbring/event"
	"github.com/rhubarbring/rhubarbring/gate"
	"github.com/rhubarbring/rhubarbring/handover"
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/internal/peer"
	"github.com/rhubarbring/rhubarbring/internal/targetclient"
	"github.com/rhubarbring/rhubarbring/internal/wire"
	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/request"
	"github.com/rhubarbring/rhubarbring/result"
)

// flush carries out what the cores asked for. Local sendings may ask for more,
// which is collected aside meanwhile.
func (r *routingDuty) flush(now mono.Time) {
	for len(r.out.Local) > 0 || r.pending() {
		r.out, r.doing = r.doing, r.out
		r.doRouter(now, &r.doing)
		r.doing.Reset()
		r.gateOut, r.gateDoing = r.gateDoing, r.gateOut
		r.doGate(now, &r.gateDoing)
		r.gateDoing.Reset()
	}
}

func (r *routingDuty) pending() bool {
	o, g := &r.out, &r.gateOut
	return len(o.Sends)+len(o.Cancels)+len(o.Acks)+len(o.Replies)+len(o.Raises)+len(o.Settles) > 0 ||
		len(g.Starts)+len(g.Cancels)+len(g.Answers)+len(g.Raises)+len(g.Settles) > 0
}

func (r *routingDuty) doRouter(now mono.Time, out *request.Actions) {
	for _, s := range out.Sends {
		r.send(now, s)
	}
	for _, req := range out.Local {
		r.arrive(now, r.self, req)
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
	for _, risk := range out.Raises {
		r.raise(risk)
	}
	for _, s := range out.Settles {
		r.settle(s)
	}
}

func (r *routingDuty) send(now mono.Time, s request.Send) {
	req := s.Request
	r.logSent(s.To, req)
	frame, err := wire.Encode(wire.KindRequest, req)
	if err != nil {
		r.sendFailed(now, s, result.TooLarge, err.Error())
		return
	}
	address := r.fleet.peerAddress(s.To)
	if address == "" || r.over {
		r.sendFailed(now, s, result.PeerUnreachable, "no address of the session is known, or the own session is over")
		return
	}
	conn, err := r.peers.Send(address, frame, peer.Tag(req.Seq))
	if err != nil {
		r.sendFailed(now, s, result.PeerUnreachable, err.Error())
		return
	}
	r.sent[req.Seq] = sending{id: req.ID, to: s.To, conn: conn, at: now}
}

// sendFailed tells the router that a request never left this process.
func (r *routingDuty) sendFailed(now mono.Time, s request.Send, code result.Code, cause string) {
	r.log.Event(event.SendFailed, "id", s.Request.ID, "to", s.To.String(), "cause", cause)
	r.router.SendFailed(now, s.Request.Seq, code, &r.out)
}

func (r *routingDuty) cancel(now mono.Time, c request.SendCancel) {
	if c.To == r.self {
		if r.gate != nil {
			r.gate.Cancelled(now, r.self, c.Cancel, &r.gateOut)
		}
		return
	}
	s, ok := r.sent[c.Cancel.Seq]
	if !ok {
		return
	}
	if frame, err := wire.Encode(wire.KindCancel, c.Cancel); err == nil {
		_ = s.conn.Send(frame)
	}
}

// ack tells a gate which of its answers reached their callers. A lost one
// makes the gate raise an outcome that is known, should this daemon be lost.
func (r *routingDuty) ack(a request.SendAck) {
	if a.To == r.self {
		if r.gate != nil {
			r.gate.Acked(r.self, a.Ack)
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

func (r *routingDuty) reply(now mono.Time, reply request.Reply) {
	a := reply.Answer
	r.logAnswered(a)
	waiting, ok := r.replies[reply.Caller]
	if !ok {
		return
	}
	r.stats.noteAnswer(a.Code, now-waiting.since)
	delete(r.replies, reply.Caller)
	waiting.reply <- a
}

// arrive hands a request to the gate, if there is one.
func (r *routingDuty) arrive(now mono.Time, from host.Session, req *request.Request) {
	if r.gate != nil {
		before := len(r.gateOut.Answers)
		r.gate.Arrive(now, wallMs(), from, req, &r.gateOut)
		r.noteRefused(req, r.gateOut.Answers[before:])
		return
	}
	a := &request.Answer{ID: req.ID, Attempt: req.Attempt, Seq: req.Seq, Code: result.NotOwner, Owner: string(r.self.Host)}
	r.gateOut.Answers = append(r.gateOut.Answers, gate.Answer{To: from, Answer: a})
}

// noteRefused counts a request for which the target had no room as load on its
// slice, so that the slice moves away although nothing of it ran. Callers come
// back, so that each refusal counts for a part of a run.
func (r *routingDuty) noteRefused(req *request.Request, answers []gate.Answer) {
	if req.Slice == request.NoSlice {
		return
	}
	for _, a := range answers {
		if a.Answer.Code == result.QueueFull && a.Answer.ID == req.ID {
			r.refusedFull++
			r.meter.Wanted(req.Slice, req.Key, time.Duration(refusedPart*float64(a.Answer.Service)))
		}
	}
}

// refusedPart is the part of a run that a refused request counts for.
const refusedPart = 0.5

func (r *routingDuty) doGate(now mono.Time, out *gate.Actions) {
	for i := range out.Starts {
		r.startRun(now, &out.Starts[i])
	}
	for _, c := range out.Cancels {
		go r.cancelRun(r.gate, r.target.client, c)
	}
	for _, a := range out.Answers {
		r.answer(now, a)
	}
	for _, risk := range out.Raises {
		r.raise(risk)
	}
	for _, s := range out.Settles {
		r.settle(s)
	}
}

// answer sends a gate's answer back to the entry daemon. One that can't be
// sent is lost: the entry daemon learns of the lost connection, or its
// deadline passes, and it tells its caller so.
func (r *routingDuty) answer(now mono.Time, a gate.Answer) {
	if a.Answer.Code != result.OK {
		r.stats.noteRefusal(a.Answer.Code)
		r.logRefused(a.Answer)
	}
	if a.To == r.self {
		r.router.Answered(now, r.self, a.Answer, &r.out)
		return
	}
	origin, ok := r.origins[a.To]
	if !ok {
		return
	}
	if frame, err := wire.Encode(wire.KindAnswer, a.Answer); err == nil {
		_ = origin.Send(frame)
	}
}

// startRun sends a run to the target on a goroutine of its own. The slice
// stays held until the run is over.
func (r *routingDuty) startRun(now mono.Time, s *gate.Start) {
	req := s.Request
	r.logStarted(s)
	r.stats.queue.Update(s.Waited.Microseconds())
	active := &run{number: s.Run, gate: r.gate, slice: req.Slice, key: req.Key, started: now, deadline: s.Deadline}
	if req.Slice != request.NoSlice {
		ticket, verdict := r.holder.Begin(now, key.Slice{App: req.App, ID: req.Slice})
		if !verdict.Admitted() {
			r.gate.TargetRefused(now, s.Run, verdict.Code, &r.gateOut)
			return
		}
		active.ticket = ticket
	}
	call := targetclient.Call{
		Run:      s.Run,
		Request:  req,
		Slice:    key.Slice{App: req.App, ID: req.Slice},
		Grant:    targetclient.Grant{Owner: s.Owner, Epoch: s.Epoch, Expires: s.Expires},
		Deadline: s.Deadline,
		Wait:     s.Deadline.Sub(now) + lateAnswerWait,
	}
	client := r.target.client
	go func() { r.ring.Wait(runEnded{run: active, reply: client.Do(call)}, r.stop) }()
}

func (r *routingDuty) cancelRun(g *gate.Gate, client Target, c gate.CancelRun) {
	stopped := client.Cancel(c.ID, c.Run, cancelWait)
	r.ring.Wait(cancelEnded{gate: g, run: c.Run, stopped: stopped}, r.stop)
}

func (r *routingDuty) doHolder(now mono.Time, actions []handover.Action) {
	changed := false
	for _, action := range actions {
		switch a := action.(type) {
		case handover.Admit:
			changed = true
			r.log.Event(event.SliceAdmitted, "slice", a.Slice.String(), "epoch", a.Epoch)
			r.own(now, a.Slice, a.Epoch)
		case handover.StopAdmitting:
			changed = true
			r.givesTo(a.Slice, a.Next)
			r.log.Event(event.SliceDraining, "slice", a.Slice.String(), "epoch", a.Epoch, "next", a.Next.String())
		case handover.TellReleased:
			r.giveUp(now, a.Release)
		case handover.ReportOverdue:
			r.log.Event(event.DrainOverdue, "slice", a.Slice.String(), "epoch", a.Epoch, "in_flight", a.InFlight)
		case handover.ReportOverruled:
			r.dropped(a.Slice)
			r.log.Event(event.SliceOverruled, "slice", a.Slice.String(), "epoch", a.Epoch, "newest", a.Newest)
		}
	}
	r.tickGrants(now)
	if changed && r.gate != nil {
		r.gate.OwnershipChanged(now, &r.gateOut)
	}
}
