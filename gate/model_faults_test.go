package gate

import (
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/request"
	"github.com/rhubarbring/rhubarbring/result"
)

// duplicateMessage duplicates a random message.
func (w *world) duplicateMessage() {
	if len(w.network) > 0 {
		w.network = append(w.network, w.network[w.src.IntN(len(w.network))])
	}
}

// loseMessage drops a message. In half of the cases the entry daemon sees its
// connection break.
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

// isolateOrRejoin isolates a node from its witnesses or ends its isolation. At
// most one node is isolated at a time.
func (w *world) isolateOrRejoin(i int) {
	node := w.nodes[i]
	if !node.isolated {
		node.isolated = !w.nodes[1-i].isolated
		return
	}
	node.isolated = false
	node.lease = w.now.Add(modelLease)
	for n, r := range w.owners {
		if r.Owner != node.self {
			node.admissions[n] = Admission{Code: result.NotOwner, Newest: r.Epoch}
		}
	}
	w.ownershipChanged(i)
}

// disconnect breaks the connection between an entry daemon and a gate. Messages
// on it are lost, except that a request may still arrive late over the old
// connection.
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
	w.nodes[n].gate.EntryDisconnected(w.now, w.entries[i].self, &atGate)
	w.performGateActions(n, &atGate)
}

// loseEntry replaces an entry daemon by its next incarnation, which knows
// nothing of the calls before it.
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
		w.entryLost(n, old.self)
	}
}

func (w *world) entryLost(n int, s host.Session) {
	var out Actions
	w.nodes[n].gate.EntryLost(w.now, s, &out)
	w.performGateActions(n, &out)
}

// callerLeaves lets the first caller that waits give up before its answer.
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
