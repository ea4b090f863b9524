package targetstand

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// limitedListener closes connections above a limit, and makes the first read
// of each connection wait for the cost of opening it.
type limitedListener struct {
	net.Listener
	limit int64
	cost  time.Duration
	open  atomic.Int64
}

// Limit wraps a listener so that it serves at most limit connections at once,
// and each costs its opener so much time.
func Limit(ln net.Listener, limit int, cost time.Duration) net.Listener {
	return &limitedListener{Listener: ln, limit: int64(limit), cost: cost}
}

// Accept returns the next connection below the limit.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.limit {
			return &countedConn{Conn: conn, ready: time.Now().Add(l.cost), release: func() { l.open.Add(-1) }}, nil
		}
		l.open.Add(-1)
		_ = conn.Close()
	}
}

type countedConn struct {
	net.Conn
	ready   time.Time
	opened  bool
	once    sync.Once
	release func()
}

// Read waits for the connection to be open, then reads.
func (c *countedConn) Read(b []byte) (int, error) {
	if !c.opened {
		time.Sleep(time.Until(c.ready))
		c.opened = true
	}
	return c.Conn.Read(b)
}

// Close closes the connection and frees its place.
func (c *countedConn) Close() error {
	c.once.Do(c.release)
	return c.Conn.Close()
}
