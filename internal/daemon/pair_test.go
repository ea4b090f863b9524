package daemon

import (
	"bytes"
	"io"
	"math"
	"net"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"

	"github.com/rhubarbring/rhubarbring/assignment"
	"github.com/rhubarbring/rhubarbring/document"
	"github.com/rhubarbring/rhubarbring/event"
	"github.com/rhubarbring/rhubarbring/handover"
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/internal/bootclock"
	"github.com/rhubarbring/rhubarbring/internal/control"
	"github.com/rhubarbring/rhubarbring/internal/entry"
	"github.com/rhubarbring/rhubarbring/internal/eventlog"
	"github.com/rhubarbring/rhubarbring/internal/peer"
	"github.com/rhubarbring/rhubarbring/internal/settings"
	"github.com/rhubarbring/rhubarbring/internal/wire"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/request"
	"github.com/rhubarbring/rhubarbring/session"
)

const (
	pairApp    = "catalogue"
	pairBudget = 10 * time.Second
)

// routingPair runs the routing loops of two daemons that are connected by a
// peer connection. The second daemon owns the only slice of the app and has a
// target. The other loops are not running, and the leases never end. The pair
// itself is the leader: it assigns a released slice anew.
type routingPair struct {
	entry, owner *Daemon
	logs         [2]*bytes.Buffer
	logWriter    io.Writer // Receives the logs if not nil.
	calls        request.CallID
	epoch        atomic.Uint64 // Of the slice, as assigned last.
	// keepsReleases makes the leader leave released slices without an owner.
	keepsReleases atomic.Bool
}

func newRoutingPair(t testing.TB, level event.Level) *routingPair {
	return (&routingPair{}).start(t, level)
}

func (p *routingPair) start(t testing.TB, level event.Level) *routingPair {
	p.entry = p.routingDaemon(t, "first", 0, level)
	p.owner = p.routingDaemon(t, "second", 1, level)
	for _, d := range []*Daemon{p.entry, p.owner} {
		p.loadFleet(t, d)
	}
	p.assign()
	p.announceTarget(startEchoTarget(t))
	return p
}

// assign gives the slice to the second daemon at the next epoch.
func (p *routingPair) assign() {
	epoch := p.epoch.Add(1)
	pack := assignment.NewPack(pairApp, 1, 0)
	pack.Set(0, assignment.Ownership{Owner: p.owner.self, Epoch: epoch})
	for _, d := range []*Daemon{p.entry, p.owner} {
		d.routing.ring.Push(packsObserved{packs: []packVersion{{pack: pack, version: epoch}}})
	}
}

// reassign is what the leader does with a released slice.
func (p *routingPair) reassign(r handover.Release) {
	if !p.keepsReleases.Load() && r.Epoch == p.epoch.Load() {
		p.assign()
	}
}

// barrier is a task that signals that all tasks before it have been handled. It
// also publishes the state that they changed.
type barrier chan bool

func (w barrier) handle(r *routingLoop, _ mono.Time) {
	r.publishStopState()
	close(w)
}

// sync waits until the loop has handled all tasks added before.
func (r *routingLoop) sync() {
	w := make(barrier)
	r.ring.Push(w)
	<-w
}

// announceTarget makes the target at the given address the owner's target.
func (p *routingPair) announceTarget(address string) {
	p.owner.routing.ring.Push(targetAnnounced{control.Announcement{
		App: pairApp, Address: address, Slots: 12, Connections: 130, ChecksGrants: true, State: control.StateWarm,
	}})
}

// replaceTarget makes the owner use a new target with the given handler.
func (p *routingPair) replaceTarget(t testing.TB, handler fasthttp.RequestHandler) {
	p.announceTarget(startTarget(t, handler))
}

func (p *routingPair) routingDaemon(t testing.TB, name host.ID, i int, level event.Level) *Daemon {
	p.logs[i] = &bytes.Buffer{}
	var out io.Writer = p.logs[i]
	if p.logWriter != nil {
		out = p.logWriter
	}
	registry := metrics.NewRegistry()
	address := freeAddress(t)
	d := New(NewProcess(&settings.Daemon{Host: name, Region: "pampa-norte", Zone: "pampa-norte-1", Environment: "trial", PeerAddress: address, StoreAddress: "127.0.0.1:1", Seed: 1}),
		eventlog.New(out, level, name, registry), registry)
	d.createLoops()
	d.routing.onReleased = p.reassign
	peers, err := peer.Listen(address, wire.Hello{Session: d.self, Zone: d.settings.Zone, Region: d.settings.Region}, &frameHandler{d: d}, peer.DialTCP, registry)
	must.NoError(t, err)
	d.peers, d.routing.peers = peers, peers
	d.lease.leaseEndsAt.Store(math.MaxInt64)
	d.routing.start()
	t.Cleanup(func() {
		d.routing.close()
		peers.Close()
	})
	return d
}

func (p *routingPair) loadFleet(t testing.TB, d *Daemon) {
	raw, err := os.ReadFile("../../examples/rayuela.json")
	must.NoError(t, err)
	doc, problems := document.Parse(raw)
	must.NoError(t, problems.Err())
	d.fleet.adopt(&document.Stored{Version: 1}, doc)
	var records []session.VersionedRecord
	for _, other := range []*Daemon{p.entry, p.owner} {
		records = append(records, session.VersionedRecord{Version: 1, Record: session.Record{Session: other.self, Place: other.place(), PeerAddress: other.settings.PeerAddress, State: session.Live}})
	}
	d.fleet.update(records, nil)
}

// call submits a request at a daemon and returns the answer.
func (p *routingPair) call(t testing.TB, d *Daemon, id string, body []byte) *request.Answer {
	p.calls++
	s := entry.Submission{
		Call: p.calls,
		Request: &request.Request{
			ID: id, App: pairApp, Key: "k", Repeat: request.RepeatFirst, Budget: pairBudget, Method: "POST", Path: "/items", ContentType: "application/json", Body: body,
		},
		Deadline: bootclock.Now().Add(pairBudget),
		Reply:    make(chan *request.Answer, 1),
	}
	must.True(t, d.Submit(s))
	return <-s.Reply
}

// startEchoTarget starts a target that answers each request with its body.
func startEchoTarget(t testing.TB) string {
	return startTarget(t, func(ctx *fasthttp.RequestCtx) { ctx.SetBody(ctx.PostBody()) })
}

// startTarget starts a target with the given handler and returns its address.
func startTarget(t testing.TB, handler fasthttp.RequestHandler) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		for _, name := range []string{"Rhubarb-Request-Id", "Rhubarb-Attempt"} {
			ctx.Response.Header.SetBytesV(name, ctx.Request.Header.Peek(name))
		}
		handler(ctx)
	}}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = listener.Close() })
	return listener.Addr().String()
}

func freeAddress(t testing.TB) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}
