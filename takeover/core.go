// Package takeover records silent sessions as lost.
//
// A witness that hears nothing from a session for the time of a lease reads
// the session's record, asks the other witnesses of that record to seal the
// session, and seals it itself once theirs and its own make a majority. When
// the leases granted before the seals have run out, with a margin for drift of
// the clocks, it writes the record as lost, conditional on the version that
// the seals were counted on. A lease in the store is taken over when its
// version has not moved for the time of the lease and the margin.
//
// While the store can't be reached, nothing is sealed: a session that was
// paused or cut off goes on when it returns.
package takeover

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/rhubarbring/rhubarbring/chart"
	"github.com/rhubarbring/rhubarbring/event"
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/session"
	"github.com/rhubarbring/rhubarbring/witness"
)

const (
	// turnDelay is how much later each witness of a set begins than the one
	// before it.
	turnDelay = 300 * time.Millisecond
	// turnJitter spreads witnesses of many sessions that fell silent together.
	turnJitter = 50 * time.Millisecond
	// yieldDelay is how long a witness that was asked leaves the matter to
	// the one that asked.
	yieldDelay = time.Second
	// askEvery is the time between two asks at first, askEveryMax after
	// repeated ones.
	askEvery    = 200 * time.Millisecond
	askEveryMax = 10 * time.Second
	// asksPerRead is how many asks go out before the record is read again.
	asksPerRead = 8
	// stuckAfter is when a takeover that has not ended is reported.
	stuckAfter = 5 * time.Second
)

// Config describes the daemon that takes over.
type Config struct {
	Self host.Session
	// Machine and Peer are those of the daemon's own record. Earlier sessions
	// of the host with the same are over, and are recorded so once what they
	// granted to their target has run out.
	Machine string
	Peer    string
	Seed    uint64
	Timing  session.Timing
	// Early makes the daemon record its earlier lives as lost at once, marked
	// as superseded: whoever assigns their slices must then heed what their
	// target may still hold.
	Early bool
}

// Core runs the takeovers of a daemon. It is not safe for concurrent use. It
// keeps an attempt for each silent session that names the daemon as a
// witness, and an observation for each session with a lease in the store.
type Core struct {
	cfg      Config
	rng      *rand.Rand
	witness  *witness.Core
	attempts map[host.Session]*attempt
	observed map[host.Session]*observation
	// witnessed and over are who renews whose lease, and from when on a session
	// that ended renews none any more.
	witnessed map[host.Session]witnessed
	over      map[host.Session]mono.Time
	started   mono.Time // When the daemon's core was first ticked.
	seq       uint64
	writes    uint64
	stale     uint64
	out       outbox
}

// New returns a Core that seals by way of the daemon's witness.
func New(cfg Config, w *witness.Core) *Core {
	return &Core{
		cfg:      cfg,
		rng:      rand.New(rand.NewPCG(cfg.Seed, cfg.Self.Incarnation)),
		witness:  w,
		attempts: make(map[host.Session]*attempt),
		observed: make(map[host.Session]*observation),

		witnessed: make(map[host.Session]witnessed),
		over:      make(map[host.Session]mono.Time),

		started: mono.Never,
	}
}

// Stale returns how many seals were dropped as older than another.
func (c *Core) Stale() uint64 {
	return c.stale
}

// Len returns how many takeovers are under way.
func (c *Core) Len() int {
	return len(c.attempts)
}

func (c *Core) begin(now mono.Time, s host.Session) *attempt {
	a := &attempt{
		session: s,
		state:   takeoverChart.Initial,
		began:   now,
		due:     now.Add(time.Duration(c.witness.Rank(s))*turnDelay + c.jitter(turnJitter)),
		heard:   mono.Never,
		seals:   make(map[host.Session]sealed),
		writer:  session.NewWriter(c.cfg.Timing, c.rng),
	}
	c.attempts[s] = a
	return a
}

// learn takes a record as read from the store to all that depend on it.
func (c *Core) learn(now mono.Time, v session.Versioned) {
	c.witness.Learn(now, v)
	c.observe(now, v)
	c.followWitnesses(now, v)
	a := c.attempts[v.Record.Session]
	if a == nil {
		return
	}
	if !a.writer.Idle() {
		c.written(now, a)(a.writer.Seen(now, v))
		return
	}
	if v.Version < a.record.Version {
		return
	}
	_, named := v.Record.Rank(c.cfg.Self)
	switch {
	case v.Record.State.Final():
		c.take(now, a, "ended")
	case !named:
		c.take(now, a, "unnamed")
	default:
		a.record = v
		c.take(now, a, "live")
		c.count(now, a)
	}
}

// follow does what is due about an attempt.
func (c *Core) follow(now mono.Time, a *attempt) {
	c.reportStuck(now, a)
	if !a.writer.Idle() {
		c.out.store(a.writer.Tick(now))
		return
	}
	if !a.byStore && !c.witness.IsSilent(now, a.session) {
		c.take(now, a, "heard")
	}
	if end, ok := a.clear(); ok && a.state == "expiring" && now.After(end.Add(c.cfg.Timing.Margin)) {
		c.take(now, a, "expired")
	}
	if !now.Before(a.due) {
		c.take(now, a, "turn")
	}
}

// count seals the session here too if that makes a majority.
func (c *Core) count(now mono.Time, a *attempt) {
	if a.state != "asking" {
		return
	}
	if len(a.ends())+1 >= a.needs() {
		if own, ok := c.witness.Seal(now, a.session); ok {
			c.seq++
			a.add(now, own, c.seq)
		}
	}
	if _, ok := a.clear(); ok {
		c.take(now, a, "majority")
	}
}

// written returns what follows up a writer's outcome.
func (c *Core) written(now mono.Time, a *attempt) func(session.Outcome, []session.Action) {
	return func(o session.Outcome, acts []session.Action) {
		c.out.store(acts)
		switch o {
		case session.Landed:
			c.take(now, a, "written")
		case session.Moved:
			c.moved(now, a)
		}
	}
}

func (c *Core) moved(now mono.Time, a *attempt) {
	v := a.writer.Found
	_, named := v.Record.Rank(c.cfg.Self)
	switch {
	case v.Version == 0 || v.Record.State.Final():
		c.take(now, a, "ended")
	case !named:
		c.take(now, a, "unnamed")
	default:
		a.record = v
		a.byStore = false
		c.take(now, a, "moved")
		c.count(now, a)
	}
}

func (c *Core) take(now mono.Time, a *attempt, e chart.Event) {
	t, ok := takeoverChart.Next(a.state, e)
	if !ok {
		return
	}
	a.state = t.To
	for _, do := range t.Do {
		c.do(now, a, do)
	}
	if !a.over() {
		return
	}
	delete(c.attempts, a.session)
	if a.state == "dropped" && a.started {
		c.out.log(event.TakeoverDropped, a.session, string(e))
	}
}

func (c *Core) do(now mono.Time, a *attempt, do chart.Action) {
	switch do {
	case "get":
		c.reportStart(a)
		c.out.store([]session.Action{session.Get{Session: a.session}})
	case "pause":
		a.fails++
		a.due = now.Add(c.backoff(c.cfg.Timing.RetryMin, c.cfg.Timing.RetryMax, a.fails))
	case "ask":
		c.ask(now, a)
	case "put":
		c.reportStart(a)
		c.writes++
		token := c.cfg.Self.String() + "!" + strconv.FormatUint(c.writes, 10)
		put := session.Put{IfVersion: a.record.Version, Record: a.record.Record.AsLost(token)}
		put.Record.Superseded = a.superseded
		c.out.store(a.writer.Start(now, put))
	case "announce":
		c.witness.End(a.session)
		delete(c.observed, a.session)
		c.out.log(event.TakeoverRecorded, a.session, "")
		c.out.add(Lost{Session: a.session, Version: a.writer.Version})
	}
}

func (c *Core) ask(now mono.Time, a *attempt) {
	r := &a.record.Record
	for rank, w := range r.Witnesses {
		if w == c.cfg.Self || a.seals[w].generation >= r.Generation {
			continue
		}
		c.out.ask(w, Ask{Session: a.session, Generation: r.Generation, Rank: uint8(rank)})
	}
	a.fails++
	if a.fails%asksPerRead == 0 {
		c.out.store([]session.Action{session.Get{Session: a.session}})
	}
	a.due = now.Add(c.backoff(askEvery, askEveryMax, a.fails))
}

func (c *Core) backoff(first, last time.Duration, fails int) time.Duration {
	d := min(first<<min(fails-1, 16), last)
	return d - c.jitter(d/2)
}

func (c *Core) jitter(most time.Duration) time.Duration {
	return time.Duration(c.rng.Int64N(int64(most) + 1))
}

func (c *Core) order() []host.Session {
	return sorted(c.attempts)
}

func (c *Core) flush() []Action {
	return c.out.flush(c.cfg.Self, &c.seq)
}

func sorted[V any](m map[host.Session]V) []host.Session {
	out := make([]host.Session, 0, len(m))
	for s := range m {
		out = append(out, s)
	}
	slices.SortFunc(out, compare)
	return out
}
