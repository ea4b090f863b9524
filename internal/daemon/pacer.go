package daemon

import (
	"time"

	"github.com/rhubarbring/rhubarbring/mono"
)

const (
	// watchBurst watches of a kind may follow each other at once; after that
	// watchRate a second may, unless the settings name another rate. A change that comes alone is not delayed, and a
	// storm of changes reaches a relay in batches.
	watchBurst = 4
	watchRate  = 2.0
)

// pacer spaces out calls: a bucket of tokens, one for each call.
type pacer struct {
	rate   float64 // calls a second
	tokens float64
	last   mono.Time
}

// delay takes a token and returns how long the call must wait for it.
func (p *pacer) delay(now mono.Time) time.Duration {
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
