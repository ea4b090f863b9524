package daemon

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/rhubarbring/rhubarbring/admission"
	"github.com/rhubarbring/rhubarbring/assignment"
	"github.com/rhubarbring/rhubarbring/balance"
	"github.com/rhubarbring/rhubarbring/evacuation"
	"github.com/rhubarbring/rhubarbring/gate"
	"github.com/rhubarbring/rhubarbring/grant"
	"github.com/rhubarbring/rhubarbring/handover"
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/internal/bootclock"
	"github.com/rhubarbring/rhubarbring/internal/entry"
	"github.com/rhubarbring/rhubarbring/internal/eventlog"
	"github.com/rhubarbring/rhubarbring/internal/peer"
	"github.com/rhubarbring/rhubarbring/internal/ring"
	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/quarantine"
	"github.com/rhubarbring/rhubarbring/request"
	"github.com/rhubarbring/rhubarbring/targetstatus"
)

const (
	routingRingSize = 1 << 14
	// submissionLimit leaves room in the ring for answers and for the ends of
	// runs. If these were refused, outcomes would become unknown.
	submissionLimit = routingRingSize / 2
	// maxTickInterval is the time between two ticks if nothing is due earlier.
	// minTickInterval is the shortest time until a tick.
	maxTickInterval = 50 * time.Millisecond
	minTickInterval = time.Millisecond
	// targetGoneAfter is how long after its last announcement a target counts
	// as gone.
	targetGoneAfter = 3 * time.Second
	// lateAnswerWait is how long after the deadline the answer to a request is
	// waited for: a late answer settles the outcome of a request that must not
	// be repeated.
	lateAnswerWait = 10 * time.Second
	// cancelWait bounds the wait for the target's answer to a cancellation.
	cancelWait = 100 * time.Millisecond
	// sentRetention is how long a sent request whose outcome is not known is
	// kept. It is longer than any deadline plus lateAnswerWait.
	sentRetention  = 90 * time.Second
	expiryInterval = time.Second
)

// routingTask is a unit of work for the routing loop.
type routingTask interface {
	handle(r *routingLoop, now mono.Time)
}

// routingLoop handles requests in two roles: as entry daemon it decides where
// to send each request, and as gate it decides what reaches the local target.
// Both roles need the map of owners, so one loop has both and keeps a single
// copy of the map.
type routingLoop struct {
	process  *Process
	self     host.Session
	place    host.Place
	fleet    *fleet
	peers    *peer.Transport
	store    *storeExecutor
	log      *eventlog.Log
	leaseEnd func() mono.Time
	// startedAt is when the daemon started. No earlier daemon of the host grants
	// anything after it.
	startedAt mono.Time
	ring      *ring.Ring[routingTask]
	router    *request.Router
	elapsed   *request.ElapsedEstimator
	// balancer chooses gates; balancedGates is the list that it was given last.
	balancer      *balance.Balancer
	hedger        *hedger
	balancedGates map[key.App][]balance.GateInfo
	// unserved holds the apps of routes that have no gate in the allowed regions.
	unserved map[routeApp]bool
	// caughtUp reports whether this daemon has caught up with the fleet.
	caughtUp func() bool
	// admission decides which requests of this host's callers are sent.
	admission *admission.Controller
	// chargedControlBytes is the number of control bytes to other regions that
	// were charged to the link share.
	chargedControlBytes int64
	holder              *handover.Holder
	owners              *assignment.Map
	gate                *gate.Gate // nil until a target has announced itself
	target              *localTarget
	// sliceWaiters holds requests whose slices the target gets with its next
	// heartbeat.
	sliceWaiters *gate.SliceWaiters
	// hostLink limits large answers; nil if the settings name no link.
	hostLink *gate.HostLink
	// bodyBudget bounds the bytes of the bodies at a gate; 0 is no bound.
	bodyBudget       int
	limitConcurrency bool // of the settings
	// otherMemory counts bytes that are held for other daemons and at the gate in
	// the sum of callers' connections, and returns how many may be.
	otherMemory func(bytes int) (room int)
	callerUsage func() entry.Usage
	memory      memoryMetrics
	// retiredGates are the gates of earlier targets that still have runs.
	retiredGates []*gate.Gate
	// onReleased is called for each release; it goes to the placement leader.
	onReleased func(handover.Release)
	// onClaim is called for each claim; it goes to the placement leader.
	onClaim func(handover.Claim)
	// onTargetGone is called when the target has stopped announcing itself or refuses
	// connections, with the time since its last announcement.
	onTargetGone func(silent time.Duration)
	// onTargetLeaving is called with the target's instance when that is known to be
	// about to end.
	onTargetLeaving func(instance uint64)
	// onTargetStatus is called with the target's status when it has changed, and
	// with each load report while there is one; it goes to the placement leader.
	onTargetStatus func(targetstatus.Report)
	// onRisk is called for each outcome at risk, and onSettled when a later
	// answer settles one.
	onRisk    func(request.Risk)
	onSettled func(request.Settlement)

	targets TargetFactory
	// grantState is set for a target that tracks its slices itself. epochs outlasts
	// the instances of the target.
	grantState
	epochs grant.Epochs
	// previous has the instances that were replaced and may hold slices.
	previous previousInstances

	waitingCallers map[request.CallID]waitingCaller
	sentRequests   map[uint64]sentRequest
	heldRuns       heldRuns
	sessionOver    bool // the daemon's session has ended
	// entryConns holds the connections of the entry daemons whose requests
	// arrived here; answers go back on them.
	entryConns map[host.Session]*peer.Conn
	// unconfirmed holds changes that require a release, by the name of the pack
	// that is being read from the store.
	unconfirmed map[string][]assignment.Change
	restored    restoredState
	mergedAtMs  map[key.Slice]int64 // when a carved-out key was last merged back into the slice, in Unix milliseconds
	history     history
	// routerActions and gateActions collect what the cores request. routerBatch
	// and gateBatch are being carried out. The buffers are swapped to reuse
	// their memory.
	routerActions, routerBatch request.Actions
	gateActions, gateBatch     gate.Actions
	metrics                    routingMetrics

	// crashes finds the requests that were lost with the target's process, and
	// quarantine counts those of all hosts. crashReport publishes this host's.
	crashes     *quarantine.Detector
	quarantine  *quarantine.Ledger
	crashReport crashReport

	// targetStatus is what the target says of itself, and peerTargets what other
	// daemons report of theirs. statusTold holds the revision of targetStatus that
	// each session with an open connection was told.
	targetStatus targetstatus.Local
	peerTargets  targetstatus.Directory
	statusTold   map[host.Session]uint64
	// coldReported is whether the leader was last told that the target counts as cold.
	coldReported bool

	// evacuated holds the evacuated zones. The gate of a target in one starts nothing
	// evacuationWithin, less the time to learn of it, after this daemon learned of it.
	evacuated        evacuation.Zones
	evacuationWithin time.Duration

	// reporter reports the load on the target.
	reporter *loadReporter

	// callsFail is set while the log says that the calls of the target fail.
	callsFail bool
	uneven    unevenLoad

	nextExpiry mono.Time
	// stopOwned is the number of slices owned when a planned stop began.
	stopOwned atomic.Int64
	// allSlicesOwned is set once every slice of the document's apps has an
	// owner; it is not reset.
	allSlicesOwned atomic.Bool
	// allReleased reports that a planned stop released every slice and that the
	// target is known to hold none. idle reports in addition that nothing is
	// running or waiting at the gates.
	allReleased atomic.Bool
	idle        atomic.Bool

	stop chan struct{}
	done sync.WaitGroup
}

// waitingCaller is the channel for the answer to a caller, its request, the time
// since which it has been waiting and, if it is a call, the run that made it.
type waitingCaller struct {
	reply chan *request.Answer
	// holdAnswer counts the answer as held for the caller; nil if nothing counts it.
	holdAnswer func(bytes int)
	since      mono.Time
	request    *request.Request
	parent     callParent
}

// sentRequest is a request sent to another daemon whose outcome is not known
// yet.
type sentRequest struct {
	id   string
	to   host.Session
	conn *peer.Conn
	at   mono.Time
}

// localTarget is the target on this host as of its last announcement.
type localTarget struct {
	app           key.App
	client        Target
	instance      uint64 // as announced
	startedMs     int64  // as announced, in milliseconds since 1970
	lastAnnounced mono.Time
	load          float32 // as reported by the target
	slots         int
	gone          bool
	probing       bool // A probe of its address is under way.
	// replaced is the instance that this one has replaced at its address, 0 if none.
	replaced uint64
}

func newRoutingLoop(d *Daemon, cfg request.Config, holderConfig handover.Config, registry metrics.Registry) *routingLoop {
	r := &routingLoop{
		process:        d.process,
		self:           d.self,
		place:          d.place(),
		fleet:          d.fleet,
		peers:          d.peers,
		store:          d.store,
		log:            d.log,
		leaseEnd:       d.lease.leaseEnd,
		startedAt:      bootclock.Now(),
		targets:        d.targets,
		ring:           ring.New[routingTask]("routing", routingRingSize, registry),
		holder:         handover.New(holderConfig),
		elapsed:        request.NewElapsedEstimator(),
		owners:         assignment.NewMap(),
		waitingCallers: make(map[request.CallID]waitingCaller),
		sentRequests:   make(map[uint64]sentRequest),
		heldRuns:       make(heldRuns),
		entryConns:     make(map[host.Session]*peer.Conn),
		statusTold:     make(map[host.Session]uint64),
		mergedAtMs:     make(map[key.Slice]int64),
		unconfirmed:    make(map[string][]assignment.Change),
		sliceWaiters:   gate.NewSliceWaiters(maxSliceWaiters),
		previous:       newPreviousInstances(),
		crashes:        quarantine.NewDetector(),
		quarantine:     quarantine.NewLedger(),
		reporter:       newLoadReporter(d.self, d.settings.Placement.LoadReportInterval.Std(), bootclock.Now()),
		stop:           make(chan struct{}),
	}
	r.limitConcurrency = d.settings.LimitConcurrency
	r.bodyBudget = d.settings.BodyBudgetBytes()
	r.caughtUp = func() bool { return d.spread.caughtUp.Load() }
	r.evacuationWithin = d.settings.Evacuation.Within.Std()
	if mbps := d.settings.HostLinkMbps; mbps > 0 {
		r.hostLink = gate.NewHostLink(mbps * hostLinkShare * bitsPerMegabit / bitsPerByte)
	}
	cfg.Self = d.self
	cfg.Map = r
	cfg.Places = r
	balancerConfig := balance.DefaultConfig()
	balancerConfig.Place = d.place()
	balancerConfig.Seed = cfg.Seed
	r.balancer = balance.New(balancerConfig, bootclock.Now())
	cfg.Chooser = r.balancer
	r.hedger = &hedger{balancer: r.balancer}
	r.updateHedgeBudgets()
	cfg.Hedger = r.hedger
	cfg.Quarantine = r.quarantine
	r.admission = admission.New(cfg.Seed)
	cfg.Admission = r.admission
	r.router = request.NewRouter(cfg)
	r.metrics = newRoutingMetrics(registry)
	r.memory = newMemoryMetrics(registry)
	for _, report := range d.process.rememberedStatuses() {
		r.targetStatus.Reported(report)
	}
	return r
}

func (r *routingLoop) start() {
	r.done.Add(1)
	go r.run()
}

func (r *routingLoop) close() {
	close(r.stop)
	r.done.Wait()
	r.closeTargets()
}

func (r *routingLoop) run() {
	defer r.done.Done()
	timer := time.NewTimer(maxTickInterval)
	defer timer.Stop()
	due := bootclock.Now().Add(maxTickInterval)
	for {
		select {
		case w := <-r.ring.Items():
			r.step(w)
		case <-timer.C:
			r.tick()
			due = bootclock.Now().Add(maxTickInterval)
			timer.Reset(maxTickInterval)
		case <-r.stop:
			return
		}
		due = r.rearmTimer(timer, due)
	}
}

// rearmTimer makes the next tick come earlier if the router or the gate has
// something due before it, and returns the time of the tick.
func (r *routingLoop) rearmTimer(timer *time.Timer, due mono.Time) mono.Time {
	next := due
	if at, ok := r.router.NextTick(); ok {
		next = min(next, at)
	}
	if r.gate != nil {
		if at, ok := r.gate.NextTick(bootclock.Now()); ok {
			next = min(next, at)
		}
	}
	if next == due {
		return due
	}
	wait := max(next.Sub(bootclock.Now()), minTickInterval)
	timer.Reset(wait)
	return next
}

// step handles one task. It reads the lease each time, so that a lease that
// ended during a pause of the process is noticed before anything is admitted.
func (r *routingLoop) step(w routingTask) {
	now := bootclock.Now()
	r.holder.SetLease(r.leaseEnd())
	w.handle(r, now)
	r.flush(now)
}

// publishStopState makes the progress of a planned stop available to
// Daemon.Stop.
func (r *routingLoop) publishStopState() {
	now := bootclock.Now()
	released := r.holder.Stopped() && r.targetHoldsNothing(now)
	r.allReleased.Store(released)
	r.idle.Store(released && len(r.retiredGates) == 0 && (r.gate == nil || r.gate.Idle()))
}
