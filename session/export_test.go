package session

import "github.com/rhubarbring/rhubarbring/mono"

// The first three functions of this file each disable one check of a Core, so
// that the model can show that it detects this.

// CountLeaseFromReply counts a renewal from when its reply arrived instead of
// when it was sent.
func (c *Core) CountLeaseFromReply(now mono.Time, seq uint64) {
	c.lease.sentAt[seq%roundWindow] = now
}

// DropOlderWitnessSet makes the lease need a majority of the newest witness set
// only.
func (c *Core) DropOlderWitnessSet() {
	if n := len(c.witnessSets); n > 1 {
		c.witnessSets = c.witnessSets[n-1:]
		c.updateLeaseEnd()
	}
}

// AbandonUnconfirmedWrite abandons a write in doubt if a read shows the version
// that the write is based on.
func (c *Core) AbandonUnconfirmedWrite(found VersionedRecord) {
	if !c.writer.Idle() && c.writer.state == "reading" && found.Version == c.writer.pending.IfVersion && found.Version > 0 {
		c.writer.state = writeChart.Initial
		c.witnessSets = c.witnessSets[:1]
	}
}

// PendingToken returns the token of the write under way, or of the last one.
func (c *Core) PendingToken() string {
	return c.writer.Pending().Record.Token
}
