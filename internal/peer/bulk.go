package peer

import (
	"bytes"
	"sync"
	"time"

	"github.com/rhubarbring/rhubarbring/internal/wire"
	"github.com/rhubarbring/rhubarbring/result"
)

// Large frames of replication share a host's link with requests, cancellations and
// renewals of leases, for which a wait costs more. They are compressed and sent one
// after the other, in parts, at a rate that leaves room for everything else.

const (
	// minBulkBytes is the size from which a frame waits its turn.
	minBulkBytes = 4 << 10
	// maxBulkBytes bounds the frames that wait.
	maxBulkBytes = 2 * wire.MaxPayloadBytes
	// maxBulkWait is how long large frames may make the next one wait. Beyond it, whoever
	// asks is served sooner by another peer.
	maxBulkWait = time.Second
	// minBulkPause spares wake-ups on fast links.
	minBulkPause = 10 * time.Millisecond
)

// bulkItem is a large frame for a peer that is named by its link or by a connection that
// the peer has opened. Parts holds the frame alone unless the peer is known to read parts.
type bulkItem struct {
	link  *link
	conn  *Conn
	parts [][]byte
}

// bulkQueue holds the large frames that wait to be sent. It is safe for concurrent use.
type bulkQueue struct {
	mu      sync.Mutex
	items   []bulkItem
	waiting int // Bytes of items.
	sending bool
	// bytesPerSecond is the rate at which they are sent, 0 for no bound.
	bytesPerSecond float64
	// packed is the newest frame that was compressed, and its parts: the same frame
	// often goes to several peers.
	packed      []byte
	packedParts [][]byte
}

// LimitBulk sets the rate, in bytes per second, at which large frames are sent by
// SendBulk to all peers together; 0 is no bound.
func (t *Transport) LimitBulk(bytesPerSecond float64) {
	t.bulk.mu.Lock()
	defer t.bulk.mu.Unlock()
	t.bulk.bytesPerSecond = bytesPerSecond
}

// SendBulk sends a frame of replicated objects, in its turn if it is large. Nothing
// reports whether it has left. It returns PeerUnreachable if it certainly never will,
// among others since the frames before it would make it wait too long.
func (t *Transport) SendBulk(address string, frame []byte) error {
	l := t.linkTo(address)
	if len(frame) < minBulkBytes {
		_, err := l.send(frame, 0)
		return err
	}
	l.tryConnect()
	return t.queueBulk(bulkItem{link: l}, frame)
}

// SendBulk is Transport.SendBulk on this connection.
func (c *Conn) SendBulk(frame []byte) error {
	if len(frame) < minBulkBytes {
		return c.Send(frame)
	}
	return c.transport.queueBulk(bulkItem{conn: c}, frame)
}

// queueBulk queues a frame.
func (t *Transport) queueBulk(item bulkItem, frame []byte) error {
	readsParts := item.readsParts()
	b := &t.bulk
	b.mu.Lock()
	defer b.mu.Unlock()
	item.parts = [][]byte{frame}
	if readsParts {
		item.parts = b.pack(frame)
	}
	size := int(totalBytes(item.parts))
	if b.waiting+size > maxBulkBytes || b.timeFor(b.waiting) > maxBulkWait {
		t.bulkRefused.Inc(1)
		return &result.Error{Code: result.PeerUnreachable, Detail: "too many large messages wait to be sent"}
	}
	b.items = append(b.items, item)
	b.waiting += size
	t.held.bytes.Add(int64(size))
	if !b.sending {
		b.sending = true
		go t.sendQueued()
	}
	return nil
}

// pack returns the parts of a frame. The lock must be held.
func (b *bulkQueue) pack(frame []byte) [][]byte {
	if !bytes.Equal(b.packed, frame) {
		b.packed, b.packedParts = frame, packFrame(frame)
	}
	return b.packedParts
}

// takeBulk removes and returns the next frame, in parts if its receiver is known to read
// them by now. It returns false if there is none, and the caller is then no longer the
// one that sends.
func (t *Transport) takeBulk() (bulkItem, bool) {
	b := &t.bulk
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.items) == 0 {
		b.sending = false
		b.items, b.packed, b.packedParts = nil, nil, nil
		return bulkItem{}, false
	}
	item := b.items[0]
	b.items = b.items[1:]
	size := int(totalBytes(item.parts))
	b.waiting -= size
	t.held.bytes.Add(-int64(size))
	if len(item.parts) == 1 && wire.KindOf(item.parts[0]) != wire.KindPart && item.readsParts() {
		item.parts = b.pack(item.parts[0])
	}
	return item, true
}

// sendQueued sends the frames that wait, until there are none or the transport ends.
func (t *Transport) sendQueued() {
	var pause time.Duration
	for {
		item, ok := t.takeBulk()
		if !ok {
			return
		}
		for _, part := range item.parts {
			if item.send(part) != nil {
				break
			}
			pause += t.bulk.pauseAfter(len(part))
			if pause < minBulkPause {
				continue
			}
			select {
			case <-time.After(pause):
			case <-t.ended:
				return
			}
			pause = 0
		}
	}
}

// readsParts reports whether the receiver is known to read parts.
func (i *bulkItem) readsParts() bool {
	if i.conn != nil {
		return i.conn.readsParts()
	}
	return i.link.readsParts()
}

// send sends one part. All parts go on the connection that carries the first.
func (i *bulkItem) send(part []byte) error {
	if i.conn != nil {
		return i.conn.Send(part)
	}
	conn, err := i.link.send(part, 0)
	i.conn = conn
	return err
}

// pauseAfter returns how long the queue leaves the link to others after so many bytes.
func (b *bulkQueue) pauseAfter(size int) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.timeFor(size)
}

// timeFor returns the time in which so many bytes may be sent. The lock must be held.
func (b *bulkQueue) timeFor(size int) time.Duration {
	if b.bytesPerSecond == 0 {
		return 0
	}
	return time.Duration(float64(size) / b.bytesPerSecond * float64(time.Second))
}
