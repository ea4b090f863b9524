package fakestore

import (
	"encoding/json"
	"errors"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// Limits and header names of the API.
const (
	MaxValueBytes    = 1 << 20
	MaxListItems     = 1000
	MaxWatchWait     = 60 * time.Second
	DefaultWatchWait = 30 * time.Second
	maxHeaderBytes   = 64 << 10
	versionHeader    = "Version"
	ifVersionHeader  = "If-Version"
)

// Config configures a Server.
type Config struct {
	Seed    uint64
	History int // Number of events kept for each kind.
}

// Server serves the objects over HTTP.
type Server struct {
	mu      sync.Mutex
	objects *Objects
	faults  *faults
	calls   *counters
	http    *fasthttp.Server
	closing chan struct{}
	// listening guards listeners and closed. Either Serve registers its listener
	// before Close, which then closes it, or Serve sees that the server is closed.
	listening sync.Mutex
	listeners []net.Listener
	closed    bool
}

// New returns a server without objects.
func New(c Config) *Server {
	s := &Server{
		objects: NewObjects(c.History),
		faults:  newFaults(c.Seed),
		calls:   newCounters(time.Now()),
		closing: make(chan struct{}),
	}
	s.http = &fasthttp.Server{
		Handler:               s.handle,
		Name:                  "rhubarb-store",
		MaxRequestBodySize:    MaxValueBytes + 1,
		ReadBufferSize:        maxHeaderBytes,
		NoDefaultServerHeader: true,
	}
	return s
}

// Serve answers calls until Close. If the server is closed already, it closes
// the listener and returns immediately.
func (s *Server) Serve(ln net.Listener) error {
	if !s.register(ln) {
		return ln.Close()
	}
	err := s.http.Serve(ln)
	if s.isClosed() {
		return nil
	}
	return err
}

// Close ends waiting watches and stops serving. It may be called before, during
// or after Serve, and more than once.
func (s *Server) Close() error {
	listeners, first := s.markClosed()
	if !first {
		return nil
	}
	close(s.closing)
	for _, ln := range listeners {
		if err := ln.Close(); err != nil {
			return err
		}
	}
	if err := s.http.Shutdown(); !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil
}

func (s *Server) register(ln net.Listener) bool {
	s.listening.Lock()
	defer s.listening.Unlock()
	if s.closed {
		return false
	}
	s.listeners = append(s.listeners, ln)
	return true
}

// markClosed marks the server as closed. It returns the registered listeners,
// and whether the server was open before.
func (s *Server) markClosed() ([]net.Listener, bool) {
	s.listening.Lock()
	defer s.listening.Unlock()
	first := !s.closed
	s.closed = true
	return s.listeners, first
}

func (s *Server) isClosed() bool {
	s.listening.Lock()
	defer s.listening.Unlock()
	return s.closed
}

// SetFault replaces the fault in force. An outage ends waiting watches.
func (s *Server) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.replace(f, time.Now())
}

// Calls returns the numbers and rates of calls so far.
func (s *Server) Calls() Calls {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls.report(time.Now())
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	parts := strings.SplitN(strings.TrimPrefix(string(ctx.Path()), "/"), "/", 4)
	switch {
	case len(parts) == 2 && parts[0] == "stand":
		s.handleTestControl(ctx, parts[1])
	case len(parts) == 3 && parts[0] == "v1" && parts[1] == "objects" && ctx.IsGet():
		s.handleList(ctx, parts[2])
	case len(parts) == 4 && parts[0] == "v1" && parts[1] == "objects" && parts[3] != "":
		s.handleObject(ctx, parts[2], parts[3])
	case len(parts) == 3 && parts[0] == "v1" && parts[1] == "watch" && ctx.IsGet():
		s.handleWatch(ctx, parts[2])
	default:
		ctx.Error("no such call", fasthttp.StatusNotFound)
	}
}

func (s *Server) handleTestControl(ctx *fasthttp.RequestCtx, name string) {
	switch {
	case name == "calls" && ctx.IsGet():
		writeJSON(ctx, s.Calls())
	case name == "fault" && ctx.IsPost():
		var f Fault
		if err := json.Unmarshal(ctx.PostBody(), &f); err != nil {
			ctx.Error(err.Error(), fasthttp.StatusBadRequest)
			return
		}
		s.SetFault(f)
		writeJSON(ctx, f)
	default:
		ctx.Error("no such call", fasthttp.StatusNotFound)
	}
}

// admit counts a call and applies the fault in force to it. It returns false if
// the call has been answered with an error or its connection will be closed.
func (s *Server) admit(ctx *fasthttp.RequestCtx, kind string, m Method) (decision, bool) {
	now := time.Now()
	s.mu.Lock()
	s.calls.add(kind, m, now)
	d := s.faults.decide(kind, isWrite(m), now)
	s.mu.Unlock()
	if d.delay > 0 {
		time.Sleep(d.delay)
	}
	if !d.refuse {
		return d, true
	}
	if d.hangUp {
		hangUp(ctx)
		return d, false
	}
	ctx.Error("store unavailable", fasthttp.StatusServiceUnavailable)
	return d, false
}

// hangUp closes the connection without an answer.
func hangUp(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) { _ = c.Close() })
}

func writeJSON(ctx *fasthttp.RequestCtx, v any) {
	raw, err := json.Marshal(v)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(raw)
}

func setVersion(ctx *fasthttp.RequestCtx, v uint64) {
	ctx.Response.Header.Set(versionHeader, strconv.FormatUint(v, 10))
}
