// Package gate decides what reaches the target beside a daemon. The gate is
// the only one that talks to its target, so that slots and connections are
// counted in one place. It lets a request in only while this daemon owns its
// slice, never runs an id twice, refuses early what can't be done in time, and
// says "not run" only when that is true for good.
package gate

import (
	"time"

	"github.com/rhubarbring/rhubarbring/chart"
	"github.com/rhubarbring/rhubarbring/charts"
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/idmemory"
	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/request"
	"github.com/rhubarbring/rhubarbring/result"
	"github.com/rhubarbring/rhubarbring/timer"
)

// Admission is what the daemon's ownership says of a request.
type Admission struct {
	// Code is OK, or why the slice is not served here: NotOwner, Draining
	// or LeaseLapsed.
	Code result.Code
	// Epoch is the epoch that this daemon holds the slice at; 0 if it does
	// not. It stays while a handover lets what is in flight finish.
	Epoch uint64
	// Newest is the newest epoch of the slice that this daemon knows.
	Newest uint64
	// Expires is the end of the lease.
	Expires mono.Time
	// KnownSinceMs is the time, in milliseconds since 1970 by this host's
	// clock, since when this daemon has let in every request for the slice
	// that was let in at all: the grant of the epoch, or the last return of
	// a carved-out key to the slice, if later.
	KnownSinceMs int64
}

// Owner says what this daemon owns.
type Owner interface {
	// Admit says whether this daemon may let in a request for the key now.
	// It also checks that the key belongs to the slice by its own map: a
	// key that was carved out is no longer the old slice's. The key is
	// empty for an app that is not divided by key.
	Admit(app key.App, k string, s key.SliceID, now mono.Time) Admission
}

// Config sets a Gate up.
type Config struct {
	// Self is the session of this daemon.
	Self host.Session
	// App is the target's app.
	App key.App
	// Owner says what this daemon owns.
	Owner Owner
	// Memory bounds the memory of ids.
	Memory idmemory.Config
	// MaxQueued bounds the requests that wait for a slot, in each class.
	MaxQueued int
	// MaxQueuedBytes bounds the bytes of their bodies, in each class.
	MaxQueuedBytes int
	// UrgentRun is how many urgent requests go ahead of a waiting normal one.
	UrgentRun int
	// MaxJoined bounds the repeats that wait for the answer to a request in
	// flight.
	MaxJoined int
	// WarmUp is how long a new target takes to get all its slots used.
	WarmUp time.Duration
	// WarmStart is the part of its slots that it gets at once.
	WarmStart float64
	// LateWait is how long a request waits for a slot whose answer can't come
	// when it is wanted. OverloadFor is how long after the refusal of one that
	// could have been in time it waits no more than for a free slot.
	LateWait    time.Duration
	OverloadFor time.Duration
	// ColdShare is the part of its slots that a target gets while it says that
	// it is cold.
	ColdShare float64
	// LoadTrust is the part of the slots that the target's own report of
	// its load can take away at most.
	LoadTrust float64
	// ShedPause is the pause after the target shed a request. It doubles
	// with each further one, up to ShedPauseMax.
	ShedPause    time.Duration
	ShedPauseMax time.Duration
	// DrainGrace is how long after the start of a drain work is still begun.
	DrainGrace time.Duration
	// RunHold is how long after its deadline a run that was answered for,
	// but never ended by the target, keeps its slot.
	RunHold time.Duration
	// StopHold takes the place of RunHold at a target that stops runs itself.
	StopHold time.Duration
	// CancelWait is how long the target's answer to a cancellation is
	// waited for.
	CancelWait time.Duration
	// MaxUnacked bounds the answers whose acknowledgement is waited for.
	MaxUnacked int
	// RetryAfter is the advice when no better one is known.
	RetryAfter time.Duration
	// LeastRetryAfter is the least advice when the gate knows when room comes.
	LeastRetryAfter time.Duration
}

// DefaultConfig returns the settings of a daemon that has none of its own;
// Self, App and Owner are left to the caller.
func DefaultConfig() Config {
	return Config{
		Memory:         idmemory.DefaultConfig(),
		MaxQueued:      1024,
		MaxQueuedBytes: 8 << 20,
		UrgentRun:      8,
		MaxJoined:      4,
		WarmUp:         5 * time.Second,
		WarmStart:      0.25,
		LateWait:       300 * time.Millisecond,
		OverloadFor:    500 * time.Millisecond,
		ColdShare:      0.75,
		LoadTrust:      0.25,
		ShedPause:      20 * time.Millisecond,
		ShedPauseMax:   time.Second,
		DrainGrace:     2 * time.Second,
		RunHold:        10 * time.Second,
		StopHold:       50 * time.Millisecond,
		CancelWait:     100 * time.Millisecond,
		MaxUnacked:     4096,
		RetryAfter:     500 * time.Millisecond,

		LeastRetryAfter: 80 * time.Millisecond,
	}
}

// Counters counts what a gate did. They only rise.
type Counters struct {
	Arrived  uint64
	Started  uint64
	Answered uint64
	Refused  uint64
	// Stale counts arrivals whose sequence did not rise: duplicates and
	// leftovers of older connections.
	Stale uint64
	// Joined counts repeats that got the answer of a request in flight.
	Joined uint64
	// Replayed counts repeats that got a kept answer.
	Replayed uint64
	Shed     uint64
	Lost     uint64
	// Strays counts events of the target that match no run.
	Strays uint64
	Raised uint64
}

// Gate is the admission in front of one target. It is used by one thread.
type Gate struct {
	cfg     Config
	table   *chart.Table
	memory  *idmemory.Memory
	target  target
	urgent  queue
	normal  queue
	urgents int // urgent requests started since the last normal one
	runs    map[uint64]*job
	run     uint64
	slots   int // slots taken
	conns   []bool
	seen    map[host.ID]lastSeen
	unacked *unacked
	service estimator
	// tooMuchAt is when a request was refused that could have been in time.
	tooMuchAt mono.Time
	byRoute   map[string]*estimator
	timers    timer.Queue[*job]
	free      []*job
	counters  Counters
	guards    guards
}

// guards lets tests of this package drop one guard at a time, to see that its
// loss is found. All are false outside of such tests.
type guards struct {
	anySeq       bool // take duplicates and leftovers
	anyEpoch     bool // take a sending that was meant for another epoch
	noMemory     bool // run repeats
	noHorizon    bool // run repeats that can't be known
	leaseOnce    bool // check the lease at admission only
	noAfterCheck bool // don't check the lease after the answer
	freeAtOnce   bool // free the slot of a run that may still go on
	forgetLost   bool // forget the id of a run whose connection was lost
	anyContent   bool // answer an id with another request's answer
	silent       bool // raise nothing
}

// lastSeen is the newest sending that came from a host.
type lastSeen struct {
	incarnation uint64
	seq         uint64
}

// New returns a gate without a target.
func New(cfg Config) *Gate {
	return &Gate{
		cfg:    cfg,
		table:  charts.MustLoad("admission").MustCompile(states, events, actions),
		memory: idmemory.New(cfg.Memory),
		runs:   make(map[uint64]*job),
		seen:   make(map[host.ID]lastSeen),

		unacked: newUnacked(cfg.MaxUnacked),
		byRoute: make(map[string]*estimator),
	}
}

// Successor returns a gate for another target beside the same daemon. It knows
// what g knows of ids, sendings and answers, and goes on numbering runs, so
// that a change of the target's address forgets nothing. Both may be used by
// the same thread; g then only ends what it has.
func (g *Gate) Successor(cfg Config) *Gate {
	next := New(cfg)
	next.memory = g.memory
	next.seen = g.seen
	next.unacked = g.unacked
	next.run = g.run
	return next
}

// Counters returns the counts so far.
func (g *Gate) Counters() Counters {
	return g.counters
}

// Load is what a gate sees of its target's load, by its own count.
type Load struct {
	// Busy is the slots taken, of Slots that may be used now.
	Busy  int
	Slots int
	// Queued is the requests that wait for a slot.
	Queued int
	// Service is the mean service time; 0 before the first answer.
	Service time.Duration
	// Wait is how long a new normal request would wait.
	Wait time.Duration
}

// Load returns the target's load as the gate sees it.
func (g *Gate) Load(now mono.Time) Load {
	return Load{
		Busy:    g.slots,
		Slots:   g.usableSlots(now),
		Queued:  g.urgent.len() + g.normal.len(),
		Service: g.service.mean(),
		Wait:    g.expectedWait(now, request.Normal, now),
	}
}

// Tick handles what is due at now; nowMs is the wall clock in milliseconds
// since 1970. Call it at NextTick, or every few milliseconds.
func (g *Gate) Tick(now mono.Time, nowMs int64, out *Actions) {
	for {
		e, due := g.timers.PopDue(now)
		if !due {
			break
		}
		if e.Item.timer != e.ID {
			continue
		}
		e.Item.timer = 0
		g.due(now, e.Item, out)
	}
	g.memory.Expire(nowMs)
	g.endDrain(now, out)
	g.pump(now, out)
}

// NextTick returns when Tick has something to do at the earliest, and false
// if nothing is due ever.
func (g *Gate) NextTick() (mono.Time, bool) {
	at, ok := g.timers.Next()
	if g.urgent.len()+g.normal.len() == 0 {
		return at, ok
	}
	for _, t := range []mono.Time{g.target.pausedUntil, g.drainEnd()} {
		if t > 0 && (!ok || t < at) {
			at, ok = t, true
		}
	}
	return at, ok
}
