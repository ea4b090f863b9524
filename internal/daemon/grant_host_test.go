package daemon

import (
	"io"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/assignment"
	"github.com/rhubarbring/rhubarbring/document"
	"github.com/rhubarbring/rhubarbring/event"
	"github.com/rhubarbring/rhubarbring/gate"
	"github.com/rhubarbring/rhubarbring/grant"
	"github.com/rhubarbring/rhubarbring/handover"
	"github.com/rhubarbring/rhubarbring/internal/bootclock"
	"github.com/rhubarbring/rhubarbring/internal/control"
	"github.com/rhubarbring/rhubarbring/internal/eventlog"
	"github.com/rhubarbring/rhubarbring/internal/settings"
	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/request"
	"github.com/rhubarbring/rhubarbring/result"
)

// grantHost is a routing loop, driven by the test instead of running, whose
// target is granted the only slice of its app.
type grantHost struct {
	t        *testing.T
	r        *routingLoop
	now      mono.Time
	slice    key.Slice
	daemon   *Daemon
	registry metrics.Registry
	version  uint64 // Of the last observed pack.
	released []handover.Release
}

func newHeartbeatHost(t *testing.T) *grantHost {
	return newGrantHost(t, document.GrantsByHeartbeat)
}

func newGrantHost(t *testing.T, delivery document.GrantDelivery) *grantHost {
	h := newHostWithoutDocument(t)
	h.adoptDocument(delivery)
	h.announce(1)
	h.observe(assignment.Ownership{Owner: h.r.self, Epoch: 1})
	return h
}

func newHostWithoutDocument(t *testing.T) *grantHost {
	s := &settings.Daemon{Host: "h1", Region: "r", Zone: "z", Environment: "trial", StoreAddress: "127.0.0.1:1"}
	registry := metrics.NewRegistry()
	log := eventlog.New(io.Discard, event.Warn, s.Host, registry)
	t.Cleanup(log.Close)
	d := New(NewProcess(s), log, registry, WithTargetFactory(func(a control.Announcement) Target { return &blockedTarget{address: a.Address} }))
	d.createLoops()
	h := &grantHost{t: t, r: d.routing, now: bootclock.Now(), slice: key.Slice{App: "katalog"}, daemon: d, registry: registry}
	h.r.onReleased = func(rel handover.Release) { h.released = append(h.released, rel) }
	h.r.holder.SetLease(h.now.Add(time.Minute))
	return h
}

// adoptDocument puts a document with the target's app in force.
func (h *grantHost) adoptDocument(delivery document.GrantDelivery) {
	if delivery == document.GrantsByHeartbeat {
		h.daemon.lease.leaseEndsAt.Store(int64(h.now.Add(time.Minute)))
	}
	doc := &document.Document{Apps: []document.App{{Name: "katalog", DividedByKey: true, Slices: 1, QueueBound: 24, GrantDelivery: delivery}}}
	h.daemon.fleet.adopt(&document.Stored{Version: 1}, doc)
	documentChanged{doc}.handle(h.r, h.now)
}

// announce delivers an announcement of an instance of the target.
func (h *grantHost) announce(instance uint64) {
	h.announceAt("held", instance)
}

// endProcess ends the process of the target, which closes its connections.
func (h *grantHost) endProcess() {
	h.r.target.client.(*blockedTarget).ended = true
}

func (h *grantHost) announceAt(address string, instance uint64) {
	targetAnnounced{control.Announcement{App: "katalog", Address: address, Slots: 12, ChecksGrants: true, State: control.StateWarm, Instance: instance}}.handle(h.r, h.now)
}

// grantEpochs lets the target accept the calls that are due, and returns the epochs
// that they grant. The loop itself makes none: it has no lease.
func (h *grantHost) grantEpochs() []uint64 {
	var out grant.Actions
	h.now = h.now.Add(time.Second)
	h.r.callGrants.SetLease(h.now.Add(time.Second))
	h.r.callGrants.Tick(h.now, &out)
	var epochs []uint64
	for _, g := range out.Grants {
		epochs = append(epochs, g.Epoch)
		h.r.callGrants.GrantAnswered(h.now, g.Unit, grant.Accepted, &out)
	}
	return epochs
}

// answerRelease delivers the answer to the call that releases the slice. Targets that
// get slices with heartbeats get no calls.
func (h *grantHost) answerRelease(a grant.Answer) {
	if h.r.callGrants == nil {
		return
	}
	releaseAnswered{core: h.r.callGrants, release: grant.Release{Range: grant.Range{App: h.slice.App}, Epoch: 1}, reply: grant.Reply{Answer: a}}.handle(h.r, h.now)
}

// run starts a run of a request for the slice whose end is not delivered.
func (h *grantHost) run() {
	h.r.startRun(h.now, &gate.Start{Run: 1, Request: &request.Request{App: h.slice.App, Slice: h.slice.ID}, Deadline: h.now.Add(time.Minute)})
	must.Eq(h.t, 1, len(h.r.heldRuns))
}

// observe delivers an assignment of the slice that the store has confirmed.
func (h *grantHost) observe(o assignment.Ownership) {
	pack := assignment.NewPack("katalog", 1, 0)
	pack.Set(0, o)
	h.version++
	for _, change := range h.r.owners.PutPack(pack, h.version) {
		if h.r.requiresRelease(change) {
			h.r.beginHandover(h.now, change)
			continue
		}
		h.r.executeHolder(h.now, h.r.holder.ApplyChange(h.now, change))
	}
}

// heartbeat delivers a heartbeat of the target some time after the last one.
func (h *grantHost) heartbeat(after time.Duration, report grant.Report) grant.HeartbeatAnswer {
	h.now = h.now.Add(after)
	return h.r.answerHeartbeat(h.now, report)
}

func (h *grantHost) admits() result.Code {
	return h.r.Admit("katalog", "", 0, h.now).Code
}

func (h *grantHost) held() grant.Report {
	return grant.Report{Held: []grant.HeldRange{{Range: grant.Range{App: "katalog"}, Epoch: 1}}}
}

func (h *grantHost) deliver(seq uint64) {
	h.r.deliverToGate(h.now, h.r.self, &request.Request{
		ID: "a", App: "katalog", Seq: seq, Epoch: 1, Idempotent: true, FreshID: true, Budget: 3 * time.Second,
	})
}
