// Package entry takes callers' requests over HTTP and answers them. API is the
// project's own protocol, as docs/API.md describes it; a platform may bring
// another Protocol.
//
// Requests that a caller sends behind each other on one connection are worked
// on at once and answered in their order. A connection is always being read, so
// that a caller that hangs up is noticed without asking.
package entry

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/rhubarbring/rhubarbring/internal/bootclock"
	"github.com/rhubarbring/rhubarbring/internal/listen"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/request"
	"github.com/rhubarbring/rhubarbring/result"
	"github.com/rhubarbring/rhubarbring/routes"
)

const (
	maxConnections = 4096
	// lateRequestGrace is how long after the address is closed requests on
	// connections that were just opened are still taken.
	lateRequestGrace = 300 * time.Millisecond
	// overloadRetryAfter is when a caller should come back whose request the
	// daemon had no room for.
	overloadRetryAfter = 500 * time.Millisecond
)

// Protocol reads callers' requests and writes the answers to them. Its methods
// are called on many goroutines.
type Protocol interface {
	// Options are the limits of the HTTP server.
	Options() Options
	// Parse reads a request. It fills in the submission's Request and
	// Deadline; with an error, as much of the Request as it could read.
	Parse(req *fasthttp.Request, router Router) (Submission, *result.Error)
	// Respond writes the router's answer.
	Respond(resp *fasthttp.Response, answer *request.Answer)
	// Refuse writes the refusal of a request that never reached the router;
	// the caller may come back after a pause, if that is not 0. The request
	// is empty if nothing of it could be read.
	Refuse(resp *fasthttp.Response, r *request.Request, err *result.Error, retryAfter time.Duration)
}

// Options are the limits of the callers' HTTP server.
type Options struct {
	// MaxBodyBytes bounds a request's body, MaxHeaderBytes its head.
	MaxBodyBytes   int
	MaxHeaderBytes int
	// ReadTimeout bounds the time to read a request, IdleTimeout the time
	// between two requests on a connection.
	ReadTimeout time.Duration
	IdleTimeout time.Duration
}

// Router decides what becomes of a request.
type Router interface {
	// Resolve returns what the route of a host name and path says. It returns
	// an *result.Error if there is none.
	Resolve(hostName, path string) (routes.Match, error)
	// Limits returns an app's default and maximum deadline, and whether it
	// needs a key. It returns an *result.Error if the app is unknown.
	Limits(app string) (Limits, error)
	// Submit hands a request over. Exactly one answer is sent to the reply
	// channel, which has room for it. It returns false if it took nothing.
	Submit(Submission) bool
	// Rejected says that a request never reached the router.
	Rejected(r *request.Request, err *result.Error)
	// Gone says that the caller of a submission has hung up.
	Gone(caller request.Caller)
}

// Limits are what the entry checks a request against.
type Limits struct {
	Keyed           bool
	DefaultDeadline time.Duration
	MaxDeadline     time.Duration
}

// Submission is a request on its way to the router.
type Submission struct {
	Caller   request.Caller
	Request  *request.Request
	Deadline mono.Time
	// Asked is the time that the caller says it waits, also beyond the
	// deadline; 0 if it says none.
	Asked time.Duration
	Reply chan *request.Answer
}

// Server is the callers' HTTP interface.
type Server struct {
	router       Router
	protocol     Protocol
	options      Options
	lastCallerID atomic.Uint64
	draining     atomic.Bool
	listener     net.Listener
	// closed ends all connections at once.
	closed chan struct{}
	wg     sync.WaitGroup

	mu    sync.Mutex
	conns map[*conn]bool
}

// New returns a server that speaks the protocol and hands requests to the
// router.
func New(router Router, protocol Protocol) *Server {
	return &Server{
		router:   router,
		protocol: protocol,
		options:  protocol.Options(),
		closed:   make(chan struct{}),
		conns:    make(map[*conn]bool),
	}
}

// Start listens on address. Its errors are those of listen.TCP.
func (s *Server) Start(address string) error {
	listener, err := listen.TCP("caller", address)
	if err != nil {
		return err
	}
	s.listener = listener
	s.wg.Add(1)
	go s.acceptLoop()
	return nil
}

// acceptLoop ends when the listener is closed; before that only a broken listener
// ends it, and then callers see the address closed.
func (s *Server) acceptLoop() {
	defer s.wg.Done()
	for {
		raw, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.startConn(raw)
	}
}

func (s *Server) startConn(raw net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) >= maxConnections {
		_ = raw.Close()
		return
	}
	c := newConn(s, raw)
	s.conns[c] = true
	s.wg.Add(1)
	go c.serve()
}

func (s *Server) removeConn(c *conn) {
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
	s.wg.Done()
}

func (s *Server) openConns() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		list = append(list, c)
	}
	return list
}

// Drain asks callers to leave: from now on each answer closes its connection.
// Callers that keep connections open then use another daemon before Stop
// closes the idle ones, so that no request meets a connection being closed.
func (s *Server) Drain() {
	s.draining.Store(true)
}

// Stop closes the address and returns when every request in flight has been
// answered, or after a time. Idle connections are closed.
func (s *Server) Stop(timeout time.Duration) {
	s.Drain()
	_ = s.listener.Close()
	time.Sleep(lateRequestGrace)
	for _, c := range s.openConns() {
		c.closeIdle()
	}
	ended := make(chan struct{})
	go func() {
		s.wg.Wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(timeout):
		s.closeAll()
	}
}

// Close ends the server at once: connections break, and what is in flight gets
// no answer.
func (s *Server) Close() {
	_ = s.listener.Close()
	s.closeAll()
	s.wg.Wait()
}

func (s *Server) closeAll() {
	close(s.closed)
	for _, c := range s.openConns() {
		_ = c.raw.Close()
	}
}

func now() mono.Time {
	return bootclock.Now()
}
