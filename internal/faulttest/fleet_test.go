// Package faulttest runs several daemons in one process, with a stand-in
// store and stand-in targets, and causes faults. What must hold is judged from
// what callers and targets saw.
package faulttest

import (
	"bytes"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"

	"github.com/rhubarbring/rhubarbring/document"
	"github.com/rhubarbring/rhubarbring/event"
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/internal/daemon"
	"github.com/rhubarbring/rhubarbring/internal/eventlog"
	"github.com/rhubarbring/rhubarbring/internal/judge"
	"github.com/rhubarbring/rhubarbring/internal/settings"
	"github.com/rhubarbring/rhubarbring/internal/storeclient"
	"github.com/rhubarbring/rhubarbring/internal/storestand"
	"github.com/rhubarbring/rhubarbring/internal/targetstand"
	"github.com/rhubarbring/rhubarbring/status"
)

const (
	environment  = "trial"
	firstPort    = 27000
	lastPort     = 31999
	storeHistory = 100000
	maxFleets    = 4
	slots        = 6
	connections  = 60
	poll         = 20 * time.Millisecond
	// bound is how long a test waits for what must come to pass at some time.
	bound       = 40 * time.Second
	callTimeout = 2 * time.Second
)

var zones = []struct{ region, zone string }{
	{"mainland", "mainland-1"}, {"islands", "islands-1"}, {"mainland", "mainland-2"}, {"islands", "islands-2"},
}

// apps are the apps of the hosts, in turn.
var apps = []string{
	"booking", "booking", "availability", "availability", "booking", "booking", "payments", "payments", "availability",
}

// checking are the apps whose targets check grants.
var checking = map[string]bool{"booking": true, "payments": true}

// fleet is a running system of one test.
type fleet struct {
	t       *testing.T
	net     *network
	store   *storestand.Server
	storeAt string
	client  *storeclient.Client // of the environment's objects
	hosts   []*node
	alarms  *alarms
	mu      sync.Mutex
	faults  []judge.Fault
	log     lockedBuffer
}

// node is a host: a daemon's addresses, and the target beside it.
type node struct {
	f        *fleet
	settings settings.Daemon
	app      string
	target   *target

	mu     sync.Mutex
	daemon *daemon.Daemon
	log    *eventlog.Log
	down   bool
	// over is closed when the process is to end; ended says that its session
	// ended by itself and the daemon is on its way out.
	over  chan struct{}
	ended bool
	lives sync.WaitGroup
}

// places bounds how many fleets run at a time, since each needs many files.
var places = make(chan struct{}, maxFleets)

// target is a stand-in with its listener and journal.
type target struct {
	*targetstand.Target
	server  *fasthttp.Server
	address string
	listen  *trackingListener
	stop    chan struct{}
	journal lockedBuffer
}

// lockedBuffer is a buffer that several goroutines write to.
type lockedBuffer struct {
	mu    sync.Mutex
	buf   bytes.Buffer
	ended bool
}

// end drops what is written from now on.
func (b *lockedBuffer) end() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ended = true
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ended {
		return len(p), nil
	}
	return b.buf.Write(p)
}

func (b *lockedBuffer) reader() io.Reader {
	b.mu.Lock()
	defer b.mu.Unlock()
	return bytes.NewReader(bytes.Clone(b.buf.Bytes()))
}

var ports = struct {
	mu   sync.Mutex
	next int
}{next: firstPort + os.Getpid()*64%(lastPort-firstPort)}

// address returns a free address of the range that tests use.
func address(t *testing.T) string {
	ports.mu.Lock()
	defer ports.mu.Unlock()
	for range lastPort - firstPort {
		a := "127.0.0.1:" + strconv.Itoa(ports.next)
		ports.next++
		if ports.next > lastPort {
			ports.next = firstPort
		}
		if ln, err := net.Listen("tcp", a); err == nil {
			must.NoError(t, ln.Close())
			return a
		}
	}
	t.Fatal("no free port")
	return ""
}

// newFleet starts a store with a document, a receiver of alarms, and a daemon
// and a target for each of the apps' hosts, and waits until all are ready.
func newFleet(t *testing.T) *fleet {
	t.Parallel()
	places <- struct{}{}
	t.Cleanup(func() { <-places })
	f := &fleet{t: t, net: newNetwork(), alarms: newAlarms(t)}
	f.startStore()
	for i := range apps {
		f.hosts = append(f.hosts, f.newNode(i))
	}
	t.Cleanup(f.close)
	for _, h := range f.hosts {
		h.start()
	}
	// Placement then meets all targets at once and has nothing to even out.
	f.eventually("all targets are known", f.allTargetsKnown)
	f.putDocument()
	f.eventually("all daemons are ready", func() bool {
		for _, h := range f.hosts {
			if h.live().Ready() != nil {
				return false
			}
		}
		return true
	})
	f.eventually("each host owns its part", func() bool {
		for _, h := range f.hosts {
			s := h.status().Slices
			if s.Owned == 0 || s.Draining > 0 {
				return false
			}
		}
		return f.unowned(f.hosts[0]) == 0
	})
	return f
}

func (f *fleet) allTargetsKnown() bool {
	for _, h := range f.hosts {
		known := 0
		for _, s := range h.status().Fleet {
			if s.App != "" {
				known++
			}
		}
		if known != len(f.hosts) {
			return false
		}
	}
	return true
}

func (f *fleet) startStore() {
	f.storeAt = address(f.t)
	f.store = storestand.New(storestand.Config{Seed: 1, History: storeHistory})
	ln, err := net.Listen("tcp", f.storeAt)
	must.NoError(f.t, err)
	go func() { _ = f.store.Serve(ln) }()
	f.net.name(f.storeAt, storeName)
	f.client = storeclient.New(f.storeAt, callTimeout).Scoped(environment)
}

// putDocument writes the first document.
func (f *fleet) putDocument() {
	raw := f.document()
	stored := document.Stored{Version: 1, Hash: document.HashOf(raw), Content: string(raw), Token: "first", Who: "test"}
	value, err := stored.Encode()
	must.NoError(f.t, err)
	_, err = f.client.Put(document.Kind, environment, 0, value)
	must.NoError(f.t, err)
}

// document returns the example with the test's receiver of alarms.
func (f *fleet) document() []byte {
	raw, err := os.ReadFile("../../examples/kalderimi.json")
	must.NoError(f.t, err)
	return []byte(strings.ReplaceAll(string(raw), "127.0.0.1:7999", f.alarms.address))
}

func (f *fleet) newNode(i int) *node {
	place := zones[i%len(zones)]
	h := &node{f: f, app: apps[i], settings: settings.Daemon{
		Host:        host.ID("h" + strconv.Itoa(i+1)),
		Region:      host.Region(place.region),
		Zone:        host.Zone(place.zone),
		Environment: environment,
		Peer:        address(f.t),
		Control:     address(f.t),
		Caller:      address(f.t),
		Store:       f.storeAt,
		Seed:        uint64(i + 1),
	}}
	f.net.name(h.settings.Peer, h.name())
	f.net.name(h.settings.Control, h.name())
	h.target = newTarget(f.t, h, i)
	return h
}

func (h *node) name() string { return string(h.settings.Host) }

// start begins a life of the host's process: one session after another.
func (h *node) start() {
	h.mu.Lock()
	h.over = make(chan struct{})
	h.down, h.ended = false, false
	over := h.over
	h.mu.Unlock()
	d := h.begin()
	h.lives.Go(func() { h.run(d, over) })
}

func (h *node) begin() *daemon.Daemon {
	registry := metrics.NewRegistry()
	log := eventlog.New(&h.f.log, event.Info, h.settings.Host, registry)
	s := h.settings
	d := daemon.New(&s, log, registry, daemon.WithDial(h.f.net.dial(h.name())))
	h.mu.Lock()
	defer h.mu.Unlock()
	if err := d.Start(); err != nil {
		h.f.t.Errorf("%s does not start: %v", h.name(), err)
	}
	h.daemon, h.log, h.ended = d, log, false
	return d
}

// run does what the daemon's main does: a session that was recorded lost is
// followed by a new one.
func (h *node) run(d *daemon.Daemon, over <-chan struct{}) {
	for {
		select {
		case <-over:
			return
		case <-d.Ended():
		}
		if !h.setEnded() {
			return
		}
		d.Abandon()
		d = h.begin()
	}
}

func (h *node) setEnded() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ended = !h.down
	return h.ended
}

func (h *node) isDown() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.down
}

func (h *node) live() *daemon.Daemon {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.daemon
}

// takeDown ends the process's way to further sessions. If one is being
// abandoned, it waits for the next.
func (h *node) takeDown() *daemon.Daemon {
	for {
		h.mu.Lock()
		if !h.ended {
			defer h.mu.Unlock()
			if !h.down {
				h.down = true
				close(h.over)
			}
			return h.daemon
		}
		h.mu.Unlock()
		time.Sleep(poll)
	}
}

// kill ends the daemon and its target as the loss of the host does.
func (h *node) kill() {
	h.f.fault(judge.Kill, h)
	d := h.takeDown()
	h.target.close()
	d.Close()
}

// stop ends the daemon as planned, and the target after it.
func (h *node) stop() {
	end := h.f.fault(judge.PlannedStop, h)
	h.target.Drain()
	h.takeDown().Stop()
	end()
	h.target.close()
}

func (h *node) status() status.Daemon {
	s, err := h.live().Status()
	if err != nil {
		return status.Daemon{Unowned: []status.Unowned{{Slices: 1 << 20}}}
	}
	return s.(status.Daemon)
}

// unowned counts the slices without a living owner, as a host knows it.
func (f *fleet) unowned(h *node) int {
	n := 0
	for _, u := range h.status().Unowned {
		n += u.Slices
	}
	return n
}

// lostAndReplaced reports whether a session is recorded as ended and each slice
// has a living owner, as a host knows it.
func (f *fleet) lostAndReplaced(s host.Session, at *node) bool {
	for _, other := range at.status().Fleet {
		if other.Session == s && !other.State.Final() {
			return false
		}
	}
	return f.unowned(at) == 0
}

// eventually waits for a condition, generously: how long it took is for the
// caller to judge.
func (f *fleet) eventually(what string, holds func() bool) time.Duration {
	f.t.Helper()
	began := time.Now()
	for !holds() {
		if time.Since(began) > bound {
			f.t.Fatalf("%s: not within %s", what, bound)
		}
		time.Sleep(poll)
	}
	return time.Since(began)
}

func (f *fleet) close() {
	var ends sync.WaitGroup
	for _, h := range f.hosts {
		ends.Go(func() {
			if h.live() == nil {
				return
			}
			if !h.isDown() {
				h.target.close()
				h.takeDown().Close()
			}
			h.lives.Wait()
			h.log.Close()
		})
	}
	ends.Wait()
	_ = f.store.Close()
	if f.t.Failed() {
		f.keepLog()
	}
}

// keepLog leaves the daemons' log lines of a failed test in a file.
func (f *fleet) keepLog() {
	file, err := os.CreateTemp("", "faulttest-*.log")
	if err != nil {
		return
	}
	defer func() { _ = file.Close() }()
	_, _ = io.Copy(file, f.log.reader())
	f.t.Logf("the daemons' log: %s", file.Name())
}

// restart begins another life of a host that was killed or stopped.
func (h *node) restart() {
	h.lives.Wait()
	i := int(h.settings.Seed - 1)
	journal := h.target.journal.reader()
	h.target = newTarget(h.f.t, h, i)
	_, _ = io.Copy(&h.target.journal, journal)
	h.start()
}
