package request

import (
	"cmp"
	"slices"
	"time"

	"github.com/rhubarbring/rhubarbring/chart"
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/result"
)

// The states, events and actions of charts/request.json, in the order of the
// lists below.
const (
	stateReceived uint8 = iota
	stateWaiting
	statePaused
	stateSent
	stateDoubtful
	stateClosed
)

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

const (
	doSend uint8 = iota
	doWait
	doPause
	doReply
	doRaise
	doCancel
	doSettle
)

var (
	states  = []chart.State{"received", "waiting", "paused", "sent", "doubtful", "closed"}
	events  = []chart.Event{"route", "no_route", "again", "answer", "doubt", "expire", "gone", "forget"}
	actions = []chart.Action{"send", "wait", "pause", "reply", "raise", "cancel", "settle"}
)

// step takes the chart's transition and does its actions. The answer is the
// one that the event carries, or nil.
func (r *Router) step(now mono.Time, c *call, event uint8, a *Answer, out *Actions) {
	cell := r.table.Next(c.state, event)
	if !cell.Taken {
		return
	}
	r.inState[c.state]--
	c.state = cell.To
	r.inState[c.state]++
	for _, do := range cell.Do {
		r.do(now, c, do, a, out)
	}
	if c.state == stateClosed {
		r.drop(c)
	}
}

func (r *Router) do(now mono.Time, c *call, action uint8, a *Answer, out *Actions) {
	switch action {
	case doSend:
		r.send(now, c, out)
	case doWait:
		r.wait(now, c)
	case doPause:
		r.setTimer(c, earlier(now.Add(r.backoff.Pause(c.attempt+1)), c.deadline))
	case doReply:
		r.reply(c, a, out)
	case doRaise:
		r.raise(c, a, out)
		r.setTimer(c, now.Add(r.cfg.DoubtKept))
	case doCancel:
		out.Cancels = append(out.Cancels, SendCancel{To: c.to, Cancel: Cancel{ID: c.req.ID, Attempt: c.attempt, Seq: c.req.Seq}})
	case doSettle:
		r.settle(c, a, out)
	}
}

// route sends the request to the host that may run it, or lets it wait.
func (r *Router) route(now mono.Time, c *call, out *Actions) {
	if r.over {
		r.refuse(now, c, cmp.Or(c.lastCode, result.Draining), out)
		return
	}
	if c.req.Slice == NoSlice {
		r.choose(now, c, out)
		return
	}
	to, epoch := r.owner(c)
	if to.IsNobody() {
		r.await(now, c, out)
		return
	}
	r.sendTo(now, c, to, epoch, out)
}

// owner returns the newest known owner of the request's slice, or nobody if
// none is known but the one that refused it.
func (r *Router) owner(c *call) (host.Session, uint64) {
	route, moved := r.look(c)
	if !moved && !c.behind && refusedAsOwner(c.lastCode) {
		return host.Nobody, 0
	}
	c.req = atSlice(c.req, route)
	return route.Owner, route.Epoch
}

// look returns the newest known route of the request, and whether it leads
// elsewhere than the last sending went.
func (r *Router) look(c *call) (Route, bool) {
	text := c.req.Key
	if divided, _ := r.cfg.Map.Divided(c.req.App); !divided {
		text = c.req.ID
	}
	route := r.cfg.Map.Route(c.req.App, text)
	if c.attempt == 0 {
		c.req.Slice = route.Slice
	}
	c.lastEpoch = max(c.lastEpoch, route.Epoch)
	if c.hintEpoch > route.Epoch {
		route.Owner = c.hintTo
		route.Epoch = c.hintEpoch
	}
	moved := route.Slice != c.req.Slice || route.Owner != c.to || route.Epoch > c.req.Epoch
	return route, moved
}

// refusedAsOwner reports whether a gate that refused with the code will go on
// refusing until the map changes.
func refusedAsOwner(code result.Code) bool {
	switch code {
	case result.NotOwner, result.Draining, result.LeaseLapsed, result.FenceRefused:
		return true
	}
	return false
}

// atSlice returns the request at the route's slice: a key may have been carved
// out of its slice, or returned to it, since the last sending.
func atSlice(req *Request, route Route) *Request {
	if req.Slice == route.Slice {
		return req
	}
	moved := *req
	moved.Slice = route.Slice
	return &moved
}

func (r *Router) choose(now mono.Time, c *call, out *Actions) {
	to, code := r.cfg.Chooser.Choose(c.req.App, now, r.patience(now, c), len(c.req.Body), c.tried)
	if code != result.OK {
		r.refuse(now, c, code, out)
		return
	}
	if slices.Contains(c.full, to) {
		r.refuse(now, c, c.lastCode, out) // No other gate is left.
		return
	}
	r.sendTo(now, c, to, 0, out)
}

// patience is how long an answer may take before a gate of another region is
// preferred: the time left at first. A request that a near gate had no room for
// goes there sooner, if its answer would else be late.
func (r *Router) patience(now mono.Time, c *call) time.Duration {
	left := c.deadline.Sub(now)
	if c.req.Target == 0 || c.refusals == 0 {
		return left
	}
	return min(left, c.req.Target)
}

func (r *Router) sendTo(now mono.Time, c *call, to host.Session, epoch uint64, out *Actions) {
	budget := r.sendingBudget(now, c)
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

// sendingBudget is the time that a gate gets: what the caller left, less a
// margin for the way back.
func (r *Router) sendingBudget(now mono.Time, c *call) time.Duration {
	left := c.deadline.Sub(now)
	return left - min(r.cfg.ReplyMargin, left/4)
}

func (r *Router) send(now mono.Time, c *call, out *Actions) {
	r.seq++
	c.attempt++
	c.req.Attempt = c.attempt
	c.req.Seq = r.seq
	c.sentAt = now
	r.sends[r.seq] = c
	r.counters.Sent++
	if c.req.Slice == NoSlice {
		r.cfg.Chooser.Sent(c.to, now)
	} else {
		r.cfg.Chooser.Forwarded(c.to, now, len(c.req.Body))
	}
	r.setTimer(c, c.deadline)
	if c.to == r.cfg.Self {
		out.Local = append(out.Local, c.req)
		return
	}
	out.Sends = append(out.Sends, Send{To: c.to, Request: c.req})
}

// await lets a request wait for an owner, within the bounds.
func (r *Router) await(now mono.Time, c *call, out *Actions) {
	if c.state == stateWaiting {
		r.waiting = append(r.waiting, c)
		return
	}
	if r.inState[stateWaiting] >= r.cfg.MaxWaiting {
		r.refuse(now, c, result.NoOwner, out)
		return
	}
	r.step(now, c, eventNoRoute, nil, out)
}

func (r *Router) wait(now mono.Time, c *call) {
	r.counters.Waited++
	c.listed = true
	if len(r.waiting) > 2*r.cfg.MaxWaiting {
		r.waiting = slices.DeleteFunc(r.waiting, func(c *call) bool { return c.state != stateWaiting })
	}
	r.waiting = append(r.waiting, c)
	r.setTimer(c, earlier(now.Add(r.cfg.MaxWait), c.deadline))
}

// due handles the timer of a call.
func (r *Router) due(now mono.Time, c *call, out *Actions) {
	switch c.state {
	case stateWaiting:
		r.refuse(now, c, result.NoOwner, out)
	case statePaused:
		r.resume(now, c, out)
	case stateSent:
		r.overdue(now, c, out)
	case stateDoubtful:
		r.step(now, c, eventForget, nil, out)
	}
}

func (r *Router) resume(now mono.Time, c *call, out *Actions) {
	if !now.Before(c.deadline) {
		r.step(now, c, eventExpire, r.refusal(c, c.lastCode), out)
		return
	}
	r.counters.Retried++
	r.route(now, c, out)
}

func (r *Router) overdue(now mono.Time, c *call, out *Actions) {
	r.ended(now, c, result.OutcomeUnknown)
	if c.req.Idempotent {
		r.step(now, c, eventExpire, r.refusal(c, result.OutcomeUnknown), out)
		return
	}
	r.doubt(now, c, result.OutcomeUnknown, out)
}

// doubt tells the caller at once that the outcome is unknown.
func (r *Router) doubt(now mono.Time, c *call, code result.Code, out *Actions) {
	r.step(now, c, eventDoubt, r.refusal(c, code), out)
	if r.inState[stateDoubtful] > r.cfg.MaxDoubtful {
		r.step(now, c, eventForget, nil, out)
	}
}

// lost decides after a sending whose answer will not come.
func (r *Router) lost(now mono.Time, c *call, code result.Code, out *Actions) {
	if !c.req.Idempotent {
		r.doubt(now, c, code, out)
		return
	}
	c.inDoubt = code
	c.lastCode = code
	c.lastAfter = r.cfg.RetryAfter
	r.again(now, c, out)
}

func earlier(a, b mono.Time) mono.Time {
	return min(a, b)
}
