package peer

import (
	"sync/atomic"

	"github.com/rcrowley/go-metrics"

	"github.com/rhubarbring/rhubarbring/balance"
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/internal/wire"
)

// purposes are what bytes cross the link between regions for.
var purposes = [...]balance.Purpose{balance.Requests, balance.Answers, balance.Control}

// regionTraffic counts the bytes of frames sent to daemons of other regions, by
// purpose, as "link.PURPOSE.bytes".
type regionTraffic struct {
	region host.Region
	bytes  [len(purposes)]metrics.Counter
}

func newRegionTraffic(region host.Region, registry metrics.Registry) *regionTraffic {
	c := &regionTraffic{region: region}
	for _, p := range purposes {
		c.bytes[p] = metrics.GetOrRegisterCounter("link."+p.String()+".bytes", registry)
	}
	return c
}

func purposeOf(kind wire.Kind) balance.Purpose {
	switch kind {
	case wire.KindRequest:
		return balance.Requests
	case wire.KindAnswer:
		return balance.Answers
	default:
		return balance.Control
	}
}

// uncountedBytes holds back the bytes of a connection whose other end has not yet
// said where it stands.
type uncountedBytes [len(purposes)]atomic.Int64

// count counts a frame on a connection. What was sent before the other end
// named its region is counted once it has.
func (c *regionTraffic) count(conn *Conn, frame []byte) {
	p := purposeOf(wire.KindOf(frame))
	conn.uncounted[p].Add(int64(len(frame)))
	c.flush(conn, p)
}

func (c *regionTraffic) flushAll(conn *Conn) {
	for _, p := range purposes {
		c.flush(conn, p)
	}
}

func (c *regionTraffic) flush(conn *Conn, p balance.Purpose) {
	hello := conn.hello.Load()
	if hello == nil {
		return
	}
	if n := conn.uncounted[p].Swap(0); hello.Region != c.region {
		c.bytes[p].Inc(n)
	}
}

// Crossed returns the bytes sent to daemons of other regions for a purpose.
func (t *Transport) Crossed(p balance.Purpose) int64 {
	return t.regionTraffic.bytes[p].Count()
}
