package peer

import (
	"sync/atomic"

	"github.com/panjf2000/gnet/v2"

	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/internal/wire"
	"github.com/rhubarbring/rhubarbring/result"
)

// maxOutboundBytes bounds the bytes that wait to be written to one connection;
// above it, sends are refused. It has room for two of the largest messages.
const maxOutboundBytes = 2 * wire.MaxPayloadBytes

// Conn is one connection between two daemons.
type Conn struct {
	transport *Transport
	conn      gnet.Conn   // set before open becomes true
	open      atomic.Bool // until it is true, sent frames wait in the link's queue
	address   string      // the address that this daemon dialed; empty if the peer opened the connection
	hello     atomic.Pointer[wire.Hello]
	features  atomic.Uint64 // wire.Features of the peer
	outbox    outbox
	buffered  atomic.Int64 // bytes that gnet holds because the kernel's send buffer is full
	// The next four are accessed only on the event loop: whether the connection has
	// closed, the bytes counted for the message that arrives, the bytes left of one
	// that is dropped, and the parts that have arrived of a frame.
	closed    bool
	arriving  int
	dropping  int
	parts     partBuffer
	uncounted uncountedBytes
}

// Address returns the address that this daemon dialed, or "" if the peer opened
// the connection.
func (c *Conn) Address() string {
	return c.address
}

// Session returns the peer's session as stated in its hello, or host.NoSession
// before the hello has arrived.
func (c *Conn) Session() host.Session {
	if hello := c.hello.Load(); hello != nil {
		return hello.Session
	}
	return host.NoSession
}

// Zone returns the peer's availability zone as stated in its hello, or ""
// before the hello has arrived.
func (c *Conn) Zone() host.Zone {
	if hello := c.hello.Load(); hello != nil {
		return hello.Zone
	}
	return ""
}

// Send sends a frame on this connection. Frames that are sent while the event
// loop is busy are written together; while the connection is being opened, they
// are queued in order. It returns PeerUnreachable if the frame certainly never
// left the process.
func (c *Conn) Send(frame []byte) error {
	if c.open.Load() {
		return c.write(frame)
	}
	return c.transport.linkTo(c.address).sendOn(c, frame)
}

// IsOpen reports whether the connection has been opened; frames that are sent
// before are queued. It stays true after the connection has closed.
func (c *Conn) IsOpen() bool {
	return c.open.Load()
}

// write queues a frame for the event loop. The bound on waiting bytes is
// approximate, since bytes are in neither counter while the event loop writes
// them.
func (c *Conn) write(frame []byte) error {
	if c.outbox.bytes.Load()+c.buffered.Load() > maxOutboundBytes {
		return &result.Error{Code: result.PeerUnreachable, Field: c.address, Detail: "more than 8 MiB wait to be written to the peer"}
	}
	if err := c.outbox.add(c, frame); err != nil {
		return &result.Error{Code: result.PeerUnreachable, Field: c.address, Cause: err}
	}
	c.transport.held.bytes.Add(int64(len(frame)))
	c.transport.bytesOut.Inc(int64(len(frame)))
	c.transport.framesOut.Inc(1)
	if kind := wire.KindOf(frame); kind == wire.KindObjects || kind == wire.KindPart {
		c.transport.objectsOut.Inc(int64(len(frame)))
	}
	c.transport.regionTraffic.count(c, frame)
	return nil
}

// handleFrame handles one received frame. It returns false if the connection must
// close.
func (c *Conn) handleFrame(kind wire.Kind, payload []byte) bool {
	switch kind {
	case wire.KindHello:
		return c.handleHello(payload)
	case wire.KindFeatures:
		return c.handleFeatures(payload)
	case wire.KindPart:
		return c.handlePart(payload)
	default:
		c.transport.handler.HandleFrame(c, kind, payload)
		return true
	}
}

func (c *Conn) handleFeatures(payload []byte) bool {
	features, err := wire.Decode[wire.Features](payload)
	if err != nil {
		return false
	}
	c.features.Store(features.Bits)
	return true
}

// readsParts reports whether the peer has said that it reads parts of frames.
func (c *Conn) readsParts() bool {
	return c.features.Load()&wire.FeatureParts != 0
}

// handleHello answers the hello of a peer that opened the connection with this daemon's
// own.
func (c *Conn) handleHello(payload []byte) bool {
	hello, err := wire.Decode[wire.Hello](payload)
	if err != nil {
		return false
	}
	c.hello.Store(&hello)
	c.transport.regionTraffic.flushAll(c)
	if c.address == "" {
		_ = c.Send(c.transport.hello)
		_ = c.Send(c.transport.features)
	}
	return true
}
