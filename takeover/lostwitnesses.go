package takeover

import (
	"slices"
	"time"

	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/session"
)

// This file handles sessions that lost a majority of their witnesses, so that
// no majority is left to seal them.
//
// A witness renews the leases of other sessions while its own lease holds and
// for Timing.WitnessGrace after that (session.Core.MayWitness). A session recorded
// as lost or left holds no lease, so from a known instant on it renews nobody,
// even if its process was paused and resumes. A session that was superseded by
// the next session of its host has no process any more. Once the remaining
// witnesses of a record are no majority, the leases granted before run out
// within the time of a lease and the margin. A session that is alive writes a
// new witness set before that; the write of the loss is conditional on the
// version of the record and then fails.

// witnessSet is the part of a record that says who renews the session's lease.
type witnessSet struct {
	version   uint64
	witnesses []host.Session
}

// trackWitnesses updates witnessSets and endedWitnesses from a record read from
// the store, and starts to observe the session if its remaining
// witnesses are no majority.
func (c *Core) trackWitnesses(now mono.Time, v session.VersionedRecord) {
	r := &v.Record
	if known, ok := c.witnessSets[r.Session]; ok && v.Version < known.version {
		return
	}
	orphaned, isOrphan := c.orphans[r.Session]
	delete(c.orphans, r.Session)
	if r.State.Final() {
		delete(c.witnessSets, r.Session)
		c.witnessEnded(now, r)
		return
	}
	c.witnessSets[r.Session] = witnessSet{version: v.Version, witnesses: r.Witnesses}
	since, ok := c.noMajorityFrom(r.Witnesses)
	switch {
	case !ok:
	case isOrphan && orphaned.version == v.Version:
		c.observeWithoutMajority(orphaned.since, v)
	default:
		c.observeWithoutMajority(max(now, since), v)
	}
}

// orphan is a session without a majority of witnesses whose record is not known
// here as a whole.
type orphan struct {
	version uint64    // Of the record whose witnesses are no majority.
	since   mono.Time // When the wait for the lease to expire begins.
	readAt  mono.Time // When the record is read.
}

const (
	// orphanReadSpread spreads the reads of an orphan's record by the daemons of a
	// fleet, so that most of them hear of the loss before they read it.
	orphanReadSpread = 600 * time.Millisecond
	// orphanReadRetry is the time after which an unanswered read is repeated.
	orphanReadRetry = 2 * time.Second
)

// addOrphan remembers a session that has no majority of witnesses from an instant
// on. Its record is read only when the lease has expired: if many hosts restart at
// once, the next sessions of these hosts end most of the records before that. A
// record that still has its version then has not changed meanwhile.
func (c *Core) addOrphan(s host.Session, since mono.Time) {
	version := c.witnessSets[s].version
	if known, ok := c.orphans[s]; ok && known.version == version {
		return
	}
	expired := since.Add(c.cfg.Timing.Lease + c.cfg.Timing.Margin)
	c.orphans[s] = orphan{version: version, since: since, readAt: expired.Add(c.jitter(orphanReadSpread))}
}

// readOrphans requests the records of the orphans whose leases have expired.
func (c *Core) readOrphans(now mono.Time) {
	for _, s := range sorted(c.orphans) {
		o := c.orphans[s]
		if now.Before(o.readAt) {
			continue
		}
		o.readAt = now.Add(orphanReadRetry)
		c.orphans[s] = o
		c.outbox.addStoreCalls([]session.Action{session.Get{Session: s}})
	}
}

// witnessEnded records that a witness's session ended. Sessions that have no
// majority of witnesses left because of it become orphans.
func (c *Core) witnessEnded(now mono.Time, r *session.Record) {
	if _, known := c.endedWitnesses[r.Session]; known {
		return
	}
	c.endedWitnesses[r.Session] = c.renewsUntil(now, r)
	for _, s := range sorted(c.witnessSets) {
		if s == c.cfg.Self || !contains(c.witnessSets[s].witnesses, r.Session) {
			continue
		}
		if since, ok := c.noMajorityFrom(c.witnessSets[s].witnesses); ok {
			c.addOrphan(s, max(now, since))
		}
	}
}

// renewsUntil returns the instant from which a session that ended renews no
// other. It is now for a superseded session, whose process is gone.
func (c *Core) renewsUntil(now mono.Time, r *session.Record) mono.Time {
	if r.Superseded {
		return now
	}
	return now.Add(c.cfg.Timing.WithDriftMargin(c.cfg.Timing.WitnessGrace))
}

// noMajorityFrom returns the instant from which the witnesses that still renew
// are no majority. It returns false if a majority can still renew, or if the
// record has no witnesses because its lease is in the store.
func (c *Core) noMajorityFrom(witnesses []host.Session) (mono.Time, bool) {
	var ended []mono.Time
	for _, w := range witnesses {
		if from, ok := c.endedWitnesses[w]; ok {
			ended = append(ended, from)
		}
	}
	needed := len(witnesses) - session.Majority(len(witnesses)) + 1
	if len(witnesses) == 0 || len(ended) < needed {
		return 0, false
	}
	slices.Sort(ended)
	return ended[needed-1], true
}

// observeWithoutMajority starts to observe a session that has no majority of
// witnesses from the instant since on, unless this version of its record is
// observed already.
func (c *Core) observeWithoutMajority(since mono.Time, v session.VersionedRecord) {
	s := v.Record.Session
	o := c.observed[s]
	if s == c.cfg.Self || o != nil && v.Version <= o.record.Version {
		return
	}
	c.observed[s] = &observation{record: v, since: since}
}

func contains(list []host.Session, s host.Session) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}
