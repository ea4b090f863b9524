// Package targetinstance decides which announcements come from the instance of
// the target that is running now. Each start of a target is a new instance,
// which knows nothing of the one before. Announcements of an earlier instance
// may arrive late.
package targetinstance

import (
	"time"

	"github.com/rhubarbring/rhubarbring/mono"
)

// silentAfter is how long the current instance must be silent before one with
// an earlier start time replaces it. Start times are not always in order, since
// the wall clock can jump back.
const silentAfter = 2500 * time.Millisecond

// Announcement is what an announcement says about its sender's instance.
type Announcement struct {
	// ID is the target's own name. A later instance may use it again.
	ID string
	// StartedMs is when the instance started by the target's wall clock, in
	// milliseconds since 1970, or 0 if it is not given.
	StartedMs int64
	// Sequence increases with each announcement of an instance.
	Sequence uint64
}

// Verdict classifies an announcement.
type Verdict uint8

const (
	// Current is the newest announcement of the current instance.
	Current Verdict = iota + 1
	// NewInstance is from a new instance, which replaces the current one.
	NewInstance
	// Stale is not newer than one received before, or is from an earlier
	// instance.
	Stale
)

// Tracker tracks the current instance of a target. The zero Tracker knows none.
// It is not safe for concurrent use.
type Tracker struct {
	known     bool
	current   Announcement
	lastNewAt mono.Time
	leaving   bool
}

// Observe classifies an announcement and updates the current instance. A later
// start time replaces the current instance at once. An equal or earlier one of
// another instance replaces it only if the current one has sent nothing new
// for silentAfter.
func (t *Tracker) Observe(now mono.Time, a Announcement) Verdict {
	switch {
	case !t.known:
		return t.replace(now, a)
	case a.ID == t.current.ID && a.StartedMs == t.current.StartedMs:
		return t.refresh(now, a)
	case a.StartedMs > t.current.StartedMs:
		return t.replace(now, a)
	case now.Sub(t.lastNewAt) >= silentAfter:
		return t.replace(now, a)
	}
	return Stale
}

// replace makes the sender of an announcement the current instance.
func (t *Tracker) replace(now mono.Time, a Announcement) Verdict {
	*t = Tracker{known: true, current: a, lastNewAt: now}
	return NewInstance
}

// refresh handles an announcement of the current instance.
func (t *Tracker) refresh(now mono.Time, a Announcement) Verdict {
	if a.Sequence <= t.current.Sequence {
		return Stale
	}
	t.current.Sequence = a.Sequence
	t.lastNewAt = now
	return Current
}

// MarkLeaving marks the current instance as about to end, if it has the given ID,
// and reports whether it has. An instance that leaves does not come back, so the
// mark stays until another instance replaces it.
func (t *Tracker) MarkLeaving(id string) bool {
	if !t.known || t.current.ID != id {
		return false
	}
	t.leaving = true
	return true
}

// Leaving reports whether the current instance is about to end.
func (t *Tracker) Leaving() bool {
	return t.leaving
}
