// Package entry takes callers' requests over HTTP and answers them. API is the
// project's own protocol, as docs/API.md describes it; a platform may bring
// another Protocol.
package entry

import (
	"context"
	"errors"
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
	// lastArrivals is how long after the address is closed requests on
	// connections that were just opened are still taken.
	lastArrivals = 300 * time.Millisecond
	// stopPatience is longer than any deadline.
	stopPatience = 40 * time.Second
	// overloadPause is when a caller should come back whose request the
	// daemon had no room for.
	overloadPause = 500 * time.Millisecond
)

// Protocol reads callers' requests and writes the answers to them. Its methods
// are called on many goroutines.
type Protocol interface {
	// Options are the limits of the HTTP server.
	Options() Options
	// Parse reads a request. It fills in the submission's Request and
	// Deadline; with an error, as much of the Request as it could read.
	Parse(ctx *fasthttp.RequestCtx, router Router) (Submission, *result.Error)
	// Respond writes the router's answer.
	Respond(ctx *fasthttp.RequestCtx, answer *request.Answer)
	// Refuse writes the refusal of a request that never reached the router;
	// the caller may come back after a pause, if that is not 0. The request
	// is empty if nothing of it could be read.
	Refuse(ctx *fasthttp.RequestCtx, r *request.Request, err *result.Error, pause time.Duration)
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
	// HangUpCheck is the time between two looks for callers that left.
	HangUpCheck time.Duration
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
	Reply    chan *request.Answer
}

// Server is the callers' HTTP interface.
type Server struct {
	router   Router
	protocol Protocol
	calls    atomic.Uint64
	drains   atomic.Bool
	waiting  *waiting
	http     *fasthttp.Server
	listen   net.Listener
	done     chan struct{}
	conns    sync.Map // open connections, net.Conn
	closed   chan struct{}
}

// New returns a server that speaks the protocol and hands requests to the
// router.
func New(router Router, protocol Protocol) *Server {
	options := protocol.Options()
	s := &Server{router: router, protocol: protocol, waiting: newWaiting(options.HangUpCheck), done: make(chan struct{}), closed: make(chan struct{})}
	s.http = &fasthttp.Server{
		Handler:               s.handle,
		MaxRequestBodySize:    options.MaxBodyBytes,
		ReadBufferSize:        options.MaxHeaderBytes,
		ReadTimeout:           options.ReadTimeout,
		IdleTimeout:           options.IdleTimeout,
		Concurrency:           maxConnections,
		ErrorHandler:          s.refuseBadHTTP,
		CloseOnShutdown:       true,
		ReduceMemoryUsage:     true,
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
		NoDefaultContentType:  true,
		ConnState:             s.follow,
		Logger:                quiet{},
	}
	return s
}

// quiet drops fasthttp's own lines about connections that callers broke: they
// carry no event number.
type quiet struct{}

// Printf implements fasthttp.Logger.
func (quiet) Printf(string, ...any) {}

// Start listens on address. Its errors are those of listen.TCP.
func (s *Server) Start(address string) error {
	listener, err := listen.TCP("caller", address)
	if err != nil {
		return err
	}
	s.listen = listener
	go s.serve(listener)
	go s.waiting.watch(s.router.Gone, s.done)
	return nil
}

// Drain asks callers to leave: from now on each answer closes its connection.
// Callers that keep connections open then use another daemon before Stop
// closes the idle ones, so that no request meets a connection being closed.
func (s *Server) Drain() {
	s.drains.Store(true)
}

// Stop closes the address and returns when every request in flight has been
// answered and idle connections, some seconds later, are closed.
func (s *Server) Stop() {
	s.Drain()
	_ = s.listen.Close()
	time.Sleep(lastArrivals)
	ctx, cancel := context.WithTimeout(context.Background(), stopPatience)
	defer cancel()
	_ = s.http.ShutdownWithContext(ctx)
	<-s.done
}

// Close ends the server at once: connections break, and what is in flight gets
// no answer.
func (s *Server) Close() {
	_ = s.listen.Close()
	s.conns.Range(func(conn, _ any) bool {
		_ = conn.(net.Conn).Close()
		return true
	})
	close(s.closed)
	<-s.done
}

// follow keeps the set of open connections.
func (s *Server) follow(conn net.Conn, state fasthttp.ConnState) {
	switch state {
	case fasthttp.StateNew:
		s.conns.Store(conn, nil)
	case fasthttp.StateClosed, fasthttp.StateHijacked:
		s.conns.Delete(conn)
	}
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	submission, err := s.protocol.Parse(ctx, s.router)
	if err != nil {
		s.protocol.Refuse(ctx, submission.Request, err, 0)
		return
	}
	submission.Caller = request.Caller(s.calls.Add(1))
	submission.Reply = make(chan *request.Answer, 1)
	if !s.router.Submit(submission) {
		s.protocol.Refuse(ctx, submission.Request, &result.Error{Code: result.RingFull, Detail: "the daemon is overloaded"}, overloadPause)
		return
	}
	s.protocol.Respond(ctx, s.await(ctx, submission))
	if s.drains.Load() {
		ctx.SetConnectionClose()
	}
}

// await waits for the router's answer. Meanwhile the server looks out for a
// caller that hangs up.
func (s *Server) await(ctx *fasthttp.RequestCtx, submission Submission) *request.Answer {
	s.waiting.add(submission.Caller, ctx.Conn())
	defer s.waiting.remove(submission.Caller)
	select {
	case answer := <-submission.Reply:
		return answer
	case <-s.closed:
		return &request.Answer{ID: submission.Request.ID, Code: result.OutcomeUnknown}
	}
}

// refuseBadHTTP answers bytes that are not a request, or one that is too
// large: in both cases nothing ran.
func (s *Server) refuseBadHTTP(ctx *fasthttp.RequestCtx, err error) {
	code := result.BadRequest
	var small *fasthttp.ErrSmallBuffer
	if err == fasthttp.ErrBodyTooLarge || errors.As(err, &small) {
		code = result.TooLarge
	}
	s.protocol.Refuse(ctx, &request.Request{}, &result.Error{Code: code, Detail: err.Error()}, 0)
}

func now() mono.Time {
	return bootclock.Now()
}

// serve ends when the server is shut down; before that only a broken listener
// ends it, and then callers and peers see the address closed.
func (s *Server) serve(listener net.Listener) {
	defer close(s.done)
	_ = s.http.Serve(listener)
}
