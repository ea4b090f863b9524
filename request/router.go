package request

import (
	"cmp"
	"slices"
	"sort"
	"time"

	"github.com/rhubarbring/rhubarbring/chart"
	"github.com/rhubarbring/rhubarbring/charts"
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/result"
	"github.com/rhubarbring/rhubarbring/retry"
	"github.com/rhubarbring/rhubarbring/timer"
)

// Route is what the entry daemon's map says of a key or an id.
type Route struct {
	Slice key.SliceID
	// Owner is the session that serves the slice, or nobody.
	Owner host.Session
	Epoch uint64
}

// Router decides what becomes of the requests that callers ask this daemon:
// whom they are sent to, whether they may be sent again, and what the caller
// is told. Every submitted request is replied to once, unless its caller hung
// up. It is used by one thread.
type Router struct {
	cfg      Config
	table    *chart.Table
	budget   *retry.Budget
	redirect *retry.Budget // the same as budget if the two are counted together
	backoff  *retry.Backoff
	callers  map[Caller]*call
	sends    map[uint64]*call
	waiting  []*call
	free     []*call
	acks     []pendingAck
	nextAck  mono.Time
	inState  [stateClosed + 1]int
	timers   timer.Queue[*call]
	seq      uint64
	counters Counters
	over     bool // nothing is sent any more
}

// call is one request of one caller.
type call struct {
	req      *Request
	caller   Caller
	deadline mono.Time
	state    uint8
	gone     bool // the caller hung up
	listed   bool // it stands in the list of those that wait, so it is not used again
	to       host.Session
	sentAt   mono.Time
	attempt  uint32
	timer    uint64 // the timer that counts; 0 for none
	// Where the last refusal says that the slice is now.
	hintTo    host.Session
	hintEpoch uint64
	// What the last sending was refused with, and the advice that came with it.
	lastCode  result.Code
	lastAfter time.Duration
	lastEpoch uint64
	// behind says that the gate which refused knows less than the map that
	// the request was sent by: it is asked again after a pause.
	behind bool
	// movedSince is when a gate first refused it for want of ownership; 0 if
	// none did.
	movedSince mono.Time
	// arrivals counts the sendings that may have reached a target, and
	// refusals those for which a gate had no room.
	arrivals int
	refusals int
	// tried are the chosen gates that it was sent to, and full those of them
	// that had no room for it.
	tried []host.Session
	full  []host.Session
	// inDoubt is the code of an earlier sending that may have run, or 0. Only
	// an idempotent request is sent again after one.
	inDoubt result.Code
}

// NewRouter returns a router without requests.
func NewRouter(cfg Config) *Router {
	budget := retry.NewBudget(cfg.Retry)
	redirect := budget
	if cfg.Redirect != nil {
		redirect = retry.NewBudget(*cfg.Redirect)
	}
	return &Router{
		cfg:      cfg,
		table:    charts.MustLoad("request").MustCompile(states, events, actions),
		budget:   budget,
		redirect: redirect,
		backoff:  retry.NewBackoff(cfg.Retry, cfg.Seed),
		callers:  make(map[Caller]*call),
		sends:    make(map[uint64]*call),
	}
}

// Counters returns the counts so far.
func (r *Router) Counters() Counters {
	return r.counters
}

// RepeatsLeft returns how many sendings after the first the budget allows now.
func (r *Router) RepeatsLeft() float64 {
	return r.budget.Left()
}

// Live returns the requests whose outcome is still to be told or recorded.
func (r *Router) Live() int {
	return r.inState[stateReceived] + r.inState[stateWaiting] + r.inState[statePaused] + r.inState[stateSent]
}

// Submit takes a caller's request. The router fills in Slice, Epoch, Attempt,
// Seq and Budget; the shell has checked and filled in the rest.
func (r *Router) Submit(now mono.Time, req *Request, deadline mono.Time, caller Caller, out *Actions) {
	c := r.newCall()
	c.req = req
	c.caller = caller
	c.deadline = deadline
	r.counters.Submitted++
	r.callers[caller] = c
	if r.Live() > r.cfg.MaxCalls {
		r.refuse(now, c, result.QueueFull, out)
		return
	}
	divided, known := r.cfg.Map.Divided(req.App)
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
	r.deposit()
	r.route(now, c, out)
}

// MapChanged looks again at the requests that wait for an owner.
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

// End says that the session of this daemon is over: other daemons drop what it
// sends. What waits to be sent is answered at once, and nothing is sent again.
func (r *Router) End(now mono.Time, out *Actions) {
	r.over = true
	for _, c := range r.unsent() {
		r.refuse(now, c, cmp.Or(c.lastCode, result.Draining), out)
	}
}

// unsent returns the calls that wait for an owner or for their next sending, in
// the order of their callers.
func (r *Router) unsent() []*call {
	var list []*call
	for _, c := range r.callers {
		if c.state == stateWaiting || c.state == statePaused {
			list = append(list, c)
		}
	}
	slices.SortFunc(list, func(a, b *call) int { return cmp.Compare(a.caller, b.caller) })
	return list
}

// CallerGone says that a caller hung up. A request that was never sent or is
// idempotent is dropped; any other goes on, and its outcome is recorded.
func (r *Router) CallerGone(now mono.Time, caller Caller, out *Actions) {
	c, ok := r.callers[caller]
	if !ok {
		return
	}
	c.gone = true
	delete(r.callers, caller)
	if c.state == stateSent && !c.req.Idempotent {
		return
	}
	if c.state == stateSent {
		r.ended(now, c, result.Cancelled)
	}
	r.step(now, c, eventGone, nil, out)
}

// SendFailed says that a sending never left this process; code says why.
func (r *Router) SendFailed(now mono.Time, seq uint64, code result.Code, out *Actions) {
	c, ok := r.sends[seq]
	if !ok || c.state != stateSent {
		return
	}
	r.ended(now, c, code)
	c.lastCode = code
	c.lastAfter = r.cfg.RetryAfter
	r.again(now, c, out)
}

// PeerLost says that the connection to a session was lost: everything sent to
// it and not answered may have run.
func (r *Router) PeerLost(now mono.Time, peer host.Session, out *Actions) {
	var seqs []uint64
	for seq, c := range r.sends {
		if c.to == peer && c.state == stateSent {
			seqs = append(seqs, seq)
		}
	}
	sort.Slice(seqs, func(i, j int) bool { return seqs[i] < seqs[j] })
	for _, seq := range seqs {
		r.ConnectionLost(now, seq, out)
	}
}

// ConnectionLost says that the connection was lost after a sending left this
// process.
func (r *Router) ConnectionLost(now mono.Time, seq uint64, out *Actions) {
	c, ok := r.sends[seq]
	if !ok || c.state != stateSent {
		return
	}
	r.ended(now, c, result.PeerLost)
	r.lost(now, c, result.PeerLost, out)
}

// Tick handles what is due at now. Call it at NextTick, or every few
// milliseconds.
func (r *Router) Tick(now mono.Time, out *Actions) {
	r.sendAcks(now, out)
	for {
		e, due := r.timers.PopDue(now)
		if !due {
			return
		}
		if e.Item.timer != e.ID {
			continue
		}
		e.Item.timer = 0
		r.due(now, e.Item, out)
	}
}

// NextTick returns when Tick has something to do at the earliest, and false
// if nothing is due ever.
func (r *Router) NextTick() (mono.Time, bool) {
	at, ok := r.timers.Next()
	if len(r.acks) > 0 && (!ok || r.nextAck.Before(at)) {
		return r.nextAck, true
	}
	return at, ok
}
