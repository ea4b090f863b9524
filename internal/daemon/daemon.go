// Package daemon puts the duties of one daemon together and carries events
// and actions between the pure cores, the network, the store and the target.
package daemon

import (
	"cmp"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"

	"github.com/rhubarbring/rhubarbring/event"
	"github.com/rhubarbring/rhubarbring/handover"
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/internal/bootclock"
	"github.com/rhubarbring/rhubarbring/internal/control"
	"github.com/rhubarbring/rhubarbring/internal/controlrpc"
	"github.com/rhubarbring/rhubarbring/internal/entry"
	"github.com/rhubarbring/rhubarbring/internal/eventlog"
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
	"github.com/rhubarbring/rhubarbring/targetlife"
)

const (
	// drainReport is when a slice that drains is reported as slow.
	drainReport = 10 * time.Second
	// releaseResend is the time between two tellings of a release.
	releaseResend = 500 * time.Millisecond
	// stopGrace is how long a planned stop waits for placement to name the
	// next owners.
	stopGrace = 2 * time.Second
)

// Daemon is one life of a daemon: one session.
type Daemon struct {
	settings *settings.Daemon
	self     host.Session
	log      *eventlog.Log
	registry metrics.Registry
	dial     peer.Dial
	client   objectstore.Store
	protocol entry.Protocol
	targets  TargetMaker
	fleet    *fleet

	peers     *peer.Transport
	store     *storeDuty
	lease     *leaseDuty
	routing   *routingDuty
	placement *placementDuty
	spread    *spreadDuty
	risk      *riskDuty
	heard     *heardZones
	entry     *entry.Server
	control   *control.Server
	metrics   *control.Metrics // nil if the settings name no address

	// lifeMu guards what is known of the target's life.
	lifeMu        sync.Mutex
	life          targetlife.Judge
	lastAnnounced control.Announcement

	announced atomic.Pointer[session.Target]
	stopping  atomic.Bool
	over      atomic.Bool // the session ended by itself
}

// Option changes how a daemon is made.
type Option func(*Daemon)

// WithDial makes a daemon open its connections to other daemons and to the
// store by dial instead of by TCP directly.
func WithDial(dial peer.Dial) Option {
	return func(d *Daemon) { d.dial = dial }
}

// WithStore makes a daemon keep its objects in a store other than the one that
// package storeclient speaks to.
func WithStore(store objectstore.Store) Option {
	return func(d *Daemon) { d.client = store }
}

// WithProtocol makes a daemon speak another protocol than the project's own to
// callers.
func WithProtocol(protocol entry.Protocol) Option {
	return func(d *Daemon) { d.protocol = protocol }
}

// WithTargets makes a daemon speak another protocol than the project's own to
// the target on its host.
func WithTargets(targets TargetMaker) Option {
	return func(d *Daemon) { d.targets = targets }
}

// New returns a daemon that is not yet started.
func New(s *settings.Daemon, log *eventlog.Log, registry metrics.Registry, options ...Option) *Daemon {
	d := &Daemon{
		settings: s,
		self:     host.Session{Host: s.Host, Incarnation: uint64(time.Now().UnixNano())},
		log:      log,
		registry: registry,
		dial:     peer.DialTCP,
		fleet:    newFleet(),
		heard:    &heardZones{at: make(map[string]mono.Time), clock: bootclock.Now},
	}
	for _, option := range options {
		option(d)
	}
	if d.client == nil {
		d.client = storeclient.NewDialing(s.Store, storeTimeout, fasthttp.DialFuncWithTimeout(d.dial)).Scoped(s.Environment)
	}
	if d.protocol == nil {
		d.protocol = entry.NewAPI(s.Seed)
	}
	if d.targets == nil {
		d.targets = ownTargets
	}
	return d
}

func (d *Daemon) place() host.Place {
	return host.Place{Region: d.settings.Region, Zone: d.settings.Zone}
}

// machineID identifies the running machine: as the settings say, or else by its
// kernel.
func (d *Daemon) machineID() string {
	if d.settings.Machine != "" {
		return d.settings.Machine
	}
	return machine.ID()
}

// Start opens the daemon's addresses and starts its duties. If it returns an
// error, what it had opened is closed again.
func (d *Daemon) Start() error {
	hello := wire.Hello{Session: d.self, Zone: d.settings.Zone, Region: d.settings.Region}
	d.provision()
	peers, err := peer.Listen(d.settings.Peer, hello, &frames{d: d}, d.dial, d.registry)
	if err != nil {
		return err
	}
	d.peers = peers
	d.lease.peers = peers
	d.routing.peers = peers
	d.placement.peers = peers
	d.control = control.New(d, controlrpc.NewControlServer(d), d.registry)
	if err := d.control.Start(d.settings.Control); err != nil {
		d.peers.Close()
		return err
	}
	if d.settings.Metrics != "" {
		d.metrics = control.NewMetrics(d.registry)
		if err := d.metrics.Start(d.settings.Metrics); err != nil {
			d.control.Stop()
			d.peers.Close()
			return err
		}
	}
	d.entry = entry.New(d, d.protocol)
	if err := d.entry.Start(d.settings.Caller); err != nil {
		d.stopAddresses()
		return err
	}
	d.store.start()
	d.lease.start()
	d.routing.start()
	d.placement.start()
	d.spread.start()
	d.risk.start()
	d.log.Event(event.Started, "zone", string(d.settings.Zone), "incarnation", d.self.Incarnation)
	return nil
}

// provision makes the duties. They don't run before Start says so.
func (d *Daemon) provision() {
	seed := d.settings.Seed
	d.store = newStoreDuty(d.client, d.log, d.registry)
	d.lease = newLeaseDuty(session.Config{
		Session:     d.self,
		Place:       d.place(),
		Machine:     d.machineID(),
		Peer:        d.settings.Peer,
		Control:     d.settings.Control,
		Caller:      d.settings.Caller,
		Seed:        seed,
		Timing:      session.DefaultTiming(),
		JoinInStore: d.settings.JoinInStore,
	}, d, d.registry)
	routing := d.routerConfig(seed)
	d.routing = newRoutingDuty(d, routing, handover.Config{
		Self:        d.self,
		DrainReport: drainReport,
		Resend:      releaseResend,
		StopGrace:   stopGrace,
	}, d.registry)
	d.placement = newPlacementDuty(d, seed, d.registry)
	d.spread = newSpreadDuty(d, seed, d.registry)
	d.routing.released = func(r handover.Release) { d.placement.push(ownRelease{r}) }
	d.routing.reportLoad = func(r placement.LoadReport) { d.placement.push(ownLoad{r}) }
	d.risk = newRiskDuty(d, seed, d.registry)
	d.routing.targetGone = d.targetGone
	d.routing.raise = d.raise
	d.routing.settle = d.settle
	d.placement.onPack = d.packWritten
	d.placement.named = d.namedSessions
}

// routerConfig takes the settings' bounds of repeats over.
func (d *Daemon) routerConfig(seed uint64) request.Config {
	cfg := request.DefaultConfig()
	cfg.Seed = seed
	s := d.settings.Repeats
	cfg.MaxWait = cmp.Or(s.MaxWait.Std(), cfg.MaxWait)
	cfg.MaxRedirects = s.MaxRedirects
	if s.Ratio > 0 {
		cfg.Redirect = &retry.Config{Ratio: cfg.Retry.Ratio, Burst: cfg.Retry.Burst}
		cfg.Retry.Ratio = s.Ratio
		cfg.Retry.Burst = s.Burst
	}
	return cfg
}

func (d *Daemon) namedSessions() (map[host.Session]bool, error) {
	return inquire(d, func(r *routingDuty, _ mono.Time) map[host.Session]bool { return r.named() })
}

func (d *Daemon) packWritten(name string, version uint64, value []byte) {
	d.spread.ring.Push(objectWritten{objectstore.Object{Name: name, Version: version, Value: value}})
}

// Self returns the daemon's session.
func (d *Daemon) Self() host.Session {
	return d.self
}

// Ended is sent the final state of the session when it is over although no
// stop was asked for: it was recorded as lost. The process then goes on with a
// new Daemon.
func (d *Daemon) Ended() <-chan session.State {
	return d.lease.ended
}

// raise hands an outcome at risk to the risk duty. It waits for room: an
// outcome must not vanish.
func (d *Daemon) raise(r request.Risk) {
	d.risk.ring.Wait(riskRaised{risk: r}, d.risk.stop)
}

func (d *Daemon) settle(s request.Settlement) {
	d.log.Event(event.OutcomeSettled, "id", s.ID, "app", string(s.App), "outcome", s.Outcome.String())
}
