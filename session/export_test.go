package session

import "github.com/rhubarbring/rhubarbring/mono"

// The functions of this file each drop one guard of a Core, so that the
// random model can show that it finds the loss.

// CountFromAnswer counts a renewal from when its answer came.
func (c *Core) CountFromAnswer(now mono.Time, seq uint64) {
	c.lease.rounds[seq%roundsKept] = now
}

// DropJoint needs the newest witness set only.
func (c *Core) DropJoint() {
	if n := len(c.sets); n > 1 {
		c.sets = c.sets[n-1:]
		c.recount()
	}
}

// GiveUp gives a write in doubt up when a read shows the version before it.
func (c *Core) GiveUp(found Versioned) {
	if !c.writer.Idle() && c.writer.state == "reading" && found.Version == c.writer.put.IfVersion && found.Version > 0 {
		c.writer.state = writeChart.Initial
		c.sets = c.sets[:1]
	}
}

// PendingToken returns the token of the write under way, or of the last one.
func (c *Core) PendingToken() string {
	return c.writer.Pending().Record.Token
}
