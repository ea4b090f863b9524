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
)

var bothDeliveries = []document.GrantDelivery{document.GrantsByCall, document.GrantsByHeartbeat}

// tick delivers what the holder and the target's grants have due after some time.
func (h *grantHost) tick(after time.Duration) {
	h.now = h.now.Add(after)
	h.r.executeHolder(h.now, h.r.holder.Tick(h.now))
}

func (h *grantHost) releaseOfSlice() []handover.Release {
	return []handover.Release{{From: h.r.self, App: "katalog", Epoch: 1}}
}

func TestSliceOfEarlierDaemonIsNotReleasedUnasked(t *testing.T) {
	for _, delivery := range bothDeliveries {
		h := newGrantHost(t, delivery)
		h.observe(assignment.Ownership{Owner: h.r.self, Epoch: 1, Next: host.Session{Host: "h2", Incarnation: 1}})
		h.tick(grantConfig().LongestHold() - 1)
		must.SliceEmpty(t, h.released, must.Sprint(delivery))
		if delivery == document.GrantsByCall {
			accepted := grant.Reply{Answer: grant.Accepted}
			releaseAnswered{core: h.r.callGrants, release: grant.Release{Range: grant.Range{App: "katalog"}, Epoch: 1}, reply: accepted}.handle(h.r, h.now)
			must.SliceEmpty(t, h.released, must.Sprint("a late grant may still take effect"))
		}
		h.tick(1)
		must.Eq(t, h.releaseOfSlice(), h.released)
	}
}

func TestSliceIsNotReleasedWhileInstanceAtOtherAddressMayHoldIt(t *testing.T) {
	for _, delivery := range bothDeliveries {
		h := newGrantHost(t, delivery)
		h.now = h.now.Add(time.Minute)
		h.announceAt("moved", 2)
		must.False(t, h.r.granter.HoldsNothing(h.now), must.Sprint("it may have run before"))
		h.announceAt("moved", 3)
		stopRequested{}.handle(h.r, h.now)
		h.tick(grantConfig().LongestHold() - 1)
		h.r.publishStopState()
		must.SliceEmpty(t, h.released, must.Sprint(delivery))
		must.True(t, h.r.holder.Stopped())
		must.False(t, h.r.allReleased.Load())
		h.tick(1)
		must.Eq(t, h.releaseOfSlice(), h.released)
	}
}

func TestLateDocumentChangesNothingOfWhatInstanceMayHold(t *testing.T) {
	for _, delivery := range bothDeliveries {
		h := newHostWithoutDocument(t)
		h.announce(1)
		end := h.now.Add(grantConfig().LongestHold())
		h.now = h.now.Add(time.Second)
		h.adoptDocument(delivery)
		must.False(t, h.r.granter.HoldsNothing(end-1), must.Sprint(delivery))
		must.True(t, h.r.granter.HoldsNothing(end))

		h = newHostWithoutDocument(t)
		h.announce(1)
		h.now = h.now.Add(time.Second)
		h.announce(2)
		end = h.now.Add(grantConfig().LongestHold())
		h.now = h.now.Add(time.Second)
		h.adoptDocument(delivery)
		must.True(t, h.r.granter.HoldsNothing(end), must.Sprint(delivery, " after a restart"))
	}
}

// The calls name keys and no app: they would end what the target holds of its own.
func TestSliceOfOtherAppIsReleasedWithoutCall(t *testing.T) {
	h := newGrantHost(t, document.GrantsByCall)
	other := handover.Release{From: h.r.self, App: "other", Epoch: 1}
	h.r.releaseSlice(h.now, other)
	must.Eq(t, []handover.Release{other}, h.released)
}
