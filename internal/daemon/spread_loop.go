package daemon

import (
	"cmp"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/rhubarbring/rhubarbring/assignment"
	"github.com/rhubarbring/rhubarbring/document"
	"github.com/rhubarbring/rhubarbring/evacuation"
	"github.com/rhubarbring/rhubarbring/event"
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/internal/bootclock"
	"github.com/rhubarbring/rhubarbring/internal/peer"
	"github.com/rhubarbring/rhubarbring/internal/ring"
	"github.com/rhubarbring/rhubarbring/internal/wire"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/placement"
	"github.com/rhubarbring/rhubarbring/quarantine"
	"github.com/rhubarbring/rhubarbring/session"
	"github.com/rhubarbring/rhubarbring/spread"
)

const (
	spreadRingSize = 4096
	listPage       = 200
	// documentReaders is how many daemons of a zone read documents from the store
	// if the settings ask for it. With two, a document arrives in time although
	// one of them is lost, cut off or slow.
	documentReaders = 2
)

// spreadKinds are the kinds of objects that daemons exchange, in an order that all
// builds share: a new kind is appended.
var spreadKinds = []spread.Kind{document.Kind, session.ObjectKind, assignment.Kind, placement.LeaderKind, quarantine.ObjectKind}

// spreadLoop receives documents, sessions, assignments and the leader from the
// store if this daemon is its zone's relay, and otherwise from its peers, and
// passes them to the other loops.
type spreadLoop struct {
	d             *Daemon
	ring          *ring.Ring[spreadTask]
	core          *spread.Core
	interval      time.Duration
	watches       map[spread.Kind]uint64 // number of the newest watch of each kind
	watchLimiters map[spread.Kind]*watchLimiter
	// unknownPeers holds connections of daemons whose session records are not
	// known here.
	unknownPeers map[host.Session]*peer.Conn
	adopted      adoptedObjects
	startedAt    mono.Time
	lastHeard    atomic.Int64 // mono.Time of the last message of another daemon.
	// documentRevision is the revision up to which every change of the document is known.
	documentRevision atomic.Uint64
	rollout          zoneRollout
	caughtUp         atomic.Bool
	isRelay          atomic.Bool
	stop             chan struct{}
	done             sync.WaitGroup
}

// adoptedObjects collects the objects that one step adopted.
type adoptedObjects struct {
	records []session.VersionedRecord
	deleted []host.Session
	packs   []packVersion
}

func newSpreadLoop(d *Daemon, seed uint64, registry metrics.Registry) *spreadLoop {
	cfg := spread.DefaultConfig()
	cfg.Self = d.self
	cfg.Zone = d.settings.Zone
	cfg.Kinds = kindsOf(d.settings)
	cfg.MembersKind = session.ObjectKind
	cfg.Seed = seed
	cfg.Interval = cmp.Or(d.settings.Spread.Interval.Std(), cfg.Interval)
	cfg.SlowWatchWait = d.settings.Spread.SlowWatchWait.Std()
	if d.settings.Spread.WatchDocument {
		cfg.DocumentReaders = documentReaders
	}
	cfg.SuspectAfter = cmp.Or(d.settings.Spread.SuspectAfter.Std(), cfg.SuspectAfter)
	cfg.Accept = func(k spread.Key) bool {
		return k.Kind != document.Kind || k.Name == d.settings.Environment
	}
	s := &spreadLoop{
		d:             d,
		interval:      cfg.Interval,
		startedAt:     bootclock.Now(),
		ring:          ring.New[spreadTask]("spread", spreadRingSize, registry),
		core:          spread.New(cfg, bootclock.Now()),
		watches:       make(map[spread.Kind]uint64),
		watchLimiters: make(map[spread.Kind]*watchLimiter),
		unknownPeers:  make(map[host.Session]*peer.Conn),
		stop:          make(chan struct{}),
	}
	s.lastHeard.Store(int64(s.startedAt))
	d.process.withEvacuations((*evacuation.Set).BeginSession)
	return s
}

func (s *spreadLoop) start() {
	s.done.Add(2)
	go s.run()
	go s.bootstrapFromPeers()
	go s.watchDocument()
}

// close ends the loop. It does not wait for pending watches: they take seconds
// and would delay the daemon's next session, and their results are no longer
// used.
func (s *spreadLoop) close() {
	close(s.stop)
	s.done.Wait()
}

func (s *spreadLoop) run() {
	defer s.done.Done()
	tick := time.NewTicker(s.interval)
	defer tick.Stop()
	now := bootclock.Now()
	s.step(now, spread.Members{All: s.members()})
	s.step(now, spread.Tick{})
	for {
		select {
		case w := <-s.ring.Items():
			w.handle(s, bootclock.Now())
		case <-tick.C:
			s.step(bootclock.Now(), spread.Tick{})
		case <-s.stop:
			return
		}
	}
}

// handleFrame decodes a message of another daemon and adds it to the ring.
func (s *spreadLoop) handleFrame(from *peer.Conn, kind wire.Kind, payload []byte) error {
	received := func(m spread.Message) { s.ring.Push(spreadReceived{conn: from, message: m}) }
	switch kind {
	case wire.KindDigest:
		return decodeFrame(payload, func(m spread.Digest) { received(&m) })
	case wire.KindChangesRequest:
		return decodeFrame(payload, func(m spread.ChangesRequest) { received(&m) })
	default:
		return decodeFrame(payload, func(m spread.Objects) { received(&m) })
	}
}

func (s *spreadLoop) members() []spread.Member {
	members := []spread.Member{{Session: s.d.self, Zone: s.d.settings.Zone}}
	for id, v := range s.d.fleet.sessions.Load().records {
		if id != s.d.self && !v.Record.State.Final() {
			members = append(members, spread.Member{Session: id, Zone: v.Record.Place.Zone})
		}
	}
	return members
}

func (s *spreadLoop) step(now mono.Time, ev spread.Event) {
	for _, action := range s.core.Step(now, ev) {
		s.execute(action)
	}
	s.publish()
	s.checkRollout(now)
	s.distribute(now)
}

// publish makes available up to where the document is known, and whether the daemon is
// its zone's relay, of which it logs changes.
func (s *spreadLoop) publish() {
	s.documentRevision.Store(s.core.Revision(document.Kind))
	relay := s.core.IsRelay()
	if s.isRelay.Swap(relay) == relay {
		return
	}
	id := event.RelayEnded
	if relay {
		id = event.RelayStarted
	}
	s.d.log.Event(id, "zone", string(s.d.settings.Zone))
}

func (s *spreadLoop) execute(action spread.Action) {
	switch a := action.(type) {
	case spread.Send:
		s.send(a)
	case spread.Watch:
		s.watches[a.Kind]++
		go s.watch(a, s.watches[a.Kind], s.watchDelay(a.Kind))
	case spread.Unwatch:
		s.watches[a.Kind]++
	case spread.List:
		go s.list(a)
	case spread.Adopt:
		s.adopt(a)
	case spread.MembersRead:
		s.membersRead(a)
	case spread.CaughtUp:
		s.evacuationsRead()
		s.caughtUp.Store(true)
		s.d.fleet.bootstrap.Store(nil)
		s.d.log.Event(event.CaughtUp, "after_ms", bootclock.Now().Sub(s.startedAt).Milliseconds(), "source", s.catchUpSource())
		s.d.lease.pushWait(recordsObserved{})
		s.reportMissingLeader()
	}
}

// reportMissingLeader tells the placement loop that there is no leader object, if
// the daemon has caught up without one. A claim is a conditional write, so that it
// does no harm if one has been written since.
func (s *spreadLoop) reportMissingLeader() {
	if _, found := s.core.Get(spread.Key{Kind: placement.LeaderKind, Name: placement.LeaderName}); !found {
		s.d.placement.pushWait(leaderChanged{})
	}
}

func (s *spreadLoop) send(a spread.Send) {
	frame, err := wire.Encode(messageKind(a.Message), a.Message)
	if err != nil {
		s.d.log.Event(event.BadFrame, "peer", a.To.String(), "cause", err.Error())
		return
	}
	if address := s.d.fleet.peerAddress(a.To); address != "" {
		_ = s.d.peers.SendBulk(address, frame)
		return
	}
	// A daemon that starts while the store is down has no record yet: the
	// answer goes out on the connection that its message came on.
	conn, ok := s.unknownPeers[a.To]
	if ok && conn.SendBulk(frame) != nil {
		delete(s.unknownPeers, a.To)
	}
}

func messageKind(m spread.Message) wire.Kind {
	switch m.(type) {
	case *spread.Digest:
		return wire.KindDigest
	case *spread.ChangesRequest:
		return wire.KindChangesRequest
	default:
		return wire.KindObjects
	}
}

// watchDelay returns how long the next watch of a kind must wait.
func (s *spreadLoop) watchDelay(kind spread.Kind) time.Duration {
	p, ok := s.watchLimiters[kind]
	if !ok {
		p = &watchLimiter{}
		s.watchLimiters[kind] = p
	}
	p.rate = s.watchRateOf(kind)
	return p.reserve(bootclock.Now())
}

// watchRateOf returns how many watches of a kind may follow each other in a second.
func (s *spreadLoop) watchRateOf(kind spread.Kind) float64 {
	switch {
	case kind == document.Kind, kind == evacuation.ObjectKind:
		return cmp.Or(s.d.settings.Spread.WatchesPerSecond, watchRate)
	case kind == session.ObjectKind && s.d.fleet.isLarge():
		return recordWatchRate
	}
	return writtenWatchRate
}

// watch runs one watch of the store, after a delay. It runs on its own
// goroutine.
func (s *spreadLoop) watch(a spread.Watch, number uint64, delay time.Duration) {
	select {
	case <-s.stop:
		return
	case <-time.After(delay):
	}
	changes, err := s.d.client.Watch(string(a.Kind), a.Revision, a.Wait)
	s.d.store.recordResult("watch", string(a.Kind), err)
	s.ring.PushWait(watchDone{watch: a, number: number, changes: changes, err: err}, s.stop)
}

func (s *spreadLoop) list(a spread.List) {
	page, err := s.d.client.List(string(a.Kind), a.After, listPage)
	s.d.store.recordResult("list", string(a.Kind), err)
	s.ring.PushWait(listDone{list: a, page: page, err: err}, s.stop)
}
