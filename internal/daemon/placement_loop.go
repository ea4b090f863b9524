package daemon

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/rhubarbring/rhubarbring/assignment"
	"github.com/rhubarbring/rhubarbring/event"
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/internal/bootclock"
	"github.com/rhubarbring/rhubarbring/internal/eventlog"
	"github.com/rhubarbring/rhubarbring/internal/objectstore"
	"github.com/rhubarbring/rhubarbring/internal/peer"
	"github.com/rhubarbring/rhubarbring/internal/ring"
	"github.com/rhubarbring/rhubarbring/internal/wire"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/placement"
	"github.com/rhubarbring/rhubarbring/session"
)

const (
	placementRingSize = 4096
	placementTick     = 200 * time.Millisecond
	// earlyTickDelay is how soon a planning round follows a release or the
	// drain or end of a session, because slices are waiting for their next
	// owner. Events that arrive within the delay share the round.
	earlyTickDelay = 5 * time.Millisecond
	syncPageSize   = 500
	// syncRetryDelay is the pause before a failed sync is repeated.
	syncRetryDelay = time.Second
)

// placementTask is a unit of work for the placement loop.
type placementTask interface {
	handle(p *placementLoop, now mono.Time)
}

// placementLoop runs the placement core. Every daemon has one; it plans only
// while its daemon is the leader. It also sends the daemon's own releases and
// load reports to the current leader.
type placementLoop struct {
	self   host.Session
	fleet  *fleet
	peers  *peer.Transport
	store  *storeExecutor
	client objectstore.Store
	log    *eventlog.Log
	ring   *ring.Ring[placementTask]
	core   *placement.Core
	// assignedSessions returns the sessions that the daemon's map of owners
	// contains.
	assignedSessions func() (map[host.Session]bool, error)
	sweeper          sweeper
	storeHealth      storeHealth
	leaderReach      leaderReach
	earlyTickPending bool // An early tick is scheduled.
	// leader and leads make the current leader available to the other loops.
	leader atomic.Pointer[placement.Leader]
	leads  atomic.Bool
	stop   chan struct{}
	done   sync.WaitGroup
}

func newPlacementLoop(d *Daemon, seed uint64, registry metrics.Registry) *placementLoop {
	return &placementLoop{
		self:    d.self,
		fleet:   d.fleet,
		peers:   d.peers,
		store:   d.store,
		client:  d.client,
		log:     d.log,
		ring:    ring.New[placementTask]("placement", placementRingSize, registry),
		core:    placement.New(placementConfig(d, seed)),
		sweeper: sweeper{finalSince: make(map[host.Session]mono.Time)},
		stop:    make(chan struct{}),
	}
}

func placementConfig(d *Daemon, seed uint64) placement.Config {
	s := d.settings.Placement
	return placement.Config{
		Self:               d.self,
		Seed:               seed,
		BalanceInterval:    s.RebalanceInterval.Std(),
		MoveCooldown:       s.MoveCooldown.Std(),
		WarmUp:             s.WarmUp.Std(),
		StartupClaimJitter: s.StartupClaimJitter.Std(),
		LeaderReadDelay:    leaderReadDelay,
	}
}

// leaderReadDelay is how long a daemon that starts waits to learn of the leader
// object from the store or its peers as part of catching up. It takes less than a
// second.
const leaderReadDelay = time.Second

func (p *placementLoop) start() {
	p.done.Add(1)
	go p.run()
}

func (p *placementLoop) close() {
	close(p.stop)
	p.done.Wait()
}

// push adds a task. Releases and load reports that find the ring full are
// dropped; their senders send again.
func (p *placementLoop) push(w placementTask) {
	p.ring.Push(w)
}

// pushWait adds a task that must not be dropped. It waits if the ring is full.
func (p *placementLoop) pushWait(w placementTask) {
	p.ring.PushWait(w, p.stop)
}

func (p *placementLoop) run() {
	defer p.done.Done()
	tick := time.NewTicker(placementTick)
	defer tick.Stop()
	for {
		select {
		case w := <-p.ring.Items():
			w.handle(p, bootclock.Now())
		case <-tick.C:
			now := bootclock.Now()
			p.step(now, placement.Tick{})
			p.sweep(now)
			p.notifyUnwritable(now)
			p.retryLeader(now)
		case <-p.stop:
			return
		}
	}
}

func (p *placementLoop) step(now mono.Time, ev placement.Event) {
	for _, action := range p.core.Step(now, ev) {
		p.execute(action)
	}
	p.publish(now)
}

func (p *placementLoop) publish(now mono.Time) {
	p.leads.Store(p.core.IsLeader())
	leader, ok := p.core.Leader()
	if old := p.leader.Load(); ok && (old == nil || *old != leader) {
		p.leader.Store(&leader)
		p.leaderReach.reset(now, leader)
	}
}

func (p *placementLoop) execute(action placement.Action) {
	switch a := action.(type) {
	case placement.Write:
		p.write(a)
	case placement.Read:
		p.read(a)
	case placement.Sync:
		go p.sync()
	case placement.PackApplied:
		p.logApplied(a)
	case placement.LeadershipChanged:
		p.logLeadership(a)
	}
}

func (p *placementLoop) logLeadership(a placement.LeadershipChanged) {
	id := event.LeadershipLost
	if a.Leads {
		id = event.LeadershipWon
	}
	p.log.Event(id, "term", a.Term)
}

func (p *placementLoop) write(a placement.Write) {
	p.store.enqueue(storeCall{
		op: opPut, kind: a.Kind, name: a.Name, ifVersion: a.IfVersion, value: a.Value,
		done: func(answer storeAnswer) { p.pushWait(placementPutDone{write: a, answer: answer}) },
	})
}

func (p *placementLoop) read(a placement.Read) {
	p.store.enqueue(storeCall{
		op: opGet, kind: a.Kind, name: a.Name,
		done: func(answer storeAnswer) { p.pushWait(placementGetDone{read: a, answer: answer}) },
	})
}

// logApplied logs the placement decisions of a write that took effect, one line
// for each move.
func (p *placementLoop) logApplied(a placement.PackApplied) {
	p.log.Event(event.PackApplied, "name", a.Name, "version", a.Version, "moves", len(a.Moves))
	for _, m := range a.Moves {
		p.logMove(m)
	}
}

func (p *placementLoop) logMove(m placement.Move) {
	slice, reason := m.Slice.String(), m.Reason.String()
	switch {
	case m.Reason == placement.HotKey:
		p.log.Event(event.KeyCarvedOut, "slice", slice, "owner", m.To.String(), "epoch", m.Epoch)
	case m.Reason == placement.KeyMerged:
		p.log.Event(event.KeyMerged, "slice", slice, "owner", m.To.String(), "epoch", m.Epoch)
	case m.ChangesOwner():
		p.log.Event(event.SliceAssigned, "slice", slice, "reason", reason, "from", m.From.String(), "to", m.To.String(), "epoch", m.Epoch)
	case m.Next.IsZero():
		p.log.Event(event.HandoverDropped, "slice", slice, "reason", reason, "owner", m.To.String(), "epoch", m.Epoch)
	default:
		p.log.Event(event.HandoverNamed, "slice", slice, "reason", reason, "from", m.From.String(), "next", m.Next.String(), "epoch", m.Epoch)
	}
}

// sync reads all session records and packs from the store and passes them to
// the loop. It runs on its own goroutine.
func (p *placementLoop) sync() {
	for {
		sessions, err := listAll(p.client, session.ObjectKind)
		if err == nil {
			var packs []objectstore.Object
			packs, err = listAll(p.client, assignment.Kind)
			if err == nil {
				p.pushWait(storeSynced{sessions: sessions, packs: packs})
				return
			}
		}
		p.store.recordResult("list", "placement", err)
		select {
		case <-p.stop:
			return
		case <-time.After(syncRetryDelay):
		}
	}
}

func listAll(client objectstore.Store, kind string) ([]objectstore.Object, error) {
	var all []objectstore.Object
	after := ""
	for {
		page, err := client.List(kind, after, syncPageSize)
		if err != nil {
			return nil, err
		}
		all = append(all, page.Items...)
		if page.Next == "" {
			return all, nil
		}
		after = page.Next
	}
}

// sendToLeader sends a release or a load report to the leader, or passes the
// equivalent event to its own core if this daemon is the leader.
func (p *placementLoop) sendToLeader(now mono.Time, kind wire.Kind, message any, localEvent placement.Event) {
	leader, ok := p.core.Leader()
	if !ok {
		return
	}
	if leader.Session == p.self {
		p.step(now, localEvent)
		return
	}
	frame, err := wire.Encode(kind, message)
	if err != nil {
		return
	}
	address := p.fleet.peerAddress(leader.Session)
	if address == "" {
		return
	}
	// A lost message is sent again by its source. A leader that stays
	// unreachable is replaced.
	if conn, err := p.peers.Send(address, frame, 0); err != nil || !conn.IsOpen() {
		p.leaderReach.recordAttempt(now, false)
	}
}
