package daemon

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/assignment"
	"github.com/rhubarbring/rhubarbring/document"
	"github.com/rhubarbring/rhubarbring/grant"
	"github.com/rhubarbring/rhubarbring/handover"
)

// holdSlice makes the target hold the slice, for less than earlierGrantsLast.
func (h *grantHost) holdSlice() {
	h.now = h.now.Add(earlierGrantsLast)
	if h.r.callGrants != nil {
		must.Eq(h.t, []uint64{1}, h.grantEpochs())
		return
	}
	must.SliceLen(h.t, 1, h.heartbeat(0, grant.Report{}).Rows)
}

func (h *grantHost) answerReleaseOf(core *grant.Core, a grant.Answer, token string) {
	reply := grant.Reply{Answer: a, Token: token}
	releaseAnswered{core: core, release: grant.Release{Range: grant.Range{App: h.slice.App}, Epoch: 1}, reply: reply}.handle(h.r, h.now)
}

// The announced instance listens at the address. The one before has closed its listener only.
func TestSliceOfInstanceThatRunsOnIsNotReleasedForTheNextOne(t *testing.T) {
	for _, delivery := range bothDeliveries {
		h := newGrantHost(t, delivery)
		h.holdSlice()
		h.announce(2)
		h.answerRelease(grant.Accepted)
		must.SliceEmpty(t, h.released, must.Sprint(delivery, ": the instance before holds it"))
		h.announce(3)
		h.answerRelease(grant.Accepted)
		must.SliceEmpty(t, h.released, must.Sprint(delivery, ": the first one still does"))
		must.False(t, h.r.previous.list[0].client == h.r.target.client)
		h.tick(earlierGrantsLast)
		h.answerRelease(grant.Accepted)
		must.Eq(t, h.releaseOfSlice(), h.released)
		must.SliceEmpty(t, h.r.previous.list)
	}
}

func TestSliceIsReleasedOnceProcessOfReplacedInstanceHasEnded(t *testing.T) {
	for _, delivery := range bothDeliveries {
		h := newGrantHost(t, delivery)
		h.holdSlice()
		earlier := h.r.target.client.(*blockedTarget)
		h.announce(2)
		must.True(t, earlier.retired)
		h.tick(time.Millisecond)
		must.SliceLen(t, 1, h.r.previous.list)
		earlier.ended = true
		h.tick(time.Millisecond)
		must.SliceEmpty(t, h.r.previous.list)
		h.answerRelease(grant.Accepted)
		must.Eq(t, h.releaseOfSlice(), h.released)
	}
}

func TestReplacedInstanceThatRunsOnReleasesSliceWithItsToken(t *testing.T) {
	h := newGrantHost(t, document.GrantsByCall)
	h.holdSlice()
	earlier := h.r.callGrants
	h.announce(2)
	h.answerReleaseOf(earlier, grant.Unanswered, "")
	must.SliceEmpty(t, h.released)
	h.tick(grantConfig().Retry)
	h.answerReleaseOf(earlier, grant.Accepted, "warm")
	must.SliceEmpty(t, h.released, must.Sprint("the announcement of instance 2 may be a late one"))
	h.answerReleaseOf(h.r.callGrants, grant.Accepted, "cold")
	must.Eq(t, h.releaseOfSlice(), h.released)
	h.observe(assignment.Ownership{Owner: h.r.self, Epoch: 2})
	var out grant.Actions
	h.r.callGrants.SetLease(h.now.Add(time.Minute))
	h.r.callGrants.Tick(h.now, &out)
	must.SliceLen(t, 1, out.Grants)
	must.Eq(t, "warm", out.Grants[0].Token)
}

func TestRunOfReplacedInstanceKeepsSliceWhileItsProcessMayRun(t *testing.T) {
	h := newGrantHost(t, document.GrantsByCall)
	h.holdSlice()
	h.run()
	earlier := h.r.target.client.(*blockedTarget)
	h.announce(2)
	must.MapLen(t, 1, h.r.heldRuns)
	for run := range h.r.heldRuns {
		h.r.endAfterDeadline(h.now, run)
	}
	h.tick(time.Millisecond)
	must.MapLen(t, 1, h.r.heldRuns, must.Sprint("a lost run may go on"))
	earlier.ended = true
	h.tick(time.Millisecond)
	must.MapEmpty(t, h.r.heldRuns)
}

func TestStopWaitsForReplacedInstance(t *testing.T) {
	for _, delivery := range bothDeliveries {
		h := newGrantHost(t, delivery)
		h.holdSlice()
		earlier := h.r.target.client.(*blockedTarget)
		h.announce(2)
		h.answerRelease(grant.Accepted)
		must.True(t, h.r.granter.HoldsNothing(h.now))
		must.False(t, h.r.targetHoldsNothing(h.now), must.Sprint(delivery))
		earlier.ended = true
		h.r.tickGrants(h.now)
		h.answerRelease(grant.Accepted)
		must.True(t, h.r.targetHoldsNothing(h.now), must.Sprint(delivery))
	}
}

// The instance may come back: the announcement that replaced it was a late one.
func TestRunsOfInstanceThatCameBackOutlastItsFirstStay(t *testing.T) {
	h := newGrantHost(t, document.GrantsByCall)
	h.holdSlice()
	h.announce(2)
	h.announce(1)
	h.tick(earlierGrantsLast)
	h.answerRelease(grant.Accepted)
	must.Eq(t, []handover.Release{{From: h.r.self, App: "katalog", Epoch: 1}}, h.released)
	h.observe(assignment.Ownership{Owner: h.r.self, Epoch: 2})
	must.Eq(t, []uint64{2}, h.grantEpochs())
}

// The earlier daemon may have granted the slice to instance 1, which runs on.
func TestNextInstanceIsNotGrantedWhatTheOneBeforeMayHoldOfAnEarlierDaemon(t *testing.T) {
	for _, delivery := range bothDeliveries {
		h := newHostWithoutDocument(t)
		h.adoptDocument(delivery)
		h.announce(1)
		h.announce(2)
		h.observe(assignment.Ownership{Owner: h.r.self, Epoch: 2})
		must.SliceEmpty(t, h.offeredEpochs(), must.Sprint(delivery))
		h.tick(earlierGrantsLast)
		must.Eq(t, []uint64{2}, h.offeredEpochs(), must.Sprint(delivery))
	}
}

// offeredEpochs returns the epochs that the target is granted within a second.
func (h *grantHost) offeredEpochs() []uint64 {
	if h.r.callGrants != nil {
		return h.grantEpochs()
	}
	var epochs []uint64
	for _, row := range h.heartbeat(time.Second, grant.Report{}).Rows {
		epochs = append(epochs, row.Epoch)
	}
	return epochs
}

// The next session of the process opens connections of its own.
func TestConnectionsToTargetsAreClosedWithTheSession(t *testing.T) {
	h := newGrantHost(t, document.GrantsByCall)
	h.holdSlice()
	earlier := h.r.target.client.(*blockedTarget)
	h.announce(2)
	h.r.start()
	h.r.close()
	must.True(t, earlier.closed)
	must.True(t, h.r.target.client.(*blockedTarget).closed)
}
