package retry_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/retry"
)

// If every attempt fails, the retries stay at a tenth of the first attempts,
// besides the burst.
func TestBudgetBoundsRetries(t *testing.T) {
	cfg := retry.DefaultConfig()
	b := retry.NewBudget(cfg)
	const firsts = 10000
	retries := 0
	for range firsts {
		b.Deposit()
		for b.Spend() {
			retries++
		}
	}
	must.Between(t, firsts/10, retries, firsts/10+int(cfg.Burst))
}

func TestDelayStaysWithinBoundsAndFollowsSeed(t *testing.T) {
	cfg := retry.Config{Base: 10 * time.Millisecond, Max: 100 * time.Millisecond}
	b := retry.NewBackoff(cfg, 1)
	for attempt := uint32(2); attempt < 60; attempt++ {
		delay := b.Delay(attempt)
		must.Between(t, cfg.Base/2, delay, cfg.Max)
	}
	sameSeed := retry.NewBackoff(cfg, 1)
	must.Eq(t, retry.NewBackoff(cfg, 1).Delay(3), sameSeed.Delay(3))
}
