// Package daemon puts the duties of one daemon together and carries events
// and actions between the pure cores, the network, the store and the target.
package daemon

import (
	"cmp"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"

	"github.com/rhubarbring/rhubarbring/event"
	"github.com/rhubarbring/rhubarbring/gate"
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
	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/placement"
	"github.com/rhubarbring/rhubarbring/request"
	"github.com/rhubarbring/rhubarbring/result"
	"github.com/rhubarbring/rhubarbring/retry"
	"github.com/rhubarbring/rhubarbring/routes"
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
	// drainPatience bounds the handover of a planned stop. What is not handed
	// over by then is taken over like that of a lost session.
	drainPatience = 40 * time.Second
	// entryPatience bounds the answers to requests in flight; it is longer
	// than any deadline.
	entryPatience = 40 * time.Second
	// ackPatience bounds the wait for the last acknowledgements.
	ackPatience = time.Second
	// leavePatience bounds the record of the end in the store.
	leavePatience = 5 * time.Second
	// abandonGrace is how long a daemon whose session ended goes on refusing
	// requests before it closes its address.
	abandonGrace = 300 * time.Millisecond
	// savePatience bounds the wait for outcomes at risk to stand in the store
	// before a daemon ends. Copies of them are on other hosts.
	savePatience = 5 * time.Second
	stopPoll     = 20 * time.Millisecond
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

// Stop ends the daemon as planned: its slices are handed over, nothing in
// flight is cut off, and the session is recorded as left. If the settings bound
// the time of a stop, what is not done by then is left undone: the session is
// taken over like that of a lost one.
func (d *Daemon) Stop() {
	d.log.Event(event.Stopping, "reason", "asked")
	began := time.Now()
	d.stopping.Store(true)
	d.entry.Drain()
	d.await(d.settings.Stop.ServeFor.Std(), never)
	d.lease.wait(drainSession{})
	d.routing.ring.Wait(stopRequested{}, d.routing.stop)
	d.endCalls(began)
	d.await(d.patience(began, ackPatience, 1), d.acknowledged)
	d.lease.wait(leaveSession{})
	d.await(d.patience(began, leavePatience, 1), d.left)
	if d.left() && d.routing.idle.Load() {
		d.log.Event(event.PlannedStopDone, "released", d.routing.stopOwned.Load())
	}
	d.await(d.patience(began, savePatience, 1), d.risk.saved)
	d.closeDuties()
	d.log.Event(event.Stopped)
}

// endCalls hands the slices over and answers the callers. If the time of the
// stop is bounded, callers are taken no longer than they need to learn of it.
func (d *Daemon) endCalls(began time.Time) {
	idle := d.routing.idle.Load
	notice := func() time.Duration { return time.Until(began.Add(d.settings.Stop.Notice.Std())) }
	if d.settings.Stop.Within == 0 {
		d.await(drainPatience, idle)
		d.await(notice(), never)
		d.entry.Stop(entryPatience)
		return
	}
	// Other daemons may not learn of the stop from the store: what they send
	// is refused here in time for what runs to end.
	d.await(notice()-gate.DefaultConfig().DrainGrace, never)
	d.routing.ring.Wait(drainGate{}, d.routing.stop)
	d.await(notice(), never)
	d.entry.Stop(d.patience(began, entryPatience, answersPart))
	d.await(d.patience(began, drainPatience, answersPart), idle)
}

// answersPart is the part of a bounded stop by which callers are answered; the
// rest is for the records of the end.
const answersPart = 0.98

// never is a condition that is not met.
func never() bool {
	return false
}

// patience returns the time that a step of a stop that began at an instant may
// take: at most the step's own bound, and what is left of a part of the time
// that the settings allow.
func (d *Daemon) patience(began time.Time, bound time.Duration, part float64) time.Duration {
	within := d.settings.Stop.Within.Std()
	if within == 0 {
		return bound
	}
	left := time.Until(began.Add(time.Duration(part * float64(within))))
	return min(max(left, 0), bound)
}

// Abandon ends a daemon whose session is over already: it owns nothing any
// more, and other daemons take nothing of it. What arrives is refused, also
// what waited unread while the process was paused. What was sent is answered,
// and outcomes at risk are saved, before the daemon ends.
func (d *Daemon) Abandon() {
	d.log.Event(event.Stopping, "reason", "session ended")
	d.over.Store(true)
	d.entry.Drain()
	d.routing.ring.Wait(sessionEnded{session: d.self}, d.routing.stop)
	time.Sleep(abandonGrace)
	d.entry.Stop(entryPatience)
	d.await(savePatience, d.risk.saved)
	d.closeDuties()
	d.log.Event(event.Stopped)
}

// Close ends the daemon at once, as the end of its process would: nothing is
// handed over, nobody is told, and callers' connections break.
func (d *Daemon) Close() {
	d.entry.Close() // First, so that no caller is told what nobody keeps.
	d.closeDuties()
	d.log.Event(event.Stopped)
}

func (d *Daemon) closeDuties() {
	d.risk.close()
	d.spread.close()
	d.placement.close()
	d.routing.close()
	d.lease.close()
	d.store.close()
	d.stopAddresses()
}

func (d *Daemon) stopAddresses() {
	if d.metrics != nil {
		d.metrics.Stop()
	}
	d.control.Stop()
	d.peers.Close()
}

// acknowledged reports whether the gates know that their last answers reached
// the callers.
func (d *Daemon) acknowledged() bool {
	done, err := inquire(d, func(r *routingDuty, _ mono.Time) bool { return r.router.Acknowledged() })
	return err == nil && done
}

// left reports whether the session is over.
func (d *Daemon) left() bool {
	return len(d.lease.ended) > 0
}

// await waits for a condition, at most for the time given.
func (d *Daemon) await(patience time.Duration, done func() bool) {
	until := time.Now().Add(patience)
	poll := time.NewTicker(stopPoll)
	defer poll.Stop()
	for !done() && time.Now().Before(until) {
		<-poll.C
	}
}

// Limits implements entry.Router.
func (d *Daemon) Limits(app string) (entry.Limits, error) {
	if d.fleet.document.Load() == nil {
		return entry.Limits{}, &result.Error{Code: result.NotConfigured, Detail: "no document is in force yet"}
	}
	a, ok := d.fleet.app(key.App(app))
	if !ok {
		return entry.Limits{}, &result.Error{Code: result.UnknownApp, Field: "app", Detail: strconv.Quote(app) + " is not in the document"}
	}
	return entry.Limits{
		Keyed:           a.DividedByKey,
		DefaultDeadline: a.Deadline.Default.Std(),
		MaxDeadline:     a.Deadline.Maximum.Std(),
	}, nil
}

// Resolve implements entry.Router.
func (d *Daemon) Resolve(hostName, path string) (routes.Match, error) {
	doc := d.fleet.document.Load()
	if doc == nil {
		return routes.Match{}, &result.Error{Code: result.NotConfigured, Detail: "no document is in force yet"}
	}
	match, ok := doc.routes.Resolve(hostName, path)
	if !ok {
		return match, &result.Error{Code: result.UnknownRoute, Field: "path", Detail: "no route of the document leads there"}
	}
	return match, nil
}

// Submit implements entry.Router.
func (d *Daemon) Submit(s entry.Submission) bool {
	if d.over.Load() {
		s.Reply <- &request.Answer{ID: s.Request.ID, Code: request.FinalCode(s.Request, result.Draining), Owner: string(d.self.Host)}
		return true
	}
	return d.routing.ring.PushBelow(submissionLimit, submitted{s})
}

// Gone implements entry.Router.
func (d *Daemon) Gone(caller request.Caller) {
	d.routing.ring.Push(callerGone{caller})
}

// raise hands an outcome at risk to the risk duty. It waits for room: an
// outcome must not vanish.
func (d *Daemon) raise(r request.Risk) {
	d.risk.ring.Wait(riskRaised{risk: r}, d.risk.stop)
}

func (d *Daemon) settle(s request.Settlement) {
	d.log.Event(event.OutcomeSettled, "id", s.ID, "app", string(s.App), "outcome", s.Outcome.String())
}
