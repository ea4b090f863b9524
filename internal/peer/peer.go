// Package peer sends and receives frames between daemons over TCP, with gnet. A
// daemon opens one connection to each peer that it sends requests to; answers
// return on the connection that carried the request.
//
// A frame that never left the process is reported with Handler.SendFailed. If an
// open connection is lost, anything that was sent on it and not answered may or
// may not have arrived.
package peer

import (
	"context"
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
	// userTimeout is how long sent bytes may stay unacknowledged before the
	// kernel closes the connection.
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
	objectsOutName    = "peer.objects_bytes_out"
	bulkRefusedName   = "peer.objects_refused"
)

// Handler receives the transport's events. HandleFrame and ConnectionLost are
// called on event loops and must not block; SendFailed is called on a goroutine
// of its own.
type Handler interface {
	// HandleFrame is called for each received frame except a hello. The payload
	// is valid until HandleFrame returns.
	HandleFrame(from *Conn, kind wire.Kind, payload []byte)
	// SendFailed is called for each frame with a tag other than 0 that was
	// queued for a connection and never left the process.
	SendFailed(tag Tag)
	// ConnectionLost is called when an open connection to or from a peer
	// closes. The cause may be nil.
	ConnectionLost(conn *Conn, cause error)
}

// DialFunc opens a connection to an "IP:port" address within the timeout. The
// connection must have a file descriptor of the operating system, since gnet
// polls it.
type DialFunc func(address string, timeout time.Duration) (net.Conn, error)

// DialTCP is the DialFunc of a running daemon.
func DialTCP(address string, timeout time.Duration) (net.Conn, error) {
	return sockets.Dialer(timeout, userTimeout).Dial("tcp", address)
}

// Tag identifies a frame to its sender when SendFailed reports it. The tag 0
// means that no report is needed.
type Tag uint64

// Transport sends and receives frames between this daemon and its peers. It is
// safe for concurrent use.
type Transport struct {
	gnet.BuiltinEventEngine
	handler Handler
	dial    DialFunc
	hello   []byte
	// features is sent after the hello.
	features []byte
	client   *gnet.Client
	engine   gnet.Engine
	started  chan struct{}
	runErr   chan error
	ended    chan struct{} // Closed when the engine has ended.

	mu    sync.Mutex
	links map[string]*link

	bytesIn       metrics.Counter
	bytesOut      metrics.Counter
	framesOut     metrics.Counter
	objectsOut    metrics.Counter // Bytes of frames of wire.KindObjects.
	regionTraffic *regionTraffic
	held          held
	bulk          bulkQueue
	bulkRefused   metrics.Counter // Large frames that were not queued.
}

// Listen starts a transport that accepts connections on address, "IP:port", and
// opens connections to peers by dial. The hello is sent first on every
// connection, in both directions. It returns AddressInUse if another process
// listens on the address.
func Listen(address string, hello wire.Hello, handler Handler, dial DialFunc, registry metrics.Registry) (*Transport, error) {
	frame, err := wire.Encode(wire.KindHello, hello)
	if err != nil {
		return nil, err
	}
	features, err := wire.Encode(wire.KindFeatures, wire.Features{Bits: wire.FeatureParts | wire.FeatureLongRequests})
	if err != nil {
		return nil, err
	}
	t := &Transport{
		handler:       handler,
		dial:          dial,
		hello:         frame,
		features:      features,
		started:       make(chan struct{}),
		runErr:        make(chan error, 1),
		ended:         make(chan struct{}),
		links:         make(map[string]*link),
		bytesIn:       metrics.GetOrRegisterCounter(bytesInName, registry),
		bytesOut:      metrics.GetOrRegisterCounter(bytesOutName, registry),
		framesOut:     metrics.GetOrRegisterCounter(framesOutName, registry),
		objectsOut:    metrics.GetOrRegisterCounter(objectsOutName, registry),
		bulkRefused:   metrics.GetOrRegisterCounter(bulkRefusedName, registry),
		regionTraffic: newRegionTraffic(hello.Region, registry),
		held:          held{dropped: metrics.GetOrRegisterCounter(framesDroppedName, registry)},
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

// checkAddress listens on the address and closes it again, because gnet does
// not report why listening failed.
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
		defer close(t.ended)
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

// discardLogger drops gnet's own log lines, which have no event number. The
// transport reports what matters through its Handler.
func discardLogger() logging.Logger {
	return zap.NewNop().Sugar()
}

// Close stops the event loops and closes all connections.
func (t *Transport) Close() {
	_ = t.client.Stop()
	t.stopServer()
}

// stopServer stops accepting connections and waits until the server has ended. The
// engine's own wait looks for that only twice a second.
func (t *Transport) stopServer() {
	noWait, cancel := context.WithCancel(context.Background())
	cancel()
	_ = t.engine.Stop(noWait)
	select {
	case <-t.ended:
	case <-time.After(engineTimeout):
	}
}

// Send sends a frame to the peer at address and returns the connection that
// carries it, on which answers return. While the connection is being opened,
// the frame is queued. It returns PeerUnreachable if the frame certainly never
// left the process: the last attempt to connect or the last connection failed
// less than the reconnect delay ago, or too much is queued for the peer
// already.
func (t *Transport) Send(address string, frame []byte, tag Tag) (*Conn, error) {
	return t.linkTo(address).send(frame, tag)
}

// LacksLongRequests reports whether the peer at an address is known not to read
// messages of wire.KindLongRequest.
func (t *Transport) LacksLongRequests(address string) bool {
	return t.linkTo(address).lacks(wire.FeatureLongRequests)
}

// TryConnect reports whether a connection to the peer is open. If not, it starts
// opening one, unless the reconnect delay is running.
func (t *Transport) TryConnect(address string) bool {
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

// Forget closes the connection to a peer that is gone for good. Queued frames
// are reported with Handler.SendFailed.
func (t *Transport) Forget(address string) {
	t.mu.Lock()
	l := t.links[address]
	delete(t.links, address)
	t.mu.Unlock()
	if l != nil {
		l.close()
	}
}

// OnBoot is called by gnet once the server listens.
func (t *Transport) OnBoot(engine gnet.Engine) gnet.Action {
	t.engine = engine
	close(t.started)
	return gnet.None
}

// OnOpen is called by gnet for each connection that a peer has opened. A
// connection without the user timeout could hang forever, so it is closed if
// that option can't be set.
func (t *Transport) OnOpen(c gnet.Conn) ([]byte, gnet.Action) {
	conn := &Conn{transport: t, conn: c}
	conn.open.Store(true)
	c.SetContext(conn)
	if err := sockets.SetUserTimeout(c.Fd(), userTimeout); err != nil {
		return nil, gnet.Close
	}
	return nil, gnet.None
}

// OnTraffic is called by gnet when bytes arrive on a connection that a peer
// opened.
func (t *Transport) OnTraffic(c gnet.Conn) gnet.Action {
	return t.readFrames(c)
}

// OnClose is called by gnet when a connection that a peer opened closes.
func (t *Transport) OnClose(c gnet.Conn, err error) gnet.Action {
	if conn, ok := c.Context().(*Conn); ok {
		conn.closes()
		t.handler.ConnectionLost(conn, err)
	}
	return gnet.None
}

// readFrames handles all frames that have arrived completely. It closes the
// connection on a malformed frame.
func (t *Transport) readFrames(c gnet.Conn) gnet.Action {
	conn, ok := c.Context().(*Conn)
	if !ok {
		return gnet.Close
	}
	// Nothing reports when gnet has written what it buffered.
	conn.setBuffered(c.OutboundBuffered())
	for {
		if conn.dropping > 0 && !conn.drop(c) {
			return gnet.None
		}
		if c.InboundBuffered() < wire.HeaderBytes {
			return gnet.None
		}
		header, err := c.Peek(wire.HeaderBytes)
		if err != nil {
			return gnet.Close
		}
		kind, size, err := wire.ParseHeader(header)
		if err != nil {
			return gnet.Close
		}
		if c.InboundBuffered() < wire.HeaderBytes+size {
			if conn.dropsArriving(kind, size) {
				continue
			}
			conn.receives(wire.HeaderBytes + size)
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
		conn.receives(0)
	}
}
