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

// The model consists of two entry daemons, two gates with a target each, a
// network that loses, delays, duplicates and reorders messages, owners that
// change, and callers that follow the rules for repeats. The invariants are
// checked against the targets' own records of what they executed.

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

// choices makes the random choices of a model. Rapid and seeded generators
// implement it.
type choices interface {
	IntN(n int) int
}

// missingChecks names the checks of the router and of the shells that a model
// leaves out.
type missingChecks struct {
	lossCountsAsNotSent bool // a lost connection counts as if nothing had been sent
	matchByIDOnly       bool // answers are matched by id alone
	notRunToRepeats     bool // a repeat is answered as not run
	noRisks             bool // risks that the router reports are dropped
	noAcks              bool // every answer counts as acknowledged
}

// op is an operation that a caller wants to be done once.
type op struct {
	body       string
	key        string
	idempotent bool
	id         string
	idMs       int64
	attempt    int
	entry      int
	caller     request.CallID
	waiting    bool          // the caller has not been answered
	codes      []result.Code // results that the caller got
	done       bool
	runs       int // how often the targets executed it
	runsByID   map[string]int
	notRunIDs  []string // ids whose request was answered as not run
	ids        []string // all ids that the caller used
}

// entryDaemon is a router with its copy of the map of owners.
type entryDaemon struct {
	self   host.Session
	router *request.Router
	routes [modelSlices]request.SliceOwner
	calls  map[request.CallID]*op
	latest map[string]message // newest attempt of each id
}

// gateNode is a gate with its target.
type gateNode struct {
	self       host.Session
	gate       *Gate
	admissions [modelSlices]Admission
	lease      mono.Time
	isolated   bool // cut off from its witnesses, so that its lease is not renewed
	runs       []*targetRun
	held       map[uint64]key.SliceID // runs that hold their slice
	fence      [modelSlices]uint64    // highest epoch that the target has executed
}

// targetRun is a run as the target sees it.
type targetRun struct {
	start     Start
	executed  bool
	finished  bool // the target is done with it
	connected bool
	cancelled bool // a cancellation has not been answered
}

// message is a message in the network. One of req, cancel, ack and answer is
// set.
type message struct {
	entry   int
	gate    int
	session host.Session // of the entry daemon
	req     *request.Request
	cancel  *request.Cancel
	ack     *request.Ack
	answer  *request.Answer
}

// world is the state of a model.
type world struct {
	src          choices
	now          mono.Time
	divided      bool
	checksGrants bool
	entries      [2]*entryDaemon
	nodes        [2]*gateNode
	owners       [modelSlices]request.SliceOwner
	network      []message
	ops          []*op
	caller       request.CallID
	nextID       int
	missing      missingChecks
	risks        map[string]bool
	violations   []string
	traced       bool
	trace        []string
}

// tracef adds a line to the transcript of a golden scenario.
func (w *world) tracef(format string, args ...any) {
	if w.traced {
		ms := time.Duration(w.now).Round(time.Millisecond).Milliseconds()
		w.trace = append(w.trace, fmt.Sprintf("%4d ms  ", ms)+fmt.Sprintf(format, args...))
	}
}

func newWorld(src choices, missing missingChecks, disabled disabledChecks) *world {
	w := &world{src: src, now: 1, missing: missing, risks: map[string]bool{}}
	w.divided = src.IntN(2) == 0
	w.checksGrants = src.IntN(2) == 0
	for i := range w.nodes {
		w.nodes[i] = w.newNode(i, disabled)
	}
	for s := range w.owners {
		w.grant(s, s%2, 1)
	}
	for i := range w.entries {
		w.entries[i] = w.newEntry(i, 1)
	}
	return w
}

func (w *world) newNode(i int, disabled disabledChecks) *gateNode {
	node := &gateNode{self: host.Session{Host: host.ID(fmt.Sprint("g", i)), Incarnation: 1}, lease: w.now.Add(modelLease), held: map[uint64]key.SliceID{}}
	cfg := DefaultConfig()
	cfg.Self = node.self
	cfg.App = modelApp
	cfg.Ownership = ownerView{w: w, node: node}
	cfg.MaxQueued = 3
	cfg.Dedup.MaxIDs = 6
	cfg.Dedup.Skew = 2 * wallSkewMs * time.Millisecond
	cfg.LingerTimeout = time.Second
	node.gate = New(cfg)
	node.gate.disabled = disabled
	var out Actions
	node.gate.TargetAnnounced(w.now.Add(-time.Minute), w.announcement(Warm), &out)
	return node
}

func (w *world) announcement(state State) Announcement {
	return Announcement{Slots: modelSlots, Connections: modelConns, ChecksGrants: w.checksGrants, State: state}
}

func (w *world) newEntry(i int, incarnation uint64) *entryDaemon {
	e := &entryDaemon{self: host.Session{Host: host.ID(fmt.Sprint("e", i)), Incarnation: incarnation}, calls: map[request.CallID]*op{}, latest: map[string]message{}}
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

// grant makes a node the owner of a slice. An isolated node does not learn that
// it lost one.
func (w *world) grant(s, to int, epoch uint64) {
	w.owners[s] = request.SliceOwner{Slice: key.SliceID(s), Owner: w.nodes[to].self, Epoch: epoch}
	for i, node := range w.nodes {
		if i == to {
			node.admissions[s] = Admission{Epoch: epoch, Newest: epoch, CompleteSinceMs: w.wallMs()}
			continue
		}
		if !node.isolated {
			node.admissions[s] = Admission{Code: result.NotOwner, Newest: epoch}
		}
	}
}

// nodeOf returns the index of the node with a session, or -1.
func (w *world) nodeOf(self host.Session) int {
	for i, node := range w.nodes {
		if node.self == self {
			return i
		}
	}
	return -1
}

// violationf records a violation of an invariant.
func (w *world) violationf(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf(format, args...))
}

// submit sends an operation to an entry daemon.
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

// submitNewOp submits a new operation, now and then under an id that is in use
// for another.
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
		rep = request.RepeatUnspecified
	}
	w.submit(o, w.src.IntN(2), rep)
}

// assignFreshID gives an operation a new id, now and then without its time.
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

// repeatOp submits an unfinished operation again by the rules for repeats: under
// a new id after "not run", under the same id after anything else.
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

// receiveReply hands a router's reply to its caller.
func (w *world) receiveReply(e *entryDaemon, r request.Reply) {
	o := e.calls[r.Call]
	if o == nil || !o.waiting || o.caller != r.Call {
		w.violationf("reply to caller %d, which does not wait", r.Call)
		return
	}
	delete(e.calls, r.Call)
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
			w.violationf("%s got the answer of another operation: %q", o.body, r.Answer.Body)
		}
	}
	if code.Outcome() == result.NotRun {
		o.notRunIDs = append(o.notRunIDs, o.id)
	}
}
