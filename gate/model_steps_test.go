package gate

import (
	"time"

	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/request"
	"github.com/rhubarbring/rhubarbring/result"
)

// modelEvent is an event that may happen at any time. Its weight is its
// relative frequency.
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

// modelEventWeights is the sum of the weights of modelEvents.
const modelEventWeights = 31

// step makes one random event happen.
func (w *world) step() {
	n := w.src.IntN(modelEventWeights)
	for _, event := range modelEvents {
		n -= event.weight
		if n < 0 {
			event.do(w)
			return
		}
	}
}

// withOp calls do with a random operation, if there is one.
func (w *world) withOp(do func(*op)) {
	if len(w.ops) > 0 {
		do(w.ops[w.src.IntN(len(w.ops))])
	}
}

// withMessage takes a random message from the network and calls do with it.
func (w *world) withMessage(do func(message)) {
	if len(w.network) == 0 {
		return
	}
	i := w.src.IntN(len(w.network))
	m := w.network[i]
	w.network = append(w.network[:i:i], w.network[i+1:]...)
	do(m)
}

// withRun calls do with a random run at the target of a random node.
func (w *world) withRun(do func(node int, r *targetRun)) {
	i := w.src.IntN(2)
	runs := w.nodes[i].runs
	if len(runs) > 0 {
		do(i, runs[w.src.IntN(len(runs))])
	}
}

// deliver delivers a message to its gate or entry daemon.
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
		g.RequestReceived(w.now, w.wallMs(), m.session, m.req, &out)
	case m.cancel != nil:
		g.CancelReceived(w.now, m.session, *m.cancel, &out)
	case m.ack != nil:
		g.AckReceived(m.session, *m.ack)
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

// advance lets time pass: the leases of nodes that are not isolated are
// renewed, due timers fire, and targets drop runs that are long past their
// deadline.
func (w *world) advance(d time.Duration) {
	w.now = w.now.Add(d)
	for i, node := range w.nodes {
		if !node.isolated {
			node.lease = w.now.Add(modelLease)
		}
		for _, r := range node.runs {
			if w.now.Sub(r.start.Deadline) >= node.gate.cfg.LingerTimeout-time.Millisecond {
				w.removeRun(i, r)
			}
		}
		if node.isolated && w.src.IntN(2) == 0 {
			continue // the daemon is paused as well
		}
		var out Actions
		node.gate.Tick(w.now, w.wallMs(), &out)
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

// finishHandover grants a drained slice to the other node once no run holds it.
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

// takeOver grants the slices of an isolated node to the other one when its
// lease and the longest deadline of a request under it have passed.
func (w *world) takeOver() {
	for i, node := range w.nodes {
		if !node.isolated || w.now.Sub(node.lease) < maxCallTime {
			continue
		}
		for n, r := range w.owners {
			if r.Owner == node.self {
				w.grant(n, 1-i, r.Epoch+1)
			}
		}
	}
}

// updateMap gives an entry daemon the current map of owners.
func (w *world) updateMap(i int) {
	e := w.entries[i]
	e.routes = w.owners
	var out request.Actions
	e.router.MapChanged(w.now, &out)
	w.performRouterActions(i, &out)
}

// runToEnd ends all faults and runs the model until nothing is in progress.
func (w *world) runToEnd() {
	for i, node := range w.nodes {
		if node.isolated {
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

// flush delivers the messages that are in the network and lets the targets
// finish their runs.
func (w *world) flush() {
	for range len(w.network) {
		w.deliverFirst()
	}
	for i, node := range w.nodes {
		for _, r := range append([]*targetRun(nil), node.runs...) {
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
