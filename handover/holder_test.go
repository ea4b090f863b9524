package handover_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/assignment"
	"github.com/rhubarbring/rhubarbring/handover"
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/result"
)

var (
	alpha = host.Session{Host: "alpha", Incarnation: 1}
	beta  = host.Session{Host: "beta", Incarnation: 1}
	slice = key.Slice{App: "catalogue", ID: 3}
)

const second = mono.Time(time.Second)

// newHolder returns a Holder of session alpha with a lease of 1000 s.
func newHolder() *handover.Holder {
	h := handover.New(handover.Config{Self: alpha, DrainReportAfter: 5 * time.Second, ResendInterval: time.Second, StopGrace: 2 * time.Second})
	h.SetLease(1000 * second)
	return h
}

func newChange(owner host.Session, epoch uint64, next host.Session) assignment.Change {
	return assignment.Change{Slice: slice, To: assignment.Ownership{Owner: owner, Epoch: epoch, Next: next}}
}

func TestReleaseWaitsForLastRequestAndIsResent(t *testing.T) {
	h := newHolder()
	must.Eq(t, []handover.Action{handover.Admit{Slice: slice, Epoch: 4}}, h.ApplyChange(1, newChange(alpha, 4, host.NoSession)))
	ticket, v := h.Begin(2, slice)
	must.Eq(t, handover.Verdict{Code: result.OK, Epoch: 4, Newest: 4, Since: 1}, v)
	must.Eq(t, []handover.Action{handover.StopAdmitting{Slice: slice, Epoch: 4, Next: beta}}, h.ApplyChange(3, newChange(alpha, 4, beta)))
	must.Eq(t, result.Draining, h.Admits(4, slice).Code)
	release := handover.SendRelease{Release: handover.Release{From: alpha, App: "catalogue", ID: 3, Epoch: 4}}
	must.Eq(t, []handover.Action{release}, h.End(5, ticket))
	must.SliceEmpty(t, h.Tick(6))
	must.Eq(t, []handover.Action{release}, h.Tick(5+second))
	must.Eq(t, handover.Counts{Released: 1}, h.Counts())
	h.ApplyChange(7+second, newChange(beta, 5, host.NoSession))
	must.SliceEmpty(t, h.Tick(10*second))
	must.Eq(t, handover.Verdict{Code: result.NotOwner, Epoch: 4, Newest: 5, Since: 1}, h.Admits(11*second, slice))
}

func TestOldPackDoesNotUndoRelease(t *testing.T) {
	h := newHolder()
	h.ApplyChange(1, newChange(alpha, 4, host.NoSession))
	h.ApplyChange(2, newChange(alpha, 4, beta))
	must.SliceEmpty(t, h.ApplyChange(3, newChange(alpha, 4, host.NoSession)))
	must.Eq(t, result.NotOwner, h.Admits(4, slice).Code)
	h.ApplyChange(5, newChange(beta, 5, host.NoSession))
	must.SliceEmpty(t, h.ApplyChange(6, newChange(alpha, 4, host.NoSession)))
	must.Eq(t, result.NotOwner, h.Admits(7, slice).Code)
	h.ApplyChange(8, newChange(alpha, 6, host.NoSession))
	must.True(t, h.Admits(9, slice).Admitted())
}

func TestWithdrawnHandoverAdmitsAgain(t *testing.T) {
	h := newHolder()
	h.ApplyChange(1, newChange(alpha, 4, host.NoSession))
	ticket, _ := h.Begin(2, slice)
	h.ApplyChange(3, newChange(alpha, 4, beta))
	must.Eq(t, []handover.Action{handover.Admit{Slice: slice, Epoch: 4}}, h.ApplyChange(4, newChange(alpha, 4, host.NoSession)))
	must.SliceEmpty(t, h.End(5, ticket))
	must.True(t, h.Admits(6, slice).Admitted())
}

func TestNothingIsAdmittedWithoutLease(t *testing.T) {
	h := newHolder()
	h.SetLease(10)
	h.ApplyChange(1, newChange(alpha, 4, host.NoSession))
	must.True(t, h.Admits(9, slice).Admitted())
	must.Eq(t, result.LeaseLapsed, h.Admits(10, slice).Code)
	h.SetLease(20)
	must.True(t, h.Admits(19, slice).Admitted())
	h.EndSession()
	must.Eq(t, result.NotOwner, h.Admits(19, slice).Code)
}

func TestPlannedStopDrainsSlicesWithoutNextOwner(t *testing.T) {
	h := newHolder()
	h.ApplyChange(1, newChange(alpha, 4, host.NoSession))
	ticket, _ := h.Begin(2, slice)
	h.BeginStop(3)
	must.SliceEmpty(t, h.Tick(4))
	must.True(t, h.Admits(5, slice).Admitted())
	must.SliceLen(t, 1, h.Tick(3+2*second))
	must.False(t, h.Stopped())
	must.Eq(t, []handover.Action{handover.ReportDrainOverdue{Slice: slice, Epoch: 4, InFlight: 1}}, h.Tick(3+7*second))
	must.SliceLen(t, 1, h.End(8*second, ticket))
	must.True(t, h.Stopped())
}

// When a carve-out appears, its parent slice may have a request for the key in
// flight. The carve-out's release must wait for the parent's earlier requests,
// but not for later ones.
func TestCarveOutReleaseWaitsForEarlierParentRequests(t *testing.T) {
	h := newHolder()
	h.ApplyChange(1, newChange(alpha, 4, host.NoSession))
	early, _ := h.Begin(2, slice)
	carved := assignment.Change{Slice: key.Slice{App: "catalogue", ID: key.CarveOutBase}, Key: "k", Parent: 3, To: assignment.Ownership{Owner: alpha, Epoch: 1}}
	h.ApplyChange(3, carved)
	late, _ := h.Begin(4, slice)
	carved.To.Next = beta
	must.SliceLen(t, 1, h.ApplyChange(5, carved))
	must.SliceLen(t, 1, h.End(6, early))
	must.Eq(t, handover.Counts{Owned: 1, Released: 1}, h.Counts())
	must.SliceEmpty(t, h.End(7, late))
}

// Requests of a carve-out that is merged belong to the parent from then on, so
// the parent's release must wait for them.
func TestParentReleaseWaitsForMergedCarveOutRequests(t *testing.T) {
	h := newHolder()
	h.ApplyChange(1, newChange(alpha, 4, host.NoSession))
	carved := assignment.Change{Slice: key.Slice{App: "catalogue", ID: key.CarveOutBase}, Key: "k", Parent: 3, To: assignment.Ownership{Owner: alpha, Epoch: 1}}
	h.ApplyChange(2, carved)
	ticket, _ := h.Begin(3, carved.Slice)
	h.ApplyChange(4, assignment.Change{Slice: carved.Slice, Key: "k", Parent: 3, Merged: true})
	h.ApplyChange(5, newChange(alpha, 5, host.NoSession))
	must.SliceLen(t, 1, h.ApplyChange(6, newChange(alpha, 5, beta)))
	must.SliceLen(t, 1, h.End(7, ticket))
}
