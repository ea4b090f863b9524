package load

import (
	"math/rand/v2"
	"time"

	"github.com/rhubarbring/rhubarbring/internal/bootclock"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/result"
)

// Waits of a caller between its sendings.
const (
	minRepeatWait = 20 * time.Millisecond
	maxRepeatWait = 250 * time.Millisecond
	maxSendings   = 50
)

// reply is a word with the advice on when to come back.
type reply struct {
	word       Word
	retryAfter time.Duration
}

// sender sends one attempt of a request to a daemon. The budget is what is
// left of the request's deadline.
type sender interface {
	send(r Request, daemon string, attempt int, budget time.Duration) reply
}

// caller makes requests, one at a time.
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

// call sends a request until it has a final word or its deadline passes.
func (c *caller) call(r Request, asked mono.Time) Record {
	rec := Record{
		ID:         r.ID,
		App:        r.App,
		Key:        r.Key,
		Idempotent: r.Idempotent,
		Urgent:     r.Urgent,
		DeadlineMs: r.Deadline.Milliseconds(),
		AskedNs:    int64(asked),
	}
	end := asked.Add(r.Deadline)
	attempt := 1
	for len(rec.Words) < maxSendings {
		left := end.Sub(c.now())
		if left <= 0 {
			break
		}
		daemon := c.daemons.pick(c.rng, c.now())
		got := c.sender.send(r, daemon, attempt, left)
		rec.Words = append(rec.Words, got.word)
		if !got.word.Connected {
			c.daemons.avoid(daemon, c.now())
		}
		if !c.repeats(r, got.word) {
			break
		}
		if mayHaveRun(got.word) {
			attempt++
		}
		c.sleep(min(c.wait(got), end.Sub(c.now())))
	}
	rec.EndedNs = int64(c.now())
	return rec
}

// repeats reports whether the caller may and does send the request again.
func (c *caller) repeats(r Request, w Word) bool {
	if !w.Connected || w.Outcome == result.NotRun.String() {
		return w.Status < badRequestFirst || w.Status > badRequestLast
	}
	if w.Outcome != "" {
		return false
	}
	return r.Idempotent || c.config.RepeatUnknown
}

// mayHaveRun reports whether a sending is in doubt. A later one of the same id
// then says that it is a repeat; after a true "not run" it is as good as the
// first.
func mayHaveRun(w Word) bool {
	return w.Connected && w.Outcome != result.NotRun.String()
}

// HTTP statuses that blame the request: sending it again does not help.
const (
	badRequestFirst = 400
	badRequestLast  = 499
)

func (c *caller) wait(got reply) time.Duration {
	if !got.word.Connected || got.word.Outcome == "" {
		return minRepeatWait
	}
	wait := min(max(got.retryAfter, minRepeatWait), maxRepeatWait)
	return wait/2 + time.Duration(c.rng.Int64N(int64(wait/2)+1))
}
