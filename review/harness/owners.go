package main

import (
	"sync"
	"time"
)

// ownerCheck judges the rule OWNER from what the servers of one service hold.
type ownerCheck struct {
	rec *recorder

	mu       sync.Mutex
	holds    map[string][]heldSpan // By server, one for each key.
	topFence []uint64
	topBy    []string
	overlaps int // Keys that two servers held for over half a second.
	fences   int // Keys that were taken at an epoch that is not above all others.
}

type heldSpan struct {
	since time.Time
	until time.Time
}

// maxSharedHold is how long two servers may hold the same key by the rule.
const maxSharedHold = 500 * time.Millisecond

func newOwnerCheck(rec *recorder) *ownerCheck {
	return &ownerCheck{rec: rec, holds: make(map[string][]heldSpan), topFence: make([]uint64, shardKeys), topBy: make([]string, shardKeys)}
}

func (o *ownerCheck) granted(server string, first, last int, fence uint64, now, until time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.holds[server] == nil {
		o.holds[server] = make([]heldSpan, shardKeys)
	}
	low, shared := 0, 0
	for n := first; n <= last; n++ {
		h := &o.holds[server][n]
		taken := !now.Before(h.until)
		if taken {
			h.since = now
		}
		h.until = until
		if taken && o.topFence[n] >= fence && o.topBy[n] != server {
			low++
		}
		if fence > o.topFence[n] {
			o.topFence[n], o.topBy[n] = fence, server
		}
		for other, spans := range o.holds {
			if other != server && now.Before(spans[n].until) {
				begin := later(spans[n].since, h.since)
				end := earlier(spans[n].until, h.until)
				if end.Sub(begin) > maxSharedHold && now.Sub(begin) > maxSharedHold {
					shared++
				}
			}
		}
	}
	if low > 0 {
		o.fences += low
		o.rec.line("OWNER: server %s takes %d keys of %d-%d at epoch %d, which is not above the epoch with which another server had them", server, low, first, last, fence)
	}
	if shared > 0 {
		o.overlaps += shared
		o.rec.line("OWNER: server %s holds %d keys of %d-%d at epoch %d that another server holds too, for over 0.5 s", server, shared, first, last, fence)
	}
}

func (o *ownerCheck) released(server string, first, last int, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	spans := o.holds[server]
	if spans == nil {
		return
	}
	for n := first; n <= last && n < shardKeys; n++ {
		if now.Before(spans[n].until) {
			spans[n].until = now
		}
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
