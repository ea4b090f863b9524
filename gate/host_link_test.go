package gate

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/mono"
)

const (
	hostLinkBytes = 14e6 / 8
	priceList     = 90_000
)

// playHostLink plays the load that the limit answers: a target is asked for 35
// downloads of 90 KB a second, each served in 150 ms, on a link of 14 Mbit/s that
// carries 19. It returns how many were sent, and the longest time that a byte
// waited for the link.
func playHostLink(reserve func(now mono.Time, seq uint64) bool, sent func(now mono.Time, seq uint64)) (int, time.Duration) {
	const step = 5 * time.Millisecond
	start := mono.Time(time.Hour)
	due := make(map[uint64]mono.Time)
	queued, count := 0.0, 0
	var longest time.Duration
	asked := uint64(0)
	for now := start; now < start.Add(20*time.Second); now = now.Add(step) {
		for ; float64(asked) < now.Sub(start).Seconds()*35; asked++ {
			if reserve(now, asked) {
				due[asked] = now.Add(150 * time.Millisecond)
			}
		}
		for seq := range asked {
			if at, ok := due[seq]; ok && !at.After(now) {
				delete(due, seq)
				queued += priceList
				count++
				longest = max(longest, time.Duration(queued/hostLinkBytes*float64(time.Second)))
				sent(now, seq)
			}
		}
		queued = max(queued-hostLinkBytes*step.Seconds(), 0)
	}
	return count, longest
}

// With the limit, what the host sends waits for its link a few hundred
// milliseconds at most, and the link stays in use. Without it the wait grows as
// long as the load lasts.
func TestDownloadsLeaveRoomOnHostLink(t *testing.T) {
	_, naive := playHostLink(func(mono.Time, uint64) bool { return true }, func(mono.Time, uint64) {})
	l := NewHostLink(hostLinkBytes)
	l.sizes["list"] = priceList
	count, longest := playHostLink(
		func(now mono.Time, seq uint64) bool {
			_, ok := l.Reserve(now, waitEntry, seq, "list", 150*time.Millisecond)
			return ok
		},
		func(now mono.Time, seq uint64) { l.Answered(now, waitEntry, seq, priceList, true) })
	t.Logf("longest wait without limit %s, with it %s and %d sent", naive, longest, count)
	must.Greater(t, 5*time.Second, naive)
	must.LessEq(t, 150*time.Millisecond+maxLinkWait, longest)
	must.GreaterEq(t, 0.8*20*hostLinkBytes, float64(count)*priceList)
}

// Small answers are never refused, and an unknown route is tried.
func TestSmallAnswersAreNotLimited(t *testing.T) {
	l := NewHostLink(1000)
	for seq := range uint64(50) {
		_, ok := l.Reserve(waitStart, waitEntry, seq, "check", time.Millisecond)
		must.True(t, ok)
		l.Answered(waitStart, waitEntry, seq, 2000, true)
	}
	must.MapLen(t, 0, l.awaited)
	must.Zero(t, l.reserved)
}

// A link that is too slow for a route carries one answer at a time.
func TestOneLargeAnswerIsAlwaysAllowed(t *testing.T) {
	l := NewHostLink(1000)
	l.sizes["list"] = priceList
	_, ok := l.Reserve(waitStart, waitEntry, 1, "list", time.Millisecond)
	must.True(t, ok)
	wait, ok := l.Reserve(waitStart, waitEntry, 2, "list", time.Millisecond)
	must.False(t, ok)
	must.Eq(t, 90*time.Second, wait)
	l.Expire(waitStart.Add(reservationTimeout))
	_, ok = l.Reserve(waitStart.Add(reservationTimeout), waitEntry, 3, "list", time.Millisecond)
	must.True(t, ok)
}

// A refusal ends the reservation but says nothing of the size of answers.
func TestRefusalEndsReservation(t *testing.T) {
	l := NewHostLink(hostLinkBytes)
	l.sizes["list"] = priceList
	_, ok := l.Reserve(waitStart, waitEntry, 1, "list", time.Millisecond)
	must.True(t, ok)
	l.Answered(waitStart, waitEntry, 1, 100, false)
	must.Zero(t, l.reserved)
	must.Eq(t, priceList, l.sizes["list"])
}

// Requests that are withdrawn get no answer. Their reservations end at once, or a
// burst of callers that leave would keep others from the link.
func TestWithdrawnRequestsReleaseReservations(t *testing.T) {
	l := NewHostLink(hostLinkBytes)
	l.sizes["list"] = priceList
	for seq := range uint64(3) {
		_, ok := l.Reserve(waitStart, waitEntry, seq, "list", 150*time.Millisecond)
		must.True(t, ok)
	}
	l.Cancel(waitEntry, 0)
	l.Cancel(waitEntry, 0)
	must.Eq(t, 2*priceList, l.reserved)
	l.DropFrom(waitEntry)
	must.Zero(t, l.reserved)
	must.MapEmpty(t, l.awaited)
}
