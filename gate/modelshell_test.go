package gate

import (
	"slices"

	"github.com/rhubarbring/rhubarbring/request"
	"github.com/rhubarbring/rhubarbring/result"
)

// doRouter performs a router's actions.
func (w *world) performRouterActions(i int, out *request.Actions) {
	e := w.entries[i]
	if !w.missing.noRisks {
		w.raise(out.Raises)
	}
	w.settleRisks(out.Settles)
	for _, r := range out.Replies {
		o := e.calls[r.Caller]
		w.reply(e, r)
		if outcome := r.Answer.Code.Outcome(); o != nil && outcome != result.Done && outcome != result.NotRun {
			w.checkRaised(o, r.Answer.ID)
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

func (w *world) idIsShared(id string) bool {
	users := 0
	for _, o := range w.ops {
		if slices.Contains(o.ids, id) {
			users++
		}
	}
	return users > 1
}

func (w *world) checkRaised(o *op, id string) {
	if !o.idempotent && !w.raised[w.riskKey(o, id)] {
		w.violationf("unknown told for %s and not raised", id)
	}
}

// riskKey names an operation as the risks that are raised of it do.
func (w *world) riskKey(o *op, id string) string {
	if w.divided {
		return id + o.key
	}
	return id
}

// sendAccidents: one of so many sendings never leaves the process.
const sendFailureOdds = 12

func (w *world) transmit(i int, s request.Send) {
	if w.src.IntN(sendFailureOdds) == 0 {
		var out request.Actions
		w.entries[i].router.SendFailed(w.now, s.Request.Seq, result.PeerUnreachable, &out)
		w.performRouterActions(i, &out)
		return
	}
	own := *s.Request
	m := message{entry: i, gate: w.nodeOf(s.To), session: w.entries[i].self, req: &own}
	w.entries[i].latest[own.ID] = m
	w.network = append(w.network, m)
}

// doGate performs a gate's actions.
func (w *world) performGateActions(i int, out *Actions) {
	s := w.nodes[i]
	w.raise(out.Raises)
	w.settleRisks(out.Settles)
	for _, st := range out.Starts {
		w.startAtTarget(s, st)
	}
	for _, c := range out.Cancels {
		for _, r := range s.runs {
			if r.start.Run == c.Run {
				r.cancelled = true
			}
		}
	}
	for _, run := range out.Ends {
		if _, held := s.held[run]; !held {
			w.violationf("run %d ended twice", run)
		}
		delete(s.held, run)
	}
	for _, a := range out.Answers {
		w.sendAnswer(i, a)
		if w.missing.noAcks {
			s.gate.Acked(a.To, request.Ack{Seqs: []uint64{a.Answer.Seq}})
		}
	}
}

func (w *world) startAtTarget(s *gateNode, st Start) {
	w.tracef("%s starts run %d: %s at epoch %d", s.self, st.Run, st.Request.ID, st.Epoch)
	s.held[st.Run] = st.Request.Slice
	for _, r := range s.runs {
		if r.connected && r.start.Connection == st.Connection {
			w.violationf("connection %d of %s is used twice", st.Connection, s.self)
		}
	}
	if st.Epoch != 0 && w.now >= s.lease {
		w.violationf("%s starts a run without a lease", s.self)
	}
	if st.Connection < 0 || st.Connection >= modelConns {
		w.violationf("connection %d does not exist", st.Connection)
	}
	s.runs = append(s.runs, &targetRun{start: st, connected: true})
	if len(s.runs) > modelSlots {
		w.violationf("%d slots of %s are taken", len(s.runs), s.self)
	}
}

func (w *world) sendAnswer(i int, a Answer) {
	for n, e := range w.entries {
		if e.self.Host == a.To.Host {
			w.network = append(w.network, message{entry: n, gate: i, session: a.To, answer: a.Answer})
		}
	}
}

// noteSettled takes settlements. Done says that the caller was told, so that
// nothing is at risk any longer; what ran late stays on record. A settlement
// names an id: callers who share one by accident settle each other's.
func (w *world) settleRisks(settled []request.Settlement) {
	for _, s := range settled {
		if s.Outcome == result.Done && !w.idIsShared(s.ID) {
			delete(w.raised, s.ID+s.Key)
		}
		w.tracef("settled: %s %s", s.ID, s.Outcome)
	}
}
