package session

import (
	"math/rand/v2"
	"time"

	"github.com/rhubarbring/rhubarbring/charts"
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/statechart"
)

// recordCheckInterval is the minimum time between two reads of the session's
// own record that are made because a witness replied Ended, or because the record
// is said to be deleted.
const recordCheckInterval = time.Second

var sessionChart = charts.MustLoad("session")

// Config describes a daemon's session. The incarnation must be higher than
// that of any earlier session of the host; the conditional write that creates
// the record fails if the incarnation is in use.
type Config struct {
	Session host.Session
	Place   host.Place
	// MachineID identifies the running machine. PeerAddress is the address on
	// which the daemon listens for its peers; it must be bound already and not
	// shared with another process. See Record.IsSuccessorOf.
	MachineID string
	// Group identifies hosts that are likely to fail together; see
	// Record.Group.
	Group          string
	PeerAddress    string
	ControlAddress string
	CallerAddress  string
	Seed           uint64
	Timing         Timing
	// StartWithStoreLease makes the session start with a lease in the store and
	// look for witnesses afterwards, so that it does not wait for witnesses
	// that failed together with the host's previous session.
	StartWithStoreLease bool
}

// Core is the holder's side of a daemon's own session. It writes the record,
// renews the lease with the witnesses, and replaces witnesses. It is not safe
// for concurrent use.
//
// Invariant: HoldsLease is true only while a majority of every witness set that
// may be the recorded one, or the store if the set is empty, has granted the
// lease, counted from when the renewals were sent. During a write either the old
// or the new set may be the recorded one, so both must have granted it from
// before the write is sent until its outcome is known. The new set is left out
// only while no copy of the write can have reached the store.
type Core struct {
	cfg             Config
	rng             *rand.Rand
	state           statechart.State
	recorded        VersionedRecord // The newest record known to be stored.
	witnessSets     []witnessSet    // Recorded set, then the one being written, if any.
	desired         Record          // The record to be stored, without token and witnesses.
	writer          *RecordWriter
	writeCount      uint64
	lease           lease
	leaseEnd        mono.Time
	lastLeased      mono.Time // The last Step at which the lease was held.
	nextRenewal     mono.Time
	nextRecordCheck mono.Time // Earliest next read of the record after an Ended reply or a deletion.
	deletionSeen    bool      // The record is said to be deleted, which is not confirmed yet.
	members         []Member
	probe           probe
}

// New returns a session that has no record yet. It starts on the first
// MembersChanged event.
func New(cfg Config) *Core {
	rng := rand.New(rand.NewPCG(cfg.Seed, cfg.Session.Incarnation))
	return &Core{
		cfg:      cfg,
		rng:      rng,
		state:    sessionChart.Initial,
		desired:  Record{Session: cfg.Session, Place: cfg.Place, MachineID: cfg.MachineID, Group: cfg.Group, PeerAddress: cfg.PeerAddress, ControlAddress: cfg.ControlAddress, CallerAddress: cfg.CallerAddress, State: Live},
		writer:   NewRecordWriter(cfg.Timing, rng),
		lease:    newLease(cfg.Timing.Lease),
		leaseEnd: mono.Never,

		lastLeased: mono.Never,

		probe: probe{avoidUntil: make(map[host.Session]mono.Time)},
	}
}

// HoldsLease reports whether the session holds its lease at the instant now and
// so may serve its slices.
func (c *Core) HoldsLease(now mono.Time) bool {
	return now.Before(c.leaseEnd)
}

// MayWitness reports whether the daemon may renew other sessions' leases at the
// instant now: while it holds its own lease, and for Timing.WitnessGrace after the
// last Step at which it held it. A session that is recorded as lost holds no
// lease, so it stops renewing others at the latest WitnessGrace after that.
func (c *Core) MayWitness(now mono.Time) bool {
	return c.HoldsLease(now) || c.lastLeased != mono.Never && now.Sub(c.lastLeased) < c.cfg.Timing.WitnessGrace
}

// HeldUntil returns the instant from which HoldsLease is false unless the lease
// is renewed again, or mono.Never if the session holds no lease.
func (c *Core) HeldUntil() mono.Time {
	return c.leaseEnd
}

// State returns the session's state in its state chart.
func (c *Core) State() statechart.State {
	return c.state
}

// Recorded returns the newest record of the session known to be in the store.
func (c *Core) Recorded() VersionedRecord {
	return c.recorded
}

// StaleReplies returns how many replies to renewals were dropped because they
// were old, repeated or unsolicited.
func (c *Core) StaleReplies() uint64 {
	return c.lease.staleReplies
}

// Step handles an event and returns the actions to perform. It does nothing
// once the session has ended.
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

// abandonLateCreate ends a session whose first write has been in doubt for
// Timing.CreateTimeout. Sent later, a copy of the write could find the record
// taken over and deleted, and would create the ended session anew.
func (c *Core) abandonLateCreate(now mono.Time) []Action {
	if c.state != "creating" || c.writer.Idle() || c.writer.Unsent() {
		return nil
	}
	if now.Sub(c.writer.FirstSent()) < c.cfg.Timing.CreateTimeout {
		return nil
	}
	return c.endAsLost(VersionedRecord{Record: Record{State: Lost}})
}

func (c *Core) handle(now mono.Time, ev Event) []Action {
	switch e := ev.(type) {
	case Tick:
		return c.tick(now)
	case RenewResponse:
		return c.handleRenewed(now, e)
	case PutResult:
		outcome, acts := c.writer.PutResult(now, e)
		return c.handleWriteOutcome(now, outcome, acts)
	case GetResult:
		outcome, acts := c.writer.GetResult(now, e)
		return append(c.handleWriteOutcome(now, outcome, acts), c.handleRecordRead(now, e)...)
	case RecordObserved:
		return c.handleRecordSeen(now, e.Record)
	case RecordDeleted:
		c.deletionSeen = c.recorded.Version > 0
		return c.checkDeletion(now)
	case MembersChanged:
		c.members = e.List
		return c.maintain(now)
	case TargetAnnounced:
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
	out = append(out, c.checkDeletion(now)...)
	if !now.Before(c.nextRenewal) {
		out = append(out, c.renew(now)...)
	}
	return append(out, c.renewInStore(now)...)
}

// renew starts a round of renewals to the witnesses of all sets and to those
// being probed.
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
	return out
}

// renewInStore renews a lease in the store by a write of the record, if that is due.
func (c *Core) renewInStore(now mono.Time) []Action {
	if c.state == "leaving" || !c.storeRenewalDue(now) {
		return nil
	}
	return c.startWrite(now, c.recorded.Record.Generation, c.recorded.Record.Witnesses)
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

// storeRenewalShare is the share of a lease in the store that is left when it is
// renewed. It leaves time for a lost connection and a second write; a renewal in each
// round would take half as many calls again.
const storeRenewalShare = 5.0 / 8

// storeRenewalDue reports whether the record has to be written to renew the lease
// in the store.
func (c *Core) storeRenewalDue(now mono.Time) bool {
	if c.recorded.Version == 0 || !c.recorded.Record.StoreLeased() || !c.writer.Idle() {
		return false
	}
	return c.witnessSets[0].storeUntil.Sub(now) <= time.Duration(storeRenewalShare*float64(c.cfg.Timing.Lease))
}

func (c *Core) handleRenewed(now mono.Time, m RenewResponse) []Action {
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

// maintain starts the write or the replacement of witnesses that is due, unless
// a write is under way or the session has ended.
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

// recordOutdated reports whether the stored state or target differs from the
// desired one.
func (c *Core) recordOutdated() bool {
	r := &c.recorded.Record
	return r.State != c.desired.State || !sameTarget(r.Target, c.desired.Target)
}

// leave gives up the lease before the record is written as left, since other
// sessions may own the slices as soon as the write takes effect.
func (c *Core) leave(now mono.Time) []Action {
	c.desired.State = Left
	c.probe.stop()
	out := c.transition("leave")
	return append(out, c.maintain(now)...)
}

// transition applies an event to the session chart. It returns Finished if the
// event ended the session.
func (c *Core) transition(e statechart.Event) []Action {
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

// updateLeaseEnd computes until when the lease is held.
func (c *Core) updateLeaseEnd() {
	c.leaseEnd = mono.Never
	if c.recorded.Version == 0 || c.ended() || c.state == "leaving" {
		return
	}
	c.leaseEnd = c.lease.until(&c.witnessSets[0])
	if len(c.witnessSets) == 1 || c.writer.Unsent() {
		return
	}
	// If the write takes effect, a daemon that takes over counts a lease in the
	// store from no earlier than the first sending.
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
