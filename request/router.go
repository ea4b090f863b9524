package request

import (
	"cmp"
	"slices"
	"sort"
	"time"

	"github.com/rhubarbring/rhubarbring/charts"
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/result"
	"github.com/rhubarbring/rhubarbring/retry"
	"github.com/rhubarbring/rhubarbring/statechart"
	"github.com/rhubarbring/rhubarbring/timer"
)

// SliceOwner is the entry daemon's view of the slice and owner of a key or an ID.
type SliceOwner struct {
	Slice key.SliceID
	// Owner is the session that serves the slice; the zero Session if none is
	// known.
	Owner host.Session
	Epoch uint64
}

// Router drives the requests that callers submit to this daemon: which gate
// they are sent to, whether they may be sent again, and what the caller is
// told. Every submitted request gets exactly one reply, unless its caller
// disconnects first. It does no I/O: its methods append to Actions what the
// daemon is to do. It is not safe for concurrent use.
type Router struct {
	cfg   Config
	table *statechart.Table
	// retryBudgets holds a budget for each app: the requests of one app must not
	// pay for the retries of another, whose targets would get them all.
	retryBudgets   map[key.App]*retry.Budget
	redirectBudget *retry.Budget // nil if redirects count against the app's retries
	backoff        *retry.Backoff
	byCaller       map[CallID]*call
	bySeq          map[uint64]*call
	waiting        []*call
	freeCalls      []*call
	acks           []pendingAck
	nextAck        mono.Time
	countInState   [stateClosed + 1]int
	timers         timer.Queue[*call]
	seq            uint64
	counters       Counters
	sessionEnded   bool // nothing may be sent any more
	stop           Stop // of the planned stop that has begun, or zero
}

// call is one request of one caller.
type call struct {
	req           *Request
	caller        CallID
	deadline      mono.Time
	state         uint8
	callerGone    bool // the caller disconnected
	wasInWaitList bool // it was added to Router.waiting and may still be there, so its memory is not reused
	to            host.Session
	sentAt        mono.Time
	attempt       uint32 // the highest number of an attempt
	timerID       uint64 // the valid timer; 0 for none
	timerAt       mono.Time
	// The slice's owner and epoch according to the refusing gate.
	hintOwner host.Session
	hintEpoch uint64
	// The code that the last attempt ended with, the Retry-After advice that
	// came with it, and the newest epoch seen.
	lastCode  result.Code
	lastAfter time.Duration
	lastEpoch uint64
	// gateBehind reports that the gate which refused the request may admit it
	// soon although the map does not change, so that it is retried after a
	// pause.
	gateBehind bool
	// refusedSince is when a gate first refused the request for lack of
	// ownership; 0 if none did.
	refusedSince mono.Time
	// targetAttempts counts the attempts that may have reached a target,
	// capacityRefusals those that a gate refused for lack of capacity.
	targetAttempts   int
	capacityRefusals int
	// triedGates are the chosen gates that the request was sent to, fullGates
	// those of them that refused it for lack of capacity.
	triedGates []host.Session
	fullGates  []host.Session
	// unknownCode is the code of an earlier attempt that may have run, or 0.
	// Only an idempotent request is retried after one.
	unknownCode result.Code
	// second is the second attempt that was sent while the first one is under way;
	// nil if there is none. hedged reports that there is or was one.
	second *secondAttempt
	hedged bool
}

// NewRouter returns a router without requests.
func NewRouter(cfg Config) *Router {
	var redirect *retry.Budget
	if cfg.Redirect != nil {
		redirect = retry.NewBudget(*cfg.Redirect)
	}
	return &Router{
		cfg:            cfg,
		table:          charts.MustLoad("request").MustCompile(states, events, actions),
		retryBudgets:   make(map[key.App]*retry.Budget),
		redirectBudget: redirect,
		backoff:        retry.NewBackoff(cfg.Retry, cfg.Seed),
		byCaller:       make(map[CallID]*call),
		bySeq:          make(map[uint64]*call),
	}
}

// Counters returns a snapshot of the counters.
func (r *Router) Counters() Counters {
	return r.counters
}

// RetriesLeft returns how many retries the budgets of all apps allow now.
func (r *Router) RetriesLeft() float64 {
	left := 0.0
	for _, b := range r.retryBudgets {
		left += b.Remaining()
	}
	return left
}

// Live returns the number of requests whose outcome is still to be reported or
// recorded.
func (r *Router) Live() int {
	return r.countInState[stateReceived] + r.countInState[stateWaiting] + r.countInState[statePaused] + r.countInState[stateSent]
}

// Submit starts the handling of a caller's request. The router fills in Slice,
// Epoch, Attempt, Seq and Budget; the daemon has validated and filled in the
// rest.
func (r *Router) Submit(now mono.Time, req *Request, deadline mono.Time, caller CallID, out *Actions) {
	c := r.newCall()
	c.req = req
	c.caller = caller
	c.deadline = r.stop.limit(deadline)
	r.counters.Submitted++
	r.byCaller[caller] = c
	if r.stop.refuses(now, deadline) {
		r.refuse(now, c, result.Draining, out)
		return
	}
	if r.Live() > r.cfg.MaxCalls {
		r.refuse(now, c, result.QueueFull, out)
		return
	}
	divided, known := r.cfg.Map.DividedByKey(req.App)
	if !known {
		r.refuse(now, c, result.UnknownApp, out)
		return
	}
	if divided && req.Key == "" {
		r.refuse(now, c, result.MissingKey, out)
		return
	}
	if !divided && (req.Idempotent || req.FreshID) {
		req.Slice = NoSlice
	}
	r.creditBudgets(req.App)
	r.creditHedges(c)
	r.route(now, c, out)
}

// MapChanged routes the requests that wait for an owner again. It is called
// after each change of the map.
func (r *Router) MapChanged(now mono.Time, out *Actions) {
	waiting := r.waiting
	r.waiting = nil
	for _, c := range waiting {
		if c.state != stateWaiting {
			continue
		}
		r.route(now, c, out)
	}
}

// SessionEnded tells the router that the session of this daemon has ended, so
// that other daemons drop what it sends. Requests that wait for an owner or a
// retry are answered at once, and nothing is sent from then on.
func (r *Router) SessionEnded(now mono.Time, out *Actions) {
	r.sessionEnded = true
	for _, c := range r.unsent() {
		r.refuse(now, c, cmp.Or(c.lastCode, result.Draining), out)
	}
}

// unsent returns the calls that wait for an owner or for a retry, sorted by
// caller so that the order is deterministic.
func (r *Router) unsent() []*call {
	var list []*call
	for _, c := range r.byCaller {
		if c.state == stateWaiting || c.state == statePaused {
			list = append(list, c)
		}
	}
	slices.SortFunc(list, func(a, b *call) int { return cmp.Compare(a.caller, b.caller) })
	return list
}

// CallerGone tells the router that a caller disconnected. A request that is
// idempotent or is not at a gate now is dropped. Any other goes on unless the gate
// can still take it out of its queue, and its outcome is recorded.
func (r *Router) CallerGone(now mono.Time, caller CallID, out *Actions) {
	c, ok := r.byCaller[caller]
	if !ok {
		return
	}
	c.callerGone = true
	delete(r.byCaller, caller)
	if c.state == stateSent && !c.req.Idempotent {
		out.Cancels = append(out.Cancels, SendCancel{To: c.to, Cancel: cancelOf(c.req)})
		return
	}
	if c.state == stateSent {
		r.attemptEnded(now, c, result.Cancelled)
		if r.cfg.Admission != nil {
			r.cfg.Admission.Ended(now, c.req, result.Cancelled)
		}
	}
	r.step(now, c, eventGone, nil, out)
}

// SendFailed tells the router that an attempt never left this process, with the
// code of the cause.
func (r *Router) SendFailed(now mono.Time, seq uint64, code result.Code, out *Actions) {
	c, ok := r.bySeq[seq]
	if !ok || c.state != stateSent {
		return
	}
	if c.isSecond(seq) {
		r.secondLost(now, c, code)
		return
	}
	r.attemptEnded(now, c, code)
	c.lastCode = code
	c.lastAfter = r.cfg.RetryAfter
	r.retryLater(now, c, out)
}

// PeerLost tells the router that the connection to a session was lost. Every
// attempt that was sent to it and not answered may have run.
func (r *Router) PeerLost(now mono.Time, peer host.Session, out *Actions) {
	var seqs []uint64
	for seq, c := range r.bySeq {
		if c.sentTo(seq) == peer && c.state == stateSent {
			seqs = append(seqs, seq)
		}
	}
	sort.Slice(seqs, func(i, j int) bool { return seqs[i] < seqs[j] })
	for _, seq := range seqs {
		r.ConnectionLost(now, seq, out)
	}
}

// ConnectionLost tells the router that the connection was lost after an attempt
// had left this process, so that it may have run.
func (r *Router) ConnectionLost(now mono.Time, seq uint64, out *Actions) {
	c, ok := r.bySeq[seq]
	if !ok || c.state != stateSent {
		return
	}
	if c.isSecond(seq) {
		r.secondLost(now, c, result.PeerLost)
		return
	}
	r.attemptEnded(now, c, result.PeerLost)
	r.attemptLost(now, c, result.PeerLost, out)
}

// Tick sends due acknowledgements and handles the timers that have expired at
// now. It is called at the time that NextTick returns, or every few
// milliseconds.
func (r *Router) Tick(now mono.Time, out *Actions) {
	r.sendAcks(now, out)
	for {
		e, due := r.timers.PopDue(now)
		if !due {
			return
		}
		if e.Item.timerID != e.ID {
			continue
		}
		e.Item.timerID = 0
		r.timerFired(now, e.Item, out)
	}
}

// NextTick returns the earliest time at which Tick has something to do, and
// false if there is none.
func (r *Router) NextTick() (mono.Time, bool) {
	at, ok := r.timers.NextAt()
	if len(r.acks) > 0 && (!ok || r.nextAck.Before(at)) {
		return r.nextAck, true
	}
	return at, ok
}
