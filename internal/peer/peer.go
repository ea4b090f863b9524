// Package peer carries frames between daemons over TCP, by gnet. Each daemon
// opens one connection to each peer that it sends to; answers come back on
// the connection that the request went out on.
//
// A frame that never left the process is reported as unsent; a connection
// that is lost after it was open is reported as lost, and whatever was sent
// over it and not answered may have arrived.
package peer

import (
	"net"
	"sync"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/panjf2000/gnet/v2/pkg/logging"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/rhubarbring/rhubarbring/internal/listen"
	"github.com/rhubarbring/rhubarbring/internal/sockets"
	"github.com/rhubarbring/rhubarbring/internal/wire"
	"github.com/rhubarbring/rhubarbring/result"
)

const (
	// userTimeout is how long a peer may leave bytes without a sign that
	// they arrived, before the connection counts as lost.
	userTimeout       = 1200 * time.Millisecond
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveProbes   = 3
	engineTimeout     = 5 * time.Second
	clientEventLoops  = 1
	serverEventLoops  = 1
	bytesInName       = "peer.bytes_in"
	bytesOutName      = "peer.bytes_out"
	framesOutName     = "peer.frames_out"
)

// Handler takes what arrives. Its methods are called on the event loops and
// must not block.
type Handler interface {
	// Frame is called for each frame. The payload is valid until it returns.
	Frame(from *Conn, kind wire.Kind, payload []byte)
	// Unsent is called for a frame that never left the process.
	Unsent(tag Tag)
	// Lost is called when an open connection to or from a peer closes.
	Lost(conn *Conn, cause error)
}

// Dial opens a connection to an address, "IP:port", within a time. The
// connection must be one of the operating system's.
type Dial func(address string, timeout time.Duration) (net.Conn, error)

// DialTCP is the Dial of a running daemon.
func DialTCP(address string, timeout time.Duration) (net.Conn, error) {
	return sockets.Dialer(timeout, userTimeout).Dial("tcp", address)
}

// Tag is the sender's own mark on a frame, given back by Unsent. Zero marks a
// frame whose loss needs no report.
type Tag uint64

// Transport sends and receives frames. It is safe for concurrent use.
type Transport struct {
	gnet.BuiltinEventEngine
	handler  Handler
	dial     Dial
	hello    []byte
	client   *gnet.Client
	engine   gnet.Engine
	started  chan struct{}
	runErr chan error

	mu    sync.Mutex
	links map[string]*link

	bytesIn       metrics.Counter
	bytesOut      metrics.Counter
	framesOut     metrics.Counter
	regionTraffic *regionTraffic
}

// Listen starts a transport that takes connections on address, "IP:port", and
// opens its own by dial. It begins each with the hello message. It returns
// AddressInUse if it can't listen.
func Listen(address string, hello wire.Hello, handler Handler, dial Dial, registry metrics.Registry) (*Transport, error) {
	frame, err := wire.Encode(wire.KindHello, hello)
	if err != nil {
		return nil, err
	}
	t := &Transport{
		handler:       handler,
		dial:          dial,
		hello:         frame,
		started:       make(chan struct{}),
		runErr:      make(chan error, 1),
		links:         make(map[string]*link),
		bytesIn:       metrics.GetOrRegisterCounter(bytesInName, registry),
		bytesOut:      metrics.GetOrRegisterCounter(bytesOutName, registry),
		framesOut:     metrics.GetOrRegisterCounter(framesOutName, registry),
		regionTraffic: newRegionTraffic(hello.Region, registry),
	}
	if err := checkAddress(address); err != nil {
		return nil, err
	}
	if err := t.startClient(); err != nil {
		return nil, err
	}
	if err := t.startServer(address); err != nil {
		_ = t.client.Stop()
		return nil, err
	}
	return t, nil
}

// checkAddress opens and closes the address, since gnet hides why it can't be had.
func checkAddress(address string) error {
	listener, err := listen.TCP("peer", address)
	if err != nil {
		return err
	}
	return listener.Close()
}

func (t *Transport) startClient() error {
	client, err := gnet.NewClient(&clientHandler{transport: t}, append(options(), gnet.WithNumEventLoop(clientEventLoops))...)
	if err != nil {
		return err
	}
	t.client = client
	return client.Start()
}

func (t *Transport) startServer(address string) error {
	go func() {
		t.runErr <- gnet.Run(t, "tcp://"+address, append(options(), gnet.WithNumEventLoop(serverEventLoops))...)
	}()
	timer := time.NewTimer(engineTimeout)
	defer timer.Stop()
	select {
	case <-t.started:
		return nil
	case err := <-t.runErr:
		return &result.Error{Code: result.AddressInUse, Field: "peer", Detail: "cannot listen on " + address, Cause: err, Remedy: "free the address or name another"}
	case <-timer.C:
		return &result.Error{Code: result.AddressInUse, Field: "peer", Detail: "no listener on " + address + " in time"}
	}
}

func options() []gnet.Option {
	return []gnet.Option{
		gnet.WithTCPNoDelay(gnet.TCPNoDelay),
		gnet.WithTCPKeepAlive(keepAliveIdle),
		gnet.WithTCPKeepInterval(keepAliveInterval),
		gnet.WithTCPKeepCount(keepAliveProbes),
		gnet.WithReuseAddr(true),
		gnet.WithLogger(discardLogger()),
	}
}

// The transport reports what matters through its Handler; gnet's own log
// lines carry no event number and are dropped.
func discardLogger() logging.Logger {
	return zap.NewNop().Sugar()
}

// Close ends all connections.
func (t *Transport) Close() {
	_ = t.client.Stop()
	stopEngine(t.engine)
}

// Send sends a frame to the peer at address, and returns the connection that
// it goes out on: answers come back on it. It returns PeerUnreachable if the
// frame surely never left: the peer could not be reached a moment ago, or too
// much waits for it already.
func (t *Transport) Send(address string, frame []byte, tag Tag) (*Conn, error) {
	return t.linkTo(address).send(frame, tag)
}

// Reach reports whether a connection to the peer is open, and begins to open
// one if not.
func (t *Transport) Reach(address string) bool {
	return t.linkTo(address).tryConnect()
}

func (t *Transport) linkTo(address string) *link {
	t.mu.Lock()
	defer t.mu.Unlock()
	l, ok := t.links[address]
	if !ok {
		l = newLink(t, address)
		t.links[address] = l
	}
	return l
}

// Forget closes the connection to a peer that is gone for good.
func (t *Transport) Forget(address string) {
	t.mu.Lock()
	l := t.links[address]
	delete(t.links, address)
	t.mu.Unlock()
	if l != nil {
		l.close()
	}
}

// OnBoot is called by gnet when the server listens.
func (t *Transport) OnBoot(engine gnet.Engine) gnet.Action {
	t.engine = engine
	close(t.started)
	return gnet.None
}

// OnOpen is called by gnet for each connection that a peer opened.
func (t *Transport) OnOpen(c gnet.Conn) ([]byte, gnet.Action) {
	conn := &Conn{transport: t, conn: c}
	conn.open.Store(true)
	c.SetContext(conn)
	if err := sockets.SetUserTimeout(c.Fd(), userTimeout); err != nil {
		return nil, gnet.Close // A connection that can hang for good is of no use.
	}
	return nil, gnet.None
}

// OnTraffic is called by gnet when bytes arrive.
func (t *Transport) OnTraffic(c gnet.Conn) gnet.Action {
	return t.readFrames(c)
}

// OnClose is called by gnet when a connection that a peer opened ends.
func (t *Transport) OnClose(c gnet.Conn, err error) gnet.Action {
	if conn, ok := c.Context().(*Conn); ok {
		conn.closed = true
		t.handler.Lost(conn, err)
	}
	return gnet.None
}

func (t *Transport) readFrames(c gnet.Conn) gnet.Action {
	conn, ok := c.Context().(*Conn)
	if !ok {
		return gnet.Close
	}
	for c.InboundBuffered() >= wire.HeaderBytes {
		header, err := c.Peek(wire.HeaderBytes)
		if err != nil {
			return gnet.Close
		}
		kind, size, err := wire.ParseHeader(header)
		if err != nil {
			return gnet.Close
		}
		if c.InboundBuffered() < wire.HeaderBytes+size {
			return gnet.None
		}
		frame, err := c.Peek(wire.HeaderBytes + size)
		if err != nil {
			return gnet.Close
		}
		t.bytesIn.Inc(int64(len(frame)))
		if !conn.handleFrame(kind, frame[wire.HeaderBytes:]) {
			return gnet.Close
		}
		if _, err := c.Discard(wire.HeaderBytes + size); err != nil {
			return gnet.Close
		}
	}
	return gnet.None
}
