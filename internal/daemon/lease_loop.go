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

// leaseTask is a unit of work for the lease loop.
type leaseTask interface {
	handle(d *leaseLoop, now mono.Time)
}

// leaseLoop runs the daemon's own session, its role as witness of other
// sessions, and the takeovers of sessions that stopped renewing.
type leaseLoop struct {
	self     host.Session
	fleet    *fleet
	peers    *peer.Transport
	store    *storeExecutor
	log      *eventlog.Log
	ring     *ring.Ring[leaseTask]
	session  *session.Core
	witness  *witness.Core
	takeover *takeover.Core

	leaseEndsAt      atomic.Int64
	recorded         atomic.Pointer[session.VersionedRecord]
	pendingTakeovers atomic.Pointer[[]takeover.Pending]
	renewedSessions  atomic.Pointer[[]host.Session]
	ended            chan session.State
	stop             chan struct{}
	done             sync.WaitGroup
}

func newLeaseLoop(cfg session.Config, d *Daemon, registry metrics.Registry) *leaseLoop {
	w := witness.New(cfg.Session, cfg.Timing.Lease)
	l := &leaseLoop{
		self:     cfg.Session,
		fleet:    d.fleet,
		peers:    d.peers,
		store:    d.store,
		log:      d.log,
		ring:     ring.New[leaseTask]("lease", leaseRingSize, registry),
		session:  session.New(cfg),
		witness:  w,
		takeover: takeover.New(takeover.Config{Self: cfg.Session, Machine: cfg.MachineID, Peer: cfg.PeerAddress, Seed: cfg.Seed, Timing: cfg.Timing, SupersedeEarly: true}, w),
		ended:    make(chan session.State, 1),
		stop:     make(chan struct{}),
	}
	l.leaseEndsAt.Store(int64(mono.Never))
	return l
}

func (l *leaseLoop) start() {
	l.done.Add(1)
	go l.run()
}

func (l *leaseLoop) close() {
	close(l.stop)
	l.done.Wait()
}

// leaseEnd returns when the session's lease ends. It is safe for concurrent
// use.
func (l *leaseLoop) leaseEnd() mono.Time {
	return mono.Time(l.leaseEndsAt.Load())
}

// push adds a task. If the ring is full the message is dropped as if the
// network had lost it; its sender repeats it.
func (l *leaseLoop) push(w leaseTask) {
	l.ring.Push(w)
}

// pushWait adds a task that must not be dropped. It waits if the ring is full.
func (l *leaseLoop) pushWait(w leaseTask) {
	l.ring.PushWait(w, l.stop)
}

func (l *leaseLoop) run() {
	defer l.done.Done()
	tick := time.NewTicker(leaseTick)
	defer tick.Stop()
	for {
		select {
		case w := <-l.ring.Items():
			w.handle(l, bootclock.Now())
		case <-tick.C:
			now := bootclock.Now()
			l.step(now, session.Tick{})
			l.executeTakeover(l.takeover.Tick(now))
			l.publishPending()
			l.publishRenewed(now)
		case <-l.stop:
			return
		}
		l.publish()
	}
}

// publish makes the end of the lease and the session's record available to the
// other loops.
func (l *leaseLoop) publish() {
	l.leaseEndsAt.Store(int64(l.session.HeldUntil()))
	if v := l.session.Recorded(); v.Version != 0 {
		if old := l.recorded.Load(); old == nil || old.Version != v.Version {
			l.recorded.Store(&v)
		}
	}
}

// publishPending makes available the sessions that stopped renewing but are not
// yet recorded as lost.
func (l *leaseLoop) publishPending() {
	if l.takeover.Len() == 0 {
		l.pendingTakeovers.Store(nil)
		return
	}
	pending := l.takeover.Pending()
	l.pendingTakeovers.Store(&pending)
}

// publishRenewed makes available the sessions whose renewals this witness
// receives.
func (l *leaseLoop) publishRenewed(now mono.Time) {
	renewed := l.witness.RecentlyRenewed(now)
	l.renewedSessions.Store(&renewed)
}

func (l *leaseLoop) step(now mono.Time, ev session.Event) {
	l.executeSession(l.session.Step(now, ev))
}

func (l *leaseLoop) executeSession(actions []session.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case session.Put:
			l.put(a, func(r session.PutResult) leaseTask { return sessionPutDone{r} })
		case session.Get:
			l.get(a, func(r session.GetResult) leaseTask { return sessionGetDone{r} })
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

func (l *leaseLoop) executeTakeover(actions []takeover.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case takeover.Put:
			l.put(a.Put, func(r session.PutResult) leaseTask { return takeoverPutDone{r} })
		case takeover.Get:
			l.get(a.Get, func(r session.GetResult) leaseTask { return takeoverGetDone{r} })
		case takeover.SealRequests:
			l.send(a.To, wire.KindSealRequests, a)
		case takeover.SealResponse:
			l.send(a.To, wire.KindSealResponse, a)
		case takeover.Log:
			l.logEvent(a.Log)
		}
	}
}

// logEvent writes a core's log event. An event without a peer concerns the
// daemon's own session.
func (l *leaseLoop) logEvent(a session.Log) {
	about := a.Peer
	if about.IsZero() {
		about = l.self
	}
	l.log.Event(a.ID, "session", about.String(), "detail", a.Detail)
}

func (l *leaseLoop) send(to host.Session, kind wire.Kind, message any) {
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

func (l *leaseLoop) put(a session.Put, done func(session.PutResult) leaseTask) {
	value, err := a.Record.Encode()
	if err != nil {
		panic(err) // Every field of a record can be encoded as JSON.
	}
	token := a.Record.Token
	l.store.enqueue(storeCall{
		op: opPut, kind: session.ObjectKind, name: session.ObjectName(a.Record.Session), ifVersion: a.IfVersion, value: value,
		done: func(answer storeAnswer) {
			l.pushWait(done(session.PutResult{Token: token, Code: answer.code, Version: answer.object.Version}))
		},
	})
}

func (l *leaseLoop) get(a session.Get, done func(session.GetResult) leaseTask) {
	l.store.enqueue(storeCall{
		op: opGet, kind: session.ObjectKind, name: session.ObjectName(a.Session),
		done: func(answer storeAnswer) { l.pushWait(done(readRecord(a.Session, answer))) },
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
	r.Found = session.VersionedRecord{Version: answer.object.Version, Record: record}
	return r
}
