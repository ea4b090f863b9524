package grant

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/mono"
)

const heartbeatInterval = 870 * time.Millisecond

// heartbeats drives a HeartbeatCore by the heartbeats of a target that takes each
// answer, unless a test says otherwise.
type heartbeats struct {
	*HeartbeatCore
	now  mono.Time
	held []HeldRange // What the target reports next.
	last HeartbeatAnswer
}

// newHeartbeats returns a core that has seen a heartbeat of a target which holds
// nothing.
func newHeartbeats() *heartbeats {
	b := &heartbeats{HeartbeatCore: NewHeartbeatCore(DefaultConfig()), now: start}
	b.beat()
	return b
}

// beat sends a heartbeat and returns the actions that its report causes. The
// target takes the answer.
func (b *heartbeats) beat(freed ...FreedRange) Actions {
	out := b.beatWithLostAnswer(freed...)
	if b.last.Hold > 0 {
		b.held = nil
		for _, r := range b.last.Rows {
			b.held = append(b.held, HeldRange{Range: r.Range, Epoch: r.Epoch})
		}
	}
	return out
}

// beatWithLostAnswer is beat for an answer that does not reach the target.
func (b *heartbeats) beatWithLostAnswer(freed ...FreedRange) Actions {
	var out Actions
	b.now = b.now.Add(heartbeatInterval)
	b.SetLease(b.now.Add(lease))
	b.Observe(b.now, Report{Held: b.held, Freed: freed}, &out)
	b.last = b.Answer(b.now)
	return out
}

func (b *heartbeats) own(epoch uint64, first, last key.SliceID) {
	for id := first; id <= last; id++ {
		b.SetOwned(b.now, permit(slice(id), epoch))
	}
}

func rowOf(first, last key.SliceID, epoch uint64, token string) Row {
	return Row{Range: Range{App: app, First: first, Last: last}, Epoch: epoch, Token: token}
}

// Each answer names all owned slices, neighbours at one epoch in one row. The
// grant ends within the lease, also at a target whose clock runs slow.
func TestHeartbeatAnswerNamesAllOwnedSlices(t *testing.T) {
	b := newHeartbeats()
	b.own(3, 0, 7)
	b.own(4, 8, 9)
	b.own(3, 20, 20)
	b.beat()
	must.Eq(t, []Row{rowOf(0, 7, 3, ""), rowOf(8, 9, 4, ""), rowOf(20, 20, 3, "")}, b.last.Rows)
	must.LessEq(t, lease, DefaultConfig().longestHold(b.last.Hold))
	must.False(t, b.Holds(b.now, slice(0)), must.Sprint("the answer is on its way"))
	taken := b.now.Add(AnswerTransit)
	must.True(t, b.Holds(taken, slice(0)))
	must.False(t, b.Holds(b.now.Add(b.last.Hold), slice(0)))
	b.beat()
	must.Len(t, 3, b.last.Rows)
	must.True(t, b.Holds(b.now, slice(0)), must.Sprint("a renewal makes no gap"))
}

// Without a lease, or without slices, an answer renews nothing and takes nothing
// away: an empty list would make the target release what the next session on this
// host takes over.
func TestHeartbeatAnswerWithoutLeaseGrantsNothing(t *testing.T) {
	b := newHeartbeats()
	must.Eq(t, HeartbeatAnswer{}, b.last)
	b.own(1, 0, 3)
	b.SetLease(b.now.Add(DefaultConfig().MinHold / 2))
	must.Eq(t, HeartbeatAnswer{}, b.Answer(b.now))
}

// A slice that is left out counts as held until a later heartbeat does not report
// it. Its token goes with the release.
func TestSliceLeftOutIsReleasedByLaterHeartbeat(t *testing.T) {
	b := newHeartbeats()
	b.own(1, 0, 7)
	b.beat()
	b.Withhold(slice(3))
	must.False(t, b.Holds(b.now.Add(AnswerTransit), slice(3)))
	b.RequestRelease(b.now, slice(3), 1)
	working := []HeldRange{{Range: Range{App: app, First: 0, Last: 7}, Epoch: 1}}
	out := b.beat()
	must.SliceEmpty(t, out.Released, must.Sprint("the target holds it still"))
	must.Eq(t, []Row{rowOf(4, 7, 1, ""), rowOf(0, 2, 1, "")}, b.last.Rows)
	b.held = working // A request of the slice is still running.
	must.SliceEmpty(t, b.beat().Released)
	out = b.beat(FreedRange{Range: Range{App: app, First: 3, Last: 3}, Token: "tok"})
	must.Eq(t, []ReleasedSlice{{Slice: slice(3), Epoch: 1, Token: "tok"}}, out.Released)
	must.True(t, b.Holds(b.now, slice(2)))
}

// The target may report the release before the last request of the slice has
// ended here, so that the release is requested later. The token is kept.
func TestTokenIsKeptUntilReleaseIsRequested(t *testing.T) {
	b := newHeartbeats()
	b.own(1, 0, 0)
	b.beat()
	b.Withhold(slice(0))
	b.beat()
	must.SliceEmpty(t, b.beat(FreedRange{Range: Range{App: app}, Token: "tok"}).Released)
	b.RequestRelease(b.now, slice(0), 1)
	var out Actions
	b.Tick(b.now, &out)
	must.Eq(t, []ReleasedSlice{{Slice: slice(0), Epoch: 1, Token: "tok"}}, out.Released)
}

// A lost answer may have been taken: the slice counts as held until its grant has
// surely expired, although it was never reported.
func TestLostAnswerCountsAsTaken(t *testing.T) {
	b := newHeartbeats()
	b.own(1, 0, 0)
	b.beatWithLostAnswer()
	b.RequestRelease(b.now, slice(0), 1)
	end := b.now.Add(DefaultConfig().longestHold(b.last.Hold))
	var out Actions
	b.Tick(end-1, &out)
	must.SliceEmpty(t, out.Released)
	b.Tick(end, &out)
	must.Len(t, 1, out.Released)
}

// A withheld slice whose handover is withdrawn is granted again.
func TestWithheldSliceIsGrantedAgain(t *testing.T) {
	b := newHeartbeats()
	b.own(1, 0, 0)
	b.beat()
	b.Withhold(slice(0))
	b.SetOwned(b.now, permit(slice(0), 1))
	b.beat()
	must.Eq(t, []Row{rowOf(0, 0, 1, "")}, b.last.Rows)
}

// The token of the previous owner's release is sent until the target reports the
// slice, since the answer may be lost. It does not outlive its use.
func TestTokenIsSentUntilSliceIsReported(t *testing.T) {
	b := newHeartbeats()
	b.SetToken(b.now, slice(0), 2, "tok")
	b.own(2, 0, 1)
	b.beatWithLostAnswer()
	must.Eq(t, []Row{rowOf(0, 0, 2, "tok"), rowOf(1, 1, 2, "")}, b.last.Rows)
	b.SetToken(b.now, slice(1), 2, "late")
	b.beat()
	must.Eq(t, []Row{rowOf(0, 0, 2, "tok"), rowOf(1, 1, 2, "late")}, b.last.Rows)
	b.beat()
	must.Eq(t, []Row{rowOf(0, 1, 2, "")}, b.last.Rows)
}

// The target refuses a row as a whole if it has seen a higher epoch of one of its
// slices. Only that slice is given up, and no renewal shares a row with it.
func TestOnlyRefusedSliceIsGivenUp(t *testing.T) {
	b := newHeartbeats()
	b.own(5, 0, 3)
	b.beat()
	b.own(5, 4, 7)
	var refused []SliceEpoch
	for range 12 {
		out := b.beat()
		refused = append(refused, out.Refused...)
		taken := b.held[:0]
		for _, h := range b.held {
			if !h.Range.Has(slice(6)) {
				taken = append(taken, h)
			}
		}
		b.held = taken
	}
	must.Eq(t, []SliceEpoch{{Slice: slice(6), Epoch: 5}}, refused)
	for _, id := range []key.SliceID{0, 3, 4, 5, 7} {
		must.True(t, b.Holds(b.now, slice(id)), must.Sprint("slice ", id))
	}
}

// A target that reports a higher epoch does not take the slice at ours.
func TestHigherEpochAtTargetIsRefusal(t *testing.T) {
	b := newHeartbeats()
	b.own(5, 0, 0)
	b.held = []HeldRange{{Range: Range{App: app}, Epoch: 9}}
	must.Eq(t, []SliceEpoch{{Slice: slice(0), Epoch: 5}}, b.beat().Refused)
	must.SliceEmpty(t, b.beat().Refused, must.Sprint("reported once"))
}

// A slice that the target reports at the epoch of an earlier daemon on this host
// is not held at the new epoch, and is not released before the target gave it up.
func TestGrantOfEarlierDaemonIsHeldUntilReportedFree(t *testing.T) {
	b := newHeartbeats()
	b.held = []HeldRange{{Range: Range{App: app, First: 0, Last: 1}, Epoch: 4}}
	b.beat()
	b.own(5, 0, 1)
	b.RequestRelease(b.now, slice(0), 5)
	var out Actions
	b.Tick(b.now, &out)
	must.SliceEmpty(t, out.Released)
	must.SliceEmpty(t, b.beat().Released)
	must.False(t, b.Holds(b.now, slice(1)))
	must.Len(t, 1, b.beat().Released)
	must.True(t, b.Holds(b.now, slice(1)))
}

// A target that ran before the daemon may hold anything, for as long as any grant
// lasts. Heartbeats that do not report it may be older than the daemon.
func TestNothingIsReleasedWhileGrantsOfEarlierDaemonMayLast(t *testing.T) {
	c := NewHeartbeatCoreForRunningTarget(start, DefaultConfig())
	c.RequestRelease(start, slice(0), 2)
	end := start.Add(c.cfg.longestHold(c.cfg.MaxHold))
	var out Actions
	c.Observe(end-1, Report{}, &out)
	must.SliceEmpty(t, out.Released)
	must.False(t, c.HoldsNothing(end-1))
	c.Tick(end, &out)
	must.Len(t, 1, out.Released)
	must.True(t, c.HoldsNothing(end))
}

// Where the rows exceed the size of an answer, renewals come before new grants
// and long rows before short ones. What is left out is counted, and granted once
// there is room.
func TestAnswerIsBoundedAndRenewalsComeFirst(t *testing.T) {
	b := newHeartbeats()
	room := b.cfg.MaxAnswerBytes / rowBytes
	for i := range room {
		b.own(uint64(i+1), key.SliceID(i), key.SliceID(i))
	}
	b.beat()
	must.Len(t, room, b.last.Rows)
	b.own(1, 400, 404)
	b.beat()
	must.Len(t, room, b.last.Rows)
	must.Eq(t, 5, b.last.Deferred)
	must.False(t, b.Holds(b.now.Add(AnswerTransit), slice(400)))
	b.RequestRelease(b.now, slice(0), 1)
	b.beat()
	must.Zero(t, b.last.Deferred)
	must.SliceContains(t, b.last.Rows, rowOf(400, 404, 1, ""))
}

// Tokens whose slices were assigned elsewhere are not kept for ever.
func TestUnusedTokensExpire(t *testing.T) {
	c := NewHeartbeatCore(DefaultConfig())
	c.SetToken(start, slice(0), 2, "a")
	c.SetToken(start.Add(tokenLifetime), slice(1), 2, "b")
	must.MapLen(t, 1, c.tokens)
}
