package daemon

import (
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/assignment"
	"github.com/rhubarbring/rhubarbring/gate"
	"github.com/rhubarbring/rhubarbring/grant"
	"github.com/rhubarbring/rhubarbring/handover"
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/request"
	"github.com/rhubarbring/rhubarbring/result"
)

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

// A daemon may learn of its epoch and of the next owner by one pack. If another
// instance replaces the target before the heartbeat that the handover waits for,
// the epoch is released all the same. Else nobody serves the slice.
func TestHandoverOfUnseenEpochIsReleasedAfterNewInstance(t *testing.T) {
	h := newHeartbeatHost(t)
	other := host.Session{Host: "h2", Incarnation: 1}
	h.observe(assignment.Ownership{Owner: h.r.self, Epoch: 1, Next: other})
	h.heartbeat(time.Second, grant.Report{})
	h.heartbeat(time.Second, grant.Report{})
	h.observe(assignment.Ownership{Owner: other, Epoch: 2})
	h.released = nil
	h.observe(assignment.Ownership{Owner: h.r.self, Epoch: 3, Next: other})
	h.announce(2)
	for range 5 {
		h.heartbeat(time.Second, grant.Report{})
		h.r.executeHolder(h.now, h.r.holder.Tick(h.now))
		h.r.tickHeartbeatHandovers(h.now)
	}
	must.SliceContains(t, h.released, handover.Release{From: h.r.self, App: "katalog", Epoch: 3})
}

// Nobody would see otherwise that two servers hold a slice.
func TestHoldingThatNobodyGrantedIsLoggedOnce(t *testing.T) {
	h := newHeartbeatHost(t)
	logged := metrics.GetOrRegisterCounter("events.holding_unexpected", h.registry)
	h.heartbeat(30*time.Second, grant.Report{})
	h.heartbeat(time.Second, h.held())
	must.Zero(t, logged.Count())
	for range 2 {
		h.heartbeat(time.Second, grant.Report{Held: []grant.HeldRange{{Range: grant.Range{App: "katalog"}, Epoch: 9}}})
		must.Eq(t, 1, logged.Count())
	}
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
