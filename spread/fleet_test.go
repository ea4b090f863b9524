package spread

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/mono"
)

const (
	docs     Kind = "document"
	sessions Kind = "session"
)

// fleet simulates daemons, network and store in virtual time.
type fleet struct {
	now   mono.Time
	rand  *rand.Rand
	queue callQueue
	seq   int
	nodes []*node
	store *fakeStore
	loss  float64
	// onStart, if set, is called for each core that starts. storeless is a
	// node that can't reach the store.
	onStart   func(*Core)
	configure func(*Config)
	storeless *node
	trace     func(*node, string)
	onSend    func(*node, Send)
	// unpaced has large messages of objects stand in one queue with all others.
	unpaced    bool
	violations []string
	// writersTell has half of the session records written by daemons.
	writersTell bool
	wrote       mono.Time
	// deadlinesChecked counts the documents whose bound was checked.
	deadlinesChecked int

	messages, bytes, storeCalls int
	sentBy                      map[host.ID]int
	encode                      bool
}

// node is a host and the daemon on it.
type node struct {
	session host.Session
	zone    host.Zone
	kinds   []Kind
	// old makes the node drop digests of another length, as builds before the fifth kind do.
	old   bool
	core  *Core
	alive bool
	// cutUntil is the time at which the isolation of the host ends.
	cutUntil mono.Time
	// storeless and peerless cut the node's way to the store and to all others;
	// lag delays what it sends.
	storeless bool
	peerless  bool
	lag       time.Duration
	// link is the capacity of the host's link in bytes per second, 0 for no bound, and
	// linkFree the time at which it has carried all that the host has sent.
	link     float64
	linkFree mono.Time
	// linkWait is the longest time that a message has taken to leave the host.
	linkWait time.Duration
	// bulkFree is linkFree for large messages of objects if they are paced.
	bulkFree   mono.Time
	caughtUpAt mono.Time
	calls      map[Kind]int
	// adopted holds the version of each object in force since the daemon's
	// last start, and highest the highest over all its starts.
	adopted map[Key]uint64
	highest map[Key]uint64
}

type scheduledCall struct {
	at  mono.Time
	seq int
	do  func()
}

type callQueue []scheduledCall

func (e callQueue) Len() int { return len(e) }
func (e callQueue) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e callQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *callQueue) Push(x any)   { *e = append(*e, x.(scheduledCall)) }
func (e *callQueue) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func newFleet(seed uint64, zones, perZone int) *fleet {
	return newFleetOf(seed, zones, perZone, func(*node, int, int) {})
}

// newFleetOf returns a fleet whose nodes are set up by prepare, given their zone
// and rank, before they start.
func newFleetOf(seed uint64, zones, perZone int, prepare func(n *node, zone, rank int)) *fleet {
	f := &fleet{rand: rand.New(rand.NewPCG(seed, 7)), sentBy: make(map[host.ID]int)}
	f.store = &fakeStore{fleet: f, objects: make(map[Key]Object), callsOf: make(map[Kind]int), contents: make(map[uint64]string)}
	for z := range zones {
		f.addZone(z, perZone)
		for i := range perZone {
			prepare(f.nodes[z*perZone+i], z, i)
		}
	}
	for _, n := range f.nodes {
		f.start(n)
	}
	f.announceMembers()
	return f
}

func (f *fleet) addZone(z, size int) {
	for i := range size {
		f.nodes = append(f.nodes, &node{
			session: host.Session{Host: host.ID(fmt.Sprintf("h%02d-%03d", z, i))},
			zone:    host.Zone(fmt.Sprintf("z%02d", z)),
			kinds:   []Kind{docs, sessions},
			highest: make(map[Key]uint64),
		})
	}
}

func (f *fleet) schedule(d time.Duration, do func()) {
	f.seq++
	heap.Push(&f.queue, scheduledCall{f.now.Add(d), f.seq, do})
}

func (f *fleet) run(d time.Duration) {
	end := f.now.Add(d)
	for len(f.queue) > 0 && !f.queue[0].at.After(end) {
		next := heap.Pop(&f.queue).(scheduledCall)
		f.now = next.at
		next.do()
	}
	f.now = end
}

func (f *fleet) start(n *node) {
	n.session.Incarnation++
	n.alive = true
	n.caughtUpAt = mono.Never
	n.adopted = make(map[Key]uint64)
	n.calls = make(map[Kind]int)
	cfg := DefaultConfig()
	cfg.Self, cfg.Zone, cfg.Seed = n.session, n.zone, f.rand.Uint64()
	cfg.Kinds = n.kinds
	if f.configure != nil {
		f.configure(&cfg)
	}
	n.core = New(cfg, f.now)
	if f.onStart != nil {
		f.onStart(n.core)
	}
	f.heartbeat(n, n.session.Incarnation, time.Duration(f.rand.Int64N(int64(cfg.Interval))))
}

func (f *fleet) heartbeat(n *node, incarnation uint64, in time.Duration) {
	f.schedule(in, func() {
		if !n.alive || n.session.Incarnation != incarnation {
			return
		}
		f.step(n, Tick{})
		f.heartbeat(n, incarnation, n.core.cfg.Interval)
	})
}

// announceMembers sends every live daemon the list of live daemons.
func (f *fleet) announceMembers() {
	all := f.living()
	for _, n := range f.nodes {
		if n.alive {
			f.step(n, Members{All: all})
		}
	}
}

func (f *fleet) living() []Member {
	var all []Member
	for _, n := range f.nodes {
		if n.alive {
			all = append(all, Member{n.session, n.zone})
		}
	}
	return all
}

// restart stops a daemon and starts it again after down. The others learn of
// its new session when it starts.
func (f *fleet) restart(n *node, down time.Duration) {
	if !n.alive {
		return
	}
	n.alive = false
	f.schedule(down, func() {
		f.start(n)
		f.announceMembers()
	})
}

func (f *fleet) step(n *node, ev Event) {
	for _, a := range n.core.Step(f.now, ev) {
		f.act(n, a)
	}
}

func (f *fleet) act(n *node, a Action) {
	if f.trace != nil {
		f.trace(n, describe(a))
	}
	switch a := a.(type) {
	case Send:
		f.send(n, a)
	case Watch:
		f.store.watch(n, a)
	case Unwatch:
		n.calls[a.Kind]++
	case List:
		f.store.list(n, a)
	case Adopt:
		f.adopt(n, a)
	case MembersRead:
		f.schedule(0, func() { f.step(n, Members{All: f.living(), Read: true}) })
	case CaughtUp:
		n.caughtUpAt = f.now
	}
}

func (f *fleet) adopt(n *node, a Adopt) {
	if a.Object.Base != 0 || !a.Object.Deleted && string(a.Object.Value) != f.store.content(a.Key, a.Object.Version) {
		f.violations = append(f.violations, fmt.Sprintf("%v: %s adopts a wrong value of version %d", f.now, n.session, a.Object.Version))
	}
	if a.Object.Version < n.highest[a.Key] {
		f.violations = append(f.violations, fmt.Sprintf("%v: %s goes back from %d to %d", f.now, n.session, n.highest[a.Key], a.Object.Version))
	}
	n.adopted[a.Key] = a.Object.Version
	n.highest[a.Key] = max(n.highest[a.Key], a.Object.Version)
}

const frameOverhead = 45 // bytes of frame, IP and TCP headers

func (f *fleet) send(n *node, a Send) {
	f.countSent(n, a)
	to := f.find(a.To)
	if to == nil || n.peerless || to.peerless || f.isIsolated(n) || f.rand.Float64() < f.loss {
		return
	}
	delay := time.Millisecond
	// Zones z00 to z09 form one region, z10 to z19 the next; between regions a
	// message takes 20 ms.
	if to.zone[:2] != n.zone[:2] {
		delay = 20 * time.Millisecond
	}
	wait, ok := f.useLink(n, a.Message)
	if !ok {
		return
	}
	delay += wait
	if f.loss > 0 && f.rand.Float64() < f.loss {
		delay += time.Duration(f.rand.Int64N(int64(3 * time.Second)))
	}
	f.schedule(delay+n.lag, func() {
		if to.alive && !f.isIsolated(to) && to.session == a.To {
			f.step(to, Received{n.session, to.accepted(a.Message)})
		}
	})
}

// countSent counts a message, whether or not it arrives.
func (f *fleet) countSent(n *node, a Send) {
	f.messages++
	if f.onSend != nil {
		f.onSend(n, a)
	}
	if f.encode {
		raw, err := cbor.Marshal(a.Message)
		if err != nil {
			panic(err)
		}
		f.bytes += len(raw) + frameOverhead
		f.sentBy[n.session.Host] += len(raw) + frameOverhead
	}
}

// accepted returns a message as the node's build takes it: an empty Digest, which
// only shows that its sender is alive, for one that an old build drops.
func (n *node) accepted(m Message) Message {
	if d, ok := m.(*Digest); ok && n.old && len(d.Revisions) != len(n.kinds) {
		return &Digest{}
	}
	return m
}

func (f *fleet) find(s host.Session) *node {
	zone, err1 := strconv.Atoi(string(s.Host[1:3]))
	i, err2 := strconv.Atoi(string(s.Host[4:]))
	if err1 != nil || err2 != nil {
		return nil
	}
	perZone := len(f.nodes)
	for k, n := range f.nodes {
		if n.zone != f.nodes[0].zone {
			perZone = k
			break
		}
	}
	return f.nodes[zone*perZone+i]
}

func (f *fleet) isIsolated(n *node) bool {
	return n.cutUntil.After(f.now)
}

// findBehind describes a caught-up daemon that doesn't have a version in force,
// although it has not been isolated since the version was written. It returns
// "" if there is none.
func (f *fleet) findBehind(k Key, version uint64, wrote mono.Time) string {
	for _, n := range f.nodes {
		if n.alive && !n.cutUntil.After(wrote) && n.caughtUpAt != mono.Never && n.adopted[k] < version {
			return fmt.Sprintf("%v: %s has version %d, not %d", f.now, n.session, n.adopted[k], version)
		}
	}
	return ""
}

func (f *fleet) countCaughtUp() int {
	count := 0
	for _, n := range f.nodes {
		if n.alive && n.caughtUpAt != mono.Never {
			count++
		}
	}
	return count
}
