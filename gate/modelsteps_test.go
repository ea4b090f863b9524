package gate

import (
	"time"

	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/request"
	"github.com/rhubarbring/rhubarbring/result"
)

// happening is something that may happen at any moment, and how often.
type modelEvent struct {
	weight int
	do     func(*world)
}

var modelEvents = []modelEvent{
	{3, (*world).submitNewOp},
	{2, func(w *world) { w.withOp(w.repeatOp) }},
	{7, func(w *world) { w.withMessage(w.deliver) }},
	{1, func(w *world) { w.withMessage(w.loseMessage) }},
	{1, (*world).duplicateMessage},
	{3, func(w *world) { w.withRun(w.execute) }},
	{2, func(w *world) { w.withRun(w.answerRun) }},
	{1, func(w *world) { w.withRun(w.refuseRun) }},
	{1, func(w *world) { w.withRun(w.loseRun) }},
	{1, func(w *world) { w.withRun(w.answerCancel) }},
	{2, func(w *world) { w.advance(time.Duration(1+w.src.IntN(60)) * time.Millisecond) }},
	{1, func(w *world) { w.handover(w.src.IntN(modelSlices)) }},
	{1, func(w *world) { w.finishHandover(w.src.IntN(modelSlices)) }},
	{1, func(w *world) { w.isolateOrRejoin(w.src.IntN(2)) }},
	{1, func(w *world) { w.updateMap(w.src.IntN(2)) }},
	{1, func(w *world) { w.loseEntry(w.src.IntN(2)) }},
	{1, (*world).callerLeaves},
	{1, func(w *world) { w.disconnect(w.src.IntN(2), w.src.IntN(2)) }},
}

const modelEventWeights = 31

// step lets one thing happen.
func (w *world) step() {
	n := w.src.IntN(modelEventWeights)
	for _, h := range modelEvents {
		n -= h.weight
		if n < 0 {
			h.do(w)
			return
		}
	}
}

func (w *world) withOp(do func(*op)) {
	if len(w.ops) > 0 {
		do(w.ops[w.src.IntN(len(w.ops))])
	}
}

func (w *world) withMessage(do func(message)) {
	if len(w.network) == 0 {
		return
	}
	i := w.src.IntN(len(w.network))
	m := w.network[i]
	w.network = append(w.network[:i:i], w.network[i+1:]...)
	do(m)
}

func (w *world) withRun(do func(site int, r *targetRun)) {
	i := w.src.IntN(2)
	runs := w.nodes[i].runs
	if len(runs) > 0 {
		do(i, runs[w.src.IntN(len(runs))])
	}
}

func (w *world) duplicateMessage() {
	if len(w.network) > 0 {
		w.network = append(w.network, w.network[w.src.IntN(len(w.network))])
	}
}

func (w *world) deliver(m message) {
	if m.answer != nil {
		w.deliverAnswer(m)
		return
	}
	var out Actions
	g := w.nodes[m.gate].gate
	switch {
	case m.req != nil:
		w.tracef("%s -> %s: %s attempt %d, epoch %d", m.session, w.nodes[m.gate].self, m.req.ID, m.req.Attempt, m.req.Epoch)
		g.Arrive(w.now, w.wallMs(), m.session, m.req, &out)
	case m.cancel != nil:
		g.Cancelled(w.now, m.session, *m.cancel, &out)
	case m.ack != nil:
		g.Acked(m.session, *m.ack)
	}
	w.performGateActions(m.gate, &out)
}

func (w *world) deliverAnswer(m message) {
	e := w.entries[m.entry]
	if e.self != m.session {
		return
	}
	a := *m.answer
	from := w.nodes[m.gate].self
	w.tracef("%s -> %s: %s attempt %d, %s", from, m.session, a.ID, a.Attempt, a.Code)
	if latest, ok := e.latest[a.ID]; ok && w.missing.matchByIDOnly {
		a.Attempt, a.Seq = latest.req.Attempt, latest.req.Seq
		from = w.nodes[latest.gate].self
	}
	var out request.Actions
	e.router.Answered(w.now, from, &a, &out)
	w.performRouterActions(m.entry, &out)
}

// lose drops a message. The entry daemon may see its connection break.
func (w *world) loseMessage(m message) {
	e := w.entries[m.entry]
	if e.self != m.session || w.src.IntN(2) == 0 {
		return
	}
	var seq uint64
	switch {
	case m.req != nil:
		seq = m.req.Seq
	case m.answer != nil:
		seq = m.answer.Seq
	}
	var out request.Actions
	if w.missing.lossCountsAsNotSent {
		e.router.SendFailed(w.now, seq, result.PeerUnreachable, &out)
	} else {
		e.router.ConnectionLost(w.now, seq, &out)
	}
	w.performRouterActions(m.entry, &out)
}

// advance lets time pass: leases that can be are renewed, timers are due, and
// targets drop what is long past its time.
func (w *world) advance(d time.Duration) {
	w.now = w.now.Add(d)
	for i, s := range w.nodes {
		if !s.isolated {
			s.lease = w.now.Add(modelLease)
		}
		for _, r := range s.runs {
			if w.now.Sub(r.start.Deadline) >= s.gate.cfg.LingerTimeout-time.Millisecond {
				w.removeRun(i, r)
			}
		}
		if s.isolated && w.src.IntN(2) == 0 {
			continue // the daemon is paused as well
		}
		var out Actions
		s.gate.Tick(w.now, w.wallMs(), &out)
		w.performGateActions(i, &out)
	}
	for i, e := range w.entries {
		var out request.Actions
		e.router.Tick(w.now, &out)
		w.performRouterActions(i, &out)
	}
	w.takeOver()
}

// handover makes the owner of a slice drain it.
func (w *world) handover(s int) {
	i := w.nodeOf(w.owners[s].Owner)
	if w.nodes[i].isolated || w.nodes[i].admissions[s].Code != result.OK {
		return
	}
	w.nodes[i].admissions[s].Code = result.Draining
	w.ownershipChanged(i)
}

// finishHandover gives a drained slice to the other site, once nothing of it
// is in flight.
func (w *world) finishHandover(s int) {
	i := w.nodeOf(w.owners[s].Owner)
	if w.nodes[i].isolated || w.nodes[i].admissions[s].Code != result.Draining {
		return
	}
	for _, held := range w.nodes[i].held {
		if held == key.SliceID(s) {
			return
		}
	}
	w.grant(s, 1-i, w.owners[s].Epoch+1)
	w.ownershipChanged(0)
	w.ownershipChanged(1)
}

func (w *world) ownershipChanged(i int) {
	var out Actions
	w.nodes[i].gate.OwnershipChanged(w.now, &out)
	w.performGateActions(i, &out)
}

// cutOrRejoin cuts a site off from its witnesses, or brings it back.
func (w *world) isolateOrRejoin(i int) {
	s := w.nodes[i]
	if !s.isolated {
		s.isolated = !w.nodes[1-i].isolated
		return
	}
	s.isolated = false
	s.lease = w.now.Add(modelLease)
	for n, r := range w.owners {
		if r.Owner != s.self {
			s.admissions[n] = Admission{Code: result.NotOwner, Newest: r.Epoch}
		}
	}
	w.ownershipChanged(i)
}

// takeOver gives the slices of a cut site to the other one, when its lease has
// lapsed and the longest deadline is over.
func (w *world) takeOver() {
	for i, s := range w.nodes {
		if !s.isolated || w.now.Sub(s.lease) < maxCallTime {
			continue
		}
		for n, r := range w.owners {
			if r.Owner == s.self {
				w.grant(n, 1-i, r.Epoch+1)
			}
		}
	}
}

func (w *world) updateMap(i int) {
	e := w.entries[i]
	e.routes = w.owners
	var out request.Actions
	e.router.MapChanged(w.now, &out)
	w.performRouterActions(i, &out)
}

// disconnect breaks the connection between an entry daemon and a gate. What is
// on the way is lost, but for what an old connection may still hold.
func (w *world) disconnect(i, n int) {
	w.tracef("connection between %s and %s is lost", w.entries[i].self, w.nodes[n].self)
	var kept []message
	for _, m := range w.network {
		if m.entry != i || m.gate != n || m.req != nil && w.src.IntN(4) == 0 {
			kept = append(kept, m)
		}
	}
	w.network = kept
	var atEntry request.Actions
	w.entries[i].router.PeerLost(w.now, w.nodes[n].self, &atEntry)
	w.performRouterActions(i, &atEntry)
	var atGate Actions
	w.nodes[n].gate.OriginDisconnected(w.now, w.entries[i].self, &atGate)
	w.performGateActions(n, &atGate)
}

// loseEntry replaces an entry daemon by a new life of it. Its callers know
// nothing of what they asked.
func (w *world) loseEntry(i int) {
	old := w.entries[i]
	w.tracef("%s is lost", old.self)
	for _, o := range w.ops {
		if o.waiting && o.entry == i {
			o.waiting = false
			o.codes = append(o.codes, result.PeerLost)
		}
	}
	w.entries[i] = w.newEntry(i, old.self.Incarnation+1)
	for n := range w.nodes {
		w.originLost(n, old.self)
	}
}

func (w *world) originLost(n int, s host.Session) {
	var out Actions
	w.nodes[n].gate.OriginLost(w.now, s, &out)
	w.performGateActions(n, &out)
}

// hangUp lets a caller leave before its answer.
func (w *world) callerLeaves() {
	for _, o := range w.ops {
		if !o.waiting {
			continue
		}
		o.waiting = false
		o.codes = append(o.codes, result.PeerLost)
		e := w.entries[o.entry]
		delete(e.calls, o.caller)
		var out request.Actions
		e.router.CallerGone(w.now, o.caller, &out)
		w.performRouterActions(o.entry, &out)
		return
	}
}

// settle heals everything and lets all that is under way come to its end.
func (w *world) runToEnd() {
	for i, s := range w.nodes {
		if s.isolated {
			w.isolateOrRejoin(i)
		}
	}
	for range 60 {
		w.flush()
		w.updateMap(0)
		w.updateMap(1)
		w.advance(50 * time.Millisecond)
	}
	w.advance(settleTime)
}

// flush delivers what is on the way and lets the targets finish what they have.
func (w *world) flush() {
	for range len(w.network) {
		w.deliverFirst()
	}
	for i, s := range w.nodes {
		for _, r := range append([]*targetRun(nil), s.runs...) {
			w.answerCancel(i, r)
			w.execute(i, r)
			w.answerRun(i, r)
		}
	}
}

// deliverFirst delivers the oldest message.
func (w *world) deliverFirst() {
	if len(w.network) == 0 {
		return
	}
	m := w.network[0]
	w.network = w.network[1:]
	w.deliver(m)
}
