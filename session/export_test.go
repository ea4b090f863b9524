package session

import "github.com/rhubarbring/rhubarbring/mono"

// The functions of this file each drop one guard of a Core, so that the
// random model can show that it finds the loss.

// CountLeaseFromReply counts a renewal from when its answer came.
func (c *Core) CountLeaseFromReply(now mono.Time, seq uint64) {
	c.lease.sentAt[seq%roundWindow] = now
}

// DropOlderWitnessSet needs the newest witness set only.
func (c *Core) DropOlderWitnessSet() {
	if n := len(c.witnessSets); n > 1 {
		c.witnessSets = c.witnessSets[n-1:]
		c.updateLeaseEnd()
	}
}

// AbandonUndecidedWrite gives a write in doubt up when a read shows the version before it.
func (c *Core) AbandonUndecidedWrite(found Versioned) {
	if !c.writer.Idle() && c.writer.state == "reading" && found.Version == c.writer.pending.IfVersion && found.Version > 0 {
		c.writer.state = writeChart.Initial
		c.witnessSets = c.witnessSets[:1]
	}
}

// PendingToken returns the token of the write under way, or of the last one.
func (c *Core) PendingToken() string {
	return c.writer.Pending().Record.Token
}
