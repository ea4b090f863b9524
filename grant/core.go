package grant

import (
	"maps"
	"slices"
	"time"

	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/mono"
)

// Core decides which grants and releases a target is sent. It is used by one
// thread, and starts anew with each life of the target.
type Core struct {
	cfg     Config
	lease   mono.Time
	wanted  map[key.Slice]*want
	units   map[uint64]*unit
	last    uint64
	tokens  map[Held]string // Of releases elsewhere, not yet granted here.
	leaving map[key.Slice]leave
}

// want is a slice that the session owns and the target does not hold yet.
type want struct {
	epoch uint64
	since mono.Time
	fresh bool // It comes from nobody: no token is waited for.
}

// unit is a range that is granted and renewed by one call.
type unit struct {
	grant Grant
	// held is until when the target surely holds the range, and bound until
	// when it may.
	held    mono.Time
	bound   mono.Time
	calling bool
	// unanswered says that a call was not answered: it may take effect as
	// late as bound.
	unanswered bool
	sentAt     mono.Time
	due        mono.Time
}

// leave is a slice whose release the session asked for.
type leave struct {
	epoch   uint64
	calling bool
	due     mono.Time
}

// New returns a Core for a target that holds nothing.
func New(cfg Config) *Core {
	return &Core{
		cfg:     cfg,
		lease:   mono.Never,
		wanted:  make(map[key.Slice]*want),
		units:   make(map[uint64]*unit),
		tokens:  make(map[Held]string),
		leaving: make(map[key.Slice]leave),
	}
}

// SetLease says until when the session's lease holds.
func (c *Core) SetLease(until mono.Time) {
	c.lease = until
}

// Own says that the session owns a slice at an epoch. The first owner ever
// gets it from nobody.
func (c *Core) Own(now mono.Time, s key.Slice, epoch uint64) {
	if u := c.unitOf(s); u != nil && u.grant.Epoch == epoch {
		return
	}
	delete(c.leaving, s)
	c.wanted[s] = &want{epoch: epoch, since: now, fresh: epoch <= 1}
}

// Token takes the token that the last holder of a slice gave away. It was held
// there at the epoch before the one given.
func (c *Core) Token(s key.Slice, epoch uint64, token string) {
	c.tokens[Held{Slice: s, Epoch: epoch}] = token
}

// Drop says that the session does not own a slice any more, and that another
// may: its lease has ended.
func (c *Core) Drop(s key.Slice) {
	delete(c.wanted, s)
	if u := c.unitOf(s); u != nil {
		c.split(u, s)
	}
}

// Leave asks for the release of a slice. The slice is among Released when the
// target surely does not hold it.
func (c *Core) Leave(now mono.Time, s key.Slice, epoch uint64) {
	delete(c.wanted, s)
	if _, ok := c.leaving[s]; !ok {
		c.leaving[s] = leave{epoch: epoch, due: now}
	}
}

// Holds reports whether the target surely holds a slice at an instant.
func (c *Core) Holds(now mono.Time, s key.Slice) bool {
	u := c.unitOf(s)
	if u == nil || !now.Before(u.held) {
		return false
	}
	_, leaves := c.leaving[s]
	return !leaves
}

// Clear reports whether the target surely holds nothing at an instant, and is
// not being asked to.
func (c *Core) Clear(now mono.Time) bool {
	if len(c.leaving) > 0 {
		return false
	}
	for _, u := range c.units {
		if u.calling || now.Before(u.bound) {
			return false
		}
	}
	return true
}

// Units returns the number of units.
func (c *Core) Units() int {
	return len(c.units)
}

func (c *Core) unitOf(s key.Slice) *unit {
	for _, u := range c.units {
		if u.grant.Range.Has(s) {
			return u
		}
	}
	return nil
}

// Tick asks for what is due.
func (c *Core) Tick(now mono.Time, out *Actions) {
	c.form(now)
	for _, n := range slices.Sorted(maps.Keys(c.units)) {
		c.renew(now, c.units[n], out)
	}
	c.release(now, out)
}

// form makes units of the slices that are wanted: runs of neighbours of one
// epoch and one token.
func (c *Core) form(now mono.Time) {
	var ready []Held
	for s, w := range c.wanted {
		if c.mayGrant(now, s, w) {
			ready = append(ready, Held{Slice: s, Epoch: w.epoch})
		}
	}
	slices.SortFunc(ready, compare)
	var open *unit
	for _, h := range ready {
		token := c.tokens[h]
		delete(c.tokens, h)
		delete(c.wanted, h.Slice)
		if open != nil && follows(open.grant, h, token) {
			open.grant.Range.Last = h.Slice.ID
			continue
		}
		open = c.add(now, h, token)
	}
}

// mayGrant reports whether a slice need not wait: for the token, and for the
// end of an earlier grant of it at another epoch.
func (c *Core) mayGrant(now mono.Time, s key.Slice, w *want) bool {
	if old := c.unitOf(s); old != nil {
		if old.calling {
			return false
		}
		c.split(old, s)
	}
	if w.fresh || now.Sub(w.since) >= c.cfg.TokenWait {
		return true
	}
	_, ok := c.tokens[Held{Slice: s, Epoch: w.epoch}]
	return ok
}

func follows(g Grant, h Held, token string) bool {
	return g.Range.App == h.Slice.App && g.Range.Last+1 == h.Slice.ID && g.Epoch == h.Epoch && g.Token == token
}

func (c *Core) add(now mono.Time, h Held, token string) *unit {
	c.last++
	u := &unit{
		grant: Grant{
			Unit:  c.last,
			Range: Range{App: h.Slice.App, First: h.Slice.ID, Last: h.Slice.ID},
			Epoch: h.Epoch,
			Token: token,
		},
		held:  mono.Never,
		bound: mono.Never,
		due:   now,
	}
	c.units[c.last] = u
	return u
}

// renew asks for a unit's grant if it is due and the lease allows one.
func (c *Core) renew(now mono.Time, u *unit, out *Actions) {
	if u.calling || now.Before(u.due) || c.leavingIn(u.grant.Range) {
		return
	}
	hold := c.hold(now)
	if hold < c.cfg.MinHold {
		return
	}
	u.calling = true
	u.sentAt = now
	u.grant.Hold = hold
	out.Grants = append(out.Grants, u.grant)
}

// hold is how long a grant that is sent now may last: a target whose clock
// runs slow must still end it before the lease.
func (c *Core) hold(now mono.Time) time.Duration {
	left := c.lease.Sub(now) - c.cfg.Slack
	safe := time.Duration(float64(left) / (1 + c.cfg.Drift))
	return min(safe.Truncate(time.Millisecond), c.cfg.MaxHold)
}

// Answered takes the answer to a grant.
func (c *Core) Answered(now mono.Time, number uint64, a Answer, out *Actions) {
	u := c.units[number]
	if u == nil || !u.calling {
		return
	}
	u.calling = false
	switch a {
	case Taken:
		u.held = u.sentAt.Add(u.grant.Hold)
		u.grant.Renewal = true
		u.bound = latest(u.bound, c.boundOf(now, u))
		u.due = u.sentAt.Add(u.grant.Hold / 2)
	case Unanswered:
		u.unanswered = true
		u.bound = latest(u.bound, c.boundOf(now, u))
		u.due = now.Add(c.cfg.Retry)
	case Refused:
		c.refuse(u, out)
	default:
		u.due = now.Add(c.cfg.Retry)
	}
}

// refuse takes a unit out that the target knows a higher epoch of: asking
// again at the same one is of no use.
func (c *Core) refuse(u *unit, out *Actions) {
	delete(c.units, u.grant.Unit)
	r := u.grant.Range
	for id := r.First; id <= r.Last; id++ {
		out.Refused = append(out.Refused, Held{Slice: key.Slice{App: r.App, ID: id}, Epoch: u.grant.Epoch})
	}
}

// boundOf is until when a call that ended now may keep the target holding.
func (c *Core) boundOf(now mono.Time, u *unit) mono.Time {
	slow := time.Duration(float64(u.grant.Hold) * (1 + c.cfg.Drift))
	return now.Add(slow)
}

func (c *Core) leavingIn(r Range) bool {
	for s := range c.leaving {
		if r.Has(s) {
			return true
		}
	}
	return false
}

// split takes a slice out of its unit; what stays on both sides goes on.
func (c *Core) split(u *unit, s key.Slice) {
	r := u.grant.Range
	if s.ID < r.Last {
		c.last++
		after := *u
		after.grant.Unit = c.last
		after.grant.Range.First = s.ID + 1
		after.settle()
		c.units[c.last] = &after
	}
	if s.ID == r.First {
		delete(c.units, u.grant.Unit)
		return
	}
	u.grant.Range.Last = s.ID - 1
}

// settle ends the wait for the answer to a call: it will be given to another
// unit, so that here the call counts as unanswered.
func (u *unit) settle() {
	if !u.calling {
		return
	}
	u.calling = false
	u.unanswered = true
	u.bound = latest(u.bound, u.sentAt.Add(2*u.grant.Hold))
}
