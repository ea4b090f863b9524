package peer

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/panjf2000/gnet/v2"
)

// outbox is the frames of a connection that wait for its event loop.
type outbox struct {
	mu     sync.Mutex
	frames [][]byte
	// spare is the memory of frames that were written.
	spare [][]byte
	bytes atomic.Int64
}

// add adds a frame, and asks the event loop to write all that wait unless it
// was asked already. It fails only if the loop has ended; then the frame, the
// only one, was not taken.
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

func (o *outbox) takeAll() [][]byte {
	o.mu.Lock()
	defer o.mu.Unlock()
	frames := o.frames
	o.frames = o.spare
	o.spare = nil
	o.bytes.Store(0)
	return frames
}

func (o *outbox) recycle(frames [][]byte) {
	clear(frames)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.spare = frames[:0]
}

// maxFramesPerWrite is below the number of buffers that the kernel takes at once.
const maxFramesPerWrite = 512

// Run implements gnet.Runnable: it writes the frames that wait. It runs on
// the event loop. The frames of a connection that closed are lost with it.
func (c *Conn) Run(context.Context) error {
	frames := c.outbox.takeAll()
	for part := range slices.Chunk(frames, maxFramesPerWrite) {
		if c.closed {
			return nil
		}
		if _, err := c.conn.Writev(part); err != nil {
			return err
		}
	}
	c.outbox.recycle(frames)
	c.buffered.Store(int64(c.conn.OutboundBuffered()))
	return nil
}

var _ gnet.Runnable = (*Conn)(nil)
