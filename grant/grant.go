// Package grant keeps a target informed of the slices that it holds, for
// targets that hold keys themselves for a limited time.
//
// Such a target runs a request only while it holds the request's slice. The
// daemon beside it is the only one that can reach it, and grants it what the
// session owns: package handover says which slices those are. A grant ends by
// itself, never later than the session's lease, so that a target is never left
// holding what another may get.
//
// Neighbouring slices that are granted together, at one epoch, make a unit
// that is renewed by one call. A call whose answer is lost may take effect
// late; what it could cover counts as held until the time that it named is
// over, counted from its end as the daemon saw it.
package grant

import (
	"time"

	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/mono"
)

// Range is a run of neighbouring slices of one app, both ends included.
type Range struct {
	App   key.App
	First key.SliceID
	Last  key.SliceID
}

// Has reports whether a slice is in the range.
func (r Range) Has(s key.Slice) bool {
	return r.App == s.App && r.First <= s.ID && s.ID <= r.Last
}

// Grant asks a target to hold a range for a time, counted from when the call
// arrives.
type Grant struct {
	// Unit numbers the unit; the answer is given back with it.
	Unit  uint64
	Range Range
	Epoch uint64
	Hold  time.Duration
	// Renewal says that the target took an earlier grant of the unit.
	Renewal bool
	// Token is what the last holder gave away on its release; empty if it is
	// not known.
	Token string
}

// Release asks a target to give a range up. It answers when nothing of the
// range runs any more.
type Release struct {
	Range Range
	Epoch uint64
}

// Answer is a target's answer to a call.
type Answer uint8

// The answers.
const (
	// Taken: the target did as asked.
	Taken Answer = iota + 1
	// Refused: the target knows a higher epoch, or can't read the call.
	Refused
	// Unanswered: the call may take effect, now or later.
	Unanswered
	// Unsent: the call never left.
	Unsent
)

// String returns the answer as it stands in logs.
func (a Answer) String() string {
	switch a {
	case Taken:
		return "taken"
	case Refused:
		return "refused"
	case Unanswered:
		return "unanswered"
	case Unsent:
		return "unsent"
	}
	return "unknown"
}

// Config sets a Core up.
type Config struct {
	// MaxHold is the longest time that a target takes a grant for.
	MaxHold time.Duration
	// Drift is the part by which a target's clock may run slow.
	Drift float64
	// Slack is taken off a grant for the way to the target.
	Slack time.Duration
	// MinHold is the shortest grant that is worth a call.
	MinHold time.Duration
	// Retry is the pause after a call that failed.
	Retry time.Duration
	// TokenWait is how long a slice that another session gave away waits for
	// the token of its release.
	TokenWait time.Duration
}

// DefaultConfig returns the settings of a daemon that has none of its own.
func DefaultConfig() Config {
	return Config{
		MaxHold:   10 * time.Second,
		Drift:     0.02,
		Slack:     20 * time.Millisecond,
		MinHold:   200 * time.Millisecond,
		Retry:     100 * time.Millisecond,
		TokenWait: 50 * time.Millisecond,
	}
}

// Actions are the calls that the shell makes. Calls of one unit follow each
// other: none is asked for before the one before it was answered.
type Actions struct {
	Grants   []Grant
	Releases []Release
	// Released are slices that the target surely does not hold any more.
	Released []Ended
	// Refused are slices that the target knows a higher epoch of. The session
	// must own them at another epoch before they can be granted.
	Refused []Held
}

// Reset empties the actions and keeps their memory.
func (a *Actions) Reset() {
	a.Grants = a.Grants[:0]
	a.Releases = a.Releases[:0]
	a.Released = a.Released[:0]
	a.Refused = a.Refused[:0]
}

// Ended is a slice that the target gave up, with the token of its release.
type Ended struct {
	Slice key.Slice
	Epoch uint64
	Token string
}

// Held is a slice and the epoch that the session owns it at.
type Held struct {
	Slice key.Slice
	Epoch uint64
}

// compare orders slices by app and number.
func compare(a, b Held) int {
	if a.Slice.App != b.Slice.App {
		if a.Slice.App < b.Slice.App {
			return -1
		}
		return 1
	}
	return int(int64(a.Slice.ID) - int64(b.Slice.ID))
}

// latest returns the later of two instants.
func latest(a, b mono.Time) mono.Time {
	return max(a, b)
}
