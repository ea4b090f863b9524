// Package targetinstance decides which announcements come from the instance of
// the target that is running now. Each start of a target is a new instance,
// which knows nothing of the one before. Announcements of an earlier instance
// may arrive late, and start times are not always in order, since the wall clock
// can jump.
//
// What can't be told apart: an instance that is heard for the first time replaces
// the current one by a later start time even if its announcement is late and the
// instance has ended, for instance when the tracker has just begun. The current
// one then comes back as soon as it proves that it lives. Two instances with the
// same ID and the same start time count as one, which the wall clock makes
// possible if it jumps back by just the time between the starts: the announcements
// of the second are stale until its sequence exceeds that of the first. Every
// daemon identifies an instance by these two values, so that the tracker could not
// name the second one even if it knew of it.
package targetinstance

import (
	"slices"
	"time"

	"github.com/rhubarbring/rhubarbring/mono"
)

// silentAfter is how long the current instance must be silent before one with
// an earlier start time, or one that was replaced, replaces it.
const silentAfter = 2500 * time.Millisecond

const (
	// provingAnnouncements is how many announcements with rising sequence prove,
	// over silentAfter, that a replaced instance lives. Two may be late ones that
	// arrive apart from each other.
	provingAnnouncements = 3
	// maxReplaced is the number of replaced instances that are remembered. An
	// announcement is late by seconds, and a target takes most of a second to
	// start, so that no more than these have announcements on the way.
	maxReplaced = 8
)

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
	// replaced holds the instances that another one replaced, the latest last.
	replaced []replacedInstance
	disabled disabledChecks
}

// disabledChecks turns off single checks, so that tests of this package can show
// that each is needed.
type disabledChecks struct {
	sequence bool // An announcement of the current instance must be newer than those before.
	silence  bool // The current instance is replaced when it is silent.
	memory   bool // Replaced instances are remembered.
	proof    bool // A replaced instance must prove that it lives.
	comeback bool // A replaced instance that lives comes back.
}

// replacedInstance is an instance that another one replaced. It has ended, or the
// announcement that replaced it was a late one.
type replacedInstance struct {
	newest  Announcement
	leaving bool
	// rises is the number of announcements with rising sequence since the current
	// instance was last heard, and risesSince the time of the first.
	rises      int
	risesSince mono.Time
}

// Observe classifies an announcement and updates the current instance. An instance
// that is heard for the first time replaces the current one at once if it started
// later, and otherwise if the current one has sent nothing new for silentAfter.
// An instance that was replaced comes back only when it proves that it lives.
func (t *Tracker) Observe(now mono.Time, a Announcement) Verdict {
	if !t.known {
		return t.replace(now, a)
	}
	if a.sameInstance(t.current) {
		return t.refresh(now, a)
	}
	if i := t.indexOfReplaced(a); i >= 0 {
		return t.observeReplaced(now, a, i)
	}
	if a.StartedMs > t.current.StartedMs || t.isSilent(now) {
		return t.replace(now, a)
	}
	return Stale
}

// sameInstance reports whether two announcements name the same instance.
func (a Announcement) sameInstance(b Announcement) bool {
	return a.ID == b.ID && a.StartedMs == b.StartedMs
}

// isSilent reports whether the current instance has sent nothing new for
// silentAfter.
func (t *Tracker) isSilent(now mono.Time) bool {
	return now.Sub(t.lastNewAt) >= silentAfter && !t.disabled.silence
}

// replace makes the sender of an announcement the current instance.
func (t *Tracker) replace(now mono.Time, a Announcement) Verdict {
	if t.known {
		t.rememberCurrent()
	}
	t.known = true
	t.current = a
	t.lastNewAt = now
	t.leaving = false
	return NewInstance
}

// rememberCurrent adds the current instance to the replaced ones and forgets the
// one that was replaced first if there are too many.
func (t *Tracker) rememberCurrent() {
	if t.disabled.memory {
		return
	}
	if len(t.replaced) == maxReplaced {
		t.replaced = slices.Delete(t.replaced, 0, 1)
	}
	t.replaced = append(t.replaced, replacedInstance{newest: t.current, leaving: t.leaving})
}

// refresh handles an announcement of the current instance.
func (t *Tracker) refresh(now mono.Time, a Announcement) Verdict {
	if a.Sequence <= t.current.Sequence && !t.disabled.sequence {
		return Stale
	}
	t.current.Sequence = a.Sequence
	t.lastNewAt = now
	return Current
}

// indexOfReplaced returns the index of the replaced instance that sent an
// announcement, or -1.
func (t *Tracker) indexOfReplaced(a Announcement) int {
	return slices.IndexFunc(t.replaced, func(r replacedInstance) bool { return r.newest.sameInstance(a) })
}

// observeReplaced handles an announcement of a replaced instance.
func (t *Tracker) observeReplaced(now mono.Time, a Announcement, index int) Verdict {
	r := &t.replaced[index]
	if a.Sequence <= r.newest.Sequence {
		return Stale
	}
	r.newest.Sequence = a.Sequence
	r.countRise(now, t.lastNewAt)
	if !t.hasProvedLife(now, r) {
		return Stale
	}
	leaving := r.leaving
	t.replaced = slices.Delete(t.replaced, index, index+1)
	t.replace(now, a)
	t.leaving = leaving
	return NewInstance
}

// countRise counts an announcement with rising sequence. The count begins anew
// whenever the current instance is heard.
func (r *replacedInstance) countRise(now, currentHeardAt mono.Time) {
	if r.rises == 0 || !r.risesSince.After(currentHeardAt) {
		r.rises = 0
		r.risesSince = now
	}
	r.rises++
}

// hasProvedLife reports whether a replaced instance announced itself again and
// again for silentAfter, during which the current one was silent. Late
// announcements of an instance that has ended come at once or soon run out.
func (t *Tracker) hasProvedLife(now mono.Time, r *replacedInstance) bool {
	if t.disabled.comeback {
		return false
	}
	if t.disabled.proof {
		return t.isSilent(now)
	}
	return r.rises >= provingAnnouncements && now.Sub(r.risesSince) >= silentAfter
}

// Departure is what an instance says of itself when it is about to end. StartedMs
// is 0 if it is not given.
type Departure struct {
	ID        string
	StartedMs int64
}

// MarkLeaving marks the current instance as about to end, if the departure is its
// own, and reports whether it is. An instance that leaves stays marked, also if
// another one replaces it and it comes back.
func (t *Tracker) MarkLeaving(d Departure) bool {
	if !t.known || !d.isOf(t.current) {
		return false
	}
	t.leaving = true
	return true
}

// isOf reports whether a departure is of the instance that sent an announcement.
// The ID decides if the start time is not given.
func (d Departure) isOf(a Announcement) bool {
	return d.ID == a.ID && (d.StartedMs == 0 || d.StartedMs == a.StartedMs)
}

// Leaving reports whether the current instance is about to end.
func (t *Tracker) Leaving() bool {
	return t.leaving
}
