// Package entry accepts callers' requests over HTTP and answers them. API is
// the built-in protocol, as docs/API.md describes it; a platform may supply
// another Protocol.
//
// Pipelined requests on one connection are processed concurrently and answered
// in their order. A connection keeps being read while its requests are
// processed, so that a caller that hangs up is noticed without probing.
package entry

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/rhubarbring/rhubarbring/internal/bootclock"
	"github.com/rhubarbring/rhubarbring/internal/listen"
	"github.com/rhubarbring/rhubarbring/internal/longbody"
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
	// lastAnswerGrace is how long Stop waits, after its timeout, until the last answers
	// are written and read.
	lastAnswerGrace = 100 * time.Millisecond
	// refusalRetryAfter is the retry delay sent to a caller whose request was
	// refused before the router for a reason that passes with time: its queue was
	// full, or the daemon has not the document that the request needs.
	refusalRetryAfter = 500 * time.Millisecond
	// acceptRetryDelay is the time between two attempts to accept a connection
	// after one that failed.
	acceptRetryDelay = 20 * time.Millisecond
	// timeMargin is added to the operators' times, which callers keep by their own
	// clocks.
	timeMargin = 250 * time.Millisecond
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
	// MaxBodyBytes bounds a body that is read before its request goes on. A longer one,
	// of up to MaxLongBodyBytes, is read by the gate's daemon (package longbody); 0 is
	// none. MaxHeaderBytes bounds a request's line and headers.
	MaxBodyBytes     int
	MaxLongBodyBytes int
	MaxHeaderBytes   int
	// HeaderTimeout bounds the time to read a header from its first byte,
	// BodyProgress the wait for the next bytes of a body, and IdleTimeout the time
	// between two requests on a connection, and until a caller reads on.
	HeaderTimeout time.Duration
	BodyProgress  time.Duration
	IdleTimeout   time.Duration
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
	// CallerLimits returns the operators' limits in force.
	CallerLimits() CallerLimits
}

// CallerLimits are the operators' limits for callers. They apply where they are
// narrower than Options; 0 is no limit.
type CallerLimits struct {
	MaxBodyBytes   int
	MaxHeaderBytes int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
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
	// HoldAnswer counts the bytes of the answer's body as held for the caller until
	// it has read them. It is called before the answer is sent to Reply.
	HoldAnswer func(bytes int)
}

// Server is the HTTP server for callers.
type Server struct {
	router     Router
	protocol   Protocol
	options    Options
	lastCallID atomic.Uint64
	draining   atomic.Bool
	listener   net.Listener
	memory     *memory
	// longBodies keeps long bodies until they are read; nil if none are carried.
	longBodies *longbody.Registry
	// closed is closed when requests without an answer are answered as unknown.
	closed chan struct{}
	wg     sync.WaitGroup

	mu    sync.Mutex
	conns map[*conn]bool
}

// New returns a server that reads requests with the protocol and submits them
// to the router, within bounds for all connections together.
func New(router Router, protocol Protocol, bounds Bounds) *Server {
	options := protocol.Options()
	memory := newMemory(bounds)
	options.MaxBodyBytes = memory.longestBody(options.MaxBodyBytes)
	return &Server{
		router:   router,
		protocol: protocol,
		options:  options,
		memory:   memory,
		closed:   make(chan struct{}),
		conns:    make(map[*conn]bool),
	}
}

// CarryLongBodies makes the server keep bodies longer than Options.MaxBodyBytes in the
// registry until a gate's daemon reads them. It is called before Start.
func (s *Server) CarryLongBodies(registry *longbody.Registry) {
	s.longBodies = registry
}

// currentOptions returns the server's limits with those of the operators that are
// narrower. The times have a margin for the way that bytes take.
func (s *Server) currentOptions() Options {
	o := s.options
	l := s.router.CallerLimits()
	if l.MaxBodyBytes > 0 {
		o.MaxBodyBytes = min(o.MaxBodyBytes, l.MaxBodyBytes)
		o.MaxLongBodyBytes = min(o.MaxLongBodyBytes, l.MaxBodyBytes)
	}
	if l.MaxHeaderBytes > 0 {
		o.MaxHeaderBytes = min(o.MaxHeaderBytes, l.MaxHeaderBytes)
	}
	if l.HeaderTimeout > 0 {
		o.HeaderTimeout = min(o.HeaderTimeout, l.HeaderTimeout+timeMargin)
	}
	if l.IdleTimeout > 0 {
		o.IdleTimeout = min(o.IdleTimeout, l.IdleTimeout+timeMargin)
	}
	return o
}

// Start listens on address and serves connections until Stop or Close. It
// returns the errors of listen.TCP.
func (s *Server) Start(address string) error {
	listener, err := listen.TCP("caller", address)
	if err != nil {
		return err
	}
	if s.memory.bounded {
		limitKernelBuffers(listener)
	}
	s.listener = listener
	s.wg.Add(1)
	go s.acceptLoop()
	return nil
}

// acceptLoop accepts connections until the listener is closed. If Accept fails
// before that, as it does while the process has no free descriptor, it tries again.
func (s *Server) acceptLoop() {
	defer s.wg.Done()
	for {
		raw, err := s.listener.Accept()
		switch {
		case err == nil:
			s.startConn(raw)
		case errors.Is(err, net.ErrClosed):
			return
		default:
			time.Sleep(acceptRetryDelay)
		}
	}
}

// startConn serves a new connection, or closes it if there is no room for it.
func (s *Server) startConn(raw net.Conn) {
	c := newConn(s, raw)
	if !s.memory.open(c) {
		_ = raw.Close()
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = true
	s.wg.Add(1)
	go c.serve()
}

func (s *Server) removeConn(c *conn) {
	s.memory.close(c)
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

// Stop drains the server, closes the listener and idle connections, and returns when
// every request in flight has been answered. When the timeout has passed, requests
// that have no answer yet are answered as unknown. Connections that are still open
// lastAnswerGrace later are closed.
func (s *Server) Stop(timeout time.Duration) {
	until := time.Now().Add(timeout)
	s.Drain()
	_ = s.listener.Close()
	time.Sleep(min(lateRequestGrace, timeout))
	for _, c := range s.openConns() {
		c.closeIdle()
	}
	allEnded := make(chan struct{})
	go func() {
		s.wg.Wait()
		close(allEnded)
	}()
	if hasEnded(allEnded, time.Until(until)) {
		return
	}
	close(s.closed)
	if !hasEnded(allEnded, lastAnswerGrace) {
		s.closeConns()
	}
}

// hasEnded waits until the channel is closed, and returns false if that takes longer
// than the timeout.
func hasEnded(ended <-chan struct{}, timeout time.Duration) bool {
	select {
	case <-ended:
		return true
	case <-time.After(timeout):
		return false
	}
}

// Close closes the listener and all connections at once. Requests in flight get
// no answer.
func (s *Server) Close() {
	_ = s.listener.Close()
	close(s.closed)
	s.closeConns()
	s.wg.Wait()
}

func (s *Server) closeConns() {
	for _, c := range s.openConns() {
		_ = c.raw.Close()
	}
}

func now() mono.Time {
	return bootclock.Now()
}
