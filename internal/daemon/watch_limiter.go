package daemon

import (
	"time"

	"github.com/rhubarbring/rhubarbring/mono"
)

const (
	// watchBurst watches of one kind may follow each other without delay; after
	// that, watchRate per second, unless the settings name another rate. A
	// single change is therefore not delayed, and a burst of changes reaches a
	// relay in batches.
	watchBurst = 4
	watchRate  = 2.0
	// writtenWatchRate is the rate for the kinds that daemons write. Their writers
	// send each version to the relays, so that a watch only brings what was lost.
	writtenWatchRate = 0.5
	// recordWatchRate is the rate for session records in a large fleet, whose
	// writers do not send them.
	recordWatchRate = 10.0
)

// watchLimiter limits the rate of watches with a token bucket, one token for
// each watch.
type watchLimiter struct {
	rate   float64 // tokens per second
	tokens float64
	last   mono.Time
}

// reserve takes a token and returns how long the watch must wait for it.
func (p *watchLimiter) reserve(now mono.Time) time.Duration {
	if p.last == 0 {
		p.tokens = watchBurst
	}
	earned := now.Sub(p.last).Seconds() * p.rate
	p.tokens = min(p.tokens+earned, watchBurst) - 1
	p.last = now
	if p.tokens >= 0 {
		return 0
	}
	return time.Duration(-p.tokens / p.rate * float64(time.Second))
}
