package handover_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/assignment"
	"github.com/rhubarbring/rhubarbring/handover"
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/key"
)

// countReleases returns the number of releases among actions.
func countReleases(actions []handover.Action) int {
	n := 0
	for _, a := range actions {
		if _, ok := a.(handover.SendRelease); ok {
			n++
		}
	}
	return n
}

func TestWithdrawnHandoverDoesNotReviveRenouncedSlice(t *testing.T) {
	h := newHolder()
	h.ApplyChange(1, newChange(alpha, 4, host.NoSession))
	ticket, _ := h.Begin(2, slice)
	h.ApplyChange(3, newChange(alpha, 4, beta))
	must.SliceEmpty(t, h.RenounceAll(4))
	must.SliceEmpty(t, h.ApplyChange(5, newChange(alpha, 4, host.NoSession)))
	must.Eq(t, handover.Counts{Draining: 1}, h.Counts())
	must.Eq(t, 1, countReleases(h.End(6, ticket)))
}

func TestStopWaitsForRenouncedSlices(t *testing.T) {
	h := newHolder()
	h.ApplyChange(second, newChange(alpha, 1, host.NoSession))
	ticket, _ := h.Begin(second, slice)
	must.Zero(t, countReleases(h.RenounceAll(second)))
	h.BeginStop(second)
	h.Tick(11 * second)
	must.False(t, h.Stopped())
	must.Eq(t, 1, countReleases(h.End(11*second, ticket)))
	must.True(t, h.Stopped())
}

func TestRenouncedCarveOutHoldsBackParentAfterMerge(t *testing.T) {
	h := newHolder()
	carve := key.Slice{App: slice.App, ID: key.CarveOutBase}
	carved := func(epoch uint64) assignment.Change {
		return assignment.Change{Slice: carve, Key: "k", Parent: slice.ID, To: assignment.Ownership{Owner: alpha, Epoch: epoch}}
	}
	h.ApplyChange(1, newChange(alpha, 4, host.NoSession))
	older, _ := h.Begin(1, slice)
	h.ApplyChange(1, carved(5))
	own, _ := h.Begin(1, carve)
	must.Zero(t, countReleases(h.RenounceAll(1)))
	must.SliceEmpty(t, h.ApplyChange(1, carved(5)))
	merged := carved(5)
	merged.Merged = true
	must.Zero(t, countReleases(h.ApplyChange(1, merged)))
	must.Zero(t, countReleases(h.End(1, older)))
	must.Eq(t, 1, countReleases(h.End(1, own)), must.Sprint("the parent"))
	h.ApplyChange(1, carved(6))
	must.Eq(t, handover.Counts{Owned: 1, Released: 1}, h.Counts())
}
