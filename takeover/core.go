// Package takeover records sessions that stopped renewing their leases as lost.
//
// A witness that receives no renewal from a session for the time of a lease
// reads the session's record and asks the other witnesses of that record to
// seal the session. It adds its own seal once theirs and its own make a
// majority. When the leases granted before the seals have expired, with a margin
// for clock drift, it writes the record as lost, conditional on the version that
// the seals were counted for. A lease kept in the store is taken over when the
// record's version has not changed for the time of the lease and the margin.
//
// A takeover asks for seals only after it has read the record. So if the store
// cannot be reached, no takeover begins to seal, and a session that was paused
// or cut off continues when it returns.
package takeover

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/rhubarbring/rhubarbring/event"
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/session"
	"github.com/rhubarbring/rhubarbring/statechart"
	"github.com/rhubarbring/rhubarbring/witness"
)

const (
	// turnDelay is how much later each witness of a set starts a takeover than
	// the one ranked before it.
	turnDelay = 300 * time.Millisecond
	// turnJitter spreads the start of takeovers when many sessions fall silent
	// at once.
	turnJitter = 50 * time.Millisecond
	// yieldDelay is how long a witness that was asked for a seal holds back its
	// own takeover in favour of the witness that asked.
	yieldDelay = time.Second
	// askInterval is the first interval between requests for seals. It doubles
	// with each request up to maxAskInterval.
	askInterval    = 200 * time.Millisecond
	maxAskInterval = 10 * time.Second
	// asksPerRead is how many rounds of requests are sent per read of the record.
	asksPerRead = 8
	// stuckAfter is the age at which an unfinished takeover is reported.
	stuckAfter = 5 * time.Second
)

// Config describes the daemon that runs the takeovers.
type Config struct {
	Self host.Session
	// Machine and Peer are those of the daemon's own record. Earlier sessions
	// of the host with the same machine and peer address have ended; they are
	// recorded as lost once their grants to the target have expired.
	Machine string
	Peer    string
	Seed    uint64
	Timing  session.Timing
	// SupersedeEarly makes the daemon record its earlier sessions as lost at
	// once, marked as superseded. Whoever reassigns their slices must then
	// allow for the grants that their target may still hold.
	SupersedeEarly bool
}

// Core runs the takeovers of a daemon. It is not safe for concurrent use. It
// keeps an attempt for each takeover in progress, and an observation for each
// session that can be taken over without seals.
type Core struct {
	cfg      Config
	rng      *rand.Rand
	witness  *witness.Core
	attempts map[host.Session]*attempt
	observed map[host.Session]*observation
	// witnessSets holds the witnesses of each session that has not ended, and
	// endedWitnesses the instant from which an ended session renews no other.
	witnessSets    map[host.Session]witnessSet
	endedWitnesses map[host.Session]mono.Time
	orphans        map[host.Session]orphan
	started        mono.Time // When Tick was first called.
	seq            uint64
	writes         uint64
	dropped        uint64
	outbox         outbox
}

// New returns a Core that makes its own seals through the daemon's witness w.
func New(cfg Config, w *witness.Core) *Core {
	return &Core{
		cfg:      cfg,
		rng:      rand.New(rand.NewPCG(cfg.Seed, cfg.Self.Incarnation)),
		witness:  w,
		attempts: make(map[host.Session]*attempt),
		observed: make(map[host.Session]*observation),

		witnessSets:    make(map[host.Session]witnessSet),
		endedWitnesses: make(map[host.Session]mono.Time),
		orphans:        make(map[host.Session]orphan),

		started: mono.Never,
	}
}

// Dropped returns the number of ignored messages and seals: messages addressed
// to another session, and seals that are stale, not the sender's own or for a
// session that is not being taken over.
func (c *Core) Dropped() uint64 {
	return c.dropped
}

// Len returns the number of takeovers in progress.
func (c *Core) Len() int {
	return len(c.attempts)
}

// startAttempt creates the attempt for a session. Its first turn is delayed by
// this witness's rank, so that the witnesses do not all start at once.
func (c *Core) startAttempt(now mono.Time, s host.Session) *attempt {
	a := &attempt{
		session:   s,
		state:     takeoverChart.Initial,
		began:     now,
		due:       now.Add(time.Duration(c.witness.Rank(s))*turnDelay + c.jitter(turnJitter)),
		lastHeard: mono.Never,
		seals:     make(map[host.Session]receivedSeal),
		writer:    session.NewRecordWriter(c.cfg.Timing, c.rng),
	}
	c.attempts[s] = a
	return a
}

// handleRecord passes a record as stored to the witness, the observations, the
// witness sets and the attempt that depend on it. An attempt that is not writing
// ignores versions older than its own.
func (c *Core) handleRecord(now mono.Time, v session.VersionedRecord) {
	c.witness.ObserveRecord(now, v)
	c.observe(now, v)
	c.trackWitnesses(now, v)
	a := c.attempts[v.Record.Session]
	if a == nil {
		return
	}
	if !a.writer.Idle() {
		c.writeHandler(now, a)(a.writer.Seen(now, v))
		return
	}
	if v.Version < a.record.Version {
		return
	}
	_, named := v.Record.Rank(c.cfg.Self)
	switch {
	case v.Record.State.Final():
		c.fire(now, a, "ended")
	case !named:
		c.fire(now, a, "unnamed")
	default:
		a.record = v
		c.fire(now, a, "live")
		c.countSeals(now, a)
	}
}

// advance performs what is due for an attempt.
func (c *Core) advance(now mono.Time, a *attempt) {
	c.reportStuck(now, a)
	if !a.writer.Idle() {
		c.outbox.addStoreCalls(a.writer.Tick(now))
		return
	}
	if !a.withoutSeals && !c.witness.IsSilent(now, a.session) {
		c.fire(now, a, "heard")
	}
	if end, ok := a.majorityEnd(); ok && a.state == "expiring" && now.After(end.Add(c.cfg.Timing.Margin)) {
		c.fire(now, a, "expired")
	}
	if !now.Before(a.due) {
		c.fire(now, a, "turn")
	}
}

// countSeals adds this witness's own seal to an attempt that is collecting them
// if the others' seals then make a majority, and fires "majority" if one is
// reached.
func (c *Core) countSeals(now mono.Time, a *attempt) {
	if a.state != "asking" {
		return
	}
	if len(a.leaseEnds())+1 >= a.majority() {
		if own, ok := c.witness.Seal(now, a.session); ok {
			c.seq++
			a.addSeal(now, own, c.seq)
		}
	}
	if _, ok := a.majorityEnd(); ok {
		c.fire(now, a, "majority")
	}
}

// writeHandler returns a handler for the results of an attempt's writer.
func (c *Core) writeHandler(now mono.Time, a *attempt) func(session.WriteOutcome, []session.Action) {
	return func(o session.WriteOutcome, acts []session.Action) {
		c.outbox.addStoreCalls(acts)
		switch o {
		case session.WriteApplied:
			c.fire(now, a, "written")
		case session.WriteRejected:
			c.handleConflict(now, a)
		}
	}
}

// handleConflict continues an attempt whose write failed because the record had
// changed: it ends, or collects seals again for the new version.
func (c *Core) handleConflict(now mono.Time, a *attempt) {
	v := a.writer.Found
	_, named := v.Record.Rank(c.cfg.Self)
	switch {
	case v.Version == 0 || v.Record.State.Final():
		c.fire(now, a, "ended")
	case !named:
		c.fire(now, a, "unnamed")
	default:
		a.record = v
		a.withoutSeals = false
		c.fire(now, a, "moved")
		c.countSeals(now, a)
	}
}

// fire applies an event to an attempt's state chart and performs the actions of
// the transition. Events that the state ignores have no effect.
func (c *Core) fire(now mono.Time, a *attempt, e statechart.Event) {
	t, ok := takeoverChart.Next(a.state, e)
	if !ok {
		return
	}
	a.state = t.To
	for _, do := range t.Actions {
		c.do(now, a, do)
	}
	if !a.final() {
		return
	}
	delete(c.attempts, a.session)
	if a.state == "dropped" && a.startReported {
		c.outbox.log(event.TakeoverDropped, a.session, string(e))
	}
}

func (c *Core) do(now mono.Time, a *attempt, do statechart.Action) {
	switch do {
	case "get":
		c.reportStart(a)
		c.outbox.addStoreCalls([]session.Action{session.Get{Session: a.session}})
	case "pause":
		a.retries++
		a.due = now.Add(c.backoff(c.cfg.Timing.RetryMin, c.cfg.Timing.RetryMax, a.retries))
	case "ask":
		c.ask(now, a)
	case "put":
		c.reportStart(a)
		c.writes++
		token := c.cfg.Self.String() + "!" + strconv.FormatUint(c.writes, 10)
		put := session.Put{IfVersion: a.record.Version, Record: a.record.Record.AsLost(token)}
		put.Record.Superseded = a.superseded
		c.outbox.addStoreCalls(a.writer.Start(now, put))
	case "announce":
		c.witness.MarkEnded(a.session)
		delete(c.observed, a.session)
		c.outbox.log(event.TakeoverRecorded, a.session, "")
		c.outbox.add(Lost{Session: a.session, Version: a.writer.Version})
	}
}

// ask requests seals from the other witnesses that have not sealed the record's
// generation. Every asksPerRead rounds it also reads the record again.
func (c *Core) ask(now mono.Time, a *attempt) {
	r := &a.record.Record
	for rank, w := range r.Witnesses {
		if w == c.cfg.Self || a.seals[w].generation >= r.Generation {
			continue
		}
		c.outbox.request(w, SealRequest{Session: a.session, Generation: r.Generation, Rank: uint8(rank)})
	}
	a.retries++
	if a.retries%asksPerRead == 0 {
		c.outbox.addStoreCalls([]session.Action{session.Get{Session: a.session}})
	}
	a.due = now.Add(c.backoff(askInterval, maxAskInterval, a.retries))
}

// backoff returns a delay that doubles with each failure from first up to last,
// less a random part of up to half.
func (c *Core) backoff(first, last time.Duration, fails int) time.Duration {
	d := min(first<<min(fails-1, 16), last)
	return d - c.jitter(d/2)
}

// jitter returns a random duration from 0 to most.
func (c *Core) jitter(most time.Duration) time.Duration {
	return time.Duration(c.rng.Int64N(int64(most) + 1))
}

func (c *Core) sortedAttempts() []host.Session {
	return sorted(c.attempts)
}

func (c *Core) flush() []Action {
	return c.outbox.flush(c.cfg.Self, &c.seq)
}

// sorted returns the keys of m in order, so that results do not depend on the
// order of map iteration.
func sorted[V any](m map[host.Session]V) []host.Session {
	out := make([]host.Session, 0, len(m))
	for s := range m {
		out = append(out, s)
	}
	slices.SortFunc(out, compareSessions)
	return out
}
