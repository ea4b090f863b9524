package entry

import (
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/rhubarbring/rhubarbring/membudget"
)

// What is counted for callers' connections, in bytes of memory. The factors include
// what the garbage collector has not yet freed.
const (
	// connBytes is counted for a connection: two goroutines, its first read buffer
	// and a part of its buffers in the kernel. An idle one took 13 kB in the process.
	connBytes = 48 << 10
	// headerBytesFactor is counted for each byte of a read buffer for long headers:
	// the buffer, and the header as it is parsed and passed on.
	headerBytesFactor = 2
	// bodyBytesFactor is counted for each byte of a body: the body, its frame and
	// the buffer of the connection that carries it.
	bodyBytesFactor = 3
	// answerBytesFactor is counted for each byte of an answer: the frame that it
	// came in, and the answer.
	answerBytesFactor = 2
	// kernelReceiveBytes and kernelSendBytes are the sizes asked for the buffers of a
	// connection in the kernel, which doubles them. By default, it lets them grow to
	// many megabytes while nobody reads, which count toward the host's memory. With
	// send buffers of 32 KiB and less, answers of megabytes took seconds over the
	// loopback interface, whose packets are that large.
	kernelReceiveBytes = 32 << 10
	kernelSendBytes    = 48 << 10
	// stallAfter is how long an answer may go unread before its connection may be
	// closed for others: callers abandon an answer that they have not read within
	// one second.
	stallAfter = time.Second
)

// Bounds limits what all connections of callers may use together.
type Bounds struct {
	// MemoryBytes bounds the sum of their memory; 0 is no bound.
	MemoryBytes int
	// Connections bounds their number; 0 means maxConnections.
	Connections int
}

// Usage is what the connections of callers use.
type Usage struct {
	Bytes       int
	Connections int
	// Closed counts the connections that were closed to make room for others.
	Closed int
}

// memory applies a membudget.Budget to connections. It is safe for concurrent use.
type memory struct {
	bounded bool
	mu      sync.Mutex
	budget  *membudget.Budget
	conns   map[membudget.ID]*conn
	closed  int
}

func newMemory(b Bounds) *memory {
	connections := maxConnections
	if b.Connections > 0 {
		connections = min(b.Connections, maxConnections)
	}
	cfg := membudget.Config{Bytes: b.MemoryBytes, Holders: connections, StallAfter: stallAfter}
	return &memory{bounded: b.MemoryBytes > 0, budget: membudget.New(cfg), conns: make(map[membudget.ID]*conn)}
}

// open admits a connection, and reports whether there is room for it.
func (m *memory) open(c *conn) bool {
	m.mu.Lock()
	id, evicted, ok := m.budget.Open(now(), connBytes)
	if ok {
		c.id = id
		m.conns[id] = c
	}
	closed := m.take(evicted)
	m.mu.Unlock()
	closeAll(closed)
	return ok
}

// limitKernelBuffers limits the buffers of all connections that a listener accepts,
// and of those that wait to be accepted.
func limitKernelBuffers(listener net.Listener) {
	sc, ok := listener.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, kernelReceiveBytes)
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, kernelSendBytes)
	})
}

// grow reports whether there is room for further bytes of a connection.
func (m *memory) grow(c *conn, bytes int) bool {
	m.mu.Lock()
	evicted, ok := m.budget.Grow(now(), c.id, bytes)
	closed := m.take(evicted)
	m.mu.Unlock()
	closeAll(closed)
	return ok
}

// force counts further bytes of a connection, whether there is room or not.
func (m *memory) force(c *conn, bytes int) {
	m.mu.Lock()
	closed := m.take(m.budget.Force(now(), c.id, bytes))
	m.mu.Unlock()
	closeAll(closed)
}

// shrink takes off bytes of a connection.
func (m *memory) shrink(c *conn, bytes int) {
	if bytes == 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.budget.Shrink(c.id, bytes)
}

func (m *memory) setState(c *conn, s membudget.State) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.budget.SetState(now(), c.id, s)
}

// close removes a connection.
func (m *memory) close(c *conn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.budget.Close(c.id)
	delete(m.conns, c.id)
}

// take removes evicted connections and returns them. The lock must be held.
func (m *memory) take(evicted []membudget.ID) []*conn {
	if len(evicted) == 0 {
		return nil
	}
	conns := make([]*conn, 0, len(evicted))
	for _, id := range evicted {
		conns = append(conns, m.conns[id])
		delete(m.conns, id)
	}
	m.closed += len(conns)
	return conns
}

// closeAll closes evicted connections at once. No request that is being read on them
// has run; a caller whose answers were not read counts as gone.
func closeAll(conns []*conn) {
	for _, c := range conns {
		_ = c.raw.Close()
	}
}

// longestBody returns the length of the longest body for which there is room if
// there is no other connection.
func (m *memory) longestBody(limit int) int {
	if !m.bounded {
		return limit
	}
	return max(min(limit, (m.budget.Longest()-connBytes)/bodyBytesFactor), 0)
}

// SetOtherMemory tells the server how many bytes of its bound other parts of the
// daemon use, and returns how many they may use.
func (s *Server) SetOtherMemory(bytes int) (room int) {
	s.memory.mu.Lock()
	defer s.memory.mu.Unlock()
	s.memory.budget.SetOthers(bytes)
	return s.memory.budget.RoomForOthers()
}

// Usage returns what the connections of callers and other parts of the daemon use.
func (s *Server) Usage() Usage {
	s.memory.mu.Lock()
	defer s.memory.mu.Unlock()
	bytes, connections := s.memory.budget.Used()
	return Usage{Bytes: bytes, Connections: connections, Closed: s.memory.closed}
}

// MaxBodyBytes returns the length of the longest body that the server takes, if the
// operators don't set a lower one.
func (s *Server) MaxBodyBytes() int {
	return s.options.MaxBodyBytes
}
