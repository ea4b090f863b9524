package daemon

import (
	"slices"
	"time"

	"github.com/rhubarbring/rhubarbring/assignment"
	"github.com/rhubarbring/rhubarbring/document"
	"github.com/rhubarbring/rhubarbring/event"
	"github.com/rhubarbring/rhubarbring/gate"
	"github.com/rhubarbring/rhubarbring/handover"
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

// What the routing duty is handed.
type (
	submitted  struct{ submission entry.Submission }
	callerGone struct{ caller request.Caller }
	// requestReceived is a request that another daemon sent.
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
	// answerReceived is an answer on the connection that it came on.
	answerReceived struct {
		conn   *peer.Conn
		answer *request.Answer
	}
	sendUnsent struct{ seq uint64 }
	connLost   struct{ conn *peer.Conn }
	runEnded   struct {
		run   *run
		reply targetclient.Reply
	}
	// ticketEnded ends the hold of a slice by a run that was lost.
	ticketEnded struct{ ticket handover.Ticket }
	cancelEnded struct {
		gate    *gate.Gate
		run     uint64
		stopped bool
	}
	packsSeen struct{ packs []packVersion }
	announced struct{ announcement control.Announcement }
	// documentChanged is the document that came into force.
	documentChanged struct{ document *document.Document }
	sessionEnded    struct{ session host.Session }
	sentGivenUp     struct{}
	stopRequested   struct{}
	// drainGate is the time from which the gate takes no more work.
	drainGate struct{}
)

// packVersion is a pack at a version of the store.
type packVersion struct {
	pack    *assignment.Pack
	version uint64
}

func (w submitted) routingWork(r *routingDuty, now mono.Time) {
	s := w.submission
	r.replies[s.Caller] = waitingCaller{reply: s.Reply, since: now}
	s.Request.Target = r.patience.Target(s.Request, s.Asked)
	r.router.Submit(now, s.Request, s.Deadline, s.Caller, &r.out)
}

func (w callerGone) routingWork(r *routingDuty, now mono.Time) {
	r.router.CallerGone(now, w.caller, &r.out)
	if waiting, ok := r.replies[w.caller]; ok {
		delete(r.replies, w.caller)
		waiting.reply <- &request.Answer{Code: result.Cancelled}
	}
}

func (w requestReceived) routingWork(r *routingDuty, now mono.Time) {
	from := w.from.Session()
	if from.IsNobody() {
		return
	}
	r.origins[from] = w.from
	r.arrive(now, from, w.request)
}

func (w cancelReceived) routingWork(r *routingDuty, now mono.Time) {
	if r.gate != nil {
		r.gate.Cancelled(now, w.from.Session(), w.cancel, &r.gateOut)
	}
}

func (w ackReceived) routingWork(r *routingDuty, _ mono.Time) {
	if r.gate != nil {
		r.gate.Acked(w.from.Session(), w.ack)
	}
}

// An answer counts only on the connection that its request went out on.
func (w answerReceived) routingWork(r *routingDuty, now mono.Time) {
	s, ok := r.sent[w.answer.Seq]
	if !ok || s.conn != w.conn {
		r.log.Event(event.AnswerDropped, "id", w.answer.ID, "attempt", w.answer.Attempt, "code", uint16(w.answer.Code))
		return
	}
	if w.answer.Code.Outcome() != result.Unknown {
		delete(r.sent, w.answer.Seq)
	}
	r.router.Answered(now, s.to, w.answer, &r.out)
}

func (w sendUnsent) routingWork(r *routingDuty, now mono.Time) {
	s := r.sent[w.seq]
	delete(r.sent, w.seq)
	r.log.Event(event.SendFailed, "id", s.id, "to", s.to.String(), "cause", "no connection could be opened")
	r.router.SendFailed(now, w.seq, result.PeerUnreachable, &r.out)
}

func (w connLost) routingWork(r *routingDuty, now mono.Time) {
	for _, seq := range r.sentOn(w.conn) {
		delete(r.sent, seq)
		r.router.ConnectionLost(now, seq, &r.out)
	}
	from := w.conn.Session()
	if r.origins[from] != w.conn {
		return
	}
	delete(r.origins, from)
	for _, g := range r.gates() {
		g.OriginDisconnected(now, from, &r.gateOut)
	}
}

func (w runEnded) routingWork(r *routingDuty, now mono.Time) {
	g, run := w.run.gate, w.run.number
	took := now.Sub(w.run.started)
	r.stats.service.Update(took.Microseconds())
	if w.run.slice != request.NoSlice {
		r.meter.Add(w.run.slice, w.run.key, took)
	}
	switch w.reply.Verdict {
	case targetclient.Answered:
		g.TargetAnswered(now, run, gate.TargetAnswer{Status: w.reply.Status, Type: w.reply.Type, Header: w.reply.Header, Body: w.reply.Body}, &r.gateOut)
	case targetclient.Refused:
		g.TargetRefused(now, run, refusalCode(w.reply.Reason), &r.gateOut)
	case targetclient.NotSent:
		g.TargetConnectFailed(now, run, &r.gateOut)
	case targetclient.Truncated:
		g.TargetTruncated(now, run, &r.gateOut)
	default:
		g.TargetLost(now, run, result.AnswerLost, &r.gateOut)
		r.endLater(now, w.run)
		return
	}
	r.doHolder(now, r.holder.End(now, w.run.ticket))
}

// endLater keeps the slice held until the deadline of a run whose connection
// was lost: until then the target may still be at work on it.
func (r *routingDuty) endLater(now mono.Time, active *run) {
	left := max(active.deadline.Sub(now), 0)
	time.AfterFunc(left, func() { r.ring.Wait(ticketEnded{active.ticket}, r.stop) })
}

func (w ticketEnded) routingWork(r *routingDuty, now mono.Time) {
	r.doHolder(now, r.holder.End(now, w.ticket))
}

func refusalCode(reason string) result.Code {
	switch reason {
	case targetclient.RefusedFence:
		return result.FenceRefused
	case "draining":
		return result.Draining
	case "deadline":
		return result.DeadlineTooShort
	default:
		return result.TargetShed
	}
}

func (w cancelEnded) routingWork(r *routingDuty, now mono.Time) {
	w.gate.CancelResult(now, w.run, w.stopped, &r.gateOut)
}

func (w packsSeen) routingWork(r *routingDuty, now mono.Time) {
	for _, p := range w.packs {
		for _, change := range r.owners.Put(p.pack, p.version) {
			r.changed(now, change)
		}
	}
	r.router.MapChanged(now, &r.out)
	if !r.ready.Load() {
		r.ready.Store(r.allOwned())
	}
}

// allOwned reports whether each slice of each app of the document has an
// owner.
func (r *routingDuty) allOwned() bool {
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
			if s, ok := r.owners.At(key.Slice{App: name, ID: key.SliceID(id)}); !ok || s.Owner.IsNobody() {
				return false
			}
		}
	}
	return true
}

func (r *routingDuty) changed(now mono.Time, c assignment.Change) {
	if c.Merged {
		r.merged[key.Slice{App: c.Slice.App, ID: c.Parent}] = wallMs()
	}
	r.history.add(wallMs(), c)
	if r.leadsAway(c) {
		r.confirm(c)
		return
	}
	r.doHolder(now, r.holder.Seen(now, c))
}

func (w documentChanged) routingWork(r *routingDuty, _ mono.Time) {
	r.patience.Forget()
	for _, a := range w.document.Apps {
		r.owners.DivideByNumber(a.Name, a.KeyNumbers)
	}
}

func (w sessionEnded) routingWork(r *routingDuty, now mono.Time) {
	if w.session == r.self {
		r.holder.EndSession()
		r.over = true
		r.router.End(now, &r.out)
		if r.gate != nil {
			r.gate.OwnershipChanged(now, &r.gateOut)
		}
		return
	}
	for _, g := range r.gates() {
		g.OriginLost(now, w.session, &r.gateOut)
	}
}

// gates returns the gate and those that only end what they have.
func (r *routingDuty) gates() []*gate.Gate {
	if r.gate == nil {
		return nil
	}
	return append(slices.Clone(r.retired), r.gate)
}

// sentGivenUp ends the wait for other daemons' answers: they drop what a
// session sends that they know to be over.
func (sentGivenUp) routingWork(r *routingDuty, now mono.Time) {
	for seq := range r.sent {
		delete(r.sent, seq)
		r.router.ConnectionLost(now, seq, &r.out)
	}
}

func (drainGate) routingWork(r *routingDuty, now mono.Time) {
	if r.gate != nil {
		r.gate.Drain(now, &r.gateOut)
	}
}

func (stopRequested) routingWork(r *routingDuty, now mono.Time) {
	owned := r.holder.Counts().Owned
	r.stopOwned.Store(int64(owned))
	r.log.Event(event.PlannedStopBegan, "owned", owned)
	r.holder.Stop(now)
}

// sentOn returns the sequence numbers of what went out on a connection and is
// not answered.
func (r *routingDuty) sentOn(conn *peer.Conn) []uint64 {
	var seqs []uint64
	for seq, s := range r.sent {
		if s.conn == conn {
			seqs = append(seqs, seq)
		}
	}
	return seqs
}
