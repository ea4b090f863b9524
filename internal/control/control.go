// Package control serves the daemon's control address: the target on the
// host, operators, metrics, and the twirp calls of other daemons.
package control

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"

	"github.com/rhubarbring/rhubarbring/internal/controlrpc"
	"github.com/rhubarbring/rhubarbring/internal/listen"
	"github.com/rhubarbring/rhubarbring/result"
)

const (
	readTimeout     = 10 * time.Second
	idleTimeout     = 60 * time.Second
	maxBodyBytes    = 4 << 20
	stopPatience    = 200 * time.Millisecond
	contentTypeJSON = "application/json"
)

// Announcement is what a target says of itself, once a second.
type Announcement struct {
	App          string `json:"app"`
	Address      string `json:"address"`
	Slots        int    `json:"slots"`
	Connections  int    `json:"connections"`
	ChecksGrants bool   `json:"checks_grants"`
	State        string `json:"state"`
	// Load is the share of busy slots, 0 to 1; negative if the target does
	// not say.
	Load float64 `json:"load"`
	// Instance changes with each start of the target's process; 0 if the
	// target does not say.
	Instance uint64 `json:"instance,omitempty"`
	// Name is the target's own name of this start, for targets that check
	// which one a request is meant for; empty if they don't.
	Name string `json:"name,omitempty"`
	// StartedMs is when the target started by its own clock, in milliseconds
	// since 1970, and Sequence rises with each announcement since; 0 if the
	// target does not say.
	StartedMs int64  `json:"started_ms,omitempty"`
	Sequence  uint64 `json:"sequence,omitempty"`
	// StopsRuns says that the target drops a run whose connection closes, and
	// ends every run at the deadline that it was told.
	StopsRuns bool `json:"stops_runs,omitempty"`
	// SaysCold says that the state is cold for just as long as the target is
	// slow after its start.
	SaysCold bool `json:"says_cold,omitempty"`
}

// The states that a target announces.
const (
	StateCold     = "cold"
	StateWarm     = "warm"
	StateDraining = "draining"
)

// Daemon is what the control address shows and takes.
type Daemon interface {
	// Announce takes a target's announcement and returns the session that
	// the target serves under.
	Announce(Announcement) (owner string, err error)
	// Ready returns nil if the daemon can route requests, else what it lacks.
	Ready() error
	// Status describes the daemon and what it knows of the fleet.
	Status() (any, error)
	// Explain describes who owns a key of an app and why.
	Explain(app, key string) (any, error)
}

// Server is the control address.
type Server struct {
	daemon   Daemon
	registry metrics.Registry
	http     *fasthttp.Server
	routes   map[string]fasthttp.RequestHandler
	// twirp serves the paths that begin with twirpPath.
	twirp     fasthttp.RequestHandler
	twirpPath []byte
	done      chan struct{}
}

// New returns a server for the daemon. The peers handler serves the twirp
// calls of other daemons.
func New(daemon Daemon, peers controlrpc.TwirpServer, registry metrics.Registry) *Server {
	s := &Server{daemon: daemon, registry: registry, done: make(chan struct{})}
	s.twirpPath = []byte(peers.PathPrefix())
	s.twirp = fasthttpadaptor.NewFastHTTPHandler(peers)
	s.routes = map[string]fasthttp.RequestHandler{
		"POST /target/announce": s.announce,
		"GET /ready":            s.ready,
		"GET /status":           s.status,
		"GET /explain":          s.explain,
		"GET /metrics":          s.metrics,
	}
	s.http = &fasthttp.Server{
		Handler:            s.handle,
		Name:               "rhubarbring",
		MaxRequestBodySize: maxBodyBytes,
		ReadTimeout:        readTimeout,
		IdleTimeout:        idleTimeout,
		CloseOnShutdown:    true,
	}
	return s
}

// Start listens on address. Its errors are those of listen.TCP.
func (s *Server) Start(address string) error {
	listener, err := listen.TCP("control", address)
	if err != nil {
		return err
	}
	go s.serve(listener)
	return nil
}

// Stop ends the server once the calls in flight are answered, or after
// stopPatience: the target's connection stays open between announcements.
func (s *Server) Stop() {
	ctx, cancel := context.WithTimeout(context.Background(), stopPatience)
	defer cancel()
	_ = s.http.ShutdownWithContext(ctx)
	<-s.done
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	if bytes.HasPrefix(ctx.Path(), s.twirpPath) {
		s.twirp(ctx)
		return
	}
	route, ok := s.routes[string(ctx.Method())+" "+string(ctx.Path())]
	if !ok {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	route(ctx)
}

type announceAnswer struct {
	Owner string `json:"owner"`
}

func (s *Server) announce(ctx *fasthttp.RequestCtx) {
	var a Announcement
	dec := json.NewDecoder(bytes.NewReader(ctx.PostBody()))
	if err := dec.Decode(&a); err != nil {
		writeError(ctx, fasthttp.StatusBadRequest, err)
		return
	}
	if err := a.check(); err != nil {
		writeError(ctx, fasthttp.StatusBadRequest, err)
		return
	}
	owner, err := s.daemon.Announce(a)
	if err != nil {
		writeError(ctx, fasthttp.StatusServiceUnavailable, err)
		return
	}
	writeJSON(ctx, announceAnswer{Owner: owner})
}

func (a *Announcement) check() error {
	if a.App == "" || a.Address == "" {
		return &result.Error{Code: result.BadRequest, Field: "app, address", Detail: "a target names its app and address"}
	}
	if a.Slots < 1 || a.Connections < a.Slots {
		return &result.Error{Code: result.BadRequest, Field: "slots, connections", Detail: "a target has at least one slot, and a connection for each"}
	}
	switch a.State {
	case StateCold, StateWarm, StateDraining:
		return nil
	default:
		return &result.Error{Code: result.BadRequest, Field: "state", Detail: "neither cold, warm nor draining"}
	}
}

func (s *Server) ready(ctx *fasthttp.RequestCtx) {
	if err := s.daemon.Ready(); err != nil {
		writeError(ctx, fasthttp.StatusServiceUnavailable, err)
		return
	}
	ctx.SetStatusCode(fasthttp.StatusOK)
}

func (s *Server) status(ctx *fasthttp.RequestCtx) {
	answer, err := s.daemon.Status()
	if err != nil {
		writeError(ctx, fasthttp.StatusServiceUnavailable, err)
		return
	}
	writeJSON(ctx, answer)
}

func (s *Server) explain(ctx *fasthttp.RequestCtx) {
	args := ctx.QueryArgs()
	answer, err := s.daemon.Explain(string(args.Peek("app")), string(args.Peek("key")))
	if err != nil {
		writeError(ctx, fasthttp.StatusNotFound, err)
		return
	}
	writeJSON(ctx, answer)
}

func (s *Server) metrics(ctx *fasthttp.RequestCtx) {
	ctx.SetContentType("text/plain; version=0.0.4")
	writeMetrics(ctx, s.registry)
}

type errorAnswer struct {
	Error string `json:"error"`
}

func writeError(ctx *fasthttp.RequestCtx, status int, err error) {
	writeJSON(ctx, errorAnswer{Error: err.Error()})
	ctx.SetStatusCode(status)
}

func writeJSON(ctx *fasthttp.RequestCtx, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType(contentTypeJSON)
	ctx.SetBody(body)
}

// serve ends when the server is shut down; before that only a broken listener
// ends it, and then callers and peers see the address closed.
func (s *Server) serve(listener net.Listener) {
	defer close(s.done)
	_ = s.http.Serve(listener)
}
