package gate

import (
	"math"
	"time"

	"github.com/rhubarbring/rhubarbring/mono"
)

// rateBurst is the time for which unused starts of a target's rate limit
// accumulate. It is short, so that the rate holds over a second already.
const rateBurst = 250 * time.Millisecond

// rateLimit spaces the starts of runs by the rate that the target names: a token
// bucket with one token a run. The zero rateLimit allows any rate.
type rateLimit struct {
	perSecond float64 // 0 for no limit
	tokens    float64 // as of updatedAt
	updatedAt mono.Time
}

// set changes the rate; 0 ends the limit. A limit begins without tokens: runs that
// were started just before it count.
func (l *rateLimit) set(now mono.Time, perSecond float64) {
	tokens := l.available(now)
	if l.perSecond == 0 {
		tokens = 0
	}
	*l = rateLimit{perSecond: perSecond, updatedAt: now}
	l.tokens = min(tokens, l.capacity())
}

// limited reports whether there is a limit.
func (l *rateLimit) limited() bool {
	return l.perSecond > 0
}

// capacity returns how many tokens accumulate at most.
func (l *rateLimit) capacity() float64 {
	return max(1, l.perSecond*rateBurst.Seconds())
}

// available returns the number of tokens at now.
func (l *rateLimit) available(now mono.Time) float64 {
	return min(l.tokens+max(now.Sub(l.updatedAt).Seconds(), 0)*l.perSecond, l.capacity())
}

// allows reports whether a run may be started at now.
func (l *rateLimit) allows(now mono.Time) bool {
	return l.wait(now, 1) <= 0
}

// take counts a run that is started at now.
func (l *rateLimit) take(now mono.Time) {
	if l.limited() {
		l.tokens = l.available(now) - 1
		l.updatedAt = now
	}
}

// wait returns the time until the n-th run from now on may be started, rounded up
// to the next millisecond.
func (l *rateLimit) wait(now mono.Time, n int) time.Duration {
	if !l.limited() {
		return 0
	}
	missing := float64(n) - l.available(now)
	if missing <= roundingError {
		return 0
	}
	ms := math.Ceil(missing / l.perSecond * float64(time.Second/time.Millisecond))
	return time.Duration(ms) * time.Millisecond
}

// roundingError is the part of a token that the sum of many small parts may lack.
const roundingError = 1e-6

// nextAt returns when the next run may be started, or 0 if that is already so.
func (l *rateLimit) nextAt(now mono.Time) mono.Time {
	if wait := l.wait(now, 1); wait > 0 {
		return now.Add(wait)
	}
	return 0
}

// SetRateLimit sets the number of requests a second that the target takes; 0 ends
// the limit. It holds until the target's next instance.
func (g *Gate) SetRateLimit(now mono.Time, perSecond float64, out *Actions) {
	g.rate.set(now, perSecond)
	g.startQueued(now, out)
}

// limits returns the limits that bind each start: the one that the target names and
// the one of a cold target.
func (g *Gate) limits() [2]*rateLimit {
	return [2]*rateLimit{&g.rate, &g.cold.rate}
}

// startRate returns the lower rate of the limits in force, or 0 if there is none.
func (g *Gate) startRate() float64 {
	lowest := 0.0
	for _, l := range g.limits() {
		if l.limited() && (lowest == 0 || l.perSecond < lowest) {
			lowest = l.perSecond
		}
	}
	return lowest
}

// startWait returns the time until the limits allow the n-th run from now on.
func (g *Gate) startWait(now mono.Time, n int) time.Duration {
	return max(g.rate.wait(now, n), g.cold.rate.wait(now, n))
}

// takeStart counts a run that is started at now.
func (g *Gate) takeStart(now mono.Time) {
	for _, l := range g.limits() {
		l.take(now)
	}
}

// nextStartAt returns when the limits allow the next run, or 0 if they do already.
func (g *Gate) nextStartAt(now mono.Time) mono.Time {
	return max(g.rate.nextAt(now), g.cold.rate.nextAt(now))
}

// MeanBusySlots returns how many slots the target can keep busy at now in the mean,
// under its rate limits. Of a cold target whose service time is not known yet, it is
// one slot at most.
func (g *Gate) MeanBusySlots(now mono.Time) float64 {
	slots := float64(g.usableSlots(now))
	rate := g.startRate()
	switch {
	case rate == 0, !g.serviceTime.seen && !g.Cold():
		return slots
	case !g.serviceTime.seen:
		return min(slots, 1)
	}
	return min(slots, rate*g.serviceTime.mean().Seconds())
}

// statedLoad is the load that a gate states in its answers.
type statedLoad struct {
	slots, jobs int
	serviceTime time.Duration
}

// statedLoad returns the load to state at now. Under a rate limit it states as many
// slots as the limit keeps busy, the time after which each of them takes another
// request, and no free slot while the limit allows no start: those who choose among
// gates need not know of limits.
func (g *Gate) statedLoad(now mono.Time) statedLoad {
	g.pace.refresh(now)
	queued := g.queuedCount()
	s := statedLoad{slots: g.usableSlots(now), jobs: g.busySlots + queued, serviceTime: g.expectedRun()}
	rate := g.startRate()
	if s.slots == 0 || rate == 0 {
		return s
	}
	busy := math.Ceil(rate * s.serviceTime.Seconds())
	s.slots = int(min(max(busy, 1), float64(s.slots)))
	perSlot := time.Duration(float64(s.slots) / rate * float64(time.Second))
	s.serviceTime = max(s.serviceTime, perSlot)
	if g.startWait(now, 1) > 0 {
		s.jobs = max(s.jobs, s.slots+queued)
	}
	return s
}
