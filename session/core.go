package session

import (
	"math/rand/v2"
	"time"

	"github.com/rhubarbring/rhubarbring/chart"
	"github.com/rhubarbring/rhubarbring/charts"
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/mono"
)

// recordCheckInterval is the least time between two reads of the own record that
// answer a witness's word that the session has ended.
const recordCheckInterval = time.Second

var sessionChart = charts.MustLoad("session")

// Config describes a daemon's session. The Incarnation must be higher than
// any earlier one of the host; the conditional write refuses one in use.
type Config struct {
	Session host.Session
	Place   host.Place
	// Machine identifies the running machine, and Peer is the address that
	// the daemon listens on for its peers, already bound and shared with no
	// other process. See Record.Succeeds.
	Machine string
	// Group is that of the record.
	Group   string
	Peer    string
	Control string
	Caller  string
	Seed    uint64
	Timing  Timing
	// JoinInStore makes the session begin with a lease in the store and look
	// for witnesses afterwards, so that it need not wait for those that were
	// lost with its earlier life.
	JoinInStore bool
}

// Core is the holder's side of a daemon's own session. It writes the record,
// has the lease renewed, and replaces witnesses. It is not safe for
// concurrent use.
//
// The invariant: Holds is true only while a majority of every witness set
// that may be the recorded one has granted the lease, counted from when the
// renewals were sent. While a write that changes the set is under way, both
// sets may be, so both majorities are needed from before the write is sent
// until its outcome is known.
type Core struct {
	cfg      Config
	rng      *rand.Rand
	state    chart.State
	recorded Versioned    // The record as it last was known to stand.
	witnessSets     []witnessSet // Recorded set, then the one being written, if any.
	desired   Record       // What the record shall say, but for token and witnesses.
	writer   *Writer
	writeCount   uint64
	lease    lease
	leaseEnd     mono.Time
	lastLeased mono.Time // The last step at which the lease held.
	nextRenewal  mono.Time
	nextRecordCheck  mono.Time // When the record may be read again to see if it ended.
	members  []Member
	probe    probe
}

// New returns a session that has no record yet. It starts when it is first
// told the Members.
func New(cfg Config) *Core {
	rng := rand.New(rand.NewPCG(cfg.Seed, cfg.Session.Incarnation))
	return &Core{
		cfg:    cfg,
		rng:    rng,
		state:  sessionChart.Initial,
		desired: Record{Session: cfg.Session, Place: cfg.Place, Machine: cfg.Machine, Group: cfg.Group, Peer: cfg.Peer, Control: cfg.Control, Caller: cfg.Caller, State: Live},
		writer: NewWriter(cfg.Timing, rng),
		lease:  newLease(cfg.Timing.Lease),
		leaseEnd:   mono.Never,

		lastLeased: mono.Never,

		probe: probe{avoidUntil: make(map[host.Session]mono.Time)},
	}
}

// HoldsLease reports whether the session may serve its slices at the instant now.
func (c *Core) HoldsLease(now mono.Time) bool {
	return now.Before(c.leaseEnd)
}

// MayWitness reports whether the daemon may renew other sessions' leases at the
// instant now: while its own lease holds and for Timing.WitnessOn after it was
// last seen to hold. A session that is recorded as lost holds none, so that it
// renews no other from that time on.
func (c *Core) MayWitness(now mono.Time) bool {
	return c.HoldsLease(now) || c.lastLeased != mono.Never && now.Sub(c.lastLeased) < c.cfg.Timing.WitnessOn
}

// HeldUntil returns the instant from which Holds is false unless the lease is
// renewed again; mono.Never if the session holds no lease.
func (c *Core) HeldUntil() mono.Time {
	return c.leaseEnd
}

// State returns the session's state by its chart.
func (c *Core) State() chart.State {
	return c.state
}

// Recorded returns the record as it last was known to stand in the store.
func (c *Core) Recorded() Versioned {
	return c.recorded
}

// StaleReplies returns how many messages were dropped as old or not asked for.
func (c *Core) StaleReplies() uint64 {
	return c.lease.staleReplies
}

// Step takes an event and returns what to do.
func (c *Core) Step(now mono.Time, ev Event) []Action {
	if c.ended() {
		return nil
	}
	out := c.abandonLateCreate(now)
	if !c.ended() {
		out = append(out, c.handle(now, ev)...)
	}
	c.updateLeaseEnd()
	if c.HoldsLease(now) {
		c.lastLeased = now
	}
	return out
}

// abandonLateCreate ends a session whose first write has been in doubt for longer
// than a record that ended is sure to stand.
func (c *Core) abandonLateCreate(now mono.Time) []Action {
	if c.state != "creating" || c.writer.Idle() || c.writer.Unsent() {
		return nil
	}
	if now.Sub(c.writer.FirstSent()) < c.cfg.Timing.CreateTimeout {
		return nil
	}
	return c.endAsLost(Versioned{Record: Record{State: Lost}})
}

func (c *Core) handle(now mono.Time, ev Event) []Action {
	switch e := ev.(type) {
	case Tick:
		return c.tick(now)
	case Renewed:
		return c.handleRenewed(now, e)
	case PutResult:
		outcome, acts := c.writer.PutResult(now, e)
		return c.handleWriteOutcome(now, outcome, acts)
	case GetResult:
		outcome, acts := c.writer.GetResult(now, e)
		return append(c.handleWriteOutcome(now, outcome, acts), c.handleRecordRead(now, e)...)
	case Seen:
		return c.handleRecordSeen(now, e.Found)
	case Members:
		c.members = e.List
		return c.maintain(now)
	case Announce:
		c.desired.Target = e.Target
		return c.maintain(now)
	case Drain:
		c.desired.State = Draining
		return append(c.transition("drain"), c.maintain(now)...)
	case Leave:
		return c.leave(now)
	}
	return nil
}

func (c *Core) tick(now mono.Time) []Action {
	out := c.writer.Tick(now)
	out = append(out, c.maintain(now)...)
	if !now.Before(c.nextRenewal) {
		out = append(out, c.renew(now)...)
	}
	return out
}

// renew starts a round of renewals to every witness of every set, and to
// those being tried.
func (c *Core) renew(now mono.Time) []Action {
	c.nextRenewal = now.Add(c.cfg.Timing.RenewInterval)
	if c.state == "leaving" {
		return nil
	}
	asked := c.askedWitnesses()
	c.lease.startRound(now, asked)
	var out []Action
	for _, w := range asked {
		out = append(out, c.renewalTo(w))
	}
	if c.storeRenewalDue() {
		out = append(out, c.startWrite(now, c.recorded.Record.Generation, c.recorded.Record.Witnesses)...)
	}
	return out
}

func (c *Core) askedWitnesses() []host.Session {
	var asked []host.Session
	for _, s := range c.witnessSets {
		asked = appendMissing(asked, s.witnesses)
	}
	return appendMissing(asked, c.probe.witnesses)
}

func (c *Core) renewalTo(w host.Session) Renew {
	m := Renew{Session: c.cfg.Session, Witness: w, Seq: c.lease.seq}
	if rank, ok := c.recorded.Record.Rank(w); ok {
		m.Generation = c.recorded.Record.Generation
		m.Rank = uint8(rank)
	}
	return m
}

func (c *Core) storeRenewalDue() bool {
	return c.recorded.Version > 0 && c.recorded.Record.StoreLeased() && c.writer.Idle()
}

func (c *Core) handleRenewed(now mono.Time, m Renewed) []Action {
	if m.Session != c.cfg.Session || !c.lease.recordReply(m) {
		return nil
	}
	out := c.maintain(now)
	if m.Reply == Ended && c.recorded.Version > 0 && c.writer.Idle() && !now.Before(c.nextRecordCheck) {
		c.nextRecordCheck = now.Add(recordCheckInterval)
		out = append(out, Get{Session: c.cfg.Session})
	}
	return out
}

// maintain does what is due about the record and the witnesses.
func (c *Core) maintain(now mono.Time) []Action {
	if !c.writer.Idle() || c.ended() {
		return nil
	}
	if c.state == "leaving" {
		return c.startWrite(now, c.recorded.Record.Generation, c.recorded.Record.Witnesses)
	}
	if c.state == sessionChart.Initial {
		return c.join(now)
	}
	if out, changing := c.replaceWitnesses(now); changing {
		return out
	}
	if c.recordOutdated() {
		return c.startWrite(now, c.recorded.Record.Generation, c.recorded.Record.Witnesses)
	}
	return nil
}

// recordOutdated reports whether the record says other than what is wanted.
func (c *Core) recordOutdated() bool {
	r := &c.recorded.Record
	return r.State != c.desired.State || !sameTarget(r.Target, c.desired.Target)
}

// leave gives the lease up before the store is told, since others may own the
// slices as soon as the write lands.
func (c *Core) leave(now mono.Time) []Action {
	c.desired.State = Left
	c.probe.stop()
	out := c.transition("leave")
	return append(out, c.maintain(now)...)
}

func (c *Core) transition(e chart.Event) []Action {
	t, ok := sessionChart.Next(c.state, e)
	if !ok {
		return nil
	}
	c.state = t.To
	if !c.ended() {
		return nil
	}
	return []Action{Finished{State: State(c.state), Detail: string(e)}}
}

func (c *Core) ended() bool {
	return sessionChart.States[c.state].Final
}

// updateLeaseEnd works out how long the lease is held.
func (c *Core) updateLeaseEnd() {
	c.leaseEnd = mono.Never
	if c.recorded.Version == 0 || c.ended() || c.state == "leaving" {
		return
	}
	c.leaseEnd = c.lease.until(&c.witnessSets[0])
	if len(c.witnessSets) == 1 || c.writer.Unsent() {
		return
	}
	// Should the write land, a taker counts a lease in the store from no
	// earlier than the first sending.
	next := &c.witnessSets[1]
	next.storeUntil = c.writer.FirstSent().Add(c.cfg.Timing.Lease)
	c.leaseEnd = min(c.leaseEnd, c.lease.until(next))
}

func appendMissing(list, more []host.Session) []host.Session {
	for _, s := range more {
		if !contains(list, s) {
			list = append(list, s)
		}
	}
	return list
}

func sameTarget(a, b *Target) bool {
	if a == nil || b == nil {
		return a == b
	}
	return *a == *b
}
