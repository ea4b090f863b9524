package spread

import (
	"math/rand/v2"
	"time"

	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/mono"
)

// Config holds the settings of a Core.
type Config struct {
	// Self and Zone identify this daemon and its availability zone.
	Self host.Session
	Zone host.Zone
	// Kinds lists the replicated kinds. It must be in the same order on every
	// daemon, because messages name a kind by its position. A newer build may
	// append kinds.
	// The first is the document's: the relay puts its objects in force only
	// once another daemon holds them too, or after maxStagingTime.
	Kinds []Kind
	// MembersKind is the kind that tells of the members. A daemon that starts reads
	// it and the first kind first: one that ranks behind another of its zone gets the other kinds from
	// peers, and reads them itself only after JoinReadAfter. If it is empty, all
	// kinds are read at once.
	MembersKind   Kind
	JoinReadAfter time.Duration
	// Accept reports whether an object is to be kept; nil keeps all.
	Accept func(Key) bool
	// Differ encodes and applies differences; nil means Blocks.
	Differ Differ
	// Interval is the time between Ticks.
	Interval time.Duration
	// SuspectAfter is how long a parent may be silent before this daemon
	// passes over it for SuspectFor.
	SuspectAfter time.Duration
	SuspectFor   time.Duration
	// WatchWait is the longest time that a watch waits in the store.
	WatchWait time.Duration
	// SlowWatchWait replaces WatchWait for all kinds but the first: the
	// answers for one kind are enough to tell that the store is reachable.
	// 0 means WatchWait.
	SlowWatchWait time.Duration
	// DocumentReaders is how many members of a zone watch the first kind in the
	// store: the relay and those after it by rank, which get a version although
	// the relay is lost, cut off or slow. They announce it to the whole zone. 0
	// and 1 mean the relay alone, without announcements.
	DocumentReaders int
	// ReaderWatchWait is the longest time that a watch of a reader other than the
	// relay waits in the store.
	ReaderWatchWait time.Duration
	// RelayTimeout is how long after an answer of the store a daemon announces
	// itself as relay. It must be longer than WatchWait. When the zone's
	// first member has not announced itself for two Intervals, the second
	// member watches the store too.
	RelayTimeout time.Duration
	// MaxStoreAge bounds the age of a parent's information from the store. A
	// starting daemon may catch up from its parent alone while that
	// information is younger.
	MaxStoreAge time.Duration
	// Fanout is the largest number of children of a daemon in the tree.
	Fanout int
	// MessageBytes bounds the size of the objects in one message. It is
	// exceeded by a single larger object and by deletions that share a
	// version. PushBytes bounds the size of objects that are pushed to
	// children without a request.
	MessageBytes int
	PushBytes    int
	// JoinPeers is how many caught-up daemons a starting daemon must have
	// heard from to catch up without the store and without a parent whose
	// information is fresh. After JoinFallbackAfter one is enough.
	JoinPeers         int
	JoinFallbackAfter time.Duration
	// Seed seeds the random choices.
	Seed uint64
}

// DefaultConfig returns the default settings, without Self, Zone, Kinds and
// Seed.
func DefaultConfig() Config {
	return Config{
		Interval:          time.Second,
		SuspectAfter:      3 * time.Second,
		SuspectFor:        10 * time.Second,
		WatchWait:         2 * time.Second,
		ReaderWatchWait:   25 * time.Second,
		RelayTimeout:      3 * time.Second,
		MaxStoreAge:       5 * time.Second,
		Fanout:            8,
		MessageBytes:      32 << 10,
		PushBytes:         4 << 10,
		JoinPeers:         3,
		JoinReadAfter:     400 * time.Millisecond,
		JoinFallbackAfter: 10 * time.Second,
	}
}

// unknownStoreAge is the StoreAge of a daemon that has no information from
// the store.
const unknownStoreAge = 1<<32 - 1

// Core holds the objects that a daemon knows and decides what it sends to
// others. It does no input or output and is not safe for concurrent use.
type Core struct {
	cfg       Config
	tree      tree
	states    []*kindState
	watches   []*storeWatch
	neighbors map[host.Session]*neighbor
	rand      *rand.Rand
	out       []Action
	disabled  disabledChecks

	started  mono.Time
	caughtUp bool
	// membersPassed reports that the members have been read from the store and
	// passed on since the start, and membersRead that they have come back.
	membersPassed bool
	membersRead   bool
	// relay reports that this daemon is to watch all kinds in the store.
	relay bool
	// announceUntil is until when a new version of the first kind is announced.
	announceUntil mono.Time
	// staged lists the versions of the first kind that wait to be put in force.
	staged []stagedObject
	// storeSeen is when the newest information known here left the store, and
	// storeAnswered when the store last answered a watch of this daemon.
	storeSeen     mono.Time
	storeAnswered mono.Time
	// awaited is the revision of the first kind that another daemon told of and that was
	// not known here, and awaitedFrom when it did, or mono.Never.
	awaited     uint64
	awaitedFrom mono.Time
	// askedAt, askedOf, needWhole and cursors hold for each kind the time and the
	// receiver of the unanswered ChangesRequest, whether the next ChangesRequest must ask for
	// full values, and the snapshot in progress.
	askedAt   []mono.Time
	askedOf   []host.Session
	needWhole []bool
	cursors   []cursor
	ticks     int
	// awaitedParent is the parent as of the last Tick, and awaitedSince the
	// time since which it has been the parent.
	awaitedParent host.Session
	awaitedSince  mono.Time
}

// neighbor is a daemon that this one has heard from: what it reported last,
// when it last announced itself as relay (relaySeen), and for each kind the
// revision up to which it knows (revisions) or was sent (sentTo) every change, and
// that of this daemon which it was told of last (told).
// It reported the first kinds of the list only, and its revision of the others
// is 0; kinds is 0 before its first Digest.
type neighbor struct {
	kinds     int
	heard     mono.Time
	child     bool
	caughtUp  bool
	fresh     bool
	relaySeen mono.Time
	revisions []uint64
	sentTo    []uint64
	told      []uint64
	hosts     uint32
	inForce   uint64
}

func newNeighbor(kinds int) *neighbor {
	return &neighbor{
		relaySeen: mono.Never,
		revisions: make([]uint64, kinds),
		sentTo:    make([]uint64, kinds),
		told:      make([]uint64, kinds),
	}
}

// has reports whether the neighbor reported a revision of a kind.
func (n *neighbor) has(i int) bool {
	return i < n.kinds
}

// disabledChecks turns off checks, so that tests can show that faults follow
// without them.
type disabledChecks struct {
	staging bool
	join    bool
	// compare turns off the comparison of revisions at heartbeats.
	compare bool
}

// New returns the Core of a daemon that starts now and knows no objects.
func New(cfg Config, now mono.Time) *Core {
	if cfg.Differ == nil {
		cfg.Differ = Blocks{}
	}
	c := &Core{
		cfg:           cfg,
		tree:          tree{self: cfg.Self, zone: cfg.Zone, fanout: cfg.Fanout, suspects: make(map[host.Session]mono.Time)},
		neighbors:     make(map[host.Session]*neighbor),
		rand:          rand.New(rand.NewPCG(cfg.Seed, 0)),
		started:       now,
		storeSeen:     mono.Never,
		storeAnswered: mono.Never,
		announceUntil: mono.Never,
		awaitedFrom:   mono.Never,
		askedAt:       make([]mono.Time, len(cfg.Kinds)),
		askedOf:       make([]host.Session, len(cfg.Kinds)),
		needWhole:     make([]bool, len(cfg.Kinds)),
		cursors:       make([]cursor, len(cfg.Kinds)),
	}
	for i, kind := range cfg.Kinds {
		c.states = append(c.states, newKindState(kind, cfg.Differ))
		c.watches = append(c.watches, newStoreWatch())
		c.askedAt[i] = mono.Never
	}
	return c
}

// Step handles an event and returns the actions to perform, in order. The
// returned slice is valid until the next call of Step.
func (c *Core) Step(now mono.Time, ev Event) []Action {
	c.out = c.out[:0]
	switch ev := ev.(type) {
	case Tick:
		c.tick(now)
	case Members:
		c.tree.set(ev.All)
		c.joinMembers(now, ev.Read)
		c.updateRelayRole(now)
	case Received:
		c.receive(now, ev)
	case Watched:
		c.watched(now, ev)
	case Listed:
		c.listed(now, ev)
	case StoreFailed:
		c.storeFailed(now, ev)
	case Written:
		c.written(now, ev)
	}
	return c.out
}

// Get returns the newest known version of an object, even if it is not yet in
// force, and whether the object exists.
func (c *Core) Get(k Key) (Object, bool) {
	i := c.kindIndex(k.Kind)
	if i < 0 {
		return Object{}, false
	}
	e := c.states[i].objects[k.Name]
	if e == nil || e.object.Deleted {
		return Object{}, false
	}
	return e.object, true
}

// Revision returns the revision up to which every change of a kind is known,
// or 0 if the kind is not replicated.
func (c *Core) Revision(kind Kind) uint64 {
	i := c.kindIndex(kind)
	if i < 0 {
		return 0
	}
	return c.states[i].revision
}

// IsCaughtUp reports whether the daemon has caught up since it started.
func (c *Core) IsCaughtUp() bool {
	return c.caughtUp
}

// IsRelay reports whether the daemon watches all kinds in the store or is to try
// again after a failed call.
func (c *Core) IsRelay() bool {
	return c.relay
}

// View summarizes the daemons at and below one in the tree. The relay is the
// root, so its View covers its whole zone.
type View struct {
	// Hosts is the number of these daemons, this one included.
	Hosts int
	// InForce is the revision of the first kind up to which all of them have
	// every version in force.
	InForce uint64
}

// View returns the summary of the daemons at and below this one. Children not
// heard from within Config.SuspectAfter are left out.
func (c *Core) View(now mono.Time) View {
	v := View{Hosts: 1, InForce: c.inForce()}
	for _, n := range c.neighbors {
		if n.child && c.heardRecently(now, n) {
			v.Hosts += int(n.hosts)
			v.InForce = min(v.InForce, n.inForce)
		}
	}
	return v
}

// inForce returns the revision of the first kind up to which this daemon has
// every version in force, or 0 before it has caught up.
func (c *Core) inForce() uint64 {
	if !c.caughtUp {
		return 0
	}
	revision := c.states[0].revision
	for _, s := range c.staged {
		revision = min(revision, s.object.Version-1)
	}
	return revision
}

func (c *Core) heardRecently(now mono.Time, n *neighbor) bool {
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

func (c *Core) emit(a Action) {
	c.out = append(c.out, a)
}

func (c *Core) send(to host.Session, m Message) {
	if to != c.cfg.Self && !to.IsZero() {
		c.emit(Send{To: to, Message: m})
	}
}
