package daemon

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/rhubarbring/rhubarbring/event"
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/internal/bootclock"
	"github.com/rhubarbring/rhubarbring/internal/eventlog"
	"github.com/rhubarbring/rhubarbring/internal/peer"
	"github.com/rhubarbring/rhubarbring/internal/ring"
	"github.com/rhubarbring/rhubarbring/internal/wire"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/result"
	"github.com/rhubarbring/rhubarbring/session"
	"github.com/rhubarbring/rhubarbring/takeover"
	"github.com/rhubarbring/rhubarbring/witness"
)

const (
	leaseRingSize = 4096
	leaseTick     = 50 * time.Millisecond
)

// leaseWork is something for the lease duty to do.
type leaseWork interface {
	leaseWork(d *leaseDuty, now mono.Time)
}

// leaseDuty runs the daemon's own session, its witness for others, and the
// takeovers of sessions that fell silent.
type leaseDuty struct {
	self     host.Session
	fleet    *fleet
	peers    *peer.Transport
	store    *storeDuty
	log      *eventlog.Log
	ring     *ring.Ring[leaseWork]
	session  *session.Core
	witness  *witness.Core
	takeover *takeover.Core

	heldUntil atomic.Int64
	recorded  atomic.Pointer[session.Versioned]
	pending   atomic.Pointer[[]takeover.Pending]
	heard     atomic.Pointer[[]host.Session]
	ended     chan session.State
	stop      chan struct{}
	done      sync.WaitGroup
}

func newLeaseDuty(cfg session.Config, d *Daemon, registry metrics.Registry) *leaseDuty {
	w := witness.New(cfg.Session, cfg.Timing.Lease)
	l := &leaseDuty{
		self:     cfg.Session,
		fleet:    d.fleet,
		peers:    d.peers,
		store:    d.store,
		log:      d.log,
		ring:     ring.New[leaseWork]("lease", leaseRingSize, registry),
		session:  session.New(cfg),
		witness:  w,
		takeover: takeover.New(takeover.Config{Self: cfg.Session, Machine: cfg.Machine, Peer: cfg.Peer, Seed: cfg.Seed, Timing: cfg.Timing, Early: true}, w),
		ended:    make(chan session.State, 1),
		stop:     make(chan struct{}),
	}
	l.heldUntil.Store(int64(mono.Never))
	return l
}

func (l *leaseDuty) start() {
	l.done.Add(1)
	go l.run()
}

func (l *leaseDuty) close() {
	close(l.stop)
	l.done.Wait()
}

// lease returns the end of the session's lease. Any duty may ask.
func (l *leaseDuty) lease() mono.Time {
	return mono.Time(l.heldUntil.Load())
}

// push hands work over. A message that finds the ring full is lost like one
// that the network lost; the sender repeats it.
func (l *leaseDuty) push(w leaseWork) {
	l.ring.Push(w)
}

// wait hands an answer over that must not be lost.
func (l *leaseDuty) wait(w leaseWork) {
	l.ring.Wait(w, l.stop)
}

func (l *leaseDuty) run() {
	defer l.done.Done()
	tick := time.NewTicker(leaseTick)
	defer tick.Stop()
	for {
		select {
		case w := <-l.ring.Items():
			w.leaseWork(l, bootclock.Now())
		case <-tick.C:
			now := bootclock.Now()
			l.step(now, session.Tick{})
			l.doTakeover(l.takeover.Tick(now))
			l.publishPending()
			l.publishHeard(now)
		case <-l.stop:
			return
		}
		l.publish()
	}
}

// publish shows the lease to the other duties.
func (l *leaseDuty) publish() {
	l.heldUntil.Store(int64(l.session.HeldUntil()))
	if v := l.session.Recorded(); v.Version != 0 {
		if old := l.recorded.Load(); old == nil || old.Version != v.Version {
			l.recorded.Store(&v)
		}
	}
}

// publishPending shows the sessions that fell silent and are not yet recorded
// as lost.
func (l *leaseDuty) publishPending() {
	if l.takeover.Len() == 0 {
		l.pending.Store(nil)
		return
	}
	pending := l.takeover.Pending()
	l.pending.Store(&pending)
}

// publishHeard shows the sessions that this witness hears.
func (l *leaseDuty) publishHeard(now mono.Time) {
	heard := l.witness.Heard(now)
	l.heard.Store(&heard)
}

func (l *leaseDuty) step(now mono.Time, ev session.Event) {
	l.doSession(l.session.Step(now, ev))
}

func (l *leaseDuty) doSession(actions []session.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case session.Put:
			l.put(a, func(r session.PutResult) leaseWork { return sessionPutDone{r} })
		case session.Get:
			l.get(a, func(r session.GetResult) leaseWork { return sessionGetDone{r} })
		case session.Renew:
			l.send(a.Witness, wire.KindRenew, a)
		case session.Log:
			l.logEvent(a)
		case session.Finished:
			l.publish()
			l.ended <- a.State
		}
	}
}

func (l *leaseDuty) doTakeover(actions []takeover.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case takeover.Put:
			l.put(a.Put, func(r session.PutResult) leaseWork { return takeoverPutDone{r} })
		case takeover.Get:
			l.get(a.Get, func(r session.GetResult) leaseWork { return takeoverGetDone{r} })
		case takeover.Asks:
			l.send(a.To, wire.KindAsks, a)
		case takeover.Seals:
			l.send(a.To, wire.KindSeals, a)
		case takeover.Log:
			l.logEvent(a.Log)
		}
	}
}

// logEvent logs what a core reports; without a peer it is about the daemon's
// own session.
func (l *leaseDuty) logEvent(a session.Log) {
	about := a.Peer
	if about.IsNobody() {
		about = l.self
	}
	l.log.Event(a.ID, "session", about.String(), "detail", a.Detail)
}

func (l *leaseDuty) send(to host.Session, kind wire.Kind, message any) {
	address := l.fleet.peerAddress(to)
	if address == "" {
		return
	}
	frame, err := wire.Encode(kind, message)
	if err != nil {
		l.log.Event(event.BadFrame, "peer", to.String(), "cause", err.Error())
		return
	}
	_, _ = l.peers.Send(address, frame, 0)
}

func (l *leaseDuty) put(a session.Put, done func(session.PutResult) leaseWork) {
	value, err := a.Record.Encode()
	if err != nil {
		panic(err) // A record holds nothing that JSON can't.
	}
	token := a.Record.Token
	l.store.ask(storeCall{
		op: opPut, kind: session.Kind, name: session.Name(a.Record.Session), ifVersion: a.IfVersion, value: value,
		done: func(answer storeAnswer) {
			l.wait(done(session.PutResult{Token: token, Code: answer.code, Version: answer.object.Version}))
		},
	})
}

func (l *leaseDuty) get(a session.Get, done func(session.GetResult) leaseWork) {
	l.store.ask(storeCall{
		op: opGet, kind: session.Kind, name: session.Name(a.Session),
		done: func(answer storeAnswer) { l.wait(done(readRecord(a.Session, answer))) },
	})
}

func readRecord(s host.Session, answer storeAnswer) session.GetResult {
	r := session.GetResult{Session: s, Code: answer.code}
	if answer.code != result.OK {
		return r
	}
	record, err := session.Decode(answer.object.Value)
	if err != nil {
		r.Code = result.StoreUnavailable
		return r
	}
	r.Found = session.Versioned{Version: answer.object.Version, Record: record}
	return r
}
