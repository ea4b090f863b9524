// Package targetinstance decides which announcements come from the incarnation of
// the target that is running now. Each start of a target is a new incarnation,
// which knows nothing of the one before. Announcements of an earlier incarnation
// may arrive late.
package targetinstance

import (
	"time"

	"github.com/rhubarbring/rhubarbring/mono"
)

// silentAfter is how long the current incarnation must be silent before one with
// an earlier start time replaces it. Start times are not always in order, since
// the wall clock can jump back.
const silentAfter = 2500 * time.Millisecond

// Announcement is what an announcement says about its sender's incarnation.
type Announcement struct {
	// ID is the target's own name. A later incarnation may use it again.
	ID string
	// StartedMs is when the incarnation started by the target's wall clock, in
	// milliseconds since 1970, or 0 if it is not given.
	StartedMs int64
	// Sequence increases with each announcement of an incarnation.
	Sequence uint64
}

// Verdict classifies an announcement.
type Verdict uint8

const (
	// Current is the newest announcement of the current incarnation.
	Current Verdict = iota + 1
	// NewInstance is from a new incarnation, which replaces the current one.
	NewInstance
	// Stale is not newer than one received before, or is from an earlier
	// incarnation.
	Stale
)

// Tracker tracks the current incarnation of a target. The zero Judge knows none.
// It is not safe for concurrent use.
type Tracker struct {
	known   bool
	current Announcement
	heardAt mono.Time
	leaving bool
}

// Observe classifies an announcement and updates the current incarnation. A later
// start time replaces the current incarnation at once. An equal or earlier one of
// another incarnation replaces it only if the current one has sent nothing new
// for silentAfter.
func (t *Tracker) Observe(now mono.Time, c Announcement) Verdict {
	switch {
	case !t.known:
		return t.replace(now, c)
	case c.ID == t.current.ID && c.StartedMs == t.current.StartedMs:
		return t.refresh(now, c)
	case c.StartedMs > t.current.StartedMs:
		return t.replace(now, c)
	case now.Sub(t.heardAt) >= silentAfter:
		return t.replace(now, c)
	}
	return Stale
}

// replace makes the sender of an announcement the current incarnation.
func (t *Tracker) replace(now mono.Time, c Announcement) Verdict {
	*t = Tracker{known: true, current: c, heardAt: now}
	return NewInstance
}

// refresh handles an announcement of the current incarnation.
func (t *Tracker) refresh(now mono.Time, c Announcement) Verdict {
	if c.Sequence <= t.current.Sequence {
		return Stale
	}
	t.current.Sequence = c.Sequence
	t.heardAt = now
	return Current
}

// MarkLeaving marks the current incarnation as about to end, if it has the given ID,
// and reports whether it has. The mark stays until another incarnation replaces
// it.
func (t *Tracker) MarkLeaving(id string) bool {
	if !t.known || t.current.ID != id {
		return false
	}
	t.leaving = true
	return true
}

// Leaving reports whether the current incarnation is about to end.
func (t *Tracker) Leaving() bool {
	return t.leaving
}
