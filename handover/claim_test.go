package handover_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/assignment"
	"github.com/rhubarbring/rhubarbring/handover"
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/restore"
	"github.com/rhubarbring/rhubarbring/result"
)

// epochOf returns an epoch of era 1.
func epochOf(t *testing.T, counter uint64) uint64 {
	e, ok := restore.NewEpoch(1, counter)
	must.True(t, ok)
	return uint64(e)
}

func restoredChange(owner host.Session, epoch uint64, next host.Session) assignment.Change {
	c := newChange(owner, epoch, next)
	c.NotInForce = true
	return c
}

// An entry that the store restored, or that a daemon wrote which had not noticed the
// restore, must not give a slice to a session whose epoch another one had.
func TestEntryNotInForceChangesNothing(t *testing.T) {
	h := newHolder()
	must.SliceEmpty(t, h.ApplyChange(1, restoredChange(alpha, 4, host.NoSession)))
	must.Eq(t, result.NotOwner, h.Admits(2, slice).Code)

	h.ApplyChange(3, newChange(alpha, 5, host.NoSession))
	for _, c := range []assignment.Change{restoredChange(beta, 6, host.NoSession), restoredChange(alpha, 5, beta), restoredChange(host.NoSession, 0, host.NoSession)} {
		must.SliceEmpty(t, h.ApplyChange(4, c))
		must.Eq(t, result.OK, h.Admits(5, slice).Code)
	}
}

// A holder goes on with a slice whose entry is not in force, claims it, and gives it
// up in time if nobody answers: afterwards the leader may give it to another one.
func TestContestedSliceIsClaimedAndThenRenounced(t *testing.T) {
	h := newHolder()
	h.ApplyChange(1, newChange(alpha, 4, host.NoSession))
	h.Contest(second, slice)
	h.Contest(2*second, slice)
	must.Eq(t, []handover.OwnedSlice{{Slice: slice, Epoch: 4}}, h.Claims(3*second))
	must.Eq(t, result.OK, h.Admits(3*second, slice).Code)
	end := second.Add(restore.ClaimTime)
	must.SliceEmpty(t, h.Claims(end))
	h.Tick(end)
	must.Eq(t, result.NotOwner, h.Admits(end, slice).Code)
	must.SliceEmpty(t, h.ApplyChange(end, newChange(alpha, 4, host.NoSession)))
	must.Eq(t, result.NotOwner, h.Admits(end, slice).Code)
}

func TestGrantAtNewEpochEndsClaim(t *testing.T) {
	h := newHolder()
	h.ApplyChange(1, newChange(alpha, 4, host.NoSession))
	h.Contest(second, slice)
	h.ApplyChange(2*second, newChange(alpha, epochOf(t, 70), host.NoSession))
	must.SliceEmpty(t, h.Claims(3*second))
	h.Tick(100 * second)
	must.Eq(t, result.OK, h.Admits(100*second, slice).Code)
}

// A release would not tell the leader whether this session or an earlier one held
// the slice last: it waits until the claim is answered or has ended.
func TestContestedSliceIsNotReleased(t *testing.T) {
	h := newHolder()
	h.ApplyChange(1, newChange(alpha, 4, host.NoSession))
	ticket, _ := h.Begin(2, slice)
	h.ApplyChange(3, newChange(alpha, 4, beta))
	h.Contest(second, slice)
	must.SliceEmpty(t, h.End(2*second, ticket))
	must.SliceEmpty(t, h.Tick(3*second))
	must.Eq(t, []handover.OwnedSlice{{Slice: slice, Epoch: 4}}, h.Claims(3*second))

	granted := epochOf(t, 70)
	h.ApplyChange(4*second, newChange(alpha, granted, beta))
	must.Eq(t, handover.Counts{Released: 1}, h.Counts())
	must.Eq(t, granted, h.Admits(5*second, slice).Epoch)
}

// Without a lease nothing is claimed: another session may hold the slices.
func TestClaimsNeedLease(t *testing.T) {
	h := newHolder()
	h.ApplyChange(1, newChange(alpha, 4, host.NoSession))
	h.Contest(second, slice)
	h.SetLease(mono.Never)
	must.SliceEmpty(t, h.Claims(2*second))
	h.SetLease(1000 * second)
	h.EndSession()
	must.SliceEmpty(t, h.Claims(2*second))
}

// Only slices that are held are contested.
func TestReleasedSliceIsNotContested(t *testing.T) {
	h := newHolder()
	h.ApplyChange(1, newChange(alpha, 4, host.NoSession))
	h.ApplyChange(2, newChange(alpha, 4, beta))
	h.Contest(second, slice)
	h.Contest(second, key.Slice{App: "catalogue", ID: 9})
	must.SliceEmpty(t, h.Claims(2*second))
	must.SliceEmpty(t, h.Held())
}
