package faulttest

import (
	"net"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"

	"github.com/rhubarbring/rhubarbring/internal/targetstand"
)

const (
	meanServiceMs = 5
	connectCost   = time.Millisecond
)

// trackingListener remembers its connections, so that all can be broken.
type trackingListener struct {
	net.Listener
	mu    sync.Mutex
	conns []net.Conn
}

func (l *trackingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns = append(l.conns, conn)
	return conn, nil
}

func (l *trackingListener) breakAll() {
	_ = l.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, conn := range l.conns {
		_ = conn.Close()
	}
}

func newTarget(t *testing.T, h *node, i int) *target {
	x := &target{stop: make(chan struct{}), address: address(t)}
	x.Target = targetstand.New(targetstand.Config{
		Name:         h.name(),
		App:          h.app,
		Address:      x.address,
		Daemon:       h.settings.Control,
		Slots:        slots,
		Queue:        slots,
		Connections:  connections,
		ConnectCost:  connectCost,
		ChecksGrants: checking[h.app],
		Seed:         uint64(i + 1),
		Journal:      &x.journal,
		Behaviour:    targetstand.Behaviour{MeanServiceMs: meanServiceMs, ColdFactor: 1, FalseLoad: -1},
	})
	ln, err := net.Listen("tcp", x.address)
	must.NoError(t, err)
	x.listen = &trackingListener{Listener: ln}
	x.server = targetstand.NewServer(x.Target)
	x.server.Logger = quiet{}
	go func() { _ = x.Serve(x.server, x.listen) }()
	go x.Announce(x.stop)
	return x
}

// close ends the target as the end of its process does: its connections
// break, and what runs comes to no end in its journal.
func (x *target) close() {
	select {
	case <-x.stop:
		return
	default:
	}
	close(x.stop)
	x.journal.end()
	x.listen.breakAll()
}

// quiet drops the lines of a stand-in's server about broken connections.
type quiet struct{}

func (quiet) Printf(string, ...any) {}

// alarms is the receiver of alarms.
type alarms struct {
	address string
	mu      sync.Mutex
	bodies  []string
}

func newAlarms(t *testing.T) *alarms {
	a := &alarms{address: address(t)}
	ln, err := net.Listen("tcp", a.address)
	must.NoError(t, err)
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.bodies = append(a.bodies, string(ctx.PostBody()))
	}}
	go func() { _ = server.Serve(ln) }()
	t.Cleanup(func() { _ = ln.Close() })
	return a
}

func (a *alarms) all() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]string(nil), a.bodies...)
}
