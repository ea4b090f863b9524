package spread

import (
	"math/rand/v2"
	"time"

	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/mono"
)

// Config sets up a Core.
type Config struct {
	// Self and Zone are this daemon's.
	Self host.Session
	Zone host.Zone
	// Kinds lists the kinds that are spread, the same and in the same order
	// on every daemon. The first is the document's: its objects come into
	// force at the relay only when another daemon holds them too.
	Kinds []Kind
	// Keep says which objects of a kind are kept; nil keeps all.
	Keep func(Key) bool
	// Differ writes differences; nil is Blocks.
	Differ Differ
	// Interval is the time between Ticks.
	Interval time.Duration
	// SuspectAfter without an answer, a parent is passed over for
	// SuspectFor.
	SuspectAfter time.Duration
	SuspectFor   time.Duration
	// WatchWait is the longest that a watch waits in the store.
	WatchWait time.Duration
	// SlowWatchWait takes the place of WatchWait for all kinds but the first:
	// one kind's answers tell that the store is there. 0 is WatchWait.
	SlowWatchWait time.Duration
	// RelayFor is how long a relay calls itself one after an answer of the
	// store; it is longer than WatchWait. When the zone's first member
	// doesn't for two Intervals, the second watches the store too.
	RelayFor time.Duration
	// FreshFor is how old a daemon's news of the store may be for others to
	// start from it alone.
	FreshFor time.Duration
	// Fanout is the number of children of a daemon in the tree.
	Fanout int
	// MessageBytes bounds the objects of one message, unless a single
	// object is larger. PushBytes bounds those sent unasked.
	MessageBytes int
	PushBytes    int
	// JoinPeers is how many daemons that have caught up a starting daemon
	// hears while the store can't be reached. After JoinPatience one will do.
	JoinPeers    int
	JoinPatience time.Duration
	// Seed starts the random choices.
	Seed uint64
}

// DefaultConfig returns the usual settings but for Self, Zone, Kinds and Seed.
func DefaultConfig() Config {
	return Config{
		Interval:     time.Second,
		SuspectAfter: 3 * time.Second,
		SuspectFor:   10 * time.Second,
		WatchWait:    2 * time.Second,
		RelayFor:     3 * time.Second,
		FreshFor:     5 * time.Second,
		Fanout:       8,
		MessageBytes: 32 << 10,
		PushBytes:    4 << 10,
		JoinPeers:    3,
		JoinPatience: 10 * time.Second,
	}
}

// neverAge is the StoreAge of a daemon that has no news of the store.
const neverAge = 1<<32 - 1

// Core holds what a daemon knows and decides what it passes on. It is not
// safe for concurrent use.
type Core struct {
	cfg       Config
	tree      tree
	shelves   []*shelf
	relays    []*relay
	neighbors map[host.Session]*neighbor
	rand      *rand.Rand
	out       []Action
	skip      skips

	started   mono.Time
	ready     bool
	held      []heldObject
	storeSeen mono.Time
	answered  mono.Time
	asked     []mono.Time
	wholeNext []bool
	cursors   []cursor
	ticks     int
	waiting   host.Session
	waitSince mono.Time
}

// neighbor is a daemon that this one has heard from: what it said last, when
// it was last a relay that the store answers, and up to which revisions it
// was sent changes.
type neighbor struct {
	heard   mono.Time
	child   bool
	ready   bool
	fresh   bool
	relayed mono.Time
	have    []uint64
	sent    []uint64
	hosts   uint32
	inForce uint64
}

// skips drops guards, so that a test can show that it notices.
type skips struct {
	hold bool
	join bool
	// compare drops the comparison of revisions at heartbeats.
	compare bool
}

// New returns the core of a daemon that starts now and knows nothing.
func New(cfg Config, now mono.Time) *Core {
	if cfg.Differ == nil {
		cfg.Differ = Blocks{}
	}
	c := &Core{
		cfg:       cfg,
		tree:      tree{self: cfg.Self, zone: cfg.Zone, fanout: cfg.Fanout, suspects: make(map[host.Session]mono.Time)},
		neighbors: make(map[host.Session]*neighbor),
		rand:      rand.New(rand.NewPCG(cfg.Seed, 0)),
		started:   now,
		storeSeen: mono.Never,
		answered:  mono.Never,
		asked:     make([]mono.Time, len(cfg.Kinds)),
		wholeNext: make([]bool, len(cfg.Kinds)),
		cursors:   make([]cursor, len(cfg.Kinds)),
	}
	for i, kind := range cfg.Kinds {
		c.shelves = append(c.shelves, newShelf(kind, cfg.Differ))
		c.relays = append(c.relays, newRelay())
		c.asked[i] = mono.Never
	}
	return c
}

// Step takes an event and returns what to do, in order. The slice is valid
// until the next Step.
func (c *Core) Step(now mono.Time, ev Event) []Action {
	c.out = c.out[:0]
	switch ev := ev.(type) {
	case Tick:
		c.tick(now)
	case Members:
		c.tree.set(ev.All)
		c.lead(now)
	case Received:
		c.receive(now, ev)
	case Watched:
		c.watched(now, ev)
	case Listed:
		c.listed(now, ev)
	case StoreFailed:
		c.storeFailed(ev)
	}
	return c.out
}

// Get returns the newest known version of an object, also before it is in
// force, and whether there is one.
func (c *Core) Get(k Key) (Object, bool) {
	i := c.kindIndex(k.Kind)
	if i < 0 {
		return Object{}, false
	}
	e := c.shelves[i].objects[k.Name]
	if e == nil || e.object.Deleted {
		return Object{}, false
	}
	return e.object, true
}

// Revision returns the revision up to which every change of a kind is known.
func (c *Core) Revision(kind Kind) uint64 {
	i := c.kindIndex(kind)
	if i < 0 {
		return 0
	}
	return c.shelves[i].revision
}

// IsReady reports whether the daemon has caught up since it started.
func (c *Core) IsReady() bool {
	return c.ready
}

// IsRelay reports whether the daemon watches the store.
func (c *Core) IsRelay() bool {
	return c.relays[0].state != off
}

// View is what a daemon knows of those at and below it in the tree; at the
// relay these are all of the zone.
type View struct {
	// Hosts counts them.
	Hosts int
	// InForce is the revision of the first kind that all have in force.
	InForce uint64
}

// View returns what the daemon knows of those at and below it.
func (c *Core) View(now mono.Time) View {
	v := View{Hosts: 1, InForce: c.inForce()}
	for _, n := range c.neighbors {
		if n.child && c.recent(now, n) {
			v.Hosts += int(n.hosts)
			v.InForce = min(v.InForce, n.inForce)
		}
	}
	return v
}

// inForce returns the revision of the first kind that this daemon has in
// force.
func (c *Core) inForce() uint64 {
	if !c.ready {
		return 0
	}
	revision := c.shelves[0].revision
	for _, h := range c.held {
		revision = min(revision, h.object.Version-1)
	}
	return revision
}

func (c *Core) recent(now mono.Time, n *neighbor) bool {
	return now.Sub(n.heard) < c.cfg.SuspectAfter
}

func (c *Core) kindIndex(kind Kind) int {
	for i, k := range c.cfg.Kinds {
		if k == kind {
			return i
		}
	}
	return -1
}

func (c *Core) do(a Action) {
	c.out = append(c.out, a)
}

func (c *Core) send(to host.Session, m Message) {
	if to != c.cfg.Self && !to.IsNobody() {
		c.do(Send{To: to, Message: m})
	}
}
