package balance

import (
	"time"

	"github.com/rhubarbring/rhubarbring/mono"
)

// Purpose classifies the bytes that cross the link between regions.
type Purpose uint8

// The purposes of bytes on the link.
const (
	Requests Purpose = iota
	Answers
	Control
	purposeCount
)

var purposeNames = [...]string{"requests", "answers", "control"}

// String returns the purpose's name as used in metrics.
func (p Purpose) String() string {
	return purposeNames[p]
}

// LinkConfig is a daemon's share of the link between regions.
type LinkConfig struct {
	// BytesPerSecond is the rate of the share; Burst is the number of bytes
	// that can accumulate unused.
	BytesPerSecond float64 `json:"bytes_per_second"`
	Burst          float64 `json:"burst"`
}

// LinkBudget is a token bucket for a daemon's share of the link between
// regions. It counts the bytes by purpose and limits the requests. A request
// reserves the expected bytes of its answer, which come later. Answers and
// control messages can't be refused: they are charged even if that makes the
// bucket negative, and requests are refused until it has refilled.
type LinkBudget struct {
	cfg        LinkConfig
	tokens     float64
	refilledAt mono.Time
	bytes      [purposeCount]uint64
	// reserved is the sum of the bytes that are reserved for the answers to
	// awaited requests.
	reserved float64
	awaited  int
}

// NewLink returns a LinkBudget with a full bucket.
func NewLink(cfg LinkConfig, now mono.Time) *LinkBudget {
	return &LinkBudget{cfg: cfg, tokens: cfg.Burst, refilledAt: now}
}

// SetShare changes the share. Accumulated bytes are kept up to the new burst.
func (l *LinkBudget) SetShare(now mono.Time, cfg LinkConfig) {
	l.refill(now)
	l.cfg = cfg
	l.tokens = min(l.tokens, cfg.Burst)
}

// Take charges n bytes of a request, reserves the expected bytes of the answer
// and returns true if the bucket holds as much. A request larger than the burst
// is let through once the bucket is full, so that a small share delays it but
// never blocks it for good; the bucket is negative afterwards. Settle must be
// called once the request has ended.
func (l *LinkBudget) Take(now mono.Time, n, answer int) bool {
	if !l.hasRoom(now, n, answer) {
		return false
	}
	l.tokens -= float64(n + answer)
	l.reserved += float64(answer)
	l.awaited++
	l.bytes[Requests] += uint64(n)
	return true
}

// hasRoom reports whether Take would succeed.
func (l *LinkBudget) hasRoom(now mono.Time, n, answer int) bool {
	l.refill(now)
	return l.tokens >= min(float64(n+answer), l.cfg.Burst)
}

// Settle charges the bytes of an answer in place of what was reserved for one.
// The reservations of all awaited requests count as equal.
func (l *LinkBudget) Settle(now mono.Time, n int) {
	l.Charge(now, Answers, n)
	if l.awaited == 0 {
		return
	}
	part := l.reserved / float64(l.awaited)
	l.awaited--
	l.reserved -= part
	l.tokens = min(l.tokens+part, l.cfg.Burst)
}

// Charge charges bytes that can't be refused.
func (l *LinkBudget) Charge(now mono.Time, p Purpose, n int) {
	l.refill(now)
	l.tokens -= float64(n)
	l.bytes[p] += uint64(n)
}

// Bytes returns the total of bytes charged for a purpose.
func (l *LinkBudget) Bytes(p Purpose) uint64 {
	return l.bytes[p]
}

func (l *LinkBudget) refill(now mono.Time) {
	earned := float64(now.Sub(l.refilledAt)) / float64(time.Second) * l.cfg.BytesPerSecond
	l.tokens = min(l.tokens+earned, l.cfg.Burst)
	l.refilledAt = now
}
