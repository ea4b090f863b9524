package load

import (
	"math/rand/v2"
	"time"

	"github.com/rhubarbring/rhubarbring/internal/bootclock"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/result"
)

// Bounds of the delay between two sendings of one request, and of the number of
// sendings.
const (
	minResendDelay = 20 * time.Millisecond
	maxResendDelay = 250 * time.Millisecond
	maxSendings    = 50
)

// reply is the result of one sending, with the delay that the answer's header
// Rhubarb-Retry-After gives, or 0.
type reply struct {
	sending    Sending
	retryAfter time.Duration
}

// sender sends a request to a daemon once. The budget is the time left until
// the request's deadline.
type sender interface {
	send(r Request, daemon string, attempt int, budget time.Duration) reply
}

// caller makes one request at a time and resends it as the protocol allows.
type caller struct {
	config  Config
	daemons *daemonList
	sender  sender
	rng     *rand.Rand
	now     func() mono.Time
	sleep   func(time.Duration)
}

func newCaller(c Config, d *daemonList, s sender, seed uint64) *caller {
	return &caller{
		config:  c,
		daemons: d,
		sender:  s,
		rng:     rand.New(rand.NewPCG(c.Seed, seed)),
		now:     bootclock.Now,
		sleep:   time.Sleep,
	}
}

// call sends a request until it has a final answer, its deadline passes or
// maxSendings is reached. The deadline counts from the planned arrival.
func (c *caller) call(r Request, arrival mono.Time) Record {
	rec := Record{
		ID:         r.ID,
		App:        r.App,
		Key:        r.Key,
		Idempotent: r.Idempotent,
		Urgent:     r.Urgent,
		DeadlineMs: r.Deadline.Milliseconds(),
		ArrivalNs:  int64(arrival),
	}
	end := arrival.Add(r.Deadline)
	attempt := 1
	for len(rec.Sendings) < maxSendings {
		left := end.Sub(c.now())
		if left <= 0 {
			break
		}
		daemon := c.daemons.pick(c.rng, c.now())
		got := c.sender.send(r, daemon, attempt, left)
		rec.Sendings = append(rec.Sendings, got.sending)
		if !got.sending.Connected {
			c.daemons.avoid(daemon, c.now())
		}
		if !c.shouldResend(r, got.sending) {
			break
		}
		if mayHaveRun(got.sending) {
			attempt++
		}
		c.sleep(min(c.resendDelay(got), end.Sub(c.now())))
	}
	rec.EndedNs = int64(c.now())
	return rec
}

// shouldResend reports whether the caller sends the request again after this
// answer. A request that was not run is sent again unless the status is a
// client error (4xx). One that may have run is sent again only if it got no
// outcome and either it is idempotent or the configuration allows it
// (RepeatUnknown).
func (c *caller) shouldResend(r Request, w Sending) bool {
	if !w.Connected || w.Outcome == result.NotRun.String() {
		return w.Status < clientErrorFirst || w.Status > clientErrorLast
	}
	if w.Outcome != "" {
		return false
	}
	return r.Idempotent || c.config.RepeatUnknown
}

// mayHaveRun reports whether a sending may have run the request. Later sendings
// of the same id then carry a higher attempt number. After an outcome "not run"
// the next sending keeps the number, because the sending before it had no
// effect.
func mayHaveRun(w Sending) bool {
	return w.Connected && w.Outcome != result.NotRun.String()
}

// Range of HTTP client error statuses: sending the request again does not help.
const (
	clientErrorFirst = 400
	clientErrorLast  = 499
)

// resendDelay returns the delay before the next sending. After an answer with an
// outcome it is random between half and all of the daemon's Retry-After, which
// is first brought within minResendDelay and maxResendDelay; otherwise it is
// minResendDelay.
func (c *caller) resendDelay(got reply) time.Duration {
	if !got.sending.Connected || got.sending.Outcome == "" {
		return minResendDelay
	}
	wait := min(max(got.retryAfter, minResendDelay), maxResendDelay)
	return wait/2 + time.Duration(c.rng.Int64N(int64(wait/2)+1))
}
