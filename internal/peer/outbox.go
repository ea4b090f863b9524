package peer

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/panjf2000/gnet/v2"
)

// outbox holds the frames of a connection that wait for its event loop.
type outbox struct {
	mu     sync.Mutex
	frames [][]byte
	// spare is the emptied slice of the last written batch, kept for reuse.
	spare [][]byte
	bytes atomic.Int64
}

// add queues a frame, and schedules the connection's Run on the event loop if
// the outbox was empty. It fails only if the event loop has ended; the frame is
// then the only one queued, and is removed.
func (o *outbox) add(c *Conn, frame []byte) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.frames = append(o.frames, frame)
	o.bytes.Add(int64(len(frame)))
	if len(o.frames) > 1 {
		return nil
	}
	err := c.conn.EventLoop().Execute(context.Background(), c)
	if err != nil {
		o.frames = o.frames[:0]
		o.bytes.Add(-int64(len(frame)))
	}
	return err
}

// takeAll removes and returns all queued frames.
func (o *outbox) takeAll() [][]byte {
	o.mu.Lock()
	defer o.mu.Unlock()
	frames := o.frames
	o.frames = o.spare
	o.spare = nil
	o.bytes.Store(0)
	return frames
}

// recycle keeps the slice of written frames for reuse.
func (o *outbox) recycle(frames [][]byte) {
	clear(frames)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.spare = frames[:0]
}

// maxFramesPerWrite stays below the number of buffers that one writev call
// accepts (IOV_MAX, 1024 on Linux).
const maxFramesPerWrite = 512

// Run implements gnet.Runnable: it writes the queued frames on the event loop.
// Frames of a connection that has closed are dropped; Handler.ConnectionLost
// reports the connection.
func (c *Conn) Run(context.Context) error {
	frames := c.outbox.takeAll()
	c.transport.held.bytes.Add(-totalBytes(frames))
	for part := range slices.Chunk(frames, maxFramesPerWrite) {
		if c.closed {
			return nil
		}
		if _, err := c.conn.Writev(part); err != nil {
			return err
		}
	}
	c.outbox.recycle(frames)
	c.setBuffered(c.conn.OutboundBuffered())
	return nil
}

func totalBytes(frames [][]byte) int64 {
	sum := 0
	for _, f := range frames {
		sum += len(f)
	}
	return int64(sum)
}

var _ gnet.Runnable = (*Conn)(nil)
