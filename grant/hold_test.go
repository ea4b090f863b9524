package grant

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/key"
)

// decide returns the grant that a core requests at start under a lease.
func decide(t *testing.T, length time.Duration) Grant {
	c := New(DefaultConfig())
	c.SetOwned(start, permit(slice(4), 1))
	c.SetLease(start.Add(length))
	var out Actions
	c.Tick(start, &out)
	must.Len(t, 1, out.Grants)
	return out.Grants[0]
}

// However late a call leaves, no target's clock prolongs it beyond the lease.
func TestGrantEndsWithinLeaseWheneverItLeaves(t *testing.T) {
	for _, length := range []time.Duration{300 * time.Millisecond, lease, time.Minute} {
		g, leaseEnd := decide(t, length), start.Add(length)
		for at := start; at.Before(leaseEnd.Add(time.Second)); at = at.Add(1700 * time.Microsecond) {
			hold := g.HoldAt(at)
			must.Zero(t, hold%HoldResolution)
			must.LessEq(t, g.Hold, hold)
			if hold == 0 {
				continue
			}
			must.GreaterEq(t, MinHold, hold)
			arrived := at.Add(DefaultConfig().Slack)
			must.False(t, g.OutlastsLease(arrived, hold))
			must.False(t, arrived.Add(DefaultConfig().longestHold(hold)).After(leaseEnd))
		}
		must.Zero(t, g.HoldAt(leaseEnd))
	}
}

// A call that leaves at once has the duration that was decided.
func TestGrantThatLeavesAtOnceIsNotShortened(t *testing.T) {
	for _, length := range []time.Duration{300 * time.Millisecond, lease, time.Minute} {
		g := decide(t, length)
		must.Eq(t, g.Hold, g.HoldAt(start))
	}
}

// A pause between the computation of the duration and the end of the write shows.
func TestGrantHeldUpAfterComputationOutlastsLease(t *testing.T) {
	g := decide(t, lease)
	hold := g.HoldAt(start)
	must.False(t, g.OutlastsLease(start.Add(time.Millisecond), hold))
	must.True(t, g.OutlastsLease(start.Add(DefaultConfig().Slack+2*HoldResolution), hold))
}

// The daemon sends a target no request for a slice whose grant may have ended there.
func TestSliceIsNotHeldLongerThanItWasGranted(t *testing.T) {
	c := New(DefaultConfig())
	c.SetOwned(start, permit(slice(4), 1))
	out := tick(c, start)
	g := out.Grants[0]
	for late := range 50 {
		left := start.Add(time.Duration(late) * 333 * time.Microsecond)
		c.GrantAnswered(left, g.Unit, Accepted, &out)
		must.False(t, c.Holds(left.Add(g.HoldAt(left)), slice(4)))
	}
}

// What was withdrawn is not held, may be for a while, and is granted again with its token.
func TestWithdrawnGrantIsNotHeld(t *testing.T) {
	c := newGrantedCore(t, 1, 4, 5)
	renewedAt := start.Add(time.Second)
	out := tick(c, renewedAt)
	must.Len(t, 1, out.Grants)
	c.TokenReturned(out.Grants[0].Unit, "ab")
	c.GrantAnswered(renewedAt, out.Grants[0].Unit, Withdrawn, &out)
	must.False(t, c.Holds(renewedAt, slice(4)))
	must.False(t, c.HoldsNothing(renewedAt.Add(out.Grants[0].Hold)))
	must.SliceEmpty(t, tick(c, renewedAt).Grants)
	again := tick(c, renewedAt.Add(c.cfg.Retry))
	must.Len(t, 1, again.Grants)
	must.Eq(t, "ab", again.Grants[0].Token)
}

// A call goes on for the slices behind one that left their unit meanwhile.
func TestSliceOfPendingCallIsNotReleasedBeforeAnswer(t *testing.T) {
	c := New(DefaultConfig())
	for id := key.SliceID(4); id <= 6; id++ {
		c.SetOwned(start, permit(slice(id), 1))
	}
	c.SetLease(start.Add(300 * time.Millisecond))
	var out Actions
	c.Tick(start, &out)
	must.Len(t, 1, out.Grants)
	g := out.Grants[0]
	c.Revoke(slice(5))
	c.RequestRelease(start, slice(6), 1)
	answeredAt := start.Add(time.Second)
	out.Reset()
	c.Tick(answeredAt, &out)
	must.SliceEmpty(t, out.Released)
	c.GrantAnswered(answeredAt, g.Unit, Unanswered, &out)
	c.Tick(answeredAt.Add(g.Hold), &out)
	must.SliceEmpty(t, out.Released)
	c.Tick(answeredAt.Add(DefaultConfig().longestHold(g.Hold)), &out)
	must.Eq(t, []ReleasedSlice{{Slice: slice(6), Epoch: 1}}, out.Released)
}
