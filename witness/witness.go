// Package witness renews the leases of other daemons' sessions, and can promise
// never to renew one again.
//
// A witness stores nothing on disk. A daemon that restarts runs under another
// session, and so is never the witness that it was before.
package witness

import (
	"cmp"
	"slices"
	"time"

	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/restore"
	"github.com/rhubarbring/rhubarbring/session"
)

// Seal is a witness's promise never to renew a session's lease again for
// generations up to Generation. It is valid for the lifetime of the witness.
type Seal struct {
	_ struct{} `cbor:",toarray"`
	// Session is the session that is sealed, and Witness the one that promises.
	Session host.Session
	Witness host.Session
	// Generation is the highest generation that the promise covers.
	Generation uint64
	// Remaining is how long a lease granted earlier may still run, counted from
	// when the message was sent. A receiver that counts it from the arrival of a
	// delayed message waits longer, never shorter.
	Remaining time.Duration
}

// entry is the witness's state for a session.
type entry struct {
	session    host.Session
	seq        uint64    // Highest Seq of its renewals.
	leaseEnd   mono.Time // End of the last lease granted.
	silentFrom mono.Time // Instant from which the session counts as silent.
	generation uint64    // Generation of the newest set known to name this witness, or 0.
	rank       uint8     // Index in that set.
	sealed     uint64    // Highest generation that it promised never to renew.
}

// Core is the witness of a daemon. It is not safe for concurrent use. It holds
// an entry for each session that it is a witness of, and one incarnation for each
// host of which such a session ended; nothing in it grows with keys or time.
type Core struct {
	self    host.Session
	lease   time.Duration
	entries map[host.Session]*entry
	ended   map[host.ID]uint64 // Highest incarnation known to be lost or left.
	stale   uint64
}

// New returns the witness of the daemon whose session is self.
func New(self host.Session, lease time.Duration) *Core {
	return &Core{
		self:    self,
		lease:   lease,
		entries: make(map[host.Session]*entry),
		ended:   make(map[host.ID]uint64),
	}
}

// StaleRenewals returns how many renewals were dropped because they were
// repeated or older than another of the session.
func (c *Core) StaleRenewals() uint64 {
	return c.stale
}

// Len returns how many sessions the witness has an entry for.
func (c *Core) Len() int {
	return len(c.entries)
}

// Renew handles a renewal and returns the reply. It returns false, and there is
// no reply, if the message is repeated or older than another of the session.
func (c *Core) Renew(now mono.Time, m session.Renew) (session.RenewResponse, bool) {
	answer := session.RenewResponse{Session: m.Session, Witness: m.Witness, Seq: m.Seq}
	if m.Witness != c.self {
		answer.Reply = session.WrongSession
		return answer, true
	}
	if c.hasEnded(m.Session) {
		answer.Reply = session.Ended
		return answer, true
	}
	e := c.entryFor(m.Session)
	if m.Seq <= e.seq {
		c.stale++
		return answer, false
	}
	c.grantLease(now, e, m)
	c.expireEarlier(now, m.Session)
	answer.Reply = session.Granted
	answer.Sealed = e.sealed
	return answer, true
}

func (c *Core) grantLease(now mono.Time, e *entry, m session.Renew) {
	e.seq = m.Seq
	e.leaseEnd = max(e.leaseEnd, now.Add(c.lease))
	e.silentFrom = e.leaseEnd
	if m.Generation >= e.generation && m.Generation > 0 {
		e.generation = m.Generation
		e.rank = m.Rank
	}
}

// expireEarlier makes earlier sessions of the host silent before their leases run
// out: a daemon that renews under a new session has most likely restarted. An
// earlier session that renewed within the last half of the lease period is still
// running and is left alone.
func (c *Core) expireEarlier(now mono.Time, s host.Session) {
	for _, e := range c.entries {
		earlier := e.session.Host == s.Host && e.session.Incarnation < s.Incarnation
		if earlier && !now.Before(e.leaseEnd.Add(-c.lease/2)) {
			e.silentFrom = min(e.silentFrom, now)
		}
	}
}

// ObserveRecord updates the entry of a session from its record as read from the
// store.
func (c *Core) ObserveRecord(now mono.Time, v session.VersionedRecord) {
	r := &v.Record
	if r.State.Final() {
		c.MarkEnded(r.Session)
		return
	}
	rank, named := r.Rank(c.self)
	if named && c.hasEnded(r.Session) && restore.VersionOf(v.Version).Era > 0 {
		c.observeRestored(now, r, uint8(rank))
		return
	}
	if named {
		c.ObserveNamed(now, r.Session, r.Generation, uint8(rank))
		return
	}
	if e := c.entries[r.Session]; e != nil && r.Generation > e.generation {
		e.generation = 0
		c.dropIfUnneeded(now, e)
	}
}

// observeRestored notes the record of an ended session that the store has restored
// as it was before the end. The session is never renewed again, so that it is taken
// over again.
func (c *Core) observeRestored(now mono.Time, r *session.Record, rank uint8) {
	e := c.entryFor(r.Session)
	if r.Generation <= e.generation {
		return
	}
	e.generation = r.Generation
	e.rank = rank
	e.silentFrom = max(e.silentFrom, now.Add(c.lease))
}

// ObserveNamed notes that a witness set of a session names this witness. The
// session then has one lease period to renew before it counts as silent.
func (c *Core) ObserveNamed(now mono.Time, s host.Session, generation uint64, rank uint8) {
	if c.hasEnded(s) {
		return
	}
	e := c.entryFor(s)
	if generation <= e.generation {
		return
	}
	e.generation = generation
	e.rank = rank
	e.silentFrom = max(e.silentFrom, now.Add(c.lease))
}

// MarkEnded notes that a session was recorded as lost or left, or that its
// record was deleted. If the witness has an entry for the session, it drops the
// entry and never again renews that session or an earlier one of its host;
// otherwise MarkEnded does nothing.
func (c *Core) MarkEnded(s host.Session) {
	if c.entries[s] == nil {
		return
	}
	delete(c.entries, s)
	c.ended[s.Host] = max(c.ended[s.Host], s.Incarnation)
}

// SilentSessions returns the sessions that name this witness and have not
// renewed for a lease period or are sealed, sorted by host and incarnation. It
// drops the entries of silent sessions that do not name it and are not sealed.
func (c *Core) SilentSessions(now mono.Time) []host.Session {
	var out []host.Session
	for _, e := range c.entries {
		if c.dropIfUnneeded(now, e) {
			continue
		}
		if e.silent(now) {
			out = append(out, e.session)
		}
	}
	slices.SortFunc(out, compareSessions)
	return out
}

// RecentlyRenewed returns the sessions that have renewed within a lease period
// and so are running, sealed or not, sorted by host and incarnation.
func (c *Core) RecentlyRenewed(now mono.Time) []host.Session {
	out := make([]host.Session, 0, len(c.entries))
	for _, e := range c.entries {
		if now.Before(e.leaseEnd) {
			out = append(out, e.session)
		}
	}
	slices.SortFunc(out, compareSessions)
	return out
}

// IsSilent reports whether SilentSessions would return the session.
func (c *Core) IsSilent(now mono.Time, s host.Session) bool {
	e := c.entries[s]
	return e != nil && e.silent(now)
}

// Rank returns this witness's index in the session's newest set, or 0 if the
// session is unknown.
func (c *Core) Rank(s host.Session) int {
	if e := c.entries[s]; e != nil {
		return int(e.rank)
	}
	return 0
}

// Seal promises never to renew the newest generation of a silent session, or
// returns the promise made before. It reports false if the session is not
// silent.
func (c *Core) Seal(now mono.Time, s host.Session) (Seal, bool) {
	e := c.entries[s]
	if e == nil || !e.silent(now) {
		return Seal{}, false
	}
	e.sealed = max(e.sealed, e.generation)
	remaining := max(0, e.leaseEnd.Sub(now))
	return Seal{Session: s, Witness: c.self, Generation: e.sealed, Remaining: remaining}, true
}

func (e *entry) silent(now mono.Time) bool {
	if e.generation == 0 {
		return false
	}
	return !now.Before(e.silentFrom) || e.sealed >= e.generation
}

// dropIfUnneeded drops an entry that is no longer needed: no witness set names this
// witness, nothing is sealed, and the last lease granted has run out. It reports
// whether it did.
func (c *Core) dropIfUnneeded(now mono.Time, e *entry) bool {
	if e.generation > 0 || e.sealed > 0 || now.Before(e.leaseEnd) {
		return false
	}
	delete(c.entries, e.session)
	return true
}

// entryFor returns the session's entry, which it creates if there is none.
func (c *Core) entryFor(s host.Session) *entry {
	e := c.entries[s]
	if e == nil {
		e = &entry{session: s, leaseEnd: mono.Never, silentFrom: mono.Never}
		c.entries[s] = e
	}
	return e
}

func (c *Core) hasEnded(s host.Session) bool {
	return s.Incarnation <= c.ended[s.Host]
}

func compareSessions(a, b host.Session) int {
	return cmp.Or(cmp.Compare(a.Host, b.Host), cmp.Compare(a.Incarnation, b.Incarnation))
}
