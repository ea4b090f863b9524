package entry

import "sync"

const (
	// longBodyShare is the part of a budget, one in so many, above which a body is
	// long.
	longBodyShare = 16
	// shortBodyReserve is the part of a budget, one in so many, that long bodies
	// leave to others.
	shortBodyReserve = 4
)

// bodyBudget bounds the sum of the request bodies in memory. It is safe for
// concurrent use.
type bodyBudget struct {
	limit int // 0: no bound
	mu    sync.Mutex
	sum   int
}

// reserve adds the bytes by which a body grows to the sum, if that stays within the
// budget, and reports whether it did. The length is that of the body afterwards.
func (b *bodyBudget) reserve(bytes, length int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.limit > 0 && b.sum+bytes > b.ceiling(length) {
		return false
	}
	b.sum += bytes
	return true
}

// ceiling returns how far the sum may rise with a body of a length.
func (b *bodyBudget) ceiling(length int) int {
	if length > b.limit/longBodyShare {
		return b.limit - b.limit/shortBodyReserve
	}
	return b.limit
}

// longest returns the length, up to a limit, of the longest body for which there is
// room if there is no other.
func (b *bodyBudget) longest(limit int) int {
	if b.limit == 0 {
		return limit
	}
	return min(limit, b.ceiling(limit))
}

// release takes bytes off the sum that were reserved.
func (b *bodyBudget) release(bytes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sum -= bytes
}

// used returns the sum.
func (b *bodyBudget) used() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.sum
}
