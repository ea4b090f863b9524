package faulttest

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"

	"github.com/rhubarbring/rhubarbring/internal/faketarget"
)

const (
	meanServiceMs = 5
	connectCost   = time.Millisecond
)

// trackingListener tracks its connections so that all of them can be closed.
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

func (l *trackingListener) closeAll() {
	_ = l.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, conn := range l.conns {
		_ = conn.Close()
	}
}

// instances numbers the runs of targets.
var instances atomic.Uint64

func newTarget(t *testing.T, h *node, i int) *target {
	x := &target{stop: make(chan struct{}), address: freeAddress(t)}
	x.Target = faketarget.New(faketarget.Config{
		Name:         h.name(),
		App:          h.app,
		Address:      x.address,
		Daemon:       h.settings.ControlAddress,
		Slots:        slots,
		Queue:        slots,
		Connections:  connections,
		ConnectCost:  connectCost,
		ChecksGrants: checksGrants[h.app],
		Instance:     instances.Add(1),
		Seed:         uint64(i + 1),
		Journal:      &x.journal,
		Behaviour:    faketarget.Behaviour{MeanServiceMs: meanServiceMs, ColdFactor: 1, FalseLoad: -1},
	})
	ln, err := net.Listen("tcp", x.address)
	must.NoError(t, err)
	x.listener = &trackingListener{Listener: ln}
	x.server = faketarget.NewServer(x.Target)
	x.server.Logger = discardLogger{}
	go func() { _ = x.Serve(x.server, x.listener) }()
	go x.Announce(x.stop)
	return x
}

// close ends the target as the end of its process would: its connections break,
// and the journal gets no end for requests that are running.
func (x *target) close() {
	select {
	case <-x.stop:
		return
	default:
	}
	close(x.stop)
	x.journal.discardWrites()
	x.listener.closeAll()
}

// discardLogger drops the log lines that a target's server writes about broken
// connections.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

// alarmReceiver is an HTTP server that records the alarms it receives.
type alarmReceiver struct {
	address string
	mu      sync.Mutex
	bodies  []string
}

func newAlarmReceiver(t *testing.T) *alarmReceiver {
	a := &alarmReceiver{address: freeAddress(t)}
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

func (a *alarmReceiver) all() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]string(nil), a.bodies...)
}
