package peer

import (
	"sync/atomic"

	"github.com/rcrowley/go-metrics"

	"github.com/rhubarbring/rhubarbring/balance"
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/internal/wire"
)

// purposes are the purposes by which traffic between regions is counted.
var purposes = [...]balance.Purpose{balance.Requests, balance.Answers, balance.Control}

// regionTraffic counts the bytes of frames sent to daemons of other regions, by
// purpose, in the metrics "link.PURPOSE.bytes".
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
	case wire.KindRequest, wire.KindLongRequest:
		return balance.Requests
	case wire.KindAnswer:
		return balance.Answers
	default:
		return balance.Control
	}
}

// uncountedBytes holds, by purpose, the bytes sent on a connection before the
// peer's hello has stated its region.
type uncountedBytes [len(purposes)]atomic.Int64

// count counts a frame sent on a connection. Frames sent before the peer's
// hello are counted once it has arrived.
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

// flush counts the connection's uncounted bytes if the peer's region is known.
// Bytes sent within the daemon's own region are not counted.
func (c *regionTraffic) flush(conn *Conn, p balance.Purpose) {
	hello := conn.hello.Load()
	if hello == nil {
		return
	}
	if n := conn.uncounted[p].Swap(0); hello.Region != c.region {
		c.bytes[p].Inc(n)
	}
}

// CrossRegionBytes returns the bytes sent to daemons of other regions for a
// purpose.
func (t *Transport) CrossRegionBytes(p balance.Purpose) int64 {
	return t.regionTraffic.bytes[p].Count()
}
