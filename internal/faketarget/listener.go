package faketarget

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// limitedListener closes connections above a limit, and delays the first read
// of each connection to simulate the cost of opening it.
type limitedListener struct {
	net.Listener
	limit       int64
	connectCost time.Duration
	open        atomic.Int64
}

// LimitListener wraps a listener so that at most limit connections are open at
// once. Data of a connection is read no earlier than cost after its accept.
func LimitListener(ln net.Listener, limit int, cost time.Duration) net.Listener {
	return &limitedListener{Listener: ln, limit: int64(limit), connectCost: cost}
}

// Accept returns the next connection within the limit and closes those above.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.limit {
			return &countedConn{Conn: conn, ready: time.Now().Add(l.connectCost), release: func() { l.open.Add(-1) }}, nil
		}
		l.open.Add(-1)
		_ = conn.Close()
	}
}

type countedConn struct {
	net.Conn
	ready   time.Time
	delayed bool
	once    sync.Once
	release func()
}

// Read waits until the cost of opening the connection has passed, then reads.
func (c *countedConn) Read(b []byte) (int, error) {
	if !c.delayed {
		time.Sleep(time.Until(c.ready))
		c.delayed = true
	}
	return c.Conn.Read(b)
}

// Close closes the connection and releases its share of the limit.
func (c *countedConn) Close() error {
	c.once.Do(c.release)
	return c.Conn.Close()
}
