package grant

import (
	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/mono"
)

// droppedGrant is a slice of a unit that was given up, as the unit was.
type droppedGrant struct {
	mayHoldUntil mono.Time
	unanswered   bool
	process      uint64
}

// droppedGrant returns what the target may still hold of a unit that is given up.
func (u *unit) droppedGrant() droppedGrant {
	return droppedGrant{mayHoldUntil: u.mayHoldUntil, unanswered: u.unanswered, process: u.grant.Process}
}

// holder returns the process that may hold a slice of a unit that was given up, 0 if
// there is none.
func (c *Core) holder(now mono.Time, s key.Slice) uint64 {
	d := c.dropped[s]
	if !now.Before(d.mayHoldUntil) {
		return 0
	}
	return d.process
}

// NewForRunningTarget returns a Core for a target that may have run before this
// daemon, which first heard from it at the given instant. The target may hold what
// an earlier daemon granted, for as long as any grant lasts. Config.MaxHold must
// be the longest grant of any daemon.
func NewForRunningTarget(seen mono.Time, cfg Config) *Core {
	c := New(cfg)
	c.unknownUntil = seen.Add(cfg.LongestHold())
	c.unknownOnceHeard = c.unknownUntil
	return c
}

// NewForReplacingTarget returns a Core for an instance that, by its announcement at
// the given instant, has taken the address of another one while this daemon, which
// started earlier, was running. The announcement may be a late one of an instance
// that has ended. An answer to a call proves that it is not: then the instance holds
// only what an earlier daemon granted.
func NewForReplacingTarget(daemonStarted, seen mono.Time, cfg Config) *Core {
	c := NewForRunningTarget(seen, cfg)
	c.unknownOnceHeard = daemonStarted.Add(cfg.LongestHold())
	return c
}

// heard records that the instance has answered a call.
func (c *Core) heard(a Answer) {
	if a == Accepted || a == Refused {
		c.unknownUntil = min(c.unknownUntil, c.unknownOnceHeard)
	}
}

// mayHold returns until when the target may hold a slice, and whether a grant of it
// was not answered.
func (c *Core) mayHold(s key.Slice) (until mono.Time, unanswered bool) {
	if u := c.unitOf(s); u != nil {
		return latest(u.mayHoldUntil, c.unknownUntil), u.unanswered
	}
	if d, ok := c.dropped[s]; ok {
		return latest(c.unknownUntil, d.mayHoldUntil), d.unanswered
	}
	return c.unknownUntil, false
}

// inherit adds to a unit what the target may hold of a slice at an earlier epoch.
func (c *Core) inherit(now mono.Time, u *unit, s key.Slice) {
	d, ok := c.dropped[s]
	delete(c.dropped, s)
	if !ok || !now.Before(d.mayHoldUntil) {
		return
	}
	u.mayHoldUntil = latest(u.mayHoldUntil, d.mayHoldUntil)
	u.unanswered = u.unanswered || d.unanswered
}
