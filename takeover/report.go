package takeover

import (
	"github.com/rhubarbring/rhubarbring/event"
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/mono"
)

// Pending is a takeover under way.
type Pending struct {
	Session host.Session
	Since   mono.Time
	// Place is where the session stands, if its record was read.
	Place host.Place
	// Heard is when another witness last said that it hears the session;
	// mono.Never if none did.
	Heard mono.Time
	// Reason is what the takeover waits for. If it is WitnessesSilent, the
	// session may be cut off from here and serve on.
	Reason Reason
}

// Pending returns the takeovers under way, in a fixed order.
func (c *Core) Pending() []Pending {
	var out []Pending
	for _, s := range c.order() {
		a := c.attempts[s]
		out = append(out, Pending{Session: s, Since: a.began, Place: a.record.Record.Place, Heard: a.heard, Reason: a.reason()})
	}
	return out
}

func (c *Core) reportStart(a *attempt) {
	if !a.started {
		a.started = true
		c.out.log(event.TakeoverStarted, a.session, "")
	}
}

func (c *Core) reportStuck(now mono.Time, a *attempt) {
	if a.told || a.over() || now.Sub(a.began) < stuckAfter || now.Sub(a.heard) < stuckAfter {
		return
	}
	a.told = true
	reason := a.reason()
	c.out.log(event.TakeoverStuck, a.session, reason.String())
	c.out.add(Stuck{Session: a.session, Place: a.record.Record.Place, Reason: reason})
}
