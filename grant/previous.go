package grant

import (
	"time"

	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/mono"
)

// Previous tracks what an instance of a target may still hold after another one has
// replaced it. The announcement of the other one does not prove that the process has
// ended: it may have closed its listener and run on. It is granted nothing more. A
// slice counts as held until the instance has answered its release, until its grants
// have surely expired, or until its process is known to have ended. A Previous must be
// used by one goroutine.
type Previous struct {
	core  previousCore
	calls *Core // nil if the instance was granted its slices with heartbeats.
	// released holds the slices that the instance gave up, or whose time was over.
	released map[key.Slice]struct{}
	// heldUntil is until when the instance may hold anything, as of when it was
	// replaced; Never if it held nothing then.
	heldUntil    mono.Time
	processEnded bool
}

// previousCore is a *Core or a *HeartbeatCore.
type previousCore interface {
	retire()
	RequestRelease(now mono.Time, s key.Slice, epoch uint64)
	Tick(now mono.Time, out *Actions)
	// mayStillHold reports whether the target may hold a slice.
	mayStillHold(now mono.Time, s key.Slice) bool
	// mayHoldAnyUntil returns until when the target may hold any slice.
	mayHoldAnyUntil(now mono.Time) mono.Time
}

// NewPrevious returns a Previous for an instance that was granted slices by calls. It
// takes the core over.
func NewPrevious(now mono.Time, c *Core) *Previous {
	p := newPrevious(now, c)
	p.calls = c
	return p
}

// NewPreviousByHeartbeats returns a Previous for an instance that was granted slices
// with heartbeats. It takes the core over.
func NewPreviousByHeartbeats(now mono.Time, c *HeartbeatCore) *Previous {
	return newPrevious(now, c)
}

func newPrevious(now mono.Time, c previousCore) *Previous {
	c.retire()
	p := &Previous{core: c, released: make(map[key.Slice]struct{}), heldUntil: c.mayHoldAnyUntil(now)}
	if !now.Before(p.heldUntil) {
		p.heldUntil = mono.Never
	}
	return p
}

// HeldFor returns for how long the instance may hold slices at most.
func (p *Previous) HeldFor(now mono.Time) time.Duration {
	return max(p.heldUntil.Sub(now), 0)
}

// MayHold reports whether the instance may hold a slice.
func (p *Previous) MayHold(now mono.Time, s key.Slice) bool {
	if _, released := p.released[s]; released || p.processEnded {
		return false
	}
	return p.core.mayStillHold(now, s)
}

// RequestRelease requests the release of a slice. The slice appears in
// Actions.Released once the instance certainly does not hold it.
func (p *Previous) RequestRelease(now mono.Time, s key.Slice, epoch uint64) {
	p.core.RequestRelease(now, s, epoch)
}

// Tick adds the releases that are due to out, and the slices whose time is over. It
// adds nothing once the process is known to have ended.
func (p *Previous) Tick(now mono.Time, processEnded bool, out *Actions) {
	p.processEnded = p.processEnded || processEnded
	if p.processEnded {
		return
	}
	p.core.Tick(now, out)
	p.record(out)
}

// GrantAnswered handles the answer to a grant that was sent before the instance was
// replaced.
func (p *Previous) GrantAnswered(now mono.Time, unit uint64, a Answer, out *Actions) {
	p.calls.GrantAnswered(now, unit, a, out)
}

// ReleaseAnswered handles the answer to a release.
func (p *Previous) ReleaseAnswered(now mono.Time, r Release, token string, a Answer, out *Actions) {
	p.calls.ReleaseAnswered(now, r, token, a, out)
	p.record(out)
}

func (p *Previous) record(out *Actions) {
	for _, e := range out.Released {
		p.released[e.Slice] = struct{}{}
	}
}

// PreviousEnd is the reason for which a replaced instance holds nothing any more.
type PreviousEnd uint8

const (
	// StillHeld means that the instance may hold slices.
	StillHeld PreviousEnd = iota
	// NothingHeld means that the instance held nothing when it was replaced.
	NothingHeld
	// ProcessEnded means that the process of the instance is known to have ended.
	ProcessEnded
	// AllReleased means that the instance gave up its slices before their time.
	AllReleased
	// HoldsExpired means that the time of all grants is over.
	HoldsExpired
)

// String returns the name used in logs.
func (e PreviousEnd) String() string {
	switch e {
	case StillHeld:
		return "still_held"
	case NothingHeld:
		return "nothing_held"
	case ProcessEnded:
		return "process_ended"
	case AllReleased:
		return "released"
	case HoldsExpired:
		return "expired"
	}
	return "unknown"
}

// End returns why the instance holds nothing any more, or StillHeld.
func (p *Previous) End(now mono.Time) PreviousEnd {
	switch {
	case p.processEnded:
		return ProcessEnded
	case now.Before(p.core.mayHoldAnyUntil(now)):
		return StillHeld
	case p.heldUntil == mono.Never:
		return NothingHeld
	case now.Before(p.heldUntil):
		return AllReleased
	}
	return HoldsExpired
}

// retire ends the grants of a core whose instance was replaced. If that one had itself
// replaced another, which its announcement does not prove to have ended, then the other
// one has a Previous of its own: there is no need to hear from this one any more.
func (c *Core) retire() {
	c.leaseEnd = mono.Never
	c.unknownUntil = min(c.unknownUntil, c.unknownOnceHeard)
	clear(c.wanted)
}

func (c *Core) mayStillHold(now mono.Time, s key.Slice) bool {
	if u := c.unitOf(s); u != nil && u.call != 0 {
		return true
	}
	until, _ := c.mayHold(s)
	return now.Before(until)
}

func (c *Core) mayHoldAnyUntil(now mono.Time) mono.Time {
	until := c.unknownUntil
	for _, u := range c.units {
		until = latest(until, u.mayHoldUntil)
		if u.call != 0 {
			until = latest(until, now.Add(c.cfg.longestHold(u.grant.Hold)))
		}
	}
	for _, d := range c.dropped {
		until = latest(until, d.mayHoldUntil)
	}
	return until
}

// retire ends the grants of a core whose instance was replaced.
func (c *HeartbeatCore) retire() {
	c.leaseEnd = mono.Never
}

func (c *HeartbeatCore) mayStillHold(now mono.Time, s key.Slice) bool {
	h := c.holdings[s]
	if h == nil {
		h = c.newHolding(s, 0)
	}
	return now.Before(h.mayHoldUntil)
}

func (c *HeartbeatCore) mayHoldAnyUntil(mono.Time) mono.Time {
	until := c.unknownUntil
	if len(c.lastHeld) > 0 {
		until = latest(until, c.lastHeldAt.Add(c.cfg.LongestHold()))
	}
	for _, h := range c.holdings {
		until = latest(until, h.mayHoldUntil)
	}
	return until
}
