package gate

import (
	"github.com/rhubarbring/rhubarbring/result"
)

// execute lets the target execute a run, unless it refuses it.
func (w *world) execute(i int, r *targetRun) {
	node := w.nodes[i]
	if r.executed || r.finished {
		return
	}
	if code := w.targetVerdict(node, r); code != result.OK {
		w.refuse(i, r, code)
		return
	}
	r.executed = true
	w.tracef("target of %s runs %s", node.self, r.start.Request.ID)
	req := r.start.Request
	for _, o := range w.ops {
		if o.body == string(req.Body) {
			o.runs++
			o.runsByID[req.ID]++
		}
	}
}

// targetVerdict returns OK or the code with which a target that checks grants
// refuses a run. Other targets execute a run even after its deadline.
func (w *world) targetVerdict(node *gateNode, r *targetRun) result.Code {
	if !w.checksGrants {
		return result.OK
	}
	if w.now > r.start.Deadline {
		return result.DeadlineTooShort
	}
	if r.start.Epoch == 0 {
		return result.OK
	}
	highest := &node.fence[r.start.Request.Slice]
	if w.now >= r.start.Expires || r.start.Epoch < *highest {
		return result.FenceRefused
	}
	*highest = r.start.Epoch
	return result.OK
}

// removeRun removes a run that the target is done with.
func (w *world) removeRun(i int, r *targetRun) {
	node := w.nodes[i]
	r.finished = true
	for n, x := range node.runs {
		if x == r {
			node.runs = append(node.runs[:n:n], node.runs[n+1:]...)
			return
		}
	}
}

// answerRun lets the target answer a run that it has executed.
func (w *world) answerRun(i int, r *targetRun) {
	if !r.executed || r.finished {
		return
	}
	w.removeRun(i, r)
	if !r.connected {
		return
	}
	var out Actions
	node := w.nodes[i]
	node.gate.TargetAnswered(w.now, r.start.Run, TargetAnswer{Status: 200, Body: []byte("did " + string(r.start.Request.Body))}, &out)
	lapsed := r.start.Epoch != 0 && !w.checksGrants && w.now >= node.lease
	for _, a := range out.Answers {
		if lapsed && a.Answer.Code == result.OK {
			w.violationf("%s answers OK for a run after its lease has ended", node.self)
		}
	}
	w.performGateActions(i, &out)
}

// refuseRun lets the target refuse a run for a random reason, or fails its
// connection before anything was sent.
func (w *world) refuseRun(i int, r *targetRun) {
	if r.executed {
		return
	}
	w.refuse(i, r, []result.Code{result.TargetShed, result.Draining, result.TargetUnavailable}[w.src.IntN(3)])
}

// refuse passes a run that was not executed back to the gate.
func (w *world) refuse(i int, r *targetRun, code result.Code) {
	w.removeRun(i, r)
	if !r.connected {
		return
	}
	var out Actions
	g := w.nodes[i].gate
	if code == result.TargetUnavailable {
		g.TargetConnectFailed(w.now, r.start.Run, &out)
	} else {
		g.TargetRefused(w.now, r.start.Run, code, &out)
	}
	w.performGateActions(i, &out)
}

// loseRun breaks the connection of a run. The target may still execute it.
func (w *world) loseRun(i int, r *targetRun) {
	if !r.connected {
		return
	}
	r.connected = false
	var out Actions
	w.nodes[i].gate.TargetLost(w.now, r.start.Run, result.AnswerLost, &out)
	w.performGateActions(i, &out)
}

// answerCancel lets the target answer a cancellation: a run that was not yet
// executed is stopped.
func (w *world) answerCancel(i int, r *targetRun) {
	if !r.cancelled {
		return
	}
	r.cancelled = false
	stopped := !r.executed
	w.tracef("target of %s answers the cancellation of %s: stopped=%v", w.nodes[i].self, r.start.Request.ID, stopped)
	if stopped {
		w.removeRun(i, r)
	}
	var out Actions
	w.nodes[i].gate.TargetCancelAnswered(w.now, r.start.Run, stopped, &out)
	w.performGateActions(i, &out)
}
