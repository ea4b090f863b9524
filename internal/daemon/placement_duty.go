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
	// earlyTick is how soon a round follows a release or the end of a
	// session: slices wait for it. What comes meanwhile shares the round.
	earlyTick = 5 * time.Millisecond
	syncPage  = 500
	// syncRetry is the pause before a sync that failed is tried again.
	syncRetry = time.Second
)

// placementWork is something for the placement duty to do.
type placementWork interface {
	placementWork(p *placementDuty, now mono.Time)
}

// placementDuty runs the placement core. Every daemon has one; it plans only
// while its daemon leads. It also takes the daemon's own releases and loads
// to whoever leads.
type placementDuty struct {
	self   host.Session
	fleet  *fleet
	peers  *peer.Transport
	store  *storeDuty
	client objectstore.Store
	log    *eventlog.Log
	ring   *ring.Ring[placementWork]
	core   *placement.Core
	// onPack is told of each pack that a write of this daemon put in place,
	// so that new owners need not wait for the watch.
	onPack func(name string, version uint64, value []byte)
	// named returns the sessions that the daemon's map of owners names.
	named   func() (map[host.Session]bool, error)
	sweeper sweeper
	health  storeHealth
	reach   leaderReach
	early   bool              // An early tick is under way.
	values  map[string][]byte // values of writes under way, by token
	// leader and leads show the other duties who leads.
	leader atomic.Pointer[placement.Leader]
	leads  atomic.Bool
	stop   chan struct{}
	done   sync.WaitGroup
}

func newPlacementDuty(d *Daemon, seed uint64, registry metrics.Registry) *placementDuty {
	return &placementDuty{
		self:    d.self,
		fleet:   d.fleet,
		peers:   d.peers,
		store:   d.store,
		client:  d.client,
		log:     d.log,
		ring:    ring.New[placementWork]("placement", placementRingSize, registry),
		core:    placement.New(placementConfig(d, seed)),
		values:  make(map[string][]byte),
		sweeper: sweeper{final: make(map[host.Session]mono.Time)},
		stop:    make(chan struct{}),
	}
}

func placementConfig(d *Daemon, seed uint64) placement.Config {
	s := d.settings.Placement
	return placement.Config{
		Self:            d.self,
		Seed:            seed,
		BalanceInterval: s.RoundEvery.Std(),
		Settle:          s.Settle.Std(),
		WarmUp:          s.WarmUp.Std(),
		YoungSpread:     s.ClaimSpread.Std(),
	}
}

func (p *placementDuty) start() {
	p.done.Add(1)
	go p.run()
}

func (p *placementDuty) close() {
	close(p.stop)
	p.done.Wait()
}

// push hands work over. Releases and loads that find the ring full are told
// again by their senders.
func (p *placementDuty) push(w placementWork) {
	p.ring.Push(w)
}

// wait hands over what must not be lost.
func (p *placementDuty) wait(w placementWork) {
	p.ring.Wait(w, p.stop)
}

func (p *placementDuty) run() {
	defer p.done.Done()
	tick := time.NewTicker(placementTick)
	defer tick.Stop()
	for {
		select {
		case w := <-p.ring.Items():
			w.placementWork(p, bootclock.Now())
		case <-tick.C:
			now := bootclock.Now()
			p.step(now, placement.Tick{})
			p.sweep(now)
			p.tellStuck(now)
			p.reachLeader(now)
		case <-p.stop:
			return
		}
	}
}

func (p *placementDuty) step(now mono.Time, ev placement.Event) {
	for _, action := range p.core.Step(now, ev) {
		p.do(action)
	}
	p.publish(now)
}

func (p *placementDuty) publish(now mono.Time) {
	p.leads.Store(p.core.Leads())
	leader, ok := p.core.Leader()
	if old := p.leader.Load(); ok && (old == nil || *old != leader) {
		p.leader.Store(&leader)
		p.reach.follow(now, leader)
	}
}

func (p *placementDuty) do(action placement.Action) {
	switch a := action.(type) {
	case placement.Write:
		p.write(a)
	case placement.Read:
		p.read(a)
	case placement.Sync:
		go p.sync()
	case placement.Applied:
		p.applied(a)
	case placement.LeadershipChanged:
		p.leadership(a)
	}
}

func (p *placementDuty) leadership(a placement.LeadershipChanged) {
	id := event.LeadershipLost
	if a.Leads {
		id = event.LeadershipWon
	}
	p.log.Event(id, "term", a.Term)
}

func (p *placementDuty) write(a placement.Write) {
	if a.Kind == assignment.Kind {
		p.values[a.Token] = a.Value
	}
	p.store.ask(storeCall{
		op: opPut, kind: a.Kind, name: a.Name, ifVersion: a.IfVersion, value: a.Value,
		done: func(answer storeAnswer) { p.wait(placementPutDone{write: a, answer: answer}) },
	})
}

func (p *placementDuty) read(a placement.Read) {
	p.store.ask(storeCall{
		op: opGet, kind: a.Kind, name: a.Name,
		done: func(answer storeAnswer) { p.wait(placementGetDone{read: a, answer: answer}) },
	})
}

// applied logs each move of a write that landed: the placement decisions.
func (p *placementDuty) applied(a placement.Applied) {
	p.log.Event(event.PackApplied, "name", a.Name, "version", a.Version, "moves", len(a.Moves))
	for _, m := range a.Moves {
		p.logMove(m)
	}
}

func (p *placementDuty) logMove(m placement.Move) {
	slice, reason := m.Slice.String(), m.Reason.String()
	switch {
	case m.Reason == placement.HotKey:
		p.log.Event(event.KeyCarvedOut, "slice", slice, "owner", m.To.String(), "epoch", m.Epoch)
	case m.Reason == placement.Merged:
		p.log.Event(event.KeyMerged, "slice", slice, "owner", m.To.String(), "epoch", m.Epoch)
	case m.ChangesOwner():
		p.log.Event(event.SliceAssigned, "slice", slice, "reason", reason, "from", m.From.String(), "to", m.To.String(), "epoch", m.Epoch)
	case m.Next.IsNobody():
		p.log.Event(event.HandoverDropped, "slice", slice, "reason", reason, "owner", m.To.String(), "epoch", m.Epoch)
	default:
		p.log.Event(event.HandoverNamed, "slice", slice, "reason", reason, "from", m.From.String(), "next", m.Next.String(), "epoch", m.Epoch)
	}
}

// sync reads all session records and packs from the store, on a goroutine of
// its own, and hands them over.
func (p *placementDuty) sync() {
	for {
		sessions, err := listAll(p.client, session.Kind)
		if err == nil {
			var packs []objectstore.Object
			packs, err = listAll(p.client, assignment.Kind)
			if err == nil {
				p.wait(synced{sessions: sessions, packs: packs})
				return
			}
		}
		p.store.note("list", "placement", err)
		select {
		case <-p.stop:
			return
		case <-time.After(syncRetry):
		}
	}
}

func listAll(client objectstore.Store, kind string) ([]objectstore.Object, error) {
	var all []objectstore.Object
	after := ""
	for {
		page, err := client.List(kind, after, syncPage)
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

// tell takes a release or a load report to the leader.
func (p *placementDuty) tell(now mono.Time, kind wire.Kind, message any, own placement.Event) {
	leader, ok := p.core.Leader()
	if !ok {
		return
	}
	if leader.Session == p.self {
		p.step(now, own)
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
	// What does not arrive is told again; a leader that is out of reach for
	// long is replaced.
	if conn, err := p.peers.Send(address, frame, 0); err != nil || !conn.IsOpen() {
		p.reach.tried(now, false)
	}
}
