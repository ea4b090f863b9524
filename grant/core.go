package grant

import (
	"maps"
	"slices"

	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/mono"
)

// Core decides which grants and releases are sent to a target. It must be used
// by one goroutine, and each instance of the target needs a new Core.
type Core struct {
	cfg       Config
	leaseEnd  mono.Time
	wanted    map[key.Slice]*wantedSlice
	units     map[uint64]*unit
	unitBy    map[key.Slice]*unit // The units by their slices.
	lastUnit  uint64
	tokens    tokens
	releasing map[key.Slice]pendingRelease
	// dropped holds what the target may still hold of units that were given up.
	dropped map[key.Slice]droppedGrant
	// Until unknownUntil the target may hold any slice of which this Core does not
	// know. Once the instance has answered a call, that time ends at
	// unknownOnceHeard, if that is earlier.
	unknownUntil     mono.Time
	unknownOnceHeard mono.Time
}

// wantedSlice is a slice that the session owns and that is not granted yet.
type wantedSlice struct {
	epoch      uint64
	since      mono.Time
	firstOwner bool // Nobody owned it before, so there is no token to wait for.
}

// unit is a range of slices that is granted and renewed by one call.
type unit struct {
	grant Grant
	// The target certainly holds the range until heldUntil, and may hold it
	// until mayHoldUntil.
	heldUntil    mono.Time
	mayHoldUntil mono.Time
	// call is the number of the unit whose pending call covers this one: its own, or
	// that of the unit from which it was split during the call; 0 if none is pending.
	call uint64
	// unanswered is set once the answer to a grant was lost, and stays set.
	// Until mayHoldUntil such a grant may still take effect.
	unanswered bool
	sentAt     mono.Time
	due        mono.Time
}

// pendingRelease is a slice whose release the session has requested. While a call is
// pending, callEpoch is its epoch. The token is that of an accepted call after which
// an earlier grant may still take effect.
type pendingRelease struct {
	epoch     uint64
	calling   bool
	callEpoch uint64
	token     string
	due       mono.Time
}

// New returns a Core for a target that holds nothing: an instance that started
// while this daemon was running.
func New(cfg Config) *Core {
	return &Core{
		cfg:       cfg,
		leaseEnd:  mono.Never,
		wanted:    make(map[key.Slice]*wantedSlice),
		units:     make(map[uint64]*unit),
		unitBy:    make(map[key.Slice]*unit),
		tokens:    make(tokens),
		releasing: make(map[key.Slice]pendingRelease),
		dropped:   make(map[key.Slice]droppedGrant),

		unknownUntil:     mono.Never,
		unknownOnceHeard: mono.Never,
	}
}

// SetLease sets the instant at which the session's lease expires.
func (c *Core) SetLease(until mono.Time) {
	c.leaseEnd = until
}

// SetOwned adds a slice that the session owns. At epoch 1 it has had no owner before.
func (c *Core) SetOwned(now mono.Time, p Permit) {
	s, epoch := p.slice, p.epoch
	if u := c.unitOf(s); u != nil && u.grant.Epoch == epoch {
		return
	}
	delete(c.releasing, s)
	c.wanted[s] = &wantedSlice{epoch: epoch, since: now, firstOwner: epoch <= 1}
}

// SetToken stores the token that the previous owner's target returned when it
// released a slice. The epoch is that of the grant to which the token belongs,
// one above the previous owner's.
func (c *Core) SetToken(now mono.Time, s key.Slice, epoch uint64, token string) {
	c.tokens.put(now, s, epoch, token)
}

// Revoke removes a slice that the session no longer owns and that another session
// may own already, since the lease has ended. The grants have expired with it,
// so no release is requested.
func (c *Core) Revoke(s key.Slice) {
	delete(c.wanted, s)
	delete(c.dropped, s)
	if u := c.unitOf(s); u != nil {
		c.removeSlice(u, s)
	}
}

// RequestRelease requests the release of a slice. The slice appears in
// Actions.Released once the target certainly does not hold it.
func (c *Core) RequestRelease(now mono.Time, s key.Slice, epoch uint64) {
	delete(c.wanted, s)
	if _, ok := c.releasing[s]; !ok {
		c.releasing[s] = pendingRelease{epoch: epoch, due: now}
	}
}

// Holds reports whether the target certainly holds a slice at an instant, and no
// release of it is requested.
func (c *Core) Holds(now mono.Time, s key.Slice) bool {
	u := c.unitOf(s)
	if u == nil || !now.Before(u.heldUntil) {
		return false
	}
	_, releasing := c.releasing[s]
	return !releasing
}

// HoldsNothing reports whether the target certainly holds nothing at an
// instant, and no grant or release is pending.
func (c *Core) HoldsNothing(now mono.Time) bool {
	if len(c.releasing) > 0 || now.Before(c.unknownUntil) {
		return false
	}
	for _, u := range c.units {
		if u.call != 0 || now.Before(u.mayHoldUntil) {
			return false
		}
	}
	for _, d := range c.dropped {
		if now.Before(d.mayHoldUntil) {
			return false
		}
	}
	return true
}

// Units returns the number of units, granted or about to be.
func (c *Core) Units() int {
	return len(c.units)
}

func (c *Core) unitOf(s key.Slice) *unit {
	return c.unitBy[s]
}

// Tick adds the grants and releases that are due to out.
func (c *Core) Tick(now mono.Time, out *Actions) {
	c.formUnits(now)
	for _, n := range slices.Sorted(maps.Keys(c.units)) {
		c.requestGrant(now, c.units[n], out)
	}
	c.requestReleases(now, out)
}

// formUnits puts the wanted slices that need not wait into units. A unit is a
// range of consecutive slices with the same epoch and token that the same process may
// hold.
func (c *Core) formUnits(now mono.Time) {
	var ready []SliceEpoch
	for s, w := range c.wanted {
		if c.prepareGrant(now, s, w) {
			ready = append(ready, SliceEpoch{Slice: s, Epoch: w.epoch})
		}
	}
	slices.SortFunc(ready, compareSlices)
	var current *unit
	for _, w := range ready {
		token := c.tokens.take(w)
		process := c.holder(now, w.Slice)
		delete(c.wanted, w.Slice)
		if current != nil && current.grant.Process == process && follows(current.grant, w, token) {
			current.grant.Range.Last = w.Slice.ID
			c.unitBy[w.Slice] = current
			c.inherit(now, current, w.Slice)
			continue
		}
		current = c.addUnit(now, w, token)
		current.grant.Process = process
		c.inherit(now, current, w.Slice)
	}
}

// prepareGrant removes a wanted slice from its unit at another epoch, unless a
// call of that unit is pending, and reports whether the slice can be granted now:
// no such call is pending, and the slice need not wait for a token.
func (c *Core) prepareGrant(now mono.Time, s key.Slice, w *wantedSlice) bool {
	if old := c.unitOf(s); old != nil {
		if old.call != 0 {
			return false
		}
		c.dropped[s] = old.droppedGrant()
		c.removeSlice(old, s)
	}
	if w.firstOwner || now.Sub(w.since) >= c.cfg.TokenWait {
		return true
	}
	return c.tokens.has(SliceEpoch{Slice: s, Epoch: w.epoch})
}

// follows reports whether a slice extends the grant's range by one.
func follows(g Grant, next SliceEpoch, token string) bool {
	return g.Range.App == next.Slice.App && g.Range.Last+1 == next.Slice.ID && g.Epoch == next.Epoch && g.Token == token
}

func (c *Core) addUnit(now mono.Time, s SliceEpoch, token string) *unit {
	c.lastUnit++
	u := &unit{
		grant: Grant{
			Unit:  c.lastUnit,
			Range: Range{App: s.Slice.App, First: s.Slice.ID, Last: s.Slice.ID},
			Epoch: s.Epoch,
			Token: token,
		},
		heldUntil:    mono.Never,
		mayHoldUntil: mono.Never,
		due:          now,
	}
	c.units[c.lastUnit] = u
	c.unitBy[s.Slice] = u
	return u
}

// requestGrant requests a unit's grant if it is due and the lease lasts long
// enough. It waits while a slice of the unit is to be released.
func (c *Core) requestGrant(now mono.Time, u *unit, out *Actions) {
	if u.call != 0 || now.Before(u.due) || c.hasRelease(u.grant.Range) {
		return
	}
	hold := c.cfg.holdTime(now, c.leaseEnd)
	if hold < c.cfg.MinHold {
		return
	}
	u.call = u.grant.Unit
	u.sentAt = now
	u.grant.setHold(hold, c.cfg, c.leaseEnd)
	out.Grants = append(out.Grants, u.grant)
}

// SentTo records to which process the grant of a unit was sent, 0 if it was not.
// GrantAnswered follows. The process may have the unit's epoch whatever it answers.
func (c *Core) SentTo(number, process uint64) {
	for _, u := range c.unitsOfCall(number) {
		if u.grant.Process == 0 {
			u.grant.Process = process
		}
	}
}

// TokenReturned records the token of the release that withdrew the grant of a unit.
// GrantAnswered follows.
func (c *Core) TokenReturned(number uint64, token string) {
	for _, u := range c.unitsOfCall(number) {
		if token != "" {
			u.grant.Token = token
		}
	}
}

// GrantAnswered handles the answer to the grant of a unit.
func (c *Core) GrantAnswered(now mono.Time, number uint64, a Answer, out *Actions) {
	units := c.unitsOfCall(number)
	if len(units) > 0 {
		c.heard(a)
	}
	for _, u := range units {
		c.unitAnswered(now, u, a, out)
	}
}

// unitsOfCall returns the units that the pending call of a unit covers, in the order
// of their numbers.
func (c *Core) unitsOfCall(number uint64) []*unit {
	var out []*unit
	for _, n := range slices.Sorted(maps.Keys(c.units)) {
		if u := c.units[n]; u.call != 0 && u.call == number {
			out = append(out, u)
		}
	}
	return out
}

// unitAnswered handles the answer to the call of a unit.
func (c *Core) unitAnswered(now mono.Time, u *unit, a Answer, out *Actions) {
	u.call = 0
	switch a {
	case Accepted:
		u.heldUntil = u.sentAt.Add(u.grant.Hold - HoldResolution)
		u.grant.Renewal = true
		u.mayHoldUntil = latest(u.mayHoldUntil, c.latestHoldEnd(now, u))
		u.due = u.sentAt.Add(u.grant.Hold / 2)
	case Withdrawn, Unanswered:
		if a == Withdrawn {
			u.heldUntil = mono.Never
		}
		u.unanswered = true
		u.mayHoldUntil = latest(u.mayHoldUntil, c.latestHoldEnd(now, u))
		u.due = now.Add(c.cfg.Retry)
	case Refused, OtherProcess:
		c.dropRefused(u, out)
	default:
		u.due = now.Add(c.cfg.Retry)
	}
}

// dropRefused removes a unit whose grant was refused. The target knows a higher
// epoch or cannot decode the grant, or may be another process than the one that has
// the epoch, so the same grant would fail again. It may
// still hold what it took of the unit before.
func (c *Core) dropRefused(u *unit, out *Actions) {
	delete(c.units, u.grant.Unit)
	r := u.grant.Range
	for id := r.First; id <= r.Last; id++ {
		s := key.Slice{App: r.App, ID: id}
		delete(c.unitBy, s)
		c.dropped[s] = u.droppedGrant()
		out.Refused = append(out.Refused, SliceEpoch{Slice: s, Epoch: u.grant.Epoch})
	}
}

// latestHoldEnd returns until when the target may hold a unit after a call that
// ended now, by a clock that runs slow by Config.Drift.
func (c *Core) latestHoldEnd(now mono.Time, u *unit) mono.Time {
	return now.Add(c.cfg.longestHold(u.grant.Hold))
}

// hasRelease reports whether a slice of the range is to be released.
func (c *Core) hasRelease(r Range) bool {
	if len(c.releasing) == 0 {
		return false
	}
	for id := r.First; id <= r.Last; id++ {
		if _, ok := c.releasing[key.Slice{App: r.App, ID: id}]; ok {
			return true
		}
	}
	return false
}

// removeSlice takes a slice out of its unit. The slices before it stay in the
// unit, those after it become another unit; both continue to be renewed, and both
// await the answer to a pending call.
func (c *Core) removeSlice(u *unit, s key.Slice) {
	r := u.grant.Range
	delete(c.unitBy, s)
	if s.ID < r.Last {
		c.lastUnit++
		after := *u
		after.grant.Unit = c.lastUnit
		after.grant.Range.First = s.ID + 1
		c.units[c.lastUnit] = &after
		for id := s.ID + 1; id <= r.Last; id++ {
			c.unitBy[key.Slice{App: r.App, ID: id}] = &after
		}
	}
	if s.ID == r.First {
		delete(c.units, u.grant.Unit)
		return
	}
	u.grant.Range.Last = s.ID - 1
}
