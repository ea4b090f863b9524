package gate

import (
	"github.com/rhubarbring/rhubarbring/result"
)

// execute lets the target run a request, if it still may by its own rules.
func (w *world) execute(i int, r *targetRun) {
	s := w.nodes[i]
	if r.executed || r.finished {
		return
	}
	if code := w.targetVerdict(s, r); code != result.OK {
		w.refuse(i, r, code)
		return
	}
	r.executed = true
	w.tracef("target of %s runs %s", s.self, r.start.Request.ID)
	req := r.start.Request
	for _, o := range w.ops {
		if o.body == string(req.Body) {
			o.runs++
			o.runsByID[req.ID]++
		}
	}
}

// targetRefuses says whether a target that checks grants refuses. One that
// does not may also run what is past its deadline.
func (w *world) targetVerdict(s *gateNode, r *targetRun) result.Code {
	if !w.checksGrants {
		return result.OK
	}
	if w.now > r.start.Deadline {
		return result.DeadlineTooShort
	}
	if r.start.Epoch == 0 {
		return result.OK
	}
	highest := &s.fence[r.start.Request.Slice]
	if w.now >= r.start.Expires || r.start.Epoch < *highest {
		return result.FenceRefused
	}
	*highest = r.start.Epoch
	return result.OK
}

func (w *world) removeRun(i int, r *targetRun) {
	s := w.nodes[i]
	r.finished = true
	for n, x := range s.runs {
		if x == r {
			s.runs = append(s.runs[:n:n], s.runs[n+1:]...)
			return
		}
	}
}

func (w *world) answerRun(i int, r *targetRun) {
	if !r.executed || r.finished {
		return
	}
	w.removeRun(i, r)
	if !r.connected {
		return
	}
	var out Actions
	s := w.nodes[i]
	s.gate.TargetAnswered(w.now, r.start.Run, TargetAnswer{Status: 200, Body: []byte("did " + string(r.start.Request.Body))}, &out)
	lapsed := r.start.Epoch != 0 && !w.checksGrants && w.now >= s.lease
	for _, a := range out.Answers {
		if lapsed && a.Answer.Code == result.OK {
			w.violationf("%s vouches for an answer after its lease", s.self)
		}
	}
	w.performGateActions(i, &out)
}

func (w *world) refuseRun(i int, r *targetRun) {
	if r.executed {
		return
	}
	w.refuse(i, r, []result.Code{result.TargetShed, result.Draining, result.TargetUnavailable}[w.src.IntN(3)])
}

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

func (w *world) loseRun(i int, r *targetRun) {
	if !r.connected {
		return
	}
	r.connected = false
	var out Actions
	w.nodes[i].gate.TargetLost(w.now, r.start.Run, result.AnswerLost, &out)
	w.performGateActions(i, &out)
}

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
	w.nodes[i].gate.CancelResult(w.now, r.start.Run, stopped, &out)
	w.performGateActions(i, &out)
}
