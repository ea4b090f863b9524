package peer

import (
	"sync/atomic"

	"github.com/panjf2000/gnet/v2"
	"github.com/rcrowley/go-metrics"

	"github.com/rhubarbring/rhubarbring/internal/wire"
)

const (
	// longFrameBytes is the size from which a request may be dropped for lack of
	// memory. Shorter ones take little.
	longFrameBytes    = 64 << 10
	framesDroppedName = "peer.frames_dropped"
)

// held counts the bytes in memory that connections between daemons make this daemon
// hold: messages that are arriving, by their announced length, and messages that
// wait to be written. It is safe for concurrent use.
type held struct {
	bytes   atomic.Int64
	limit   atomic.Int64 // 0: no bound
	dropped metrics.Counter
}

// HeldBytes returns how many bytes connections between daemons make this daemon hold.
func (t *Transport) HeldBytes() int {
	return int(t.held.bytes.Load())
}

// Dropped returns how many requests were dropped for lack of memory since the process
// started.
func (t *Transport) Dropped() int {
	return int(t.held.dropped.Count())
}

// LimitHeldBytes sets the bound from which long requests that begin to arrive are
// dropped; 0 is no bound. A request is never dropped while little else is held.
func (t *Transport) LimitHeldBytes(bytes int) {
	t.held.limit.Store(int64(bytes))
}

// receives counts the message that arrives on a connection, or 0 for none. It is
// called on the event loop only.
func (c *Conn) receives(bytes int) {
	c.transport.held.bytes.Add(int64(bytes - c.arriving))
	c.arriving = bytes
}

// dropsArriving begins to drop a message that has not yet arrived, if it is a long
// request for which there is no room. Its sender's deadline decides, as with a
// message that is lost.
func (c *Conn) dropsArriving(kind wire.Kind, size int) bool {
	h := &c.transport.held
	limit, others := h.limit.Load(), h.bytes.Load()-int64(c.arriving)
	if kind != wire.KindRequest || size < longFrameBytes || c.arriving > 0 || limit == 0 || others < longFrameBytes || others+int64(size) <= limit {
		return false
	}
	h.dropped.Inc(1)
	c.dropping = wire.HeaderBytes + size
	return true
}

// drop drops what has arrived of a message that is being dropped, and reports
// whether all of it has.
func (c *Conn) drop(from gnet.Conn) bool {
	n, err := from.Discard(min(c.dropping, from.InboundBuffered()))
	if err != nil {
		return false
	}
	c.dropping -= n
	return c.dropping == 0
}

// closes takes off what was counted for a connection that has closed, but for the
// messages that wait for its event loop.
func (c *Conn) closes() {
	c.closed = true
	c.receives(0)
	c.transport.held.bytes.Add(-int64(len(c.parts.data)))
	c.parts = partBuffer{}
	c.setBuffered(0)
}

// setBuffered counts the bytes that gnet holds because the kernel's send buffer is
// full.
func (c *Conn) setBuffered(bytes int) {
	before := c.buffered.Swap(int64(bytes))
	c.transport.held.bytes.Add(int64(bytes) - before)
}
