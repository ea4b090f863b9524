// Package targetlife tells which announcements speak for the target that runs
// now. A target that restarts is another life of it, which knows nothing of the
// one before; announcements of an earlier life may arrive late.
package targetlife

import (
	"time"

	"github.com/rhubarbring/rhubarbring/mono"
)

// silentAfter is how long a life must be silent before one that dates its start
// earlier is believed: clocks of day jump.
const silentAfter = 2500 * time.Millisecond

// Claim is what an announcement says of its sender's life.
type Claim struct {
	// ID is the target's own name; it may be used again by a later life.
	ID string
	// StartedMs is when the life began by the target's clock, in milliseconds
	// since 1970; 0 if it does not say.
	StartedMs int64
	// Sequence rises with each announcement of a life.
	Sequence uint64
}

// Verdict says what an announcement is worth.
type Verdict uint8

// The verdicts.
const (
	// Current: it is the newest of the life that runs.
	Current Verdict = iota + 1
	// NewLife: its sender replaces the life known so far.
	NewLife
	// Stale: it is older than another, or of an earlier life.
	Stale
)

// Judge remembers the life that runs. It is used by one thread.
type Judge struct {
	known   bool
	life    Claim
	heardAt mono.Time
	leaving bool
}

// Take judges an announcement.
func (j *Judge) Take(now mono.Time, c Claim) Verdict {
	switch {
	case !j.known:
		return j.begin(now, c)
	case c.ID == j.life.ID && c.StartedMs == j.life.StartedMs:
		return j.hear(now, c)
	case c.StartedMs > j.life.StartedMs:
		return j.begin(now, c)
	case now.Sub(j.heardAt) >= silentAfter:
		return j.begin(now, c)
	}
	return Stale
}

func (j *Judge) begin(now mono.Time, c Claim) Verdict {
	*j = Judge{known: true, life: c, heardAt: now}
	return NewLife
}

func (j *Judge) hear(now mono.Time, c Claim) Verdict {
	if c.Sequence <= j.life.Sequence {
		return Stale
	}
	j.life.Sequence = c.Sequence
	j.heardAt = now
	return Current
}

// Leave says that the life of an ID is about to end. It reports whether that is
// the life known: one that leaves does not come back.
func (j *Judge) Leave(id string) bool {
	if !j.known || j.life.ID != id {
		return false
	}
	j.leaving = true
	return true
}

// Leaving reports whether the life known is about to end.
func (j *Judge) Leaving() bool {
	return j.leaving
}
