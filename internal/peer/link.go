package peer

import (
	"sync"
	"time"

	"github.com/panjf2000/gnet/v2"

	"github.com/rhubarbring/rhubarbring/charts"
	"github.com/rhubarbring/rhubarbring/result"
	"github.com/rhubarbring/rhubarbring/statechart"
)

const (
	// reconnectDelay is the time between a failed or lost connection and the
	// next attempt to connect.
	reconnectDelay = 250 * time.Millisecond
	// dialTimeout bounds one attempt to connect.
	dialTimeout = 500 * time.Millisecond
	// maxQueued bounds the frames that are queued while the connection is being
	// opened.
	maxQueued = 1024
)

const (
	eventNeed      statechart.Event = "need"
	eventOpened    statechart.Event = "opened"
	eventLost      statechart.Event = "lost"
	eventPauseOver statechart.Event = "pause_over"

	stateOpening statechart.State = "opening"
	stateOpen    statechart.State = "open"

	actionDial       statechart.Action = "dial"
	actionFailSent   statechart.Action = "fail_sent"
	actionStartPause statechart.Action = "start_pause"
)

var linkChart = charts.MustLoad("connection")

// queuedFrame is a frame that waits for the connection to open.
type queuedFrame struct {
	frame []byte
	tag   Tag
}

// link manages this daemon's connection to one peer: its state, as the
// connection state chart defines it, and the frames queued until it is open.
type link struct {
	transport *Transport
	address   string

	mu     sync.Mutex
	state  statechart.State
	conn   *Conn
	queue  []queuedFrame
	closed bool // set by Transport.Forget; no further connection is opened
}

func newLink(t *Transport, address string) *link {
	return &link{transport: t, address: address, state: linkChart.Initial}
}

func (l *link) send(frame []byte, tag Tag) (*Conn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.step(eventNeed)
	switch l.state {
	case stateOpen:
		return l.conn, l.conn.write(frame)
	case stateOpening:
		return l.conn, l.enqueue(queuedFrame{frame: frame, tag: tag})
	default:
		return nil, &result.Error{Code: result.PeerUnreachable, Field: l.address, Detail: "the last connection failed less than the reconnect delay ago"}
	}
}

// lacks reports whether the peer has identified itself and not said that it has a
// feature.
func (l *link) lacks(feature uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state == stateOpen && l.conn.hello.Load() != nil && l.conn.features.Load()&feature == 0
}

// readsParts reports whether the connection is open and the peer has said that it reads
// parts of frames.
func (l *link) readsParts() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state == stateOpen && l.conn.readsParts()
}

func (l *link) tryConnect() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.step(eventNeed)
	return l.state == stateOpen
}

// sendOn sends on a connection of this link that was not open when the sender
// checked. It may have opened or failed since.
func (l *link) sendOn(conn *Conn, frame []byte) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case conn.open.Load():
		return conn.write(frame)
	case l.conn == conn && l.state == stateOpening:
		return l.enqueue(queuedFrame{frame: frame})
	default:
		return &result.Error{Code: result.PeerUnreachable, Field: l.address, Detail: "the connection could not be opened"}
	}
}

func (l *link) enqueue(q queuedFrame) error {
	if len(l.queue) >= maxQueued {
		return &result.Error{Code: result.PeerUnreachable, Field: l.address, Detail: "too many messages wait for the connection"}
	}
	l.queue = append(l.queue, q)
	return nil
}

// step applies an event to the state chart and performs the transition's
// actions. The lock must be held.
func (l *link) step(e statechart.Event) {
	if l.closed {
		return
	}
	next, ok := linkChart.Next(l.state, e)
	if !ok {
		return
	}
	l.state = next.To
	for _, action := range next.Actions {
		l.perform(action)
	}
}

// perform carries out one action of the state chart.
func (l *link) perform(action statechart.Action) {
	switch action {
	case actionDial:
		l.conn = &Conn{transport: l.transport, address: l.address}
		go l.dial(l.conn)
	case actionFailSent:
		l.failQueue()
	case actionStartPause:
		time.AfterFunc(reconnectDelay, func() { l.handleEvent(eventPauseOver) })
	}
}

func (l *link) handleEvent(e statechart.Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.step(e)
}

// failQueue reports the queued frames as not sent. The lock must be held.
func (l *link) failQueue() {
	failed := l.queue
	l.queue = nil
	l.conn = nil
	if len(failed) > 0 {
		go l.transport.reportSendFailed(failed)
	}
}

func (l *link) dial(conn *Conn) {
	raw, err := l.transport.dial(l.address, dialTimeout)
	if err != nil {
		l.handleEvent(eventLost)
		return
	}
	c, err := l.transport.client.EnrollContext(raw, conn)
	if err != nil {
		l.handleEvent(eventLost)
		return
	}
	l.opened(conn, c)
}

// opened writes the hello and then the queued frames, before conn.open lets
// other goroutines write directly: the lock keeps the frames in order. It
// closes the connection if the link was closed meanwhile.
func (l *link) opened(conn *Conn, c gnet.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	conn.conn = c
	l.step(eventOpened)
	if l.closed || l.state != stateOpen {
		_ = c.Close()
		return
	}
	_ = conn.write(l.transport.hello)
	_ = conn.write(l.transport.features)
	frames := l.queue
	l.queue = nil
	for _, q := range frames {
		if err := conn.write(q.frame); err != nil {
			go l.transport.reportSendFailed([]queuedFrame{q})
		}
	}
	conn.open.Store(true)
}

func (l *link) lost(conn *Conn, err error) {
	l.mu.Lock()
	if l.conn == conn {
		l.step(eventLost)
	}
	l.mu.Unlock()
	l.transport.handler.ConnectionLost(conn, err)
}

func (l *link) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.state == stateOpen {
		_ = l.conn.conn.Close()
	}
	l.failQueue()
	l.closed = true
}

// reportSendFailed reports frames that never left the process. It runs on its
// own goroutine, since the handler must not be called with a link's lock held.
func (t *Transport) reportSendFailed(frames []queuedFrame) {
	for _, q := range frames {
		if q.tag != 0 {
			t.handler.SendFailed(q.tag)
		}
	}
}

// clientHandler receives the gnet events of the connections that this daemon
// opened.
type clientHandler struct {
	gnet.BuiltinEventEngine
	transport *Transport
}

// OnTraffic is called by gnet when bytes arrive.
func (e *clientHandler) OnTraffic(c gnet.Conn) gnet.Action {
	return e.transport.readFrames(c)
}

// OnClose is called by gnet when a connection closes.
func (e *clientHandler) OnClose(c gnet.Conn, err error) gnet.Action {
	conn, ok := c.Context().(*Conn)
	if !ok {
		return gnet.None
	}
	conn.closes()
	e.transport.linkTo(conn.address).lost(conn, err)
	return gnet.None
}
