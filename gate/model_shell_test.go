package gate

import (
	"slices"

	"github.com/rhubarbring/rhubarbring/request"
	"github.com/rhubarbring/rhubarbring/result"
)

// performRouterActions performs a router's actions.
func (w *world) performRouterActions(i int, out *request.Actions) {
	e := w.entries[i]
	if !w.missing.noRisks {
		w.recordRisks(out.Risks)
	}
	w.settleRisks(out.Settlements)
	for _, r := range out.Replies {
		o := e.calls[r.Call]
		w.receiveReply(e, r)
		if outcome := r.Answer.Code.Outcome(); o != nil && outcome != result.Done && outcome != result.NotRun {
			w.checkRiskReported(o, r.Answer.ID)
		}
	}
	for _, c := range out.Cancels {
		w.network = append(w.network, message{entry: i, gate: w.nodeOf(c.To), session: e.self, cancel: &c.Cancel})
	}
	for _, a := range out.Acks {
		w.network = append(w.network, message{entry: i, gate: w.nodeOf(a.To), session: e.self, ack: &a.Ack})
	}
	for _, s := range out.Sends {
		w.transmit(i, s)
	}
}

// idIsShared reports whether several operations used an id.
func (w *world) idIsShared(id string) bool {
	users := 0
	for _, o := range w.ops {
		if slices.Contains(o.ids, id) {
			users++
		}
	}
	return users > 1
}

// checkRiskReported checks that an unknown outcome that a caller was told was
// also reported as a risk.
func (w *world) checkRiskReported(o *op, id string) {
	if !o.idempotent && !w.risks[w.riskKey(o, id)] {
		w.violationf("%s was answered with an unknown outcome that was not reported as a risk", id)
	}
}

// riskKey returns the key under which the risks of an operation are recorded.
func (w *world) riskKey(o *op, id string) string {
	if w.divided {
		return id + o.key
	}
	return id
}

// sendFailureOdds is the number of attempts of which one on average fails
// before it leaves the process.
const sendFailureOdds = 12

// transmit puts an attempt into the network, or fails it before it leaves the
// process.
func (w *world) transmit(i int, s request.Send) {
	if w.src.IntN(sendFailureOdds) == 0 {
		var out request.Actions
		w.entries[i].router.SendFailed(w.now, s.Request.Seq, result.PeerUnreachable, &out)
		w.performRouterActions(i, &out)
		return
	}
	sent := *s.Request
	m := message{entry: i, gate: w.nodeOf(s.To), session: w.entries[i].self, req: &sent}
	w.entries[i].latest[sent.ID] = m
	w.network = append(w.network, m)
}

// performGateActions performs a gate's actions.
func (w *world) performGateActions(i int, out *Actions) {
	node := w.nodes[i]
	w.recordRisks(out.Risks)
	w.settleRisks(out.Settlements)
	for _, st := range out.Starts {
		w.startAtTarget(node, st)
	}
	for _, c := range out.Cancels {
		for _, r := range node.runs {
			if r.start.Run == c.Run {
				r.cancelled = true
			}
		}
	}
	for _, run := range out.Ends {
		if _, held := node.held[run]; !held {
			w.violationf("run %d ended twice", run)
		}
		delete(node.held, run)
	}
	for _, a := range out.Answers {
		w.sendAnswer(i, a)
		if w.missing.noAcks {
			node.gate.AckReceived(a.To, request.Ack{Seqs: []uint64{a.Answer.Seq}})
		}
	}
}

// startAtTarget starts a run at a node's target and checks slots, connections
// and lease.
func (w *world) startAtTarget(node *gateNode, st Start) {
	w.tracef("%s starts run %d: %s at epoch %d", node.self, st.Run, st.Request.ID, st.Epoch)
	node.held[st.Run] = st.Request.Slice
	for _, r := range node.runs {
		if r.connected && r.start.Connection == st.Connection {
			w.violationf("connection %d of %s is used twice", st.Connection, node.self)
		}
	}
	if st.Epoch != 0 && w.now >= node.lease {
		w.violationf("%s starts a run without a lease", node.self)
	}
	if st.Connection < 0 || st.Connection >= modelConns {
		w.violationf("connection %d does not exist", st.Connection)
	}
	node.runs = append(node.runs, &targetRun{start: st, connected: true})
	if len(node.runs) > modelSlots {
		w.violationf("%d slots of %s are taken", len(node.runs), node.self)
	}
}

// sendAnswer puts a gate's answer into the network.
func (w *world) sendAnswer(i int, a Answer) {
	for n, e := range w.entries {
		if e.self.Host == a.To.Host {
			w.network = append(w.network, message{entry: n, gate: i, session: a.To, answer: a.Answer})
		}
	}
}

// settleRisks handles settlements. Done means that the caller got its answer,
// so the outcome is no longer at risk; a request that ran late stays recorded.
// A settlement names only an id, so operations that share an id by accident
// would settle each other's risks.
func (w *world) settleRisks(settled []request.Settlement) {
	for _, s := range settled {
		if s.Outcome == result.Done && !w.idIsShared(s.ID) {
			delete(w.risks, s.ID+s.Key)
		}
		w.tracef("settled: %s %s", s.ID, s.Outcome)
	}
}

// recordRisks records outcomes that were reported as at risk.
func (w *world) recordRisks(risks []request.Risk) {
	for _, r := range risks {
		w.tracef("raised: %s %s, outcome %s", r.ID, r.Code, r.Outcome)
		w.risks[r.ID+r.Key] = true
	}
}
