// Package gate implements admission control in front of the target beside a
// daemon. Every request to the target passes its gate, so that slots and
// connections are counted in one place. The gate admits a request only while
// this daemon owns its slice, runs a non-idempotent request at most once under
// one id, refuses early what can't meet its deadline, and answers "not run" only
// if the request did not run and never will.
//
// The package does no I/O and reads no clock. Its methods take events and the
// current time, and collect in Actions what the code around the gate, its
// shell, has to do.
package gate

import (
	"time"

	"github.com/rhubarbring/rhubarbring/charts"
	"github.com/rhubarbring/rhubarbring/dedup"
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/request"
	"github.com/rhubarbring/rhubarbring/result"
	"github.com/rhubarbring/rhubarbring/statechart"
	"github.com/rhubarbring/rhubarbring/timer"
)

// Admission describes this daemon's ownership of the slice of a request.
type Admission struct {
	// Code is OK, or why this daemon does not serve the slice: NotOwner,
	// Draining or LeaseLapsed.
	Code result.Code
	// Epoch is the epoch at which this daemon holds the slice; 0 if it does
	// not. It stays set while a handover waits for requests in flight.
	Epoch uint64
	// Newest is the newest epoch of the slice that this daemon knows.
	Newest uint64
	// Expires is the end of the lease.
	Expires mono.Time
	// CompleteSinceMs is the time, in milliseconds since 1970 by this host's
	// clock, since when every request that was admitted for the slice was
	// admitted by this daemon: the grant of the epoch or, if later, the last
	// merge of a carved-out key back into the slice.
	CompleteSinceMs int64
}

// OwnershipChecker describes what this daemon owns.
type OwnershipChecker interface {
	// Admit returns whether this daemon may admit a request for the key k at
	// now. It also checks by its own map that the key still belongs to the
	// slice, since a key that was carved out does not. The key is empty for an
	// app that is not divided by key.
	Admit(app key.App, k string, s key.SliceID, now mono.Time) Admission
}

// Config configures a Gate.
type Config struct {
	// Self is the session of this daemon.
	Self host.Session
	// App is the app that the target serves.
	App key.App
	// Ownership describes what this daemon owns.
	Ownership OwnershipChecker
	// Quarantine names the requests that are not to be run; nil if there are none.
	Quarantine request.Quarantine
	// ZoneOf returns the availability zone of an entry daemon, whose callers share
	// room as one; nil if zones are not told apart.
	ZoneOf func(host.Session) host.Zone
	// Dedup bounds the records of request ids that deduplicate repeats.
	Dedup dedup.Config
	// MaxQueued bounds the number of queued requests of each class, and half of
	// the number of all.
	MaxQueued int
	// MaxQueuedBytes bounds the bytes of the bodies of the queued requests of
	// each class, and half of the bytes of all.
	MaxQueuedBytes int
	// MaxBodyBytes bounds the bytes of the bodies of all requests, queued or running,
	// when one with a long body comes; 0 is no bound.
	MaxBodyBytes int
	// UrgentBurst is the number of requests of other levels that are started while one
	// of a less urgent level is queued, before one of that level is started. With 8,
	// a level that always has queued requests gets at least a tenth of the starts
	// while no more than two others do.
	UrgentBurst int
	// MaxJoined bounds the repeats that wait for the answer to one request in
	// flight.
	MaxJoined int
	// WarmUp is the time within which the usable slots of a new target rise to
	// all of them; it takes twice as long while the target's state is Cold. It
	// does not apply to a target with ReportsCold.
	WarmUp time.Duration
	// WarmUpStartShare is the fraction of its slots that a new target gets at
	// once.
	WarmUpStartShare float64
	// LateWait is the longest expected wait with which a late request is
	// admitted: one that would miss its soft deadline even if it started at
	// once. It leaves the queue after at most twice that time. OverloadWindow
	// is the time after the refusal of a request that could still have met its
	// soft deadline during which a late one is admitted only if a slot is free.
	LateWait       time.Duration
	OverloadWindow time.Duration
	// ColdShare is the fraction of its slots that a target with ReportsCold gets
	// while its state is cold.
	ColdShare float64
	// MaxLoadDeduction is the largest fraction of the slots that the target's
	// own load report can take away.
	MaxLoadDeduction float64
	// LimitConcurrency lets the gate start fewer runs than the target has slots if
	// runs that make no calls take longer the more of them there are.
	LimitConcurrency bool
	// ShedPause is how long no request is started after the target shed one. It
	// doubles with each further shed request, up to ShedPauseMax, until the
	// target answers one. A shed request causes no pause if at most half of the
	// target's slots are taken.
	ShedPause    time.Duration
	ShedPauseMax time.Duration
	// DrainGrace is how long after the start of a drain requests are still
	// started. New requests without a slice are refused from the start of the
	// drain, since any other gate of the app can run them.
	DrainGrace time.Duration
	// LingerTimeout is how long past its deadline a run keeps its slot if its
	// callers were answered but the target has not reported its end.
	LingerTimeout time.Duration
	// StoppedLingerTimeout takes the place of LingerTimeout at a target with
	// StopsAbandonedRuns. It counts from the time at which the target stops the
	// run.
	StoppedLingerTimeout time.Duration
	// CancelWait is how long the gate waits for the target's answer to a
	// cancellation.
	CancelWait time.Duration
	// MaxUnacked bounds the answers whose acknowledgement is awaited.
	MaxUnacked int
	// RetryAfter is the retry delay in refusals if the gate has no better
	// estimate.
	RetryAfter time.Duration
	// MinRetryAfter is the smallest retry delay in refusals if the gate can
	// estimate when there is room.
	MinRetryAfter time.Duration
}

// DefaultConfig returns the settings that apply if none are configured, except
// for Self, App and Ownership, which have no default.
func DefaultConfig() Config {
	return Config{
		Dedup:                dedup.DefaultConfig(),
		MaxQueued:            1024,
		MaxQueuedBytes:       8 << 20,
		UrgentBurst:          8,
		MaxJoined:            4,
		WarmUp:               5 * time.Second,
		WarmUpStartShare:     0.25,
		LateWait:             300 * time.Millisecond,
		OverloadWindow:       500 * time.Millisecond,
		ColdShare:            0.75,
		MaxLoadDeduction:     0.25,
		ShedPause:            20 * time.Millisecond,
		ShedPauseMax:         time.Second,
		DrainGrace:           2 * time.Second,
		LingerTimeout:        10 * time.Second,
		StoppedLingerTimeout: 50 * time.Millisecond,
		CancelWait:           100 * time.Millisecond,
		MaxUnacked:           4096,
		RetryAfter:           500 * time.Millisecond,

		MinRetryAfter: 80 * time.Millisecond,
	}
}

// Counters are the event counts of a gate. They never decrease.
type Counters struct {
	Arrived  uint64
	Started  uint64
	Answered uint64
	Refused  uint64
	// Stale counts attempts that were dropped because their sequence number did
	// not rise: duplicates and leftovers of older connections.
	Stale uint64
	// Joined counts repeats that waited for the answer of a request in flight.
	Joined uint64
	// Replayed counts repeats that were answered with a kept answer.
	Replayed uint64
	Shed     uint64
	Lost     uint64
	// Unmatched counts events of the target that match no run.
	Unmatched uint64
	// Raised counts the outcomes that were reported as risks.
	Raised uint64
}

// Gate is the admission control in front of one target. It is not safe for
// concurrent use.
type Gate struct {
	cfg        Config
	table      *statechart.Table
	dedup      *dedup.Memory
	target     target
	rate       rateLimit // of the target
	cold       coldState
	evacuation evacuationState
	queues     [request.Levels]queue // by the level of the class
	// passedOver counts, for each level, the jobs of others that were started since its
	// last one while one was queued.
	passedOver  [request.Levels]int
	runs        map[uint64]*job
	runByID     map[string]uint64 // number of the last run of an id
	calls       callLimit
	flows       flows
	concurrency concurrency
	lastRun     uint64 // number of the last run
	busySlots   int    // slots taken by runs, also by those that linger
	connInUse   []bool // by connection number, of those that were used so far
	seen        map[host.ID]lastSeen
	unacked     *unacked
	pace        pace // of the target's work
	serviceTime ewma // at the usual pace
	// overloadedAt is when a request that could still have met its soft
	// deadline was last refused.
	overloadedAt     mono.Time
	routeServiceTime map[string]*ewma
	waitEstimates    map[string]*waitEstimate
	timers           timer.Queue[*job]
	freeJobs         []*job
	counters         Counters
	disabled         disabledChecks
}

// disabledChecks turns off single checks, so that tests of this package can
// show that they notice the loss of each. All fields are false in production.
type disabledChecks struct {
	sequence         bool // duplicates and leftovers are dropped
	epoch            bool // an attempt for another epoch is refused
	dedup            bool // the id of a repeat is looked up
	horizon          bool // an id that may have been dropped from the memory is refused
	leaseAtStart     bool // ownership and lease are checked again at the start
	leaseAfterAnswer bool // the lease is checked again after the answer
	slotHold         bool // a run whose connection was lost keeps its slot
	lostID           bool // the id of a run whose connection was lost is remembered
	content          bool // an id that comes with another content is refused
	risks            bool // outcomes at risk are reported
	callLimit        bool // runs are limited while their calls fail
	fairness         bool // room is shared out between flows
	waitCorrection   bool // expected waits are corrected by those of earlier requests
}

// lastSeen identifies the newest attempt that was received from a host.
type lastSeen struct {
	incarnation uint64
	seq         uint64
}

// New returns a gate without a target.
func New(cfg Config) *Gate {
	return &Gate{
		cfg:     cfg,
		table:   charts.MustLoad("admission").MustCompile(states, events, actions),
		dedup:   dedup.New(cfg.Dedup),
		runs:    make(map[uint64]*job),
		runByID: make(map[string]uint64),
		calls:   newCallLimit(),
		flows:   flows{byKey: make(map[flowKey]*flow)},
		seen:    make(map[host.ID]lastSeen),
		pace:    pace{present: 1},

		concurrency: concurrency{enabled: cfg.LimitConcurrency},

		unacked:          newUnacked(cfg.MaxUnacked),
		routeServiceTime: make(map[string]*ewma),
		waitEstimates:    make(map[string]*waitEstimate),
	}
}

// Successor returns a gate for a new target beside the same daemon, such as one
// at another address. It shares the memory of ids, the sequence numbers and the
// unacknowledged answers with g and continues the numbering of runs, so that
// duplicates and repeats are still recognized. Both gates belong to the same
// goroutine. g must get no new requests: it only finishes those that it has
// admitted.
func (g *Gate) Successor(cfg Config) *Gate {
	next := New(cfg)
	next.dedup = g.dedup
	next.seen = g.seen
	next.unacked = g.unacked
	next.lastRun = g.lastRun
	return next
}

// Counters returns the current counts.
func (g *Gate) Counters() Counters {
	return g.counters
}

// Load is the target's load as counted by the gate.
type Load struct {
	// Busy is the number of slots taken, Slots the number that may be used now.
	Busy  int
	Slots int
	// Queued is the number of queued requests.
	Queued int
	// MeanServiceTime is the mean service time; 0 before the first answer.
	MeanServiceTime time.Duration
	// Wait is how long a new normal request would wait for a slot.
	Wait time.Duration
}

// Load returns the target's load at now.
func (g *Gate) Load(now mono.Time) Load {
	return Load{
		Busy:            g.busySlots,
		Slots:           g.usableSlots(now),
		Queued:          g.queuedCount(),
		MeanServiceTime: g.expectedRun(),
		Wait:            g.expectedWait(now, request.Normal, now, nil),
	}
}

// Tick handles the timers that are due at now and drops expired ids; nowMs is
// the wall clock in milliseconds since 1970. Call it at the time that NextTick
// returns, or every few milliseconds.
func (g *Gate) Tick(now mono.Time, nowMs int64, out *Actions) {
	g.pace.refresh(now)
	for {
		e, due := g.timers.PopDue(now)
		if !due {
			break
		}
		if e.Item.timer != e.ID {
			continue
		}
		e.Item.timer = 0
		g.handleTimer(now, e.Item, out)
	}
	g.dedup.Expire(nowMs)
	g.updateCold(now, out)
	g.refuseIfDrained(now, out)
	g.startQueued(now, out)
}

// NextTick returns the earliest time, as of now, at which Tick has a timer or a
// start to handle, and false if there is none.
func (g *Gate) NextTick(now mono.Time) (mono.Time, bool) {
	at, ok := g.timers.NextAt()
	if g.queuedCount() == 0 {
		return at, ok
	}
	for _, t := range []mono.Time{g.target.pausedUntil, g.drainEnd(), g.nextStartAt(now)} {
		if t.After(now) && (!ok || t < at) {
			at, ok = t, true
		}
	}
	return at, ok
}
