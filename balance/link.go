package balance

import (
	"time"

	"github.com/rhubarbring/rhubarbring/mono"
)

// Purpose is what bytes cross the link between regions for.
type Purpose uint8

// The purposes.
const (
	Requests Purpose = iota
	Answers
	Control
	purposes
)

var purposeNames = [...]string{"requests", "answers", "control"}

// String returns the purpose's name as it stands in metrics.
func (p Purpose) String() string {
	return purposeNames[p]
}

// LinkConfig sets a daemon's share of the link between regions.
type LinkConfig struct {
	// BytesPerSecond is the share; Burst is how much can be saved up.
	BytesPerSecond float64 `json:"bytes_per_second"`
	Burst          float64 `json:"burst"`
}

// Link counts the bytes that a daemon sends over the link between regions, by
// purpose, and keeps the requests within the daemon's share. Answers and
// control can't be refused: they are taken from the share, and requests wait
// until it is made good.
type Link struct {
	cfg    LinkConfig
	tokens float64
	last   mono.Time
	bytes  [purposes]uint64
}

// NewLink returns a link whose share is full.
func NewLink(cfg LinkConfig, now mono.Time) *Link {
	return &Link{cfg: cfg, tokens: cfg.Burst, last: now}
}

// SetShare changes the share. What was saved up stays, within the new burst.
func (l *Link) SetShare(now mono.Time, cfg LinkConfig) {
	l.refill(now)
	l.cfg = cfg
	l.tokens = min(l.tokens, cfg.Burst)
}

// Take counts n bytes of a request if the share has room for them and for as
// many bytes of the answer as are expected. One that is larger than all that
// can be saved up goes when that is full, so that a small share delays it but
// never shuts it out; what it takes beyond is made good first.
func (l *Link) Take(now mono.Time, n, answer int) bool {
	l.refill(now)
	if l.tokens < min(float64(n+answer), l.cfg.Burst) {
		return false
	}
	l.tokens -= float64(n)
	l.bytes[Requests] += uint64(n)
	return true
}

// Count counts bytes that can't be refused.
func (l *Link) Count(now mono.Time, p Purpose, n int) {
	l.refill(now)
	l.tokens -= float64(n)
	l.bytes[p] += uint64(n)
}

// Bytes returns the bytes counted for a purpose.
func (l *Link) Bytes(p Purpose) uint64 {
	return l.bytes[p]
}

func (l *Link) refill(now mono.Time) {
	earned := float64(now.Sub(l.last)) / float64(time.Second) * l.cfg.BytesPerSecond
	l.tokens = min(l.tokens+earned, l.cfg.Burst)
	l.last = now
}
