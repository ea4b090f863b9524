package daemon

import (
	"cmp"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/rhubarbring/rhubarbring/assignment"
	"github.com/rhubarbring/rhubarbring/document"
	"github.com/rhubarbring/rhubarbring/event"
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/internal/bootclock"
	"github.com/rhubarbring/rhubarbring/internal/peer"
	"github.com/rhubarbring/rhubarbring/internal/ring"
	"github.com/rhubarbring/rhubarbring/internal/wire"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/placement"
	"github.com/rhubarbring/rhubarbring/session"
	"github.com/rhubarbring/rhubarbring/spread"
)

const (
	spreadRingSize = 4096
	listPage       = 200
)

// spreadKinds are the kinds that daemons pass on, the same on all of them.
var spreadKinds = []spread.Kind{document.Kind, session.Kind, assignment.Kind, placement.LeaderKind}

// spreadDuty learns of documents, sessions, assignments and the leader, from
// the store if this daemon is its zone's relay and else from its peers, and
// hands them to the other duties.
type spreadDuty struct {
	d        *Daemon
	ring     *ring.Ring[spreadWork]
	core     *spread.Core
	interval time.Duration
	watches  map[spread.Kind]uint64 // number of the newest watch of a kind
	pacers   map[spread.Kind]*pacer
	// strangers are connections of daemons whose records are not known here.
	strangers map[host.Session]*peer.Conn
	adopted   adoption
	began     mono.Time
	heardAt   atomic.Int64 // mono.Time of the last message of another daemon.
	zone      zoneForce
	ready     atomic.Bool
	relay     atomic.Bool
	stop      chan struct{}
	done      sync.WaitGroup
}

// adoption is what one step put in force.
type adoption struct {
	records []session.Versioned
	deleted []host.Session
	packs   []packVersion
}

func newSpreadDuty(d *Daemon, seed uint64, registry metrics.Registry) *spreadDuty {
	cfg := spread.DefaultConfig()
	cfg.Self = d.self
	cfg.Zone = d.settings.Zone
	cfg.Kinds = spreadKinds
	cfg.Seed = seed
	cfg.Interval = cmp.Or(d.settings.Spread.Interval.Std(), cfg.Interval)
	cfg.SlowWatchWait = d.settings.Spread.SlowWatch.Std()
	cfg.SuspectAfter = cmp.Or(d.settings.Spread.SuspectAfter.Std(), cfg.SuspectAfter)
	cfg.Keep = func(k spread.Key) bool {
		return k.Kind != document.Kind || k.Name == d.settings.Environment
	}
	s := &spreadDuty{
		d:         d,
		interval:  cfg.Interval,
		began:     bootclock.Now(),
		ring:      ring.New[spreadWork]("spread", spreadRingSize, registry),
		core:      spread.New(cfg, bootclock.Now()),
		watches:   make(map[spread.Kind]uint64),
		pacers:    make(map[spread.Kind]*pacer),
		strangers: make(map[host.Session]*peer.Conn),
		stop:      make(chan struct{}),
	}
	s.heardAt.Store(int64(s.began))
	return s
}

func (s *spreadDuty) start() {
	s.done.Add(2)
	go s.run()
	go s.introduce()
	go s.watchDocument()
}

// close ends the duty. It does not wait for watches in the store: one that is
// under way takes seconds, hands nothing over any more, and would hold up the
// daemon's next session.
func (s *spreadDuty) close() {
	close(s.stop)
	s.done.Wait()
}

func (s *spreadDuty) run() {
	defer s.done.Done()
	tick := time.NewTicker(s.interval)
	defer tick.Stop()
	now := bootclock.Now()
	s.step(now, spread.Members{All: s.members()})
	s.step(now, spread.Tick{})
	for {
		select {
		case w := <-s.ring.Items():
			w.spreadWork(s, bootclock.Now())
		case <-tick.C:
			s.step(bootclock.Now(), spread.Tick{})
		case <-s.stop:
			return
		}
	}
}

// frame takes a message of another daemon.
func (s *spreadDuty) frame(from *peer.Conn, kind wire.Kind, payload []byte) error {
	received := func(m spread.Message) { s.ring.Push(spreadReceived{conn: from, message: m}) }
	switch kind {
	case wire.KindHave:
		return decoded(payload, func(m spread.Have) { received(&m) })
	case wire.KindAsk:
		return decoded(payload, func(m spread.Ask) { received(&m) })
	default:
		return decoded(payload, func(m spread.Objects) { received(&m) })
	}
}

func (s *spreadDuty) members() []spread.Member {
	members := []spread.Member{{Session: s.d.self, Zone: s.d.settings.Zone}}
	for id, v := range s.d.fleet.sessions.Load().records {
		if id != s.d.self && !v.Record.State.Final() {
			members = append(members, spread.Member{Session: id, Zone: v.Record.Place.Zone})
		}
	}
	return members
}

func (s *spreadDuty) step(now mono.Time, ev spread.Event) {
	for _, action := range s.core.Step(now, ev) {
		s.do(action)
	}
	s.publish()
	s.followForce(now)
	s.handOver(now)
}

// publish shows and logs whether the daemon is its zone's relay.
func (s *spreadDuty) publish() {
	relay := s.core.IsRelay()
	if s.relay.Swap(relay) == relay {
		return
	}
	id := event.RelayEnded
	if relay {
		id = event.RelayStarted
	}
	s.d.log.Event(id, "zone", string(s.d.settings.Zone))
}

func (s *spreadDuty) do(action spread.Action) {
	switch a := action.(type) {
	case spread.Send:
		s.send(a)
	case spread.Watch:
		s.watches[a.Kind]++
		go s.watch(a, s.watches[a.Kind], s.pace(a.Kind))
	case spread.Unwatch:
		s.watches[a.Kind]++
	case spread.List:
		go s.list(a)
	case spread.Adopt:
		s.adopt(a)
	case spread.Ready:
		s.ready.Store(true)
		s.d.fleet.introduced.Store(nil)
		s.d.log.Event(event.CaughtUp, "after_ms", bootclock.Now().Sub(s.began).Milliseconds(), "source", s.source())
		s.d.lease.wait(recordsSeen{})
	}
}

func (s *spreadDuty) send(a spread.Send) {
	frame, err := wire.Encode(messageKind(a.Message), a.Message)
	if err != nil {
		s.d.log.Event(event.BadFrame, "peer", a.To.String(), "cause", err.Error())
		return
	}
	if address := s.d.fleet.peerAddress(a.To); address != "" {
		_, _ = s.d.peers.Send(address, frame, 0)
		return
	}
	// A daemon that starts while the store is down has no record yet: it is
	// answered on the connection that it asked on.
	conn, ok := s.strangers[a.To]
	if ok && conn.Send(frame) != nil {
		delete(s.strangers, a.To)
	}
}

func messageKind(m spread.Message) wire.Kind {
	switch m.(type) {
	case *spread.Have:
		return wire.KindHave
	case *spread.Ask:
		return wire.KindAsk
	default:
		return wire.KindObjects
	}
}

// pace returns how long the next watch of a kind has to wait.
func (s *spreadDuty) pace(kind spread.Kind) time.Duration {
	p, ok := s.pacers[kind]
	if !ok {
		p = &pacer{rate: cmp.Or(s.d.settings.Spread.WatchRate, watchRate)}
		s.pacers[kind] = p
	}
	return p.delay(bootclock.Now())
}

// watch waits in the store, on a goroutine of its own.
func (s *spreadDuty) watch(a spread.Watch, number uint64, delay time.Duration) {
	select {
	case <-s.stop:
		return
	case <-time.After(delay):
	}
	changes, err := s.d.client.Watch(string(a.Kind), a.Revision, a.Wait)
	s.d.store.note("watch", string(a.Kind), err)
	s.ring.Wait(watchDone{watch: a, number: number, changes: changes, err: err}, s.stop)
}

func (s *spreadDuty) list(a spread.List) {
	page, err := s.d.client.List(string(a.Kind), a.After, listPage)
	s.d.store.note("list", string(a.Kind), err)
	s.ring.Wait(listDone{list: a, page: page, err: err}, s.stop)
}
