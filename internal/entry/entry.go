// Package entry takes callers' requests over HTTP and answers them, as
// docs/API.md describes it.
package entry

import (
	"context"
	"encoding/json"
	"math"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/rhubarbring/rhubarbring/internal/bootclock"
	"github.com/rhubarbring/rhubarbring/internal/listen"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/request"
	"github.com/rhubarbring/rhubarbring/result"
)

// Limits of the callers' interface.
const (
	MaxBodyBytes   = 1 << 20
	readTimeout    = 10 * time.Second
	idleTimeout    = 60 * time.Second
	maxConnections = 4096
	hangUpCheck    = 20 * time.Millisecond
	// lastArrivals is how long after the address is closed requests on
	// connections that were just opened are still taken.
	lastArrivals = 300 * time.Millisecond
	// stopPatience is longer than any deadline.
	stopPatience   = 40 * time.Second
	maxHeaderBytes = 16 << 10
	// overloadPause is when a caller should come back whose request the
	// daemon had no room for.
	overloadPause = 500 * time.Millisecond
)

// Router decides what becomes of a request.
type Router interface {
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
	router  Router
	ids     *idSource
	calls   atomic.Uint64
	drains  atomic.Bool
	waiting *waiting
	http    *fasthttp.Server
	listen  net.Listener
	done    chan struct{}
	conns   sync.Map // open connections, net.Conn
	closed  chan struct{}
}

// New returns a server that hands requests to the router. The seed starts the
// ids that it makes for requests without one.
func New(router Router, seed uint64) *Server {
	s := &Server{router: router, ids: newIDSource(seed), waiting: newWaiting(), done: make(chan struct{}), closed: make(chan struct{})}
	s.http = &fasthttp.Server{
		Handler:            s.handle,
		Name:               "rhubarbring",
		MaxRequestBodySize: MaxBodyBytes,
		ReadBufferSize:     maxHeaderBytes,
		ReadTimeout:        readTimeout,
		IdleTimeout:        idleTimeout,
		Concurrency:        maxConnections,
		ErrorHandler:       refuseBadHTTP,
		CloseOnShutdown:    true,
		ConnState:          s.follow,
		Logger:             quiet{},
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
	submission, err := s.parse(ctx)
	if err != nil {
		refuseRequest(ctx, submission.Request, err)
		return
	}
	if !s.router.Submit(submission) {
		setRetryAfter(ctx, overloadPause)
		refuseRequest(ctx, submission.Request, &result.Error{Code: result.RingFull, Detail: "the daemon is overloaded"})
		return
	}
	s.respond(ctx, s.await(ctx, submission))
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

func (s *Server) respond(ctx *fasthttp.RequestCtx, answer *request.Answer) {
	h := &ctx.Response.Header
	info, ok := result.Lookup(answer.Code)
	if !ok {
		info, _ = result.Lookup(result.OutcomeUnknown)
	}
	setResult(ctx, answer.ID, info)
	if answer.Owner != "" {
		h.Set("Rhubarb-Owner", answer.Owner)
		h.Set("Rhubarb-Epoch", strconv.FormatUint(answer.Epoch, 10))
	}
	setRetryAfter(ctx, answer.RetryAfter)
	if info.Outcome != result.Done {
		writeRefusal(ctx, info, "")
		return
	}
	ctx.SetStatusCode(answer.Status)
	ctx.SetContentType(answer.Type)
	ctx.SetBody(answer.Body)
}

func setResult(ctx *fasthttp.RequestCtx, id string, info result.Info) {
	h := &ctx.Response.Header
	h.Set("Rhubarb-Code", strconv.Itoa(int(info.Code)))
	h.Set("Rhubarb-Result", info.Name)
	h.Set("Rhubarb-Outcome", info.Outcome.String())
	if id != "" {
		h.Set("Rhubarb-Request-Id", id)
	}
}

func setRetryAfter(ctx *fasthttp.RequestCtx, after time.Duration) {
	if after <= 0 {
		return
	}
	seconds := int(math.Ceil(after.Seconds()))
	ctx.Response.Header.Set("Retry-After", strconv.Itoa(seconds))
	ctx.Response.Header.Set("Rhubarb-Retry-After", strconv.FormatInt(after.Milliseconds(), 10))
}

// refusal is the JSON body of an answer other than the target's.
type refusal struct {
	Code    uint16 `json:"code"`
	Name    string `json:"name"`
	Outcome string `json:"outcome"`
	Detail  string `json:"detail,omitempty"`
	Advice  string `json:"advice"`
}

func writeRefusal(ctx *fasthttp.RequestCtx, info result.Info, detail string) {
	body, err := json.Marshal(refusal{uint16(info.Code), info.Name, info.Outcome.String(), detail, info.Advice})
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(info.HTTP)
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

// refuseRequest refuses a request that never reached the router. Of a repeat
// that says nothing about earlier sendings, so that it is no "not run".
func refuseRequest(ctx *fasthttp.RequestCtx, r *request.Request, err *result.Error) {
	if r.ID == "" {
		refuse(ctx, "", err)
		return
	}
	refuse(ctx, r.ID, &result.Error{Code: request.FinalCode(r, err.Code), Field: err.Field, Detail: err.Detail})
}

func refuse(ctx *fasthttp.RequestCtx, id string, err *result.Error) {
	info, _ := result.Lookup(err.Code)
	setResult(ctx, id, info)
	writeRefusal(ctx, info, detailOf(err))
}

func detailOf(err *result.Error) string {
	if err.Field == "" {
		return err.Detail
	}
	return err.Field + ": " + err.Detail
}

// refuseBadHTTP answers bytes that are not a request, or one that is too
// large: in both cases nothing ran.
func refuseBadHTTP(ctx *fasthttp.RequestCtx, err error) {
	code := result.BadRequest
	if err == fasthttp.ErrBodyTooLarge {
		code = result.TooLarge
	}
	refuse(ctx, "", &result.Error{Code: code, Detail: err.Error()})
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
