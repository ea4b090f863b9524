package gate

import (
	"bytes"
	"fmt"
	"time"

	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/request"
	"github.com/rhubarbring/rhubarbring/result"
	"github.com/rhubarbring/rhubarbring/retry"
)

// The model: two entry daemons and two gates with a target each, a network
// that loses, delays, doubles and reorders, owners that change, and callers
// that keep to the contract. What ran is judged by the targets' own records.

const (
	modelApp    key.App = "pay"
	modelSlices         = 2
	modelSlots          = 2
	modelConns          = 3
	modelLease          = 300 * time.Millisecond
	maxCallTime         = 400 * time.Millisecond
	wallStartMs int64   = 1_700_000_000_000
	wallSkewMs          = 20
	settleTime          = 30 * time.Second
)

// source draws numbers; rapid and seeded generators both serve.
type choiceSource interface {
	IntN(n int) int
}

// dropped names the guards of the router and of the shells that a run lacks.
type missingChecks struct {
	lossCountsAsNotSent bool // a lost connection counts as "never left"
	matchByIDOnly       bool // answers are matched by id alone
	notRunToRepeats     bool // "not run" to repeats
	noRisks             bool // the router raises nothing
	noAcks              bool // gates don't wait for acknowledgements
}

// op is what a caller wants done once.
type op struct {
	body       string
	key        string
	idempotent bool
	id         string
	idMs       int64
	attempt    int
	entry      int
	caller     request.Caller
	waiting    bool // a reply is due
	codes      []result.Code
	done       bool
	runs       int
	runsByID   map[string]int
	notRunIDs  []string // ids that were told "not run"
	ids        []string // all ids that the caller used
}

type entryDaemon struct {
	self   host.Session
	router *request.Router
	routes [modelSlices]request.Route
	calls  map[request.Caller]*op
	latest map[string]message // newest sending of each id
}

// site is a gate with its target.
type gateNode struct {
	self       host.Session
	gate       *Gate
	admissions [modelSlices]Admission
	lease      mono.Time
	isolated   bool
	runs       []*targetRun
	held       map[uint64]key.SliceID // runs that hold their slice
	fence      [modelSlices]uint64    // highest epoch that the target saw
}

// targetRun is a run as the target sees it.
type targetRun struct {
	start     Start
	executed  bool
	finished  bool // the target is done with it
	connected bool
	cancelled bool // a cancellation waits for its answer
}

type message struct {
	entry   int
	gate    int
	session host.Session // of the entry daemon
	req     *request.Request
	cancel  *request.Cancel
	ack     *request.Ack
	answer  *request.Answer
}

type world struct {
	src          choiceSource
	now          mono.Time
	divided      bool
	checksGrants bool
	entries      [2]*entryDaemon
	nodes        [2]*gateNode
	owners       [modelSlices]request.Route
	network      []message
	ops          []*op
	caller       request.Caller
	nextID       int
	missing      missingChecks
	raised       map[string]bool
	violations   []string
	traced       bool
	trace        []string
}

// note adds a line to the transcript of a golden session.
func (w *world) tracef(format string, args ...any) {
	if w.traced {
		ms := time.Duration(w.now).Round(time.Millisecond).Milliseconds()
		w.trace = append(w.trace, fmt.Sprintf("%4d ms  ", ms)+fmt.Sprintf(format, args...))
	}
}

func newWorld(src choiceSource, drop missingChecks, g disabledChecks) *world {
	w := &world{src: src, now: 1, missing: drop, raised: map[string]bool{}}
	w.divided = src.IntN(2) == 0
	w.checksGrants = src.IntN(2) == 0
	for i := range w.nodes {
		w.nodes[i] = w.newNode(i, g)
	}
	for s := range w.owners {
		w.grant(s, s%2, 1)
	}
	for i := range w.entries {
		w.entries[i] = w.newEntry(i, 1)
	}
	return w
}

func (w *world) newNode(i int, g disabledChecks) *gateNode {
	s := &gateNode{self: host.Session{Host: host.ID(fmt.Sprint("g", i)), Incarnation: 1}, lease: w.now.Add(modelLease), held: map[uint64]key.SliceID{}}
	cfg := DefaultConfig()
	cfg.Self = s.self
	cfg.App = modelApp
	cfg.Owner = ownerView{w: w, s: s}
	cfg.MaxQueued = 3
	cfg.Memory.MaxIDs = 6
	cfg.Memory.Skew = 2 * wallSkewMs * time.Millisecond
	cfg.LingerTimeout = time.Second
	s.gate = New(cfg)
	s.gate.disabled = g
	var out Actions
	s.gate.Announced(w.now.Add(-time.Minute), w.announcement(Warm), &out)
	return s
}

func (w *world) announcement(state State) Announcement {
	return Announcement{Slots: modelSlots, Connections: modelConns, ChecksGrants: w.checksGrants, State: state}
}

func (w *world) newEntry(i int, incarnation uint64) *entryDaemon {
	e := &entryDaemon{self: host.Session{Host: host.ID(fmt.Sprint("e", i)), Incarnation: incarnation}, calls: map[request.Caller]*op{}, latest: map[string]message{}}
	e.routes = w.owners
	cfg := request.DefaultConfig()
	cfg.Self = e.self
	cfg.Map = mapView{w: w, e: e}
	cfg.Chooser = chooserView{w: w}
	cfg.Retry = retry.Config{Ratio: 0.5, Burst: 5, Base: 2 * time.Millisecond, Max: 20 * time.Millisecond}
	cfg.MaxWaiting = 3
	cfg.MaxWait = 100 * time.Millisecond
	cfg.Seed = uint64(i)
	e.router = request.NewRouter(cfg)
	return e
}

func (w *world) wallMs() int64 {
	return wallStartMs + time.Duration(w.now).Milliseconds()
}

// ownerView is what a gate knows of its ownership.
type ownerView struct {
	w *world
	s *gateNode
}

func (v ownerView) Admit(_ key.App, _ string, s key.SliceID, _ mono.Time) Admission {
	a := v.s.admissions[s]
	a.Expires = v.s.lease
	return a
}

type mapView struct {
	w *world
	e *entryDaemon
}

func (v mapView) Divided(app key.App) (bool, bool) {
	return v.w.divided, app == modelApp
}

func (v mapView) Route(app key.App, text string) request.Route {
	r := v.e.routes[key.SliceOf(app, text, modelSlices).ID]
	return r
}

type chooserView struct{ w *world }

func (v chooserView) Choose(_ key.App, _ mono.Time, _ time.Duration, _ int, tried []host.Session) (host.Session, result.Code) {
	i := v.w.src.IntN(2)
	if len(tried) > 0 && v.w.nodes[i].self == tried[len(tried)-1] {
		i = 1 - i
	}
	return v.w.nodes[i].self, result.OK
}
func (chooserView) Sent(host.Session, mono.Time)                 {}
func (chooserView) Forwarded(host.Session, mono.Time, int)       {}
func (chooserView) Returned(host.Session, mono.Time, int)        {}
func (chooserView) Ended(host.Session, mono.Time, request.Ended) {}

// grant makes a site the owner of a slice.
func (w *world) grant(s, to int, epoch uint64) {
	w.owners[s] = request.Route{Slice: key.SliceID(s), Owner: w.nodes[to].self, Epoch: epoch}
	for i, site := range w.nodes {
		if i == to {
			site.admissions[s] = Admission{Epoch: epoch, Newest: epoch, KnownSinceMs: w.wallMs()}
			continue
		}
		if !site.isolated {
			site.admissions[s] = Admission{Code: result.NotOwner, Newest: epoch}
		}
	}
}

func (w *world) nodeOf(self host.Session) int {
	for i, s := range w.nodes {
		if s.self == self {
			return i
		}
	}
	return -1
}

func (w *world) violationf(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf(format, args...))
}

// submit asks one entry daemon for an operation.
func (w *world) submit(o *op, i int, rep request.Repeat) {
	e := w.entries[i]
	w.caller++
	o.caller = w.caller
	o.entry = i
	o.waiting = true
	o.attempt++
	e.calls[w.caller] = o
	r := &request.Request{ID: o.id, App: modelApp, Idempotent: o.idempotent, Repeat: rep, IDTimeMs: o.idMs, AcceptedMs: w.wallMs() - wallSkewMs, Body: []byte(o.body)}
	if w.divided {
		r.Key = o.key
	}
	if w.src.IntN(2) == 0 {
		r.Class = request.Urgent
	}
	if o.idempotent && !w.divided {
		r.Slice = request.NoSlice
	}
	w.tracef("caller asks %s: %s as %s, repeat=%d", e.self, o.body, o.id, rep)
	deadline := w.now.Add(time.Duration(20+w.src.IntN(int(maxCallTime/time.Millisecond)-20)) * time.Millisecond)
	var out request.Actions
	e.router.Submit(w.now, r, deadline, w.caller, &out)
	w.performRouterActions(i, &out)
}

// newOp is a caller's new wish, now and then under an id that is taken.
func (w *world) submitNewOp() {
	o := &op{body: fmt.Sprint("op", len(w.ops)), key: fmt.Sprint("k", w.src.IntN(4)), idempotent: w.src.IntN(4) == 0, runsByID: map[string]int{}}
	w.ops = append(w.ops, o)
	w.assignFreshID(o)
	if len(w.ops) > 1 && w.src.IntN(12) == 0 {
		o.id = w.ops[w.src.IntN(len(w.ops)-1)].id
		o.ids[0] = o.id
	}
	rep := request.RepeatFirst
	if w.src.IntN(4) == 0 {
		rep = request.RepeatUnsaid
	}
	w.submit(o, w.src.IntN(2), rep)
}

func (w *world) assignFreshID(o *op) {
	w.nextID++
	o.id = fmt.Sprint("id", w.nextID)
	o.ids = append(o.ids, o.id)
	o.idMs = w.wallMs() + int64(w.src.IntN(2*wallSkewMs)) - wallSkewMs
	if w.src.IntN(8) == 0 {
		o.idMs = 0
	}
	o.attempt = 0
}

// again is what a caller does who keeps to the contract: after "not run" the
// wish goes out under a new id, after anything else under the same.
func (w *world) repeatOp(o *op) {
	if o.waiting || o.done {
		return
	}
	if o.codes[len(o.codes)-1].Outcome() == result.NotRun {
		w.assignFreshID(o)
		w.submit(o, w.src.IntN(2), request.RepeatFirst)
		return
	}
	w.submit(o, w.src.IntN(2), request.RepeatAgain)
}

func (w *world) reply(e *entryDaemon, r request.Reply) {
	o := e.calls[r.Caller]
	if o == nil || !o.waiting || o.caller != r.Caller {
		w.violationf("reply to nobody: caller %d", r.Caller)
		return
	}
	delete(e.calls, r.Caller)
	w.tracef("%s tells the caller: %s (%s), retry after %v", e.self, r.Answer.Code, r.Answer.Code.Outcome(), r.Answer.RetryAfter)
	o.waiting = false
	code := r.Answer.Code
	if w.missing.notRunToRepeats && code == result.RepeatRefused {
		code = result.QueueFull
	}
	o.codes = append(o.codes, code)
	if code == result.OK {
		o.done = true
		if !bytes.Equal(r.Answer.Body, []byte("did "+o.body)) {
			w.violationf("%s got another's answer %q", o.body, r.Answer.Body)
		}
	}
	if code.Outcome() == result.NotRun {
		o.notRunIDs = append(o.notRunIDs, o.id)
	}
}

func (w *world) raise(risks []request.Risk) {
	for _, r := range risks {
		w.tracef("raised: %s %s, outcome %s", r.ID, r.Code, r.Outcome)
		w.raised[r.ID+r.Key] = true
	}
}
