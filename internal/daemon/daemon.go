// Package daemon assembles a daemon from its loops. Each loop is a goroutine
// that takes tasks from a bounded ring and drives state machines that do no I/O
// (the cores): the lease loop, the routing loop, the placement loop, the spread
// loop and the risk loop. The store executor makes most reads and writes of
// single objects for them; lists, watches and some records use the store's
// client on goroutines of their own. The package carries events and actions
// between the cores, the network, the store and the target.
package daemon

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"

	"github.com/rhubarbring/rhubarbring/document"
	"github.com/rhubarbring/rhubarbring/event"
	"github.com/rhubarbring/rhubarbring/handover"
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/internal/bootclock"
	"github.com/rhubarbring/rhubarbring/internal/control"
	"github.com/rhubarbring/rhubarbring/internal/controlrpc"
	"github.com/rhubarbring/rhubarbring/internal/entry"
	"github.com/rhubarbring/rhubarbring/internal/eventlog"
	"github.com/rhubarbring/rhubarbring/internal/longbody"
	"github.com/rhubarbring/rhubarbring/internal/machine"
	"github.com/rhubarbring/rhubarbring/internal/objectstore"
	"github.com/rhubarbring/rhubarbring/internal/peer"
	"github.com/rhubarbring/rhubarbring/internal/settings"
	"github.com/rhubarbring/rhubarbring/internal/storeclient"
	"github.com/rhubarbring/rhubarbring/internal/wire"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/placement"
	"github.com/rhubarbring/rhubarbring/request"
	"github.com/rhubarbring/rhubarbring/retry"
	"github.com/rhubarbring/rhubarbring/session"
	"github.com/rhubarbring/rhubarbring/spread"
	"github.com/rhubarbring/rhubarbring/targetstatus"
)

const (
	// drainReportAfter is how long a slice may drain before it is logged as
	// slow.
	drainReportAfter = 10 * time.Second
	// releaseResendInterval is the time between two transmissions of the same
	// release to the placement leader.
	releaseResendInterval = 500 * time.Millisecond
	// stopGrace is how long a planned stop waits for the placement leader to
	// name the next owners of the slices.
	stopGrace = 2 * time.Second
)

// Daemon runs for the time of one session. A process whose session ended goes
// on with a new Daemon.
type Daemon struct {
	process  *Process
	settings *settings.Daemon
	self     host.Session
	log      *eventlog.Log
	registry metrics.Registry
	dial     peer.DialFunc
	client   objectstore.Store
	protocol entry.Protocol
	targets  TargetFactory
	fleet    *fleet

	peers        *peer.Transport
	store        *storeExecutor
	lease        *leaseLoop
	routing      *routingLoop
	placement    *placementLoop
	spread       *spreadLoop
	risk         *riskLoop
	zoneActivity *zoneActivity
	entry        *entry.Server
	longBodies   *longbody.Registry
	control      *control.Server
	metrics      *control.MetricsServer // nil without a metrics address in the settings

	// announceMu orders what the target says of itself.
	announceMu sync.Mutex

	// recordMu orders the changes of the target's part of the session record.
	recordMu        sync.Mutex
	leavingInstance uint64 // Of the target, as last said; 0 for none.
	announcedTarget atomic.Pointer[session.Target]
	stopping        atomic.Bool
	sessionOver     atomic.Bool // the session ended without a requested stop

	// unknownZones are the names of evacuations that are no zone of the document.
	unknownZones []host.Zone
}

// Option configures a Daemon.
type Option func(*Daemon)

// WithDial makes a daemon open its connections to other daemons and to the
// store with dial instead of plain TCP.
func WithDial(dial peer.DialFunc) Option {
	return func(d *Daemon) { d.dial = dial }
}

// WithStore makes a daemon keep its objects in the given store instead of the
// one that package storeclient connects to.
func WithStore(store objectstore.Store) Option {
	return func(d *Daemon) { d.client = store }
}

// WithProtocol replaces the built-in protocol between the daemon and callers.
func WithProtocol(protocol entry.Protocol) Option {
	return func(d *Daemon) { d.protocol = protocol }
}

// WithTargetFactory replaces the built-in protocol between the daemon and the
// target on its host.
func WithTargetFactory(targets TargetFactory) Option {
	return func(d *Daemon) { d.targets = targets }
}

// New returns a daemon for the next session of a process. It has not been started.
func New(p *Process, log *eventlog.Log, registry metrics.Registry, options ...Option) *Daemon {
	s := p.settings
	d := &Daemon{
		process:      p,
		settings:     s,
		self:         host.Session{Host: s.Host, Incarnation: p.nextIncarnation(time.Now().UnixNano())},
		log:          log,
		registry:     registry,
		dial:         peer.DialTCP,
		fleet:        newFleet(&p.document),
		longBodies:   longbody.NewRegistry(),
		zoneActivity: &zoneActivity{at: make(map[string]mono.Time), clock: bootclock.Now},
	}
	for _, option := range options {
		option(d)
	}
	if d.client == nil {
		d.client = storeclient.NewWithDialer(s.StoreAddress, storeTimeout, fasthttp.DialFuncWithTimeout(d.dial)).ForEnvironment(s.Environment)
	}
	if d.protocol == nil {
		d.protocol = entry.NewAPI(s.Seed)
	}
	if d.targets == nil {
		d.targets = defaultTargets
	}
	return d
}

func (d *Daemon) place() host.Place {
	return host.Place{Region: d.settings.Region, Zone: d.settings.Zone}
}

// machineID returns the identifier of the running machine: the one in the
// settings or, without it, the kernel's.
func (d *Daemon) machineID() string {
	if d.settings.MachineID != "" {
		return d.settings.MachineID
	}
	return machine.BootID()
}

// advertisedPeer returns the address that other daemons connect to.
func (d *Daemon) advertisedPeer() string {
	if d.settings.AdvertisedPeer != "" {
		return d.settings.AdvertisedPeer
	}
	return d.settings.PeerAddress
}

// Start opens the daemon's listeners and starts its loops. If it returns an
// error, everything that it had opened is closed again.
func (d *Daemon) Start() error {
	hello := wire.Hello{Session: d.self, Zone: d.settings.Zone, Region: d.settings.Region}
	d.createLoops()
	peers, err := peer.Listen(d.settings.PeerAddress, hello, &frameHandler{d: d}, d.dial, d.registry)
	if err != nil {
		return err
	}
	d.peers = peers
	d.peers.LimitBulk(d.settings.HostLinkMbps * bulkLinkShare * bitsPerMegabit / bitsPerByte)
	d.lease.peers = peers
	d.routing.peers = peers
	d.placement.peers = peers
	d.control = control.New(d, controlrpc.NewControlServer(d), d.registry)
	if err := d.control.Start(d.settings.ControlAddress); err != nil {
		d.peers.Close()
		return err
	}
	if d.settings.MetricsAddress != "" {
		d.metrics = control.NewMetricsServer(d.registry)
		if err := d.metrics.Start(d.settings.MetricsAddress); err != nil {
			d.control.Stop()
			d.peers.Close()
			return err
		}
	}
	d.entry = entry.New(d, d.protocol, d.callerBounds())
	d.entry.CarryLongBodies(d.longBodies)
	d.routing.setEntry(d.entry)
	if err := d.entry.Start(d.settings.CallerAddress); err != nil {
		d.stopAddresses()
		return err
	}
	d.store.start()
	d.lease.start()
	d.routing.start()
	d.placement.start()
	d.applyEarlierDocument()
	d.applyEvacuations()
	d.spread.start()
	d.risk.start()
	d.log.Event(event.Started, "zone", string(d.settings.Zone), "incarnation", d.self.Incarnation)
	return nil
}

// applyEarlierDocument puts the document in force that the process had in force
// before this session, if any. The daemon is not ready before it has caught up.
func (d *Daemon) applyEarlierDocument() {
	earlier := d.fleet.document.Load()
	if earlier == nil {
		return
	}
	d.routing.ring.PushWait(documentChanged{document: earlier.document}, d.routing.stop)
	d.placement.pushWait(appsChanged{apps: placementApps(earlier.stored, earlier.document)})
}

// createLoops creates the loops and connects them with each other. Start starts
// them.
func (d *Daemon) createLoops() {
	seed := d.settings.Seed
	d.store = newStoreExecutor(d.client, d.log, d.registry)
	d.lease = newLeaseLoop(session.Config{
		Session:             d.self,
		Place:               d.place(),
		MachineID:           d.machineID(),
		PeerAddress:         d.advertisedPeer(),
		ControlAddress:      d.settings.ControlAddress,
		CallerAddress:       d.settings.CallerAddress,
		Seed:                seed,
		Timing:              session.DefaultTiming(),
		StartWithStoreLease: d.settings.JoinInStore,
	}, d, d.registry)
	routing := d.routerConfig(seed)
	d.routing = newRoutingLoop(d, routing, handover.Config{
		Self:             d.self,
		DrainReportAfter: drainReportAfter,
		ResendInterval:   releaseResendInterval,
		StopGrace:        stopGrace,
	}, d.registry)
	d.placement = newPlacementLoop(d, seed, d.registry)
	d.spread = newSpreadLoop(d, seed, d.registry)
	d.store.onWritten = d.objectWritten
	d.routing.onReleased = func(r handover.Release) { d.placement.push(localRelease{r}) }
	d.routing.onClaim = func(c handover.Claim) { d.placement.push(localClaim{c}) }
	d.routing.reporter.onLoadReport = func(r placement.LoadReport) { d.placement.push(localLoad{r}) }
	d.risk = newRiskLoop(d, seed, d.registry)
	d.routing.onTargetGone = d.targetGone
	d.routing.onTargetLeaving = d.targetLeaving
	d.routing.onTargetStatus = func(r targetstatus.Report) { d.placement.push(localTargetStatus{r}) }
	d.routing.onRisk = d.raiseRisk
	d.routing.onSettled = d.logSettlement
	d.placement.assignedSessions = d.assignedSessions
}

// routerConfig returns the router's configuration with the retry limits of the
// settings.
func (d *Daemon) routerConfig(seed uint64) request.Config {
	cfg := request.DefaultConfig()
	cfg.Seed = seed
	s := d.settings.Retries
	cfg.MaxWait = cmp.Or(s.MaxWait.Std(), cfg.MaxWait)
	cfg.MaxRedirects = s.MaxRedirects
	if s.Ratio > 0 {
		cfg.Redirect = &retry.Config{Ratio: cfg.Retry.Ratio, Burst: cfg.Retry.Burst}
		cfg.Retry.Ratio = s.Ratio
		cfg.Retry.Burst = s.Burst
	}
	return cfg
}

// assignedSessions returns the owners and next owners of all slices in the map
// of owners.
func (d *Daemon) assignedSessions() (map[host.Session]bool, error) {
	return queryRouting(d, func(r *routingLoop, _ mono.Time) map[host.Session]bool { return r.assignedSessions() })
}

// objectWritten passes an object that this daemon wrote to the spread loop if it
// is of a kind that daemons exchange. If the ring is full, the relays' watches
// bring it.
func (d *Daemon) objectWritten(o objectstore.Object) {
	if o.Kind == session.ObjectKind && d.fleet.isLarge() {
		return
	}
	if o.Kind != document.Kind && slices.Contains(kindsOf(d.settings), spread.Kind(o.Kind)) {
		d.spread.ring.Push(objectWritten{o})
	}
}

// Self returns the daemon's session.
func (d *Daemon) Self() host.Session {
	return d.self
}

// SessionEnded delivers the final state of the session once it has ended: after
// a planned stop, or because it was recorded as lost. In the latter case the
// process goes on with a new Daemon.
func (d *Daemon) SessionEnded() <-chan session.State {
	return d.lease.ended
}

// raiseRisk passes an outcome at risk to the risk loop. It waits if the ring is
// full, since an outcome must not be dropped.
func (d *Daemon) raiseRisk(r request.Risk) {
	d.risk.ring.PushWait(riskRaised{risk: r}, d.risk.stop)
}

// logSettlement logs the final outcome of a request that was at risk.
func (d *Daemon) logSettlement(s request.Settlement) {
	d.log.Event(event.OutcomeSettled, "id", s.ID, "app", string(s.App), "outcome", s.Outcome.String())
}
