// Package retry limits the load that a daemon adds by retries: a budget that
// grows with the number of first attempts, and an exponential backoff with
// jitter.
package retry

import (
	"math/rand/v2"
	"time"
)

// Config configures the budget and the backoff.
type Config struct {
	// Ratio is the number of retries that each first attempt adds to the
	// budget, such as 0.1.
	Ratio float64 `json:"ratio"`
	// Burst is the largest number of retries that the budget can hold. It
	// starts full.
	Burst float64 `json:"burst"`
	// Base is the mean delay before the first retry.
	Base time.Duration `json:"base"`
	// Max bounds every delay.
	Max time.Duration `json:"max"`
}

// DefaultConfig returns the settings that apply if none are configured.
func DefaultConfig() Config {
	return Config{Ratio: 0.1, Burst: 200, Base: 5 * time.Millisecond, Max: 200 * time.Millisecond}
}

// Budget is a token bucket of retries. It keeps retries from multiplying the
// load when most attempts fail: in the long run there are at most Ratio retries
// for each first attempt. It is not safe for concurrent use.
type Budget struct {
	ratio  float64
	burst  float64
	tokens float64
}

// NewBudget returns a full budget.
func NewBudget(c Config) *Budget {
	return &Budget{ratio: c.Ratio, burst: c.Burst, tokens: c.Burst}
}

// Deposit counts a first attempt: it adds Ratio retries, up to Burst.
func (b *Budget) Deposit() {
	b.tokens = min(b.tokens+b.ratio, b.burst)
}

// Spend takes one retry from the budget. It returns false if none was left.
func (b *Budget) Spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Remaining returns the number of retries in the budget, which may be fractional.
func (b *Budget) Remaining() float64 {
	return b.tokens
}

// Backoff computes the delays before retries.
type Backoff struct {
	base time.Duration
	max  time.Duration
	rnd  *rand.Rand
}

// NewBackoff returns a Backoff whose delays are determined by the seed.
func NewBackoff(c Config, seed uint64) *Backoff {
	return &Backoff{base: c.Base, max: c.Max, rnd: rand.New(rand.NewPCG(seed, backoffStream))}
}

// backoffStream keeps the random numbers of a Backoff apart from those of other
// generators with the same seed.
const backoffStream = 0x72657472

// maxDoublings keeps the shift from overflowing a Duration.
const maxDoublings = 16

// Delay returns the delay before an attempt; the first retry is attempt 2. The
// delay is drawn from 0.5 to 1.5 times its mean. The mean is Base for the first
// retry and doubles with each further one; mean and delay are at most Max.
func (b *Backoff) Delay(attempt uint32) time.Duration {
	doublings := min(max(int(attempt)-2, 0), maxDoublings)
	mean := min(b.base<<doublings, b.max)
	if mean <= 0 {
		return 0
	}
	return min(mean/2+time.Duration(b.rnd.Int64N(int64(mean)+1)), b.max)
}
