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
		h.endProcess()
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
		h.heartbeat(earlierGrantsLast, grant.Report{})
		h.now = h.now.Add(10 * time.Millisecond)
		if delivery == document.GrantsByCall {
			h.grantEpochs()
		}
		h.run()
		h.endProcess()
		h.announce(2)
		h.answerRelease(grant.Accepted)
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
	must.Eq(t, []uint64{1}, h.grantEpochs())
	h.run()
	h.r.executeHolder(h.now, h.r.holder.Renounce(h.now, h.slice, 1))
	targetProbed{instance: 1}.handle(h.r, h.now)
	must.SliceEmpty(t, h.released)
	for run := range h.r.heldRuns {
		h.r.endAfterDeadline(h.now, run)
	}
	targetProbed{instance: 1}.handle(h.r, h.now)
	h.answerRelease(grant.Accepted)
	must.SliceLen(t, 1, h.released)
}

func TestReleaseThatEarlierInstanceDidNotAnswerIsMadeAtOnce(t *testing.T) {
	h := newGrantHost(t, document.GrantsByCall)
	must.Eq(t, []uint64{1}, h.grantEpochs())
	h.observe(assignment.Ownership{Owner: h.r.self, Epoch: 1, Next: host.Session{Host: "h2", Incarnation: 1}})
	must.SliceEmpty(t, h.released, must.Sprint("the target has not answered"))
	h.now = h.now.Add(earlierGrantsLast)
	h.announce(2)
	must.SliceEmpty(t, h.released, must.Sprint("nor has the next instance"))
	h.answerRelease(grant.Accepted)
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

	h.answerRelease(grant.Unsent)
	must.SliceEmpty(t, h.released, must.Sprint("the target may still hold the slice"))
	h.now = h.now.Add(earlierGrantsLast)
	h.r.tickGrants(h.now)
	must.SliceLen(t, 1, h.released)
}

func TestTargetThatRefusedConnectionsIsGrantedTheNextEpoch(t *testing.T) {
	h := newGrantHost(t, document.GrantsByCall)
	must.Eq(t, []uint64{1}, h.grantEpochs())
	targetProbed{instance: 1}.handle(h.r, h.now)
	h.answerRelease(grant.Accepted)
	must.SliceLen(t, 1, h.released)
	h.announce(1)
	h.observe(assignment.Ownership{Owner: h.r.self, Epoch: 2})
	must.Eq(t, []uint64{2}, h.grantEpochs())
}

// The first heartbeat that a daemon gets may be a late one of an instance that has
// ended. The next one may have run before the daemon, and hold slices.
func TestNothingIsReleasedWhileNextInstanceMayHoldGrantsOfEarlierDaemon(t *testing.T) {
	h := newHeartbeatHost(t)
	h.now = h.now.Add(100 * time.Millisecond)
	h.announce(2)
	h.r.tickGrants(h.now)
	must.SliceEmpty(t, h.released)
	h.now = h.now.Add(earlierGrantsLast)
	h.r.tickGrants(h.now)
	must.Eq(t, []handover.Release{{From: h.r.self, App: "katalog", Epoch: 1}}, h.released)
}

// earlierGrantsLast is longer than the grants of an earlier daemon last.
const earlierGrantsLast = 3 * time.Second

func TestRunAtEarlierAddressKeepsSliceWhateverPacksSay(t *testing.T) {
	h := newGrantHost(t, document.GrantsByCall)
	must.Eq(t, []uint64{1}, h.grantEpochs())
	h.run()
	h.announceAt("other", 2)
	must.SliceEmpty(t, h.grantEpochs())
	h.observe(assignment.Ownership{Owner: h.r.self, Epoch: 1, Next: host.Session{Host: "h2", Incarnation: 1}})
	h.observe(assignment.Ownership{Owner: h.r.self, Epoch: 1})
	must.SliceEmpty(t, h.grantEpochs())
	must.SliceEmpty(t, h.released, must.Sprint("the run goes on"))
}

func TestRefusedEpochIsNotOfferedAgainAfterWithdrawnHandover(t *testing.T) {
	h := newGrantHost(t, document.GrantsByCall)
	must.Eq(t, []uint64{1}, h.grantEpochs())
	h.run()
	h.r.grantActions.Refused = append(h.r.grantActions.Refused, grant.SliceEpoch{Slice: h.slice, Epoch: 1})
	h.r.executeGrants(h.now)
	h.observe(assignment.Ownership{Owner: h.r.self, Epoch: 1, Next: host.Session{Host: "h2", Incarnation: 1}})
	h.observe(assignment.Ownership{Owner: h.r.self, Epoch: 1})
	must.Eq(t, handover.Counts{Draining: 1}, h.r.holder.Counts())
}

func TestSpentEpochIsNotOfferedWhateverTheHolderSays(t *testing.T) {
	h := newGrantHost(t, document.GrantsByCall)
	h.announce(2)
	h.r.ownSlice(h.now, h.slice, 1)
	must.SliceEmpty(t, h.grantEpochs())
}

func TestLateHeartbeatOfEndedInstanceDoesNotReleaseWhatTheNextOneHolds(t *testing.T) {
	h := newGrantHost(t, document.GrantsByCall)
	must.Eq(t, []uint64{1}, h.grantEpochs())
	h.run()
	h.announce(2)
	must.SliceEmpty(t, h.released, must.Sprint("no answer shows that instance 2 listens"))
	h.answerRelease(grant.Unanswered)
	must.SliceEmpty(t, h.released)
}

func TestNothingIsReleasedBeforeTheDocumentWhileEarlierGrantsMayLast(t *testing.T) {
	h := newHostWithoutDocument(t)
	h.announce(1)
	h.observe(assignment.Ownership{Owner: h.r.self, Epoch: 2})
	h.observe(assignment.Ownership{Owner: h.r.self, Epoch: 2, Next: host.Session{Host: "h2", Incarnation: 1}})
	must.SliceEmpty(t, h.released)
	h.now = h.now.Add(earlierGrantsLast)
	h.r.executeHolder(h.now, h.r.holder.Tick(h.now))
	must.SliceLen(t, 1, h.released)
}

func TestRefusedSliceThatComesBackIsGrantedWithItsToken(t *testing.T) {
	h := newGrantHost(t, document.GrantsByCall)
	must.Eq(t, []uint64{1}, h.grantEpochs())
	h.r.executeHolder(h.now, h.r.holder.Renounce(h.now, h.slice, 1))
	releaseAnswered{core: h.r.callGrants, release: grant.Release{Range: grant.Range{App: h.slice.App}, Epoch: 1}, reply: grant.Reply{Answer: grant.Accepted, Token: "warm"}}.handle(h.r, h.now)
	h.observe(assignment.Ownership{Owner: h.r.self, Epoch: 2})
	var out grant.Actions
	h.r.callGrants.SetLease(h.now.Add(time.Minute))
	h.r.callGrants.Tick(h.now, &out)
	must.SliceLen(t, 1, out.Grants)
	must.Eq(t, "warm", out.Grants[0].Token)
}
