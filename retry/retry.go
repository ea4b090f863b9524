// Package retry bounds how much a daemon adds to the load by sending again:
// a budget that grows with first sendings, and pauses with jitter.
package retry

import (
	"math/rand/v2"
	"time"
)

// Config sets the budget and the pauses.
type Config struct {
	// Ratio is how many retries each first sending pays for, such as 0.1.
	Ratio float64 `json:"ratio"`
	// Burst is how many retries can be saved up. The budget starts full.
	Burst float64 `json:"burst"`
	// Base is the mean of the first pause.
	Base time.Duration `json:"base"`
	// Max bounds every pause.
	Max time.Duration `json:"max"`
}

// DefaultConfig returns the settings of a daemon that has none of its own.
func DefaultConfig() Config {
	return Config{Ratio: 0.1, Burst: 200, Base: 5 * time.Millisecond, Max: 200 * time.Millisecond}
}

// Budget counts the retries that a daemon may still make. Retries stop adding
// load when most sendings fail: in the long run there are at most Ratio
// retries for each first sending.
type Budget struct {
	ratio  float64
	burst  float64
	tokens float64
}

// NewBudget returns a full budget.
func NewBudget(c Config) *Budget {
	return &Budget{ratio: c.Ratio, burst: c.Burst, tokens: c.Burst}
}

// Deposit counts a first sending.
func (b *Budget) Deposit() {
	b.tokens = min(b.tokens+b.ratio, b.burst)
}

// Spend takes one retry from the budget and reports whether there was one.
func (b *Budget) Spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Left returns the retries that are left.
func (b *Budget) Left() float64 {
	return b.tokens
}

// Backoff draws the pauses between sendings.
type Backoff struct {
	base time.Duration
	max  time.Duration
	rnd  *rand.Rand
}

// NewBackoff returns a Backoff whose pauses follow from the seed.
func NewBackoff(c Config, seed uint64) *Backoff {
	return &Backoff{base: c.Base, max: c.Max, rnd: rand.New(rand.NewPCG(seed, streamBackoff))}
}

const streamBackoff = 0x72657472 // keeps this stream apart from others of the same seed

// maxDoublings keeps the shift within a Duration.
const maxDoublings = 16

// Pause returns the pause before sending number attempt, the first retry
// being 2: between half and one and a half times Base, doubled with each
// further attempt, at most Max.
func (b *Backoff) Pause(attempt uint32) time.Duration {
	doublings := min(max(int(attempt)-2, 0), maxDoublings)
	mean := min(b.base<<doublings, b.max)
	if mean <= 0 {
		return 0
	}
	return min(mean/2+time.Duration(b.rnd.Int64N(int64(mean)+1)), b.max)
}
