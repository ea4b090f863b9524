// Package entry accepts callers' requests over HTTP and answers them. API is
// the built-in protocol, as docs/API.md describes it; a platform may supply
// another Protocol.
//
// Pipelined requests on one connection are processed concurrently and answered
// in their order. A connection keeps being read while its requests are
// processed, so that a caller that hangs up is noticed without probing.
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
	// lateRequestGrace is how long after the listener is closed requests on
	// connections that were just opened are still accepted.
	lateRequestGrace = 300 * time.Millisecond
	// refusalRetryAfter is the retry delay sent to a caller whose request was
	// refused before the router for a reason that passes with time: its queue was
	// full, or the daemon has not the document that the request needs.
	refusalRetryAfter = 500 * time.Millisecond
)

// Protocol parses callers' requests and writes the responses to them. Its
// methods are called concurrently.
type Protocol interface {
	// Options returns the limits of the HTTP server.
	Options() Options
	// Parse reads a request. It fills in the submission's Request and Deadline.
	// If it returns an error, the Request holds what was read before. The request
	// may keep the body.
	Parse(req *fasthttp.Request, router Router) (Submission, *result.Error)
	// WriteAnswer writes the router's answer into the response.
	WriteAnswer(resp *fasthttp.Response, answer *request.Answer)
	// WriteRefusal writes the refusal of a request that never reached the
	// router. A retryAfter other than 0 tells the caller when to try again. The
	// request is empty if nothing of it could be read.
	WriteRefusal(resp *fasthttp.Response, r *request.Request, err *result.Error, retryAfter time.Duration)
}

// Options are the limits of the HTTP server for callers.
type Options struct {
	// MaxBodyBytes bounds a request's body, MaxHeaderBytes its request line and
	// headers.
	MaxBodyBytes   int
	MaxHeaderBytes int
	// BodyBudgetBytes bounds the sum of the bodies of the requests that are being
	// read or not answered yet; 0 is no bound. It also bounds MaxBodyBytes.
	BodyBudgetBytes int
	// ReadTimeout bounds the time to read a request from its first byte,
	// IdleTimeout the time between two requests on a connection.
	ReadTimeout time.Duration
	IdleTimeout time.Duration
}

// Router processes the requests that the server has parsed.
type Router interface {
	// Resolve returns the route that matches a host name and path, or an
	// *result.Error if there is none.
	Resolve(hostName, path string) (routes.Match, error)
	// AppLimits returns the limits of an app, or an *result.Error if the app is
	// unknown.
	AppLimits(app string) (Limits, error)
	// Submit passes a request to the router. If it returns true, exactly one
	// answer is sent to the Reply channel, which has room for it. If it returns
	// false, the router did not accept the request and sends no answer.
	Submit(Submission) bool
	// RequestRejected reports a request that was refused before it reached the
	// router.
	RequestRejected(r *request.Request, err *result.Error)
	// CallerGone reports that the caller of a submission has hung up.
	CallerGone(call request.CallID)
}

// Limits are an app's settings that requests are checked against: whether
// requests need a key, and the default and maximum deadline.
type Limits struct {
	DividedByKey    bool
	DefaultDeadline time.Duration
	MaxDeadline     time.Duration
}

// Submission is a parsed request for the router.
type Submission struct {
	Call     request.CallID
	Request  *request.Request
	Deadline mono.Time
	// CallerTimeout is how long the caller says it will wait, which may exceed
	// the deadline; 0 if it does not say.
	CallerTimeout time.Duration
	Reply         chan *request.Answer
}

// Server is the HTTP server for callers.
type Server struct {
	router     Router
	protocol   Protocol
	options    Options
	lastCallID atomic.Uint64
	draining   atomic.Bool
	listener   net.Listener
	bodies     *bodyBudget
	// closed is closed to end all connections at once.
	closed chan struct{}
	wg     sync.WaitGroup

	mu    sync.Mutex
	conns map[*conn]bool
}

// New returns a server that reads requests with the protocol and submits them
// to the router.
func New(router Router, protocol Protocol) *Server {
	options := protocol.Options()
	bodies := &bodyBudget{limit: options.BodyBudgetBytes}
	options.MaxBodyBytes = bodies.longest(options.MaxBodyBytes)
	return &Server{
		router:   router,
		protocol: protocol,
		options:  options,
		bodies:   bodies,
		closed:   make(chan struct{}),
		conns:    make(map[*conn]bool),
	}
}

// Start listens on address and serves connections until Stop or Close. It
// returns the errors of listen.TCP.
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

// acceptLoop accepts connections until the listener is closed. If Accept fails
// before that, the loop ends as well, and no further connections are served.
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

// startConn serves a new connection, or closes it if maxConnections are open.
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

// Drain makes the server close each connection with the first answer after
// which no request on it is pending. Callers that reuse connections move to
// another daemon before Stop closes the idle ones, so that no request arrives
// on a connection that is being closed.
func (s *Server) Drain() {
	s.draining.Store(true)
}

// Stop drains the server, closes the listener and idle connections, and returns
// when every request in flight has been answered. After the timeout, it closes
// the remaining connections without waiting for their answers.
func (s *Server) Stop(timeout time.Duration) {
	s.Drain()
	_ = s.listener.Close()
	time.Sleep(lateRequestGrace)
	for _, c := range s.openConns() {
		c.closeIdle()
	}
	allEnded := make(chan struct{})
	go func() {
		s.wg.Wait()
		close(allEnded)
	}()
	select {
	case <-allEnded:
	case <-time.After(timeout):
		s.closeAll()
	}
}

// Close closes the listener and all connections at once. Requests in flight get
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
