// Package control implements the HTTP server on the daemon's control address.
// It serves the target on the same host, operators, metrics scrapers, and the
// Twirp calls of other daemons.
package control

import (
	"bytes"
	"context"
	"encoding/json"
	"math"
	"net"
	"strconv"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"

	"github.com/rhubarbring/rhubarbring/internal/controlrpc"
	"github.com/rhubarbring/rhubarbring/internal/explain"
	"github.com/rhubarbring/rhubarbring/internal/listen"
	"github.com/rhubarbring/rhubarbring/internal/longbody"
	"github.com/rhubarbring/rhubarbring/result"
)

const (
	readTimeout     = 10 * time.Second
	idleTimeout     = 60 * time.Second
	maxBodyBytes    = 4 << 20
	shutdownTimeout = 200 * time.Millisecond
	contentTypeJSON = "application/json"
)

// MaxSlots bounds the slots and the connections of a target: messages between daemons
// hold no larger number of slots, and one host has no more ports for connections to it.
const MaxSlots = math.MaxUint16

// Announcement is the state that a target reports to its daemon once a second.
type Announcement struct {
	App          string `json:"app"`
	Address      string `json:"address"`
	Slots        int    `json:"slots"`
	Connections  int    `json:"connections"`
	ChecksGrants bool   `json:"checks_grants"`
	State        string `json:"state"`
	// Load is the share of busy slots, 0 to 1; negative if the target does
	// not report it.
	Load float64 `json:"load"`
	// Instance is the number of the target's instance, that is, of one run of
	// its process. It changes with each start of the process; it is 0 if the
	// target does not report it.
	Instance uint64 `json:"instance,omitempty"`
	// InstanceName is the instance's name, for targets that check which instance
	// a request is meant for; empty for other targets.
	InstanceName string `json:"name,omitempty"`
	// StartedMs is the target's start time by its own clock, in milliseconds
	// since the Unix epoch. Sequence increases with each announcement after
	// the start. Both are 0 if the target does not report them.
	StartedMs int64  `json:"started_ms,omitempty"`
	Sequence  uint64 `json:"sequence,omitempty"`
	// StopsAbandonedRuns reports that the target aborts a run when its
	// connection closes, and ends every run at the deadline sent with the
	// request.
	StopsAbandonedRuns bool `json:"stops_runs,omitempty"`
	// ReportsCold reports that the target announces StateCold for exactly as
	// long as it is slow after its start.
	ReportsCold bool `json:"says_cold,omitempty"`
}

// The values of Announcement.State.
const (
	StateCold     = "cold"
	StateWarm     = "warm"
	StateDraining = "draining"
)

// Daemon handles the calls that arrive at the control address.
type Daemon interface {
	// Announce processes a target's announcement and returns the session that
	// the target serves under.
	Announce(Announcement) (owner string, err error)
	// CheckReady returns nil if the daemon accepts requests and has once seen
	// every slice with an owner, and otherwise an error that says what is
	// missing.
	CheckReady() error
	// Status returns the state of the daemon and its view of the fleet, to be
	// encoded as JSON.
	Status() (any, error)
	// ExplainKey returns which session owns a key of an app and why, to be
	// encoded as JSON.
	ExplainKey(app, key string) (any, error)
	// TakeBody returns the long body with a token, once, or nil if there is none.
	TakeBody(token string) *longbody.Body
	// ExplainRequest returns where a request would go now and why, to be encoded as
	// JSON. Nothing is sent.
	ExplainRequest(q explain.Query) (any, error)
}

// Server is the HTTP server on the control address.
type Server struct {
	daemon   Daemon
	registry metrics.Registry
	http     *fasthttp.Server
	routes   map[string]fasthttp.RequestHandler
	// twirp handles all paths that begin with twirpPath.
	twirp     fasthttp.RequestHandler
	twirpPath []byte
	done      chan struct{}
}

// New returns a server that passes calls to the daemon, and Twirp calls of
// other daemons to peers. Start makes it listen.
func New(daemon Daemon, peers controlrpc.TwirpServer, registry metrics.Registry) *Server {
	s := &Server{daemon: daemon, registry: registry, done: make(chan struct{})}
	s.twirpPath = []byte(peers.PathPrefix())
	s.twirp = fasthttpadaptor.NewFastHTTPHandler(peers)
	s.routes = map[string]fasthttp.RequestHandler{
		"POST /target/announce": s.announce,
		"GET /ready":            s.ready,
		"GET /status":           s.status,
		"GET /explain":          s.explain,
		"GET /explain/request":  s.explainRequest,
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

// Start listens on address and serves in the background. Its errors are those
// of listen.TCP.
func (s *Server) Start(address string) error {
	listener, err := listen.TCP("control", address)
	if err != nil {
		return err
	}
	go s.serve(listener)
	return nil
}

// Stop shuts the server down. It waits for the calls in flight, but no longer
// than shutdownTimeout, because the target keeps its connection open between
// announcements.
func (s *Server) Stop() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	_ = s.http.ShutdownWithContext(ctx)
	<-s.done
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	if bytes.HasPrefix(ctx.Path(), s.twirpPath) {
		s.twirp(ctx)
		return
	}
	if token, ok := bytes.CutPrefix(ctx.Path(), []byte(longbody.Path)); ok && ctx.IsGet() {
		s.body(ctx, string(token))
		return
	}
	route, ok := s.routes[string(ctx.Method())+" "+string(ctx.Path())]
	if !ok {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	route(ctx)
}

// body serves the body of a request to the gate's daemon. It can be read once.
func (s *Server) body(ctx *fasthttp.RequestCtx, token string) {
	b := s.daemon.TakeBody(token)
	if b == nil {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	ctx.SetConnectionClose()
	ctx.SetBodyStream(b, int(b.Length))
}

type announceResponse struct {
	Owner string `json:"owner"`
}

func (s *Server) announce(ctx *fasthttp.RequestCtx) {
	var a Announcement
	dec := json.NewDecoder(bytes.NewReader(ctx.PostBody()))
	if err := dec.Decode(&a); err != nil {
		writeError(ctx, fasthttp.StatusBadRequest, err)
		return
	}
	if err := a.validate(); err != nil {
		writeError(ctx, fasthttp.StatusBadRequest, err)
		return
	}
	owner, err := s.daemon.Announce(a)
	if err != nil {
		writeError(ctx, fasthttp.StatusServiceUnavailable, err)
		return
	}
	writeJSON(ctx, announceResponse{Owner: owner})
}

func (a *Announcement) validate() error {
	if a.App == "" || a.Address == "" {
		return &result.Error{Code: result.BadRequest, Field: "app, address", Detail: "a target names its app and address"}
	}
	if a.Slots < 1 || a.Connections < a.Slots || a.Connections > MaxSlots {
		return &result.Error{Code: result.BadRequest, Field: "slots, connections", Detail: "a target has at least one slot, a connection for each, and at most " + strconv.Itoa(MaxSlots) + " of both"}
	}
	switch a.State {
	case StateCold, StateWarm, StateDraining:
		return nil
	default:
		return &result.Error{Code: result.BadRequest, Field: "state", Detail: "neither cold, warm nor draining"}
	}
}

func (s *Server) ready(ctx *fasthttp.RequestCtx) {
	if err := s.daemon.CheckReady(); err != nil {
		writeError(ctx, fasthttp.StatusServiceUnavailable, err)
		return
	}
	ctx.SetStatusCode(fasthttp.StatusOK)
}

func (s *Server) status(ctx *fasthttp.RequestCtx) {
	status, err := s.daemon.Status()
	if err != nil {
		writeError(ctx, fasthttp.StatusServiceUnavailable, err)
		return
	}
	writeJSON(ctx, status)
}

func (s *Server) explain(ctx *fasthttp.RequestCtx) {
	args := ctx.QueryArgs()
	explanation, err := s.daemon.ExplainKey(string(args.Peek("app")), string(args.Peek("key")))
	if err != nil {
		writeError(ctx, fasthttp.StatusNotFound, err)
		return
	}
	writeJSON(ctx, explanation)
}

func (s *Server) metrics(ctx *fasthttp.RequestCtx) {
	ctx.SetContentType("text/plain; version=0.0.4")
	writeMetrics(ctx, s.registry)
}

type errorResponse struct {
	Error string `json:"error"`
}

func writeError(ctx *fasthttp.RequestCtx, status int, err error) {
	writeJSON(ctx, errorResponse{Error: err.Error()})
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

// serve returns when the server is shut down. Before that only a failure of
// the listener ends it, and then targets, operators and peers find the address
// closed.
func (s *Server) serve(listener net.Listener) {
	defer close(s.done)
	_ = s.http.Serve(listener)
}
