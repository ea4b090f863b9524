package grant

import (
	"time"

	"github.com/rhubarbring/rhubarbring/mono"
)

const (
	// HoldResolution is the unit in which calls carry the duration of a grant.
	HoldResolution = time.Millisecond
	// MinHold is the shortest duration of a grant that is worth a call.
	MinHold = 200 * time.Millisecond
)

// setHold sets the duration of a call under a lease, and the ends that follow.
func (g *Grant) setHold(hold time.Duration, cfg Config, leaseEnd mono.Time) {
	g.Hold = hold
	g.LatestEnd = leaseEnd.Add(hold - cfg.longestHold(hold))
	g.Until = g.LatestEnd.Add(-cfg.Slack)
}

// HoldAt returns the duration to ask for in a call that leaves now, in whole units
// of HoldResolution, or 0 if what is left is not worth a call. The time must be
// read when nothing is left to wait for: what passed since the decision is taken off.
func (g Grant) HoldAt(now mono.Time) time.Duration {
	hold := min(g.Hold, g.Until.Sub(now)).Truncate(HoldResolution)
	if hold < MinHold {
		return 0
	}
	return hold
}

// OutlastsLease reports whether a call for the given duration that has left no later
// than at the given instant may last longer than the lease.
func (g Grant) OutlastsLease(left mono.Time, hold time.Duration) bool {
	return left.Add(hold).After(g.LatestEnd)
}
