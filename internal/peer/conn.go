package peer

import (
	"context"
	"sync/atomic"

	"github.com/panjf2000/gnet/v2"

	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/internal/wire"
	"github.com/rhubarbring/rhubarbring/result"
)

// Bytes that may wait for one peer before sends to it are refused.
const maxOutboundBytes = 8 << 20

// Conn is one connection between two daemons.
type Conn struct {
	transport *Transport
	conn      gnet.Conn   // set before open is
	open      atomic.Bool // what is sent before that waits in the link's queue
	address   string      // where the connection was opened to; empty if a peer opened it
	hello     atomic.Pointer[wire.Hello]
	outbox    outbox
	buffered  atomic.Int64 // bytes that the kernel did not take yet
	closed    bool         // belongs to the event loop
	uncounted uncountedBytes
}

// Address returns the peer's address if this daemon opened the connection,
// else "".
func (c *Conn) Address() string {
	return c.address
}

// Session returns the session at the other end, as it said itself; nobody if
// nothing was said yet.
func (c *Conn) Session() host.Session {
	if hello := c.hello.Load(); hello != nil {
		return hello.Session
	}
	return host.Nobody
}

// Zone returns the availability zone at the other end, or "" if nothing was
// said yet.
func (c *Conn) Zone() host.Zone {
	if hello := c.hello.Load(); hello != nil {
		return hello.Zone
	}
	return ""
}

// Send sends a frame on this connection. It returns PeerUnreachable if the
// frame surely never left. Frames that are sent while the event loop is busy
// go out together; while the connection is being opened, they wait in order.
func (c *Conn) Send(frame []byte) error {
	if c.open.Load() {
		return c.write(frame)
	}
	return c.transport.linkTo(c.address).sendOn(c, frame)
}

// IsOpen reports whether the connection is open; what is sent before waits.
func (c *Conn) IsOpen() bool {
	return c.open.Load()
}

func (c *Conn) write(frame []byte) error {
	if c.outbox.bytes.Load()+c.buffered.Load() > maxOutboundBytes {
		return &result.Error{Code: result.PeerUnreachable, Field: c.address, Detail: "too much waits for the peer"}
	}
	if err := c.outbox.add(c, frame); err != nil {
		return &result.Error{Code: result.PeerUnreachable, Field: c.address, Cause: err}
	}
	c.transport.bytesOut.Inc(int64(len(frame)))
	c.transport.framesOut.Inc(1)
	c.transport.regionTraffic.count(c, frame)
	return nil
}

// handleFrame handles one frame. It returns false if the connection must close.
func (c *Conn) handleFrame(kind wire.Kind, payload []byte) bool {
	if kind != wire.KindHello {
		c.transport.handler.Frame(c, kind, payload)
		return true
	}
	hello, err := wire.Decode[wire.Hello](payload)
	if err != nil {
		return false
	}
	c.hello.Store(&hello)
	c.transport.regionTraffic.flushAll(c)
	if c.address == "" {
		_ = c.Send(c.transport.hello)
	}
	return true
}

func stopEngine(engine gnet.Engine) {
	ctx, cancel := context.WithTimeout(context.Background(), engineTimeout)
	defer cancel()
	_ = engine.Stop(ctx)
}
