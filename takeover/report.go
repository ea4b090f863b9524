package takeover

import (
	"github.com/rhubarbring/rhubarbring/event"
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/mono"
)

// Pending describes a takeover in progress.
type Pending struct {
	Session host.Session
	Since   mono.Time
	// Place is the location of the session's host; zero until the record was
	// read.
	Place host.Place
	// LastHeard is when another witness last reported that it still receives the
	// session's renewals; mono.Never if none did.
	LastHeard mono.Time
	// Reason is what the takeover waits for. If it is NoWitnessMajority, the
	// session may only be cut off from this daemon and still be serving.
	Reason Reason
}

// Pending returns the takeovers in progress, ordered by session.
func (c *Core) Pending() []Pending {
	var out []Pending
	for _, s := range c.sortedAttempts() {
		a := c.attempts[s]
		out = append(out, Pending{Session: s, Since: a.began, Place: a.record.Record.Place, LastHeard: a.lastHeard, Reason: a.reason()})
	}
	return out
}

func (c *Core) reportStart(a *attempt) {
	if !a.startReported {
		a.startReported = true
		c.outbox.log(event.TakeoverStarted, a.session, "")
	}
}

// reportStuck reports once that an attempt has lasted stuckAfter. It reports
// nothing while another witness receives the session's renewals.
func (c *Core) reportStuck(now mono.Time, a *attempt) {
	if a.stuckReported || a.final() || now.Sub(a.began) < stuckAfter || now.Sub(a.lastHeard) < stuckAfter {
		return
	}
	a.stuckReported = true
	reason := a.reason()
	c.outbox.log(event.TakeoverStuck, a.session, reason.String())
	c.outbox.add(Stuck{Session: a.session, Place: a.record.Record.Place, Reason: reason})
}
