package daemon

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/assignment"
	"github.com/rhubarbring/rhubarbring/document"
	"github.com/rhubarbring/rhubarbring/grant"
	"github.com/rhubarbring/rhubarbring/handover"
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/result"
)

func TestEpochOfReplacedInstanceIsNotGrantedWhileItsRunsAreInFlight(t *testing.T) {
	h := newGrantHost(t, document.GrantsByCall)
	must.Eq(t, []uint64{1}, h.grantEpochs())
	h.run()
	h.announce(2)
	must.SliceEmpty(t, h.grantEpochs())
}

func TestEpochOfReplacedInstanceIsNotGrantedAfterWithdrawnHandover(t *testing.T) {
	for _, delivery := range []document.GrantDelivery{document.GrantsByCall, document.GrantsByHeartbeat} {
		h := newGrantHost(t, delivery)
		h.heartbeat(time.Second, grant.Report{})
		h.now = h.now.Add(10 * time.Millisecond)
		if delivery == document.GrantsByCall {
			h.grantEpochs()
		}
		h.run()
		h.now = h.now.Add(heartbeatOverdue)
		h.observe(assignment.Ownership{Owner: h.r.self, Epoch: 1, Next: host.Session{Host: "h2", Incarnation: 1}})
		h.announce(2)
		h.observe(assignment.Ownership{Owner: h.r.self, Epoch: 1})
		must.Eq(t, result.NotOwner, h.admits())
		must.SliceEmpty(t, h.heartbeat(time.Second, grant.Report{}).Rows)
		if delivery == document.GrantsByCall {
			must.SliceEmpty(t, h.grantEpochs())
		}
	}
}

func TestSlicesOfReplacedInstanceAreReleasedWithoutItsRuns(t *testing.T) {
	for _, delivery := range []document.GrantDelivery{document.GrantsByCall, document.GrantsByHeartbeat} {
		h := newGrantHost(t, delivery)
		h.heartbeat(time.Second, grant.Report{})
		h.now = h.now.Add(10 * time.Millisecond)
		if delivery == document.GrantsByCall {
			h.grantEpochs()
		}
		h.run()
		h.announce(2)
		must.Eq(t, []handover.Release{{From: h.r.self, App: "katalog", Epoch: 1}}, h.released)
		h.observe(assignment.Ownership{Owner: h.r.self, Epoch: 2})
		if delivery == document.GrantsByCall {
			must.Eq(t, []uint64{2}, h.grantEpochs())
			continue
		}
		must.Eq(t, []grant.Row{{Range: grant.Range{App: "katalog"}, Epoch: 2}}, h.heartbeat(time.Second, grant.Report{}).Rows)
	}
}

func TestTargetThatListensNoMoreKeepsSlicesOfItsRuns(t *testing.T) {
	h := newGrantHost(t, document.GrantsByCall)
	h.run()
	h.r.executeHolder(h.now, h.r.holder.Renounce(h.now, h.slice, 1))
	targetProbed{instance: 1}.handle(h.r, h.now)
	must.SliceEmpty(t, h.released)
	for run := range h.r.heldRuns {
		h.r.endAfterDeadline(h.now, run)
	}
	targetProbed{instance: 1}.handle(h.r, h.now)
	must.SliceLen(t, 1, h.released)
}

func TestReleaseThatEarlierInstanceDidNotAnswerIsMadeAtOnce(t *testing.T) {
	h := newGrantHost(t, document.GrantsByCall)
	must.Eq(t, []uint64{1}, h.grantEpochs())
	h.observe(assignment.Ownership{Owner: h.r.self, Epoch: 1, Next: host.Session{Host: "h2", Incarnation: 1}})
	must.SliceEmpty(t, h.released, must.Sprint("the target has not answered"))
	h.announce(2)
	must.SliceLen(t, 1, h.released)
}

func TestSlicesOfEndedTargetAreHandedOverWhenItSurelyHoldsThemNoMore(t *testing.T) {
	h := newGrantHost(t, document.GrantsByCall)
	must.Eq(t, []uint64{1}, h.grantEpochs())
	var silent time.Duration
	h.r.onTargetGone = func(s time.Duration) { silent = s }
	targetProbed{instance: 1, listening: true}.handle(h.r, h.now)
	must.Zero(t, silent)
	targetProbed{instance: 1}.handle(h.r, h.now)
	must.Eq(t, h.now.Sub(h.r.target.lastAnnounced), silent)
	must.Eq(t, result.NotOwner, h.admits())

	unsent := releaseAnswered{core: h.r.callGrants, release: grant.Release{Range: grant.Range{App: "katalog"}, Epoch: 1}, reply: grant.Reply{Answer: grant.Unsent}}
	unsent.handle(h.r, h.now)
	must.SliceEmpty(t, h.released, must.Sprint("the target may still hold the slice"))
	h.now = h.now.Add(2 * time.Second)
	unsent.handle(h.r, h.now)
	must.SliceLen(t, 1, h.released)
}

func TestTargetThatRefusedConnectionsIsGrantedTheNextEpoch(t *testing.T) {
	h := newGrantHost(t, document.GrantsByCall)
	targetProbed{instance: 1}.handle(h.r, h.now)
	must.SliceLen(t, 1, h.released)
	h.announce(1)
	h.observe(assignment.Ownership{Owner: h.r.self, Epoch: 2})
	must.Eq(t, []uint64{2}, h.grantEpochs())
}
