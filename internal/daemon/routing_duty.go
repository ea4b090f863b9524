package daemon

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/rhubarbring/rhubarbring/assignment"
	"github.com/rhubarbring/rhubarbring/balance"
	"github.com/rhubarbring/rhubarbring/gate"
	"github.com/rhubarbring/rhubarbring/handover"
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/internal/bootclock"
	"github.com/rhubarbring/rhubarbring/internal/eventlog"
	"github.com/rhubarbring/rhubarbring/internal/peer"
	"github.com/rhubarbring/rhubarbring/internal/ring"
	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/loadmeter"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/placement"
	"github.com/rhubarbring/rhubarbring/request"
)

const (
	routingRingSize = 1 << 14
	// submissionLimit leaves room in the ring for answers and ends of runs,
	// without which outcomes would become unknown.
	submissionLimit = routingRingSize / 2
	// idleTick is the time between two ticks when nothing is due sooner, and
	// leastTick bounds how soon.
	idleTick        = 50 * time.Millisecond
	leastTick       = time.Millisecond
	targetGoneAfter = 3 * time.Second
	// late answers of requests that must not repeat are waited for this long
	// after the deadline.
	lateAnswerWait = 10 * time.Second
	cancelWait     = 100 * time.Millisecond
	// forgetAfter is longer than any deadline and the wait for a late answer.
	forgetAfter = 90 * time.Second
	forgetEvery = time.Second
	// reportEvery is the time between two reports of load unless the settings
	// name another, and reportedKeys the hottest keys named in each.
	reportEvery = 5 * time.Second
	// reportsPerSecond bounds what reaches the leader: at 130 bytes a report
	// some 5 KB a second.
	reportsPerSecond = 40
	// hotKeyEvery is the time between two looks for a key that is too hot to
	// wait for the next report.
	hotKeyEvery  = 15 * time.Second
	reportedKeys = 8
	// fullEvery is the least time between two reports of a target that has no
	// room, and fullRefusals the requests refused since the last that make
	// one due.
	fullEvery    = 300 * time.Millisecond
	fullRefusals = 5
)

// routingWork is something for the routing duty to do.
type routingWork interface {
	routingWork(r *routingDuty, now mono.Time)
}

// routingDuty decides about requests: as entry, whom each is sent to, and as
// gate, what reaches the local target. Both roles need the same map of owners,
// so they share one duty and one copy of it.
type routingDuty struct {
	self     host.Session
	place    host.Place
	fleet    *fleet
	peers    *peer.Transport
	store    *storeDuty
	log      *eventlog.Log
	lease    func() mono.Time
	ring     *ring.Ring[routingWork]
	router   *request.Router
	patience *request.Patience
	// balancer chooses gates; balanced is what it was last given.
	balancer *balance.Balancer
	balanced map[key.App][]balance.Gate
	// crossed is how many control bytes to other regions were counted.
	crossed int64
	holder  *handover.Holder
	owners  *assignment.Map
	gate    *gate.Gate // nil until a target has announced itself
	target  *localTarget
	// retired are gates of earlier targets that still have runs.
	retired []*gate.Gate
	// released is told of each release, which goes to the placement leader.
	released func(handover.Release)
	// reportLoad is told of the load on the target, for the leader.
	reportLoad func(placement.LoadReport)
	// targetGone is told that the target stopped announcing itself.
	targetGone func()
	// raise and settle take outcomes at risk.
	raise  func(request.Risk)
	settle func(request.Settlement)

	targets TargetMaker
	// granter, grants and gaveTo are set for a target that holds its keys
	// itself.
	granting

	replies map[request.Caller]waitingCaller
	sent    map[uint64]sending
	over    bool // the daemon's session ended
	origins map[host.Session]*peer.Conn
	// unconfirmed are changes that ask for a release, by the pack that is
	// being read from the store.
	unconfirmed map[string][]assignment.Change
	merged      map[key.Slice]int64 // when a carved-out key last returned, milliseconds since 1970
	history     history
	// out and gateOut collect what the cores ask for; doing and gateDoing
	// are being done. Their memory is used again.
	out, doing         request.Actions
	gateOut, gateDoing gate.Actions
	stats              routingStats

	meter       *loadmeter.Meter
	reports     uint64
	reportEvery time.Duration
	nextReport  mono.Time
	nextHotKey  mono.Time
	nextFull    mono.Time
	refusedFull int // Requests for slices that found no room since the last report.
	nextForget  mono.Time
	// stopOwned is how many slices were owned when a planned stop began.
	stopOwned atomic.Int64
	ready     atomic.Bool
	// allReleased says that a planned stop gave up every slice, and that the
	// target surely holds none; idle, that nothing else is under way either.
	allReleased atomic.Bool
	idle        atomic.Bool

	stop chan struct{}
	done sync.WaitGroup
}

// waitingCaller is where the answer to a caller goes, and since when the caller
// waits.
type waitingCaller struct {
	reply chan *request.Answer
	since mono.Time
}

// sending is a request that went to another daemon and is not answered yet.
type sending struct {
	id   string
	to   host.Session
	conn *peer.Conn
	at   mono.Time
}

// run is a request at the local target.
type run struct {
	number   uint64
	gate     *gate.Gate
	slice    key.SliceID
	key      string
	ticket   handover.Ticket
	started  mono.Time
	deadline mono.Time
}

// localTarget is the target on this host as it last announced itself.
type localTarget struct {
	app      key.App
	client   Target
	instance uint64 // as announced
	lastSeen mono.Time
	load     float32 // as the target says itself
	slots    int
	gone     bool
}

func newRoutingDuty(d *Daemon, cfg request.Config, hold handover.Config, registry metrics.Registry) *routingDuty {
	r := &routingDuty{
		self:        d.self,
		place:       d.place(),
		fleet:       d.fleet,
		peers:       d.peers,
		store:       d.store,
		log:         d.log,
		lease:       d.lease.lease,
		targets:     d.targets,
		reportEvery: cmp.Or(d.settings.Placement.ReportEvery.Std(), reportEvery),
		ring:        ring.New[routingWork]("routing", routingRingSize, registry),
		holder:      handover.New(hold),
		patience:    request.NewPatience(),
		owners:      assignment.NewMap(),
		replies:     make(map[request.Caller]waitingCaller),
		sent:        make(map[uint64]sending),
		origins:     make(map[host.Session]*peer.Conn),
		merged:      make(map[key.Slice]int64),
		unconfirmed: make(map[string][]assignment.Change),
		meter:       loadmeter.New(bootclock.Now()),
		stop:        make(chan struct{}),
	}
	cfg.Self = d.self
	cfg.Map = r
	near := balance.DefaultConfig()
	near.Place = d.place()
	near.Seed = cfg.Seed
	r.balancer = balance.New(near, bootclock.Now())
	cfg.Chooser = r.balancer
	r.router = request.NewRouter(cfg)
	r.stats = newRoutingStats(registry)
	return r
}

func (r *routingDuty) start() {
	r.done.Add(1)
	go r.run()
}

func (r *routingDuty) close() {
	close(r.stop)
	r.done.Wait()
}

func (r *routingDuty) run() {
	defer r.done.Done()
	timer := time.NewTimer(idleTick)
	defer timer.Stop()
	due := bootclock.Now().Add(idleTick)
	for {
		select {
		case w := <-r.ring.Items():
			r.step(w)
		case <-timer.C:
			r.tick()
			due = bootclock.Now().Add(idleTick)
			timer.Reset(idleTick)
		case <-r.stop:
			return
		}
		due = r.hasten(timer, due)
	}
}

// hasten sets the timer to an earlier time if a core has something due before
// the next tick.
func (r *routingDuty) hasten(timer *time.Timer, due mono.Time) mono.Time {
	next := due
	if at, ok := r.router.NextTick(); ok {
		next = min(next, at)
	}
	if r.gate != nil {
		if at, ok := r.gate.NextTick(); ok {
			next = min(next, at)
		}
	}
	if next == due {
		return due
	}
	wait := max(next.Sub(bootclock.Now()), leastTick)
	timer.Reset(wait)
	return next
}

// step does one piece of work. The lease is read anew each time, so that a
// pause of the process shows before anything is admitted.
func (r *routingDuty) step(w routingWork) {
	now := bootclock.Now()
	r.holder.SetLease(r.lease())
	w.routingWork(r, now)
	r.flush(now)
}

// publish shows the other duties whether a planned stop may go on.
func (r *routingDuty) publish() {
	clear := r.core == nil || r.core.Clear(bootclock.Now())
	released := r.holder.Stopped() && clear
	r.allReleased.Store(released)
	r.idle.Store(released && len(r.retired) == 0 && (r.gate == nil || r.gate.Idle()))
}

func (r *routingDuty) tick() {
	now := bootclock.Now()
	r.holder.SetLease(r.lease())
	r.router.Tick(now, &r.out)
	r.doHolder(now, r.holder.Tick(now))
	r.tickGates(now)
	r.tickGrants(now)
	r.forgetSent(now)
	r.countControl(now)
	r.report(now)
	r.flush(now)
	r.publish()
}

// forgetSent drops sendings whose late answers are no longer waited for.
func (r *routingDuty) forgetSent(now mono.Time) {
	if now.Before(r.nextForget) {
		return
	}
	r.nextForget = now.Add(forgetEvery)
	r.gauge(now)
	for seq, s := range r.sent {
		if now.Sub(s.at) > forgetAfter {
			delete(r.sent, seq)
		}
	}
}

func (r *routingDuty) tickGates(now mono.Time) {
	r.retired = slices.DeleteFunc(r.retired, (*gate.Gate).Idle)
	for _, g := range r.retired {
		g.Tick(now, wallMs(), &r.gateOut)
	}
	if r.gate == nil {
		return
	}
	t := r.target
	if !t.gone && now.Sub(t.lastSeen) > targetGoneAfter {
		t.gone = true
		r.gate.TargetGone(now, &r.gateOut)
		r.targetGone()
	}
	r.gate.Tick(now, wallMs(), &r.gateOut)
}

func wallMs() int64 {
	return time.Now().UnixMilli()
}
