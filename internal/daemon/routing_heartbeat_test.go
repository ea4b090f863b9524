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
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/internal/bootclock"
	"github.com/rhubarbring/rhubarbring/internal/control"
	"github.com/rhubarbring/rhubarbring/internal/eventlog"
	"github.com/rhubarbring/rhubarbring/internal/settings"
	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/request"
	"github.com/rhubarbring/rhubarbring/result"
)

// heartbeatHost is a routing loop, driven by the test instead of running, whose
// target gets its slices with heartbeats.
type heartbeatHost struct {
	r        *routingLoop
	now      mono.Time
	slice    key.Slice
	version  uint64 // Of the last observed pack.
	released []handover.Release
}

func newHeartbeatHost(t *testing.T) *heartbeatHost {
	s := &settings.Daemon{Host: "h1", Region: "r", Zone: "z", Environment: "trial", StoreAddress: "127.0.0.1:1"}
	registry := metrics.NewRegistry()
	log := eventlog.New(io.Discard, event.Warn, s.Host, registry)
	t.Cleanup(log.Close)
	d := New(s, log, registry, WithTargetFactory(func(control.Announcement) Target { return &blockedTarget{} }))
	d.createLoops()
	h := &heartbeatHost{r: d.routing, now: bootclock.Now(), slice: key.Slice{App: "katalog"}}
	h.r.onReleased = func(rel handover.Release) { h.released = append(h.released, rel) }
	d.lease.leaseEndsAt.Store(int64(h.now.Add(time.Minute)))
	h.r.holder.SetLease(h.now.Add(time.Minute))
	doc := &document.Document{Apps: []document.App{{Name: "katalog", DividedByKey: true, Slices: 1, QueueBound: 24, GrantDelivery: document.GrantsByHeartbeat}}}
	d.fleet.adopt(&document.Stored{Version: 1}, doc)
	targetAnnounced{control.Announcement{App: "katalog", Address: "held", Slots: 12, ChecksGrants: true, State: control.StateWarm, Instance: 1}}.handle(h.r, h.now)
	h.observe(assignment.Ownership{Owner: h.r.self, Epoch: 1})
	return h
}

// observe delivers an assignment of the slice that the store has confirmed.
func (h *heartbeatHost) observe(o assignment.Ownership) {
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
func (h *heartbeatHost) heartbeat(after time.Duration, report grant.Report) grant.HeartbeatAnswer {
	h.now = h.now.Add(after)
	return h.r.answerHeartbeat(h.now, report)
}

func (h *heartbeatHost) admits() result.Code {
	return h.r.Admit("katalog", "", 0, h.now).Code
}

func (h *heartbeatHost) held() grant.Report {
	return grant.Report{Held: []grant.HeldRange{{Range: grant.Range{App: "katalog"}, Epoch: 1}}}
}

// A target that gets its slices with heartbeats is granted them with the next
// heartbeat, and no call is made to it.
func TestSliceIsGrantedWithHeartbeat(t *testing.T) {
	h := newHeartbeatHost(t)
	must.Eq(t, result.LeaseLapsed, h.admits())
	a := h.heartbeat(time.Second, grant.Report{})
	must.Eq(t, []grant.Row{{Range: grant.Range{App: "katalog"}, Epoch: 1}}, a.Rows)
	h.now = h.now.Add(10 * time.Millisecond)
	must.Eq(t, result.OK, h.admits())
}

// A handover is told to the target with its next heartbeat. Until then its
// slices are served; they are released once a later heartbeat does not report
// them any more.
func TestHandoverBeginsWithHeartbeat(t *testing.T) {
	h := newHeartbeatHost(t)
	h.heartbeat(time.Second, grant.Report{})
	h.heartbeat(time.Second, h.held())
	h.observe(assignment.Ownership{Owner: h.r.self, Epoch: 1, Next: host.Session{Host: "h2", Incarnation: 1}})
	must.Eq(t, result.OK, h.admits())
	a := h.heartbeat(time.Second, h.held())
	must.SliceEmpty(t, a.Rows)
	must.Positive(t, a.Hold)
	must.Eq(t, result.NotOwner, h.admits())
	must.SliceEmpty(t, h.released)
	h.heartbeat(100*time.Millisecond, h.held())
	must.SliceEmpty(t, h.released, must.Sprint("the target still works on the slice"))
	h.heartbeat(100*time.Millisecond, grant.Report{})
	must.Eq(t, []handover.Release{{From: h.r.self, App: "katalog", Epoch: 1}}, h.released)
}

// A handover that the leader withdraws before the next heartbeat changes nothing.
func TestHandoverWithdrawnBeforeHeartbeat(t *testing.T) {
	h := newHeartbeatHost(t)
	h.heartbeat(time.Second, grant.Report{})
	h.observe(assignment.Ownership{Owner: h.r.self, Epoch: 1, Next: host.Session{Host: "h2", Incarnation: 1}})
	h.observe(assignment.Ownership{Owner: h.r.self, Epoch: 1})
	must.Len(t, 1, h.heartbeat(time.Second, h.held()).Rows)
	must.Eq(t, result.OK, h.admits())
}

// A handover does not wait for a target that has fallen silent.
func TestHandoverOfSilentTargetBeginsWithoutHeartbeat(t *testing.T) {
	h := newHeartbeatHost(t)
	h.heartbeat(time.Second, grant.Report{})
	h.now = h.now.Add(10 * time.Millisecond)
	h.observe(assignment.Ownership{Owner: h.r.self, Epoch: 1, Next: host.Session{Host: "h2", Incarnation: 1}})
	h.r.tickHeartbeatHandovers(h.now)
	must.Eq(t, result.OK, h.admits())
	h.now = h.now.Add(heartbeatOverdue)
	h.r.tickHeartbeatHandovers(h.now)
	must.Eq(t, result.NotOwner, h.admits())
}

// A target is not granted anything by a daemon whose session is over.
func TestEndedSessionGrantsNothing(t *testing.T) {
	h := newHeartbeatHost(t)
	h.r.sessionOver = true
	must.Eq(t, grant.HeartbeatAnswer{}, h.heartbeat(time.Second, grant.Report{}))
}

func (h *heartbeatHost) deliver(seq uint64) {
	h.r.deliverToGate(h.now, h.r.self, &request.Request{
		ID: "a", App: "katalog", Seq: seq, Epoch: 1, Idempotent: true, FreshID: true, Budget: 3 * time.Second,
	})
}

// A request for a slice that the target gets with its next heartbeat waits for it
// and then runs. It is not refused, since every gate would refuse it until then.
func TestRequestWaitsForHeartbeat(t *testing.T) {
	h := newHeartbeatHost(t)
	h.r.heartbeatAt = h.now // A heartbeat before the slice was owned.
	h.deliver(1)
	h.deliver(2)
	must.Eq(t, 2, h.r.sliceWaiters.Len())
	must.SliceEmpty(t, h.r.gateActions.Answers)
	h.r.cancelAtGate(h.now, h.r.self, request.Cancel{Seq: 2})
	h.heartbeat(500*time.Millisecond, grant.Report{})
	h.r.deliverWaiters(h.now)
	must.SliceEmpty(t, h.r.gateActions.Starts, must.Sprint("the answer is on its way"))
	h.now = h.now.Add(grant.AnswerTransit)
	h.r.deliverWaiters(h.now)
	must.SliceEmpty(t, h.r.gateActions.Answers)
	must.Len(t, 1, h.r.gateActions.Starts)
	must.Eq(t, 1, h.r.gateActions.Starts[0].Request.Seq)
}

// A request does not wait for a slice that is being handed over, nor after the
// session has ended.
func TestRequestDoesNotWaitForLostSlice(t *testing.T) {
	h := newHeartbeatHost(t)
	h.r.heartbeatAt = h.now
	h.deliver(1)
	h.r.sessionOver = true
	h.r.deliverWaiters(h.now)
	must.Zero(t, h.r.sliceWaiters.Len())
	must.Len(t, 1, h.r.gateActions.Answers)
	h.deliver(2)
	must.Len(t, 2, h.r.gateActions.Answers)
}

// The host's link refuses only requests of other daemons that may be repeated. One
// that must run once at most may be a duplicate of a request that is running, and
// the refusal would say that it has not run.
func TestHostLinkRefusesOnlyIdempotentRequests(t *testing.T) {
	h := newHeartbeatHost(t)
	other := host.Session{Host: "h2", Incarnation: 1}
	h.r.hostLink = gate.NewHostLink(1000)
	h.r.hostLink.Reserve(h.now, other, 1, "list", 0)
	h.r.hostLink.Answered(h.now, other, 1, 90_000, true)
	reserved := func(from host.Session, idempotent bool) bool {
		_, ok := h.r.reserveHostLink(h.now, from, &request.Request{Seq: 2, Route: "list", Idempotent: idempotent})
		return ok
	}
	must.False(t, reserved(other, true))
	must.True(t, reserved(other, false))
	must.True(t, reserved(h.r.self, true))
}
