// Package scale runs a fleet of daemons in one process against a fake store, to
// measure what the control plane costs each daemon as the fleet grows. Each
// daemon has its own loopback addresses, and a target that is announced but gets
// no requests.
package scale

import (
	"fmt"
	"io"
	"runtime"
	"strconv"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/sys/unix"

	"github.com/rhubarbring/rhubarbring/document"
	"github.com/rhubarbring/rhubarbring/event"
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/internal/control"
	"github.com/rhubarbring/rhubarbring/internal/daemon"
	"github.com/rhubarbring/rhubarbring/internal/eventlog"
	"github.com/rhubarbring/rhubarbring/internal/fakestore"
	"github.com/rhubarbring/rhubarbring/internal/listen"
	"github.com/rhubarbring/rhubarbring/internal/settings"
	"github.com/rhubarbring/rhubarbring/internal/storeclient"
	"github.com/rhubarbring/rhubarbring/result"
	"github.com/rhubarbring/rhubarbring/session"
)

const (
	environment    = "trial"
	announceEvery  = time.Second
	readyPoll      = 50 * time.Millisecond
	storeHistory   = 10000
	slots          = 12
	connections    = 130
	portsPerDaemon = 3
	storeTimeout   = 2 * time.Second
	bytesPerMiB    = 1 << 20
	metricBytes    = "peer.bytes_out"
)

// Config describes one measurement.
type Config struct {
	// Daemons is the size of the fleet.
	Daemons int
	// BasePort is the first port; 3*Daemons+1 ports are used.
	BasePort int
	// SettleTime is the time between readiness and the measurement, and Duration
	// the length of the measurement.
	SettleTime time.Duration
	Duration   time.Duration
	// ReadyTimeout bounds the wait for readiness.
	ReadyTimeout time.Duration
	// AbsentSessions is the number of further sessions that the store records as
	// live but whose daemons do not run. They give the running daemons the state
	// of a large fleet.
	AbsentSessions int
	// Document is the document in force, for the environment "trial".
	Document []byte
	// Seed seeds the daemons' random number generators.
	Seed uint64
}

// Result is the measurement of one fleet; the figures are per daemon unless
// stated otherwise.
type Result struct {
	Daemons int
	// ReadySeconds is the time from the start of the first daemon until all were
	// ready.
	ReadySeconds float64
	// CPUPercent is the processor time of one daemon, in percent of a core. It is
	// the whole process's time, the store's included, divided by the daemons.
	CPUPercent float64
	// MemoryMiB is the memory of one daemon after a collection: heap spans and
	// stacks in use, above those before the start of the daemons.
	MemoryMiB float64
	// BytesOut is the number of bytes per second that one daemon sent to peers.
	BytesOut float64
	// StoreReads and StoreWrites are store calls per second of the whole fleet
	// during the measurement; StartReads and StartWrites are the numbers of calls
	// until readiness, including those that fill the store.
	StoreReads  float64
	StoreWrites float64
	StartReads  uint64
	StartWrites uint64
}

// fleet holds the daemons of one measurement and their store.
type fleet struct {
	cfg          Config
	doc          *document.Document
	store        *fakestore.Server
	storeAddress string
	daemons      []*daemon.Daemon
	registries   []metrics.Registry
	logs         []*eventlog.Log
	stop         chan struct{}
}

// Run starts a fleet, measures it and stops it.
func Run(cfg Config) (Result, error) {
	doc, problems := document.Parse(cfg.Document)
	if err := problems.Err(); err != nil {
		return Result{}, err
	}
	f := &fleet{cfg: cfg, doc: doc, stop: make(chan struct{})}
	defer f.close()
	if err := f.startStore(); err != nil {
		return Result{}, err
	}
	before := memoryInUse()
	began := time.Now()
	if err := f.startDaemons(); err != nil {
		return Result{}, err
	}
	if err := f.awaitReady(began); err != nil {
		return Result{}, err
	}
	r := Result{Daemons: cfg.Daemons, ReadySeconds: time.Since(began).Seconds()}
	start := f.store.Calls()
	r.StartReads, r.StartWrites = start.Reads, start.Writes
	time.Sleep(cfg.SettleTime)
	f.measure(&r)
	r.MemoryMiB = float64(memoryInUse()-before) / bytesPerMiB / float64(cfg.Daemons)
	return r, nil
}

func (f *fleet) measure(r *Result) {
	calls, cpu, bytes := f.store.Calls(), cpuTime(), f.bytesOut()
	time.Sleep(f.cfg.Duration)
	after := f.store.Calls()
	seconds, n := f.cfg.Duration.Seconds(), float64(f.cfg.Daemons)
	r.CPUPercent = (cpuTime() - cpu).Seconds() / seconds / n * 100
	r.BytesOut = float64(f.bytesOut()-bytes) / seconds / n
	r.StoreReads = float64(after.Reads-calls.Reads) / seconds
	r.StoreWrites = float64(after.Writes-calls.Writes) / seconds
}

func (f *fleet) startStore() error {
	f.store = fakestore.New(fakestore.Config{Seed: f.cfg.Seed, History: storeHistory})
	f.storeAddress = address(f.cfg.BasePort)
	listener, err := listen.TCP("base-port", f.storeAddress)
	if err != nil {
		return err
	}
	go func() { _ = f.store.Serve(listener) }()
	stored := document.Stored{Version: 1, Hash: document.HashOf(f.cfg.Document), Content: string(f.cfg.Document), Token: "scale", Who: "scale"}
	raw, err := stored.Encode()
	if err != nil {
		return err
	}
	client := storeclient.New(f.storeAddress, storeTimeout)
	if _, err := client.Put(document.Kind, environment, 0, raw); err != nil {
		return err
	}
	return f.putAbsentSessions(client.ForEnvironment(environment))
}

// putAbsentSessions writes the records of sessions whose daemons do not run.
// Each names the next session.WitnessCount of them as its witnesses, so that
// no running daemon takes it over.
func (f *fleet) putAbsentSessions(client *storeclient.Client) error {
	for i := range f.cfg.AbsentSessions {
		r := f.absentRecord(i)
		raw, err := r.Encode()
		if err != nil {
			return err
		}
		if _, err := client.Put(session.ObjectKind, session.ObjectName(r.Session), 0, raw); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) absentRecord(i int) session.Record {
	region := f.doc.Regions[i%len(f.doc.Regions)]
	witnesses := make([]host.Session, 0, session.WitnessCount)
	for w := 1; w <= session.WitnessCount; w++ {
		witnesses = append(witnesses, absentSession((i+w)%f.cfg.AbsentSessions))
	}
	return session.Record{
		Token:          "absent#" + strconv.Itoa(i),
		Session:        absentSession(i),
		Place:          host.Place{Region: region.Name, Zone: region.Zones[i/len(f.doc.Regions)%len(region.Zones)]},
		PeerAddress:    address(1),
		ControlAddress: address(1),
		CallerAddress:  address(1),
		State:          session.Live,
		Generation:     1,
		Witnesses:      witnesses,
		Target: &session.Target{
			App: f.doc.Apps[i%len(f.doc.Apps)].Name, Address: address(1), Slots: slots, Connections: connections, ChecksGrants: true,
		},
	}
}

// absentSession returns the i-th absent session. Its name sorts after those of
// the running daemons, so that these are the relays of their zones.
func absentSession(i int) host.Session {
	return host.Session{Host: host.ID(fmt.Sprintf("z%05d", i)), Incarnation: 1}
}

func (f *fleet) startDaemons() error {
	for i := range f.cfg.Daemons {
		registry := metrics.NewRegistry()
		s := f.settings(i)
		log := eventlog.New(io.Discard, event.Warn, s.Host, registry)
		d := daemon.New(daemon.NewProcess(s), log, registry)
		if err := d.Start(); err != nil {
			return err
		}
		f.daemons = append(f.daemons, d)
		f.registries = append(f.registries, registry)
		f.logs = append(f.logs, log)
	}
	go f.announce()
	return nil
}

func (f *fleet) settings(i int) *settings.Daemon {
	region := f.doc.Regions[i%len(f.doc.Regions)]
	zone := region.Zones[i/len(f.doc.Regions)%len(region.Zones)]
	port := f.cfg.BasePort + 1 + i*portsPerDaemon
	return &settings.Daemon{
		Host:           host.ID(fmt.Sprintf("h%05d", i)),
		Region:         region.Name,
		Zone:           zone,
		Environment:    environment,
		PeerAddress:    address(port),
		ControlAddress: address(port + 1),
		CallerAddress:  address(port + 2),
		StoreAddress:   f.storeAddress,
		Seed:           f.cfg.Seed + uint64(i),
	}
}

func address(port int) string {
	return "127.0.0.1:" + strconv.Itoa(port)
}

// announce announces all targets to their daemons, one after another, every
// announceEvery.
func (f *fleet) announce() {
	tick := time.NewTicker(announceEvery)
	defer tick.Stop()
	for {
		for i, d := range f.daemons {
			app := f.doc.Apps[i%len(f.doc.Apps)].Name
			_, _ = d.Announce(control.Announcement{
				App: string(app), Address: address(1), Slots: slots, Connections: connections, ChecksGrants: true, State: control.StateWarm,
			})
		}
		select {
		case <-f.stop:
			return
		case <-tick.C:
		}
	}
}

func (f *fleet) awaitReady(began time.Time) error {
	for _, d := range f.daemons {
		for d.CheckReady() != nil {
			if time.Since(began) > f.cfg.ReadyTimeout {
				return &result.Error{Code: result.NotConfigured, Detail: "a daemon did not become ready in time", Cause: d.CheckReady()}
			}
			time.Sleep(readyPoll)
		}
	}
	return nil
}

func (f *fleet) bytesOut() int64 {
	total := int64(0)
	for _, r := range f.registries {
		total += metrics.GetOrRegisterCounter(metricBytes, r).Count()
	}
	return total
}

// close stops the daemons without the steps of a planned stop.
func (f *fleet) close() {
	close(f.stop)
	var ending sync.WaitGroup
	for i, d := range f.daemons {
		ending.Go(func() {
			d.StopAfterSessionEnd()
			f.logs[i].Close()
		})
	}
	ending.Wait()
	_ = f.store.Close()
}

// memoryInUse returns the bytes of heap spans and stacks in use after a
// garbage collection.
func memoryInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}

func cpuTime() time.Duration {
	var usage unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
