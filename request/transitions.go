package request

import (
	"cmp"
	"slices"
	"time"

	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/result"
	"github.com/rhubarbring/rhubarbring/statechart"
)

// The states of charts/request.json. The values of the states, events and
// actions are their indices in the lists below, which the transition table is
// compiled with.
const (
	stateReceived uint8 = iota
	stateWaiting
	statePaused
	stateSent
	stateDoubtful
	stateClosed
)

// The events of charts/request.json.
const (
	eventRoute uint8 = iota
	eventNoRoute
	eventAgain
	eventAnswer
	eventDoubt
	eventExpire
	eventGone
	eventForget
)

// The actions of charts/request.json.
const (
	actionSend uint8 = iota
	actionWait
	actionPause
	actionReply
	actionRaise
	actionCancel
	actionSettle
)

var (
	states  = []statechart.State{"received", "waiting", "paused", "sent", "doubtful", "closed"}
	events  = []statechart.Event{"route", "no_route", "again", "answer", "doubt", "expire", "gone", "forget"}
	actions = []statechart.Action{"send", "wait", "pause", "reply", "raise", "cancel", "settle"}
)

// step applies an event to the call: it takes the transition of the state chart
// and performs its actions. An event that the state ignores changes nothing.
// The answer is the one that the event carries, or nil.
func (r *Router) step(now mono.Time, c *call, event uint8, a *Answer, out *Actions) {
	cell := r.table.Next(c.state, event)
	if !cell.Taken {
		return
	}
	r.countInState[c.state]--
	c.state = cell.To
	r.countInState[c.state]++
	for _, do := range cell.Actions {
		r.perform(now, c, do, a, out)
	}
	if c.state == stateClosed {
		if c.second != nil {
			r.cancelSecond(now, c, out)
		}
		r.releaseCall(c)
	}
}

// perform carries out one action of a transition.
func (r *Router) perform(now mono.Time, c *call, action uint8, a *Answer, out *Actions) {
	switch action {
	case actionSend:
		r.send(now, c, out)
	case actionWait:
		r.addWaiting(now, c)
	case actionPause:
		r.setTimer(c, earlierOf(now.Add(r.backoff.Delay(c.attempt+1)), c.deadline))
	case actionReply:
		r.reply(now, c, a, out)
	case actionRaise:
		r.raiseRisk(c, a, out)
		r.setTimer(c, now.Add(r.cfg.LateAnswerWait))
	case actionCancel:
		out.Cancels = append(out.Cancels, SendCancel{To: c.to, Cancel: cancelOf(c.req)})
	case actionSettle:
		r.settleRisk(c, a, out)
	}
}

// route sends the request to a gate that may run it, or lets it wait for an
// owner. Once the session has ended it refuses the request.
func (r *Router) route(now mono.Time, c *call, out *Actions) {
	if r.sessionEnded {
		r.refuse(now, c, cmp.Or(c.lastCode, result.Draining), out)
		return
	}
	if left, held := r.quarantined(now, c.req); held {
		c.lastAfter = left
		r.refuse(now, c, result.Quarantined, out)
		return
	}
	if c.req.Slice == NoSlice {
		r.routeToAnyGate(now, c, out)
		return
	}
	r.routeToOwner(now, c, out)
}

// quarantined reports whether a request is in quarantine, and for how much longer.
// A repeat that must not run twice goes to its gate, which may have its answer.
func (r *Router) quarantined(now mono.Time, req *Request) (time.Duration, bool) {
	if r.cfg.Quarantine == nil || !req.Idempotent && req.Repeat != RepeatFirst {
		return 0, false
	}
	return r.cfg.Quarantine.Check(now, req)
}

// nextOwner returns the newest known owner of the request's slice and its
// epoch, or the zero Session if no owner is known other than the one that has
// just refused the request.
func (r *Router) nextOwner(c *call) (host.Session, uint64) {
	route, moved := r.lookupOwner(c)
	if !moved && !c.gateBehind && isOwnershipRefusal(c.lastCode) {
		return host.NoSession, 0
	}
	c.req = withSlice(c.req, route)
	return route.Owner, route.Epoch
}

// lookupOwner returns the newest known slice and owner of the request, by the
// map or by the last refusal, whichever has the higher epoch. It also reports
// whether they differ from those of the last attempt.
func (r *Router) lookupOwner(c *call) (SliceOwner, bool) {
	text := c.req.Key
	if divided, _ := r.cfg.Map.DividedByKey(c.req.App); !divided {
		text = c.req.ID
	}
	route := r.cfg.Map.Lookup(c.req.App, text)
	if c.attempt == 0 {
		c.req.Slice = route.Slice
	}
	c.lastEpoch = max(c.lastEpoch, route.Epoch)
	if c.hintEpoch > route.Epoch {
		route.Owner = c.hintOwner
		route.Epoch = c.hintEpoch
	}
	moved := route.Slice != c.req.Slice || route.Owner != c.to || route.Epoch > c.req.Epoch
	return route, moved
}

// isOwnershipRefusal reports whether the code is a gate's refusal for lack of
// ownership, which usually lasts until the map changes.
func isOwnershipRefusal(code result.Code) bool {
	switch code {
	case result.NotOwner, result.Draining, result.LeaseLapsed, result.FenceRefused:
		return true
	}
	return false
}

// withSlice returns the request with the route's slice, as a copy if that
// differs: a key may have been carved out of its slice, or returned to it, since
// the last attempt.
func withSlice(req *Request, route SliceOwner) *Request {
	if req.Slice == route.Slice {
		return req
	}
	moved := *req
	moved.Slice = route.Slice
	return &moved
}

// routeToAnyGate sends a request that has no slice to the gate that the chooser
// picks. It refuses the request if there is none or if that gate has already
// refused it for lack of capacity.
func (r *Router) routeToAnyGate(now mono.Time, c *call, out *Actions) {
	if r.refusedAtEntry(now, c, host.NoSession) {
		r.refuse(now, c, result.QueueFull, out)
		return
	}
	to, code := r.cfg.Chooser.Choose(now, GateQuery{
		App:           c.req.App,
		Budget:        r.chooserBudget(now, c),
		LatencyTarget: c.req.LatencyTarget,
		Bytes:         len(c.req.Body),
		Regions:       c.req.Regions,
		Tried:         c.triedGates,
	})
	if code != result.OK {
		r.refuse(now, c, code, out)
		return
	}
	if slices.Contains(c.fullGates, to) {
		r.refuse(now, c, c.lastCode, out) // No other gate is left.
		return
	}
	r.sendToGate(now, c, to, 0, out)
}

// chooserBudget returns how long an answer may take before the chooser prefers
// a gate of another region: at first the time left until the deadline. After a
// gate refused the request for lack of capacity it is at most the latency
// target, so that the request goes to the other region earlier if its answer
// would otherwise be late.
func (r *Router) chooserBudget(now mono.Time, c *call) time.Duration {
	left := c.deadline.Sub(now)
	if c.req.LatencyTarget == 0 || c.capacityRefusals == 0 {
		return left
	}
	return min(left, c.req.LatencyTarget)
}

// sendToGate prepares the next attempt and sends it to a gate, or refuses the
// request if no time is left. A retry works on a copy of the request, since the
// earlier attempt may still be in use.
func (r *Router) sendToGate(now mono.Time, c *call, to host.Session, epoch uint64, out *Actions) {
	budget := r.attemptBudget(now, c)
	if budget <= 0 {
		r.refuse(now, c, result.DeadlineTooShort, out)
		return
	}
	if c.attempt > 0 {
		again := *c.req
		c.req = &again
	}
	c.to = to
	c.req.Epoch = epoch
	c.req.Budget = budget
	r.step(now, c, eventRoute, nil, out)
}

// attemptBudget returns the time that the gate gets: the time left until the
// deadline, less a margin for the answer's way back.
func (r *Router) attemptBudget(now mono.Time, c *call) time.Duration {
	left := c.deadline.Sub(now)
	return left - min(r.cfg.ReplyMargin, left/4)
}

// send emits the attempt and sets the timer to the deadline.
func (r *Router) send(now mono.Time, c *call, out *Actions) {
	r.seq++
	c.attempt++
	c.req.Attempt = c.attempt
	c.req.Seq = r.seq
	c.sentAt = now
	r.bySeq[r.seq] = c
	r.counters.Sent++
	if c.req.Slice == NoSlice {
		r.cfg.Chooser.Sent(c.to, now)
	} else {
		r.cfg.Chooser.Forwarded(c.to, now, len(c.req.Body))
	}
	r.setTimer(c, r.answerWait(now, c))
	if c.to == r.cfg.Self {
		out.Local = append(out.Local, c.req)
		return
	}
	out.Sends = append(out.Sends, Send{To: c.to, Request: c.req})
}

// waitForOwner moves a request to the waiting state, or refuses it if
// MaxWaiting requests are waiting already. One that is in that state already
// goes back to the list of those that MapChanged looks at.
func (r *Router) waitForOwner(now mono.Time, c *call, out *Actions) {
	if c.state == stateWaiting {
		r.waiting = append(r.waiting, c)
		return
	}
	if r.countInState[stateWaiting] >= r.cfg.MaxWaiting {
		r.refuse(now, c, result.NoOwner, out)
		return
	}
	r.step(now, c, eventNoRoute, nil, out)
}

// addWaiting adds the call to the waiting list and sets its timer. The list may
// hold calls that have left the waiting state; they are removed when it grows
// beyond twice MaxWaiting.
func (r *Router) addWaiting(now mono.Time, c *call) {
	r.counters.WaitedForOwner++
	c.wasInWaitList = true
	if len(r.waiting) > 2*r.cfg.MaxWaiting {
		r.waiting = slices.DeleteFunc(r.waiting, func(c *call) bool { return c.state != stateWaiting })
	}
	r.waiting = append(r.waiting, c)
	r.setTimer(c, earlierOf(now.Add(r.cfg.MaxWait), c.deadline))
}

// timerFired handles the expiry of a call's timer, whose meaning depends on the
// state.
func (r *Router) timerFired(now mono.Time, c *call, out *Actions) {
	switch c.state {
	case stateWaiting:
		r.refuse(now, c, result.NoOwner, out)
	case statePaused:
		r.resume(now, c, out)
	case stateSent:
		if now.Before(c.deadline) {
			r.hedge(now, c, out)
			return
		}
		r.deadlinePassed(now, c, out)
	case stateDoubtful:
		r.step(now, c, eventForget, nil, out)
	}
}

// resume sends a request again after its pause, or ends it if the deadline has
// passed.
func (r *Router) resume(now mono.Time, c *call, out *Actions) {
	if !now.Before(c.deadline) {
		r.step(now, c, eventExpire, r.newRefusal(c, c.lastCode), out)
		return
	}
	r.counters.Retried++
	r.route(now, c, out)
}

// deadlinePassed ends an attempt that was not answered before the deadline. Its
// outcome is unknown. An idempotent request is cancelled at the gate; for any
// other a late answer is awaited.
func (r *Router) deadlinePassed(now mono.Time, c *call, out *Actions) {
	r.attemptEnded(now, c, result.OutcomeUnknown)
	if c.req.Idempotent {
		r.step(now, c, eventExpire, r.newRefusal(c, result.OutcomeUnknown), out)
		return
	}
	r.reportUnknown(now, c, result.OutcomeUnknown, out)
}

// reportUnknown tells the caller at once that the outcome is unknown and awaits
// a late answer, unless too many are awaited already.
func (r *Router) reportUnknown(now mono.Time, c *call, code result.Code, out *Actions) {
	r.step(now, c, eventDoubt, r.newRefusal(c, code), out)
	if r.countInState[stateDoubtful] > r.cfg.MaxUnknown {
		r.step(now, c, eventForget, nil, out)
	}
}

// attemptLost handles an attempt whose answer will not arrive: an idempotent
// request is retried, any other has an unknown outcome.
func (r *Router) attemptLost(now mono.Time, c *call, code result.Code, out *Actions) {
	if !c.req.Idempotent {
		r.reportUnknown(now, c, code, out)
		return
	}
	c.unknownCode = code
	c.lastCode = code
	c.lastAfter = r.cfg.RetryAfter
	r.retryLater(now, c, out)
}

func earlierOf(a, b mono.Time) mono.Time {
	return min(a, b)
}
