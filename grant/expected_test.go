package grant

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/key"
)

func heldAt(id key.SliceID, epoch uint64) []HeldRange {
	return []HeldRange{{Range: Range{App: app, First: id, Last: id}, Epoch: epoch}}
}

func TestHoldingThatNobodyGrantedIsNamedOnce(t *testing.T) {
	b := newHeartbeats()
	b.own(1, 0, 0)
	b.beat()
	for _, expected := range [][]SliceEpoch{{{Slice: slice(5), Epoch: 7}}, nil} {
		b.held = append(heldAt(0, 1), heldAt(5, 7)...)
		must.Eq(t, expected, b.beat().Unexpected)
	}
}

// The target takes a higher epoch with an answer, and never returns to the lower.
func TestEarlierEpochIsExpectedUntilTargetReportsNext(t *testing.T) {
	b := newHeartbeats()
	b.own(1, 0, 0)
	b.beat()
	b.own(2, 0, 0)
	must.SliceEmpty(t, b.beatWithLostAnswer().Unexpected)
	must.SliceEmpty(t, b.beat().Unexpected)
	must.SliceEmpty(t, b.beat().Unexpected)
	b.held = heldAt(0, 1)
	must.Eq(t, []SliceEpoch{{Slice: slice(0), Epoch: 1}}, b.beat().Unexpected)
}

// A slice that is being released is expected while the target works on it, but not
// again once a heartbeat did not report it.
func TestSliceHeldAgainAfterItsReleaseIsUnexpected(t *testing.T) {
	b := newHeartbeats()
	b.own(1, 0, 1)
	b.beat()
	b.RequestRelease(b.now, slice(0), 1)
	for range 2 {
		must.SliceEmpty(t, b.beat().Unexpected)
		b.held = append(heldAt(0, 1), heldAt(1, 1)...)
	}
	b.held = heldAt(1, 1)
	must.Len(t, 1, b.beat().Released)
	b.held = append(heldAt(0, 1), heldAt(1, 1)...)
	must.Eq(t, []SliceEpoch{{Slice: slice(0), Epoch: 1}}, b.beat().Unexpected)
}

func TestGrantOfEarlierDaemonIsExpectedUntilItHasExpired(t *testing.T) {
	c := NewHeartbeatCoreForRunningTarget(start, DefaultConfig())
	end := start.Add(c.cfg.LongestHold() + reportDelay)
	var out Actions
	c.Observe(start, Report{Held: heldAt(0, 4)}, &out)
	c.Observe(end-1, Report{Held: heldAt(0, 4)}, &out)
	must.SliceEmpty(t, out.Unexpected)
	c.Observe(end, Report{Held: heldAt(0, 4)}, &out)
	must.Eq(t, []SliceEpoch{{Slice: slice(0), Epoch: 4}}, out.Unexpected)
}
