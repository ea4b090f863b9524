package balance

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/mono"
)

const (
	linkBytesPerSecond = 30e6 / 8
	linkDaemons        = 8
	downloadBytes      = 90_000
)

// linkShare is what a daemon of the load test may use: its part of 0.8 of the
// link, with the given burst.
func linkShare(burst time.Duration) LinkConfig {
	part := 0.8 * linkBytesPerSecond / linkDaemons
	return LinkConfig{BytesPerSecond: part, Burst: part * burst.Seconds()}
}

// naiveLink is a bucket that charges answers only when they arrive.
type naiveLink struct{ *LinkBudget }

func (l naiveLink) Take(now mono.Time, n, answer int) bool {
	if !l.LinkBudget.Take(now, n, answer) {
		return false
	}
	l.tokens += float64(answer)
	l.reserved, l.awaited = 0, 0
	return true
}

type linkLimiter interface {
	Take(now mono.Time, n, answer int) bool
	Settle(now mono.Time, n int)
}

// playDownloads plays the load that the limit answers: for 10 s the daemons of a
// region, whose own targets are lost, are asked for 50 downloads of 90 KB a
// second, which the other region serves in 100 ms. It returns how many were let
// through, and the longest time that a byte waited for the link, during which
// every other message across the regions waits as well.
func playDownloads(newLink func(now mono.Time) linkLimiter) (served int, longest time.Duration) {
	const step = 5 * time.Millisecond
	type answer struct {
		due  mono.Time
		link linkLimiter
	}
	start := mono.Time(time.Hour)
	links := make([]linkLimiter, linkDaemons)
	for i := range links {
		links[i] = newLink(start)
	}
	var running, onLink []answer
	queued := 0.0
	asked := 0
	for now := start; now < start.Add(10*time.Second); now = now.Add(step) {
		for ; float64(asked) < now.Sub(start).Seconds()*50; asked++ {
			l := links[asked%linkDaemons]
			if l.Take(now, 500, downloadBytes) {
				served++
				running = append(running, answer{due: now.Add(100 * time.Millisecond), link: l})
			}
		}
		for len(running) > 0 && !running[0].due.After(now) {
			queued += downloadBytes
			wait := time.Duration(queued / linkBytesPerSecond * float64(time.Second))
			longest = max(longest, wait)
			onLink = append(onLink, answer{due: now.Add(wait), link: running[0].link})
			running = running[1:]
		}
		for len(onLink) > 0 && !onLink[0].due.After(now) {
			onLink[0].link.Settle(now, downloadBytes)
			onLink = onLink[1:]
		}
		queued = max(queued-linkBytesPerSecond*step.Seconds(), 0)
	}
	return served, longest
}

// Downloads that the link can't carry are refused, and those that it carries do
// not hold up other messages: the link is never behind by more than the latency
// target of a request would bear.
func TestDownloadsDoNotFillLink(t *testing.T) {
	const bound = 250 * time.Millisecond
	naiveServed, naiveLongest := playDownloads(func(now mono.Time) linkLimiter {
		return naiveLink{NewLink(linkShare(2*time.Second), now)}
	})
	served, longest := playDownloads(func(now mono.Time) linkLimiter { return NewLink(linkShare(500*time.Millisecond), now) })
	t.Logf("charged on arrival: %d served, longest wait %s; reserved: %d served, longest wait %s", naiveServed, naiveLongest, served, longest)
	must.Less(t, bound, longest)
	must.Greater(t, bound, naiveLongest)
	must.GreaterEq(t, 10*linkBytesPerSecond*3/4, float64(served)*downloadBytes)
}

// What is reserved for answers is given back as they arrive or fail, whatever
// their size.
func TestReservationsAreSettled(t *testing.T) {
	now := mono.Time(time.Hour)
	l := NewLink(LinkConfig{BytesPerSecond: 0, Burst: 1000}, now)
	must.True(t, l.Take(now, 100, 400))
	must.True(t, l.Take(now, 100, 200))
	must.False(t, l.Take(now, 100, 200))
	l.Settle(now, 0)
	must.True(t, l.Take(now, 100, 200))
	l.Settle(now, 300)
	l.Settle(now, 300)
	must.Eq(t, 100, l.tokens)
	l.Settle(now, 50)
	must.Eq(t, 50, l.tokens)
}
