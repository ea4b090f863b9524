package session

import (
	"strconv"

	"github.com/rhubarbring/rhubarbring/event"
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/restore"
	"github.com/rhubarbring/rhubarbring/result"
)

// startWrite starts a conditional write of the desired record with the given
// witness set. From here on the lease needs the majorities of both sets.
func (c *Core) startWrite(now mono.Time, generation uint64, witnesses []host.Session) []Action {
	c.writeCount++
	r := c.desired
	r.Token = c.cfg.Session.String() + "#" + strconv.FormatUint(c.writeCount, 10)
	r.Generation = generation
	r.Witnesses = witnesses
	r.Renewals = c.recorded.Record.Renewals
	if len(witnesses) == 0 {
		r.Renewals++
	}
	c.witnessSets = append(c.witnessSets, witnessSet{generation: generation, witnesses: witnesses})
	return c.writer.Start(now, Put{IfVersion: c.recorded.Version, Record: r})
}

// handleWriteOutcome continues after a write whose outcome may have become
// known, and appends its actions to out.
func (c *Core) handleWriteOutcome(now mono.Time, outcome WriteOutcome, out []Action) []Action {
	switch outcome {
	case WriteApplied:
		put := c.writer.Pending()
		if !put.Record.StoreLeased() && put.Record.Generation != c.recorded.Record.Generation {
			c.nextRenewal = now // Informs the witnesses at once that the record names them.
		}
		c.adoptRecord(VersionedRecord{Version: c.writer.Version, Record: put.Record})
		out = append(out, c.writeApplied()...)
		return append(out, c.maintain(now)...)
	case WriteRejected:
		return append(out, c.writeRejected(now)...)
	}
	return out
}

// adoptRecord makes v the recorded one, and its witness set the only set. A lease
// in the store is held only if the record is the session's own last write.
func (c *Core) adoptRecord(v VersionedRecord) {
	c.recorded = v
	set := witnessSet{generation: v.Record.Generation, witnesses: v.Record.Witnesses, storeUntil: mono.Never}
	if v.Record.Token == c.writer.Pending().Record.Token {
		set.storeUntil = c.writer.FirstSent().Add(c.cfg.Timing.Lease)
	}
	c.witnessSets = append(c.witnessSets[:0], set)
}

// writeApplied fires the chart event that follows a write that took effect.
func (c *Core) writeApplied() []Action {
	if c.recorded.Record.State == Left {
		return c.transition("left")
	}
	if c.state == "creating" {
		return append([]Action{Log{ID: event.SessionCreated}}, c.transition("created")...)
	}
	return nil
}

// writeRejected handles the record found instead of the session's own write.
// The session ends if the record was deleted or is final, if another one exists when
// the session creates its own, or if the store took the write after it had come back
// from a copy: the record that it replaced may have been final.
func (c *Core) writeRejected(now mono.Time) []Action {
	v := c.writer.Found
	if v.Version == 0 || v.Record.State.Final() || c.state == "creating" || v.Record.Token == c.writer.Pending().Record.Token {
		return c.endAsLost(v)
	}
	c.adoptRecord(v)
	return c.maintain(now)
}

// handleRecordRead handles the read that was requested because a witness replied
// Ended, or because the record is said to be deleted.
func (c *Core) handleRecordRead(_ mono.Time, r GetResult) []Action {
	if c.ended() || r.Session != c.cfg.Session || !c.writer.Idle() {
		return nil
	}
	if c.deletionSeen && r.Code == result.StoreNotFound {
		return c.endAsLost(VersionedRecord{})
	}
	c.deletionSeen = c.deletionSeen && r.Code != result.OK
	if r.Found.Version > c.recorded.Version && r.Found.Record.State.Final() {
		return c.endAsLost(r.Found)
	}
	return nil
}

// handleRecordSeen handles a newer version of the session's own record that a
// watch or a peer showed.
func (c *Core) handleRecordSeen(now mono.Time, v VersionedRecord) []Action {
	if v.Record.Session != c.cfg.Session || v.Version <= c.recorded.Version {
		return nil
	}
	if !c.writer.Idle() {
		outcome, acts := c.writer.Seen(now, v)
		return c.handleWriteOutcome(now, outcome, acts)
	}
	if v.Record.State.Final() {
		return c.endAsLost(v)
	}
	if restore.VersionOf(v.Version).Era > restore.VersionOf(c.recorded.Version).Era {
		return c.rewriteRecord(now, v)
	}
	return nil
}

// rewriteRecord writes the record again that this session wrote last, after the
// store came back from a copy and shows v. A daemon that takes over goes by the
// witnesses in the store, which may be earlier ones; until the write is applied, the
// lease needs their majority as well.
func (c *Core) rewriteRecord(now mono.Time, v VersionedRecord) []Action {
	last := c.recorded.Record
	if v.Record.Token == last.Token {
		c.recorded.Version = v.Version
		return nil
	}
	c.adoptRecord(v)
	return c.startWrite(now, max(last.Generation, v.Record.Generation), last.Witnesses)
}

// checkDeletion reads the record if it is said to be deleted. A store that came back
// from a copy has lost the records that were created since.
func (c *Core) checkDeletion(now mono.Time) []Action {
	if !c.deletionSeen || !c.writer.Idle() || now.Before(c.nextRecordCheck) {
		return nil
	}
	c.nextRecordCheck = now.Add(recordCheckInterval)
	return []Action{Get{Session: c.cfg.Session}}
}

// endAsLost ends the session because its record is final, was deleted or belongs
// to another daemon, or because the creation was in doubt for too long.
func (c *Core) endAsLost(v VersionedRecord) []Action {
	return append([]Action{Log{ID: event.SessionLost, Detail: string(v.Record.State)}}, c.transition("gone")...)
}
