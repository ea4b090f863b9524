package gate

import (
	"time"

	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/request"
	"github.com/rhubarbring/rhubarbring/result"
)

// step does one thing that may happen at any moment.
func (w *world) step() {
	switch w.src.IntN(30) {
	case 0, 1, 2:
		w.newOp()
	case 3, 4:
		if len(w.ops) > 0 {
			w.again(w.ops[w.src.IntN(len(w.ops))])
		}
	case 5, 6, 7, 8, 9, 10, 11:
		w.withMessage(w.deliver)
	case 12:
		w.withMessage(w.lose)
	case 13:
		w.double()
	case 14, 15, 16:
		w.withRun(w.execute)
	case 17, 18:
		w.withRun(w.answerRun)
	case 19:
		w.withRun(w.refuseRun)
	case 20:
		w.withRun(w.loseRun)
	case 21:
		w.withRun(w.answerCancel)
	case 22, 23:
		w.advance(time.Duration(1+w.src.IntN(60)) * time.Millisecond)
	case 24:
		w.handover(w.src.IntN(modelSlices))
	case 25:
		w.finishHandover(w.src.IntN(modelSlices))
	case 26:
		w.cutOrRejoin(w.src.IntN(2))
	case 27:
		w.updateMap(w.src.IntN(2))
	case 28:
		w.loseEntry(w.src.IntN(2))
	case 29:
		w.hangUp()
	}
}

func (w *world) withMessage(do func(message)) {
	if len(w.net) == 0 {
		return
	}
	i := w.src.IntN(len(w.net))
	m := w.net[i]
	w.net = append(w.net[:i:i], w.net[i+1:]...)
	do(m)
}

func (w *world) withRun(do func(site int, r *targetRun)) {
	i := w.src.IntN(2)
	runs := w.sites[i].runs
	if len(runs) > 0 {
		do(i, runs[w.src.IntN(len(runs))])
	}
}

func (w *world) double() {
	if len(w.net) > 0 {
		w.net = append(w.net, w.net[w.src.IntN(len(w.net))])
	}
}

func (w *world) deliver(m message) {
	if m.answer != nil {
		w.deliverAnswer(m)
		return
	}
	var out Actions
	g := w.sites[m.gate].gate
	switch {
	case m.req != nil:
		g.Arrive(w.now, w.wallMs(), m.session, m.req, &out)
	case m.cancel != nil:
		g.Cancelled(w.now, m.session, *m.cancel, &out)
	case m.ack != nil:
		g.Acked(m.session, *m.ack)
	}
	w.doGate(m.gate, &out)
}

func (w *world) deliverAnswer(m message) {
	e := w.entries[m.entry]
	if e.self != m.session {
		return
	}
	a := *m.answer
	from := w.sites[m.gate].self
	if latest, ok := e.latest[a.ID]; ok && w.drop.byIDOnly {
		a.Attempt, a.Seq = latest.req.Attempt, latest.req.Seq
		from = w.sites[latest.gate].self
	}
	var out request.Actions
	e.router.Answered(w.now, from, &a, &out)
	w.doRouter(m.entry, &out)
}

// lose drops a message. The entry daemon may see its connection break.
func (w *world) lose(m message) {
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
	if w.drop.lossIsNotRun {
		e.router.SendFailed(w.now, seq, result.PeerUnreachable, &out)
	} else {
		e.router.ConnectionLost(w.now, seq, &out)
	}
	w.doRouter(m.entry, &out)
}

// execute lets the target run a request, if it still may by its own rules.
func (w *world) execute(i int, r *targetRun) {
	s := w.sites[i]
	if r.executed || r.over {
		return
	}
	if code := w.targetRefuses(s, r); code != result.OK {
		w.refuse(i, r, code)
		return
	}
	r.executed = true
	req := r.start.Request
	for _, o := range w.ops {
		if o.body == string(req.Body) {
			o.ran++
			o.ranByID[req.ID]++
		}
	}
}

// targetRefuses says whether a target that checks grants refuses. One that
// does not may also run what is past its deadline.
func (w *world) targetRefuses(s *site, r *targetRun) result.Code {
	if !w.checks {
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

func (w *world) remove(i int, r *targetRun) {
	s := w.sites[i]
	r.over = true
	for n, x := range s.runs {
		if x == r {
			s.runs = append(s.runs[:n:n], s.runs[n+1:]...)
			return
		}
	}
}

func (w *world) answerRun(i int, r *targetRun) {
	if !r.executed || r.over {
		return
	}
	w.remove(i, r)
	if !r.connected {
		return
	}
	var out Actions
	s := w.sites[i]
	s.gate.TargetAnswered(w.now, r.start.Run, 200, "", []byte("did "+string(r.start.Request.Body)), &out)
	lapsed := r.start.Epoch != 0 && !w.checks && w.now >= s.lease
	for _, a := range out.Answers {
		if lapsed && a.Answer.Code == result.OK {
			w.fail("%s vouches for an answer after its lease", s.self)
		}
	}
	w.doGate(i, &out)
}

func (w *world) refuseRun(i int, r *targetRun) {
	if r.executed {
		return
	}
	w.refuse(i, r, []result.Code{result.TargetShed, result.Draining, result.TargetUnavailable}[w.src.IntN(3)])
}

func (w *world) refuse(i int, r *targetRun, code result.Code) {
	w.remove(i, r)
	if !r.connected {
		return
	}
	var out Actions
	g := w.sites[i].gate
	if code == result.TargetUnavailable {
		g.TargetConnectFailed(w.now, r.start.Run, &out)
	} else {
		g.TargetRefused(w.now, r.start.Run, code, &out)
	}
	w.doGate(i, &out)
}

func (w *world) loseRun(i int, r *targetRun) {
	if !r.connected {
		return
	}
	r.connected = false
	var out Actions
	w.sites[i].gate.TargetLost(w.now, r.start.Run, result.AnswerLost, &out)
	w.doGate(i, &out)
}

func (w *world) answerCancel(i int, r *targetRun) {
	if !r.cancelled {
		return
	}
	r.cancelled = false
	stopped := !r.executed
	if stopped {
		w.remove(i, r)
	}
	var out Actions
	w.sites[i].gate.CancelResult(w.now, r.start.Run, stopped, &out)
	w.doGate(i, &out)
}

// advance lets time pass: leases that can be are renewed, timers are due, and
// targets drop what is long past its time.
func (w *world) advance(d time.Duration) {
	w.now = w.now.Add(d)
	for i, s := range w.sites {
		if !s.cut {
			s.lease = w.now.Add(modelLease)
		}
		for _, r := range s.runs {
			if w.now.Sub(r.start.Deadline) >= s.gate.cfg.RunHold-time.Millisecond {
				w.remove(i, r)
			}
		}
		if s.cut && w.src.IntN(2) == 0 {
			continue // the daemon is paused as well
		}
		var out Actions
		s.gate.Tick(w.now, w.wallMs(), &out)
		w.doGate(i, &out)
	}
	for i, e := range w.entries {
		var out request.Actions
		e.router.Tick(w.now, &out)
		w.doRouter(i, &out)
	}
	w.takeOver()
}

// handover makes the owner of a slice drain it.
func (w *world) handover(s int) {
	i := w.siteOf(w.truth[s].Owner)
	if w.sites[i].cut || w.sites[i].views[s].Code != result.OK {
		return
	}
	w.sites[i].views[s].Code = result.Draining
	w.ownershipChanged(i)
}

// finishHandover gives a drained slice to the other site, once nothing of it
// is in flight.
func (w *world) finishHandover(s int) {
	i := w.siteOf(w.truth[s].Owner)
	if w.sites[i].cut || w.sites[i].views[s].Code != result.Draining {
		return
	}
	for _, held := range w.sites[i].held {
		if held == key.SliceID(s) {
			return
		}
	}
	w.grant(s, 1-i, w.truth[s].Epoch+1)
	w.ownershipChanged(0)
	w.ownershipChanged(1)
}

func (w *world) ownershipChanged(i int) {
	var out Actions
	w.sites[i].gate.OwnershipChanged(w.now, &out)
	w.doGate(i, &out)
}

// cutOrRejoin cuts a site off from its witnesses, or brings it back.
func (w *world) cutOrRejoin(i int) {
	s := w.sites[i]
	if !s.cut {
		s.cut = !w.sites[1-i].cut
		return
	}
	s.cut = false
	s.lease = w.now.Add(modelLease)
	for n, r := range w.truth {
		if r.Owner != s.self {
			s.views[n] = Admission{Code: result.NotOwner, Newest: r.Epoch}
		}
	}
	w.ownershipChanged(i)
}

// takeOver gives the slices of a cut site to the other one, when its lease has
// lapsed and the longest deadline is over.
func (w *world) takeOver() {
	for i, s := range w.sites {
		if !s.cut || w.now.Sub(s.lease) < longestCall {
			continue
		}
		for n, r := range w.truth {
			if r.Owner == s.self {
				w.grant(n, 1-i, r.Epoch+1)
			}
		}
	}
}

func (w *world) updateMap(i int) {
	e := w.entries[i]
	e.routes = w.truth
	var out request.Actions
	e.router.MapChanged(w.now, &out)
	w.doRouter(i, &out)
}

// loseEntry replaces an entry daemon by a new life of it. Its callers know
// nothing of what they asked.
func (w *world) loseEntry(i int) {
	old := w.entries[i]
	for _, o := range w.ops {
		if o.waiting && o.entry == i {
			o.waiting = false
			o.told = append(o.told, result.PeerLost)
		}
	}
	w.entries[i] = w.newEntry(i, old.self.Incarnation+1)
	for n := range w.sites {
		w.originLost(n, old.self)
	}
}

func (w *world) originLost(n int, s host.Session) {
	var out Actions
	w.sites[n].gate.OriginLost(w.now, s, &out)
	w.doGate(n, &out)
}

// hangUp lets a caller leave before its answer.
func (w *world) hangUp() {
	for _, o := range w.ops {
		if !o.waiting {
			continue
		}
		o.waiting = false
		o.told = append(o.told, result.PeerLost)
		e := w.entries[o.entry]
		delete(e.calls, o.caller)
		var out request.Actions
		e.router.CallerGone(w.now, o.caller, &out)
		w.doRouter(o.entry, &out)
		return
	}
}

// settle heals everything and lets all that is under way come to its end.
func (w *world) settle() {
	for i, s := range w.sites {
		if s.cut {
			w.cutOrRejoin(i)
		}
	}
	for range 60 {
		for n := len(w.net); n > 0 && len(w.net) > 0; n-- {
			m := w.net[0]
			w.net = w.net[1:]
			w.deliver(m)
		}
		for i, s := range w.sites {
			for _, r := range append([]*targetRun(nil), s.runs...) {
				w.answerCancel(i, r)
				w.execute(i, r)
				w.answerRun(i, r)
			}
		}
		w.updateMap(0)
		w.updateMap(1)
		w.advance(50 * time.Millisecond)
	}
	w.advance(drainedAfter)
}

// judge checks what must always hold, from the targets' records.
func (w *world) judge() {
	for _, o := range w.ops {
		if o.waiting {
			w.fail("%s was never answered", o.body)
		}
		if o.idempotent {
			continue
		}
		if o.ran > 1 {
			w.fail("%s ran %d times under %v, told %v", o.body, o.ran, o.ids, o.told)
		}
		for _, id := range o.notRun {
			if o.ranByID[id] > 0 {
				w.fail("%s was told that %s did not run, but it did; told %v", o.body, id, o.told)
			}
		}
		for id, n := range o.ranByID {
			if n > 0 && !o.done && !w.raised[id] {
				w.fail("%s ran as %s, its caller was not told, and nothing was raised; told %v", o.body, id, o.told)
			}
		}
	}
	for i, s := range w.sites {
		if !s.gate.Idle() {
			w.fail("gate %d is not idle at the end", i)
		}
		if s.gate.slots != 0 {
			w.fail("gate %d holds %d slots at the end", i, s.gate.slots)
		}
	}
	for _, e := range w.entries {
		if n := e.router.Live(); n != 0 {
			w.fail("%d calls are live at the end", n)
		}
	}
}
