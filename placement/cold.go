package placement

import (
	"time"

	"github.com/rhubarbring/rhubarbring/mono"
)

// coldHold is how long after its target became cold a host keeps its slices. A target is
// cold for some seconds after most events; slices that leave it for that time are without
// an owner twice, and served elsewhere for a part of it only: a round and a handover take
// up to 2 s.
const coldHold = 5 * time.Second

// noteCold records since when a host's target has been cold: reports without a rate limit
// of its own give the number of slots that it keeps busy as a cold one.
func (l *slotLimit) noteCold(now mono.Time, before slotLimit, limited bool) {
	l.cold, l.coldSince = !limited, now
	if before.cold {
		l.coldSince = before.coldSince
	}
}

// holdsSlices reports whether a limit is that of a target which became cold a short while
// ago.
func (l slotLimit) holdsSlices(now mono.Time) bool {
	return l.cold && now.Sub(l.coldSince) < coldHold
}

// holdColdHosts lets each host whose target became cold a short while ago count as busy
// as the others in the mean, so that balance neither takes its slices nor gives it more
// than its cold capacity.
func (r *round) holdColdHosts() {
	var load, capacity float64
	for i := range r.app.hosts {
		if h := &r.app.hosts[i]; !r.isHeld(h) {
			load += h.Load
			capacity += h.Capacity
		}
	}
	if load <= 0 {
		return
	}
	for i := range r.app.hosts {
		if h := &r.app.hosts[i]; r.isHeld(h) {
			h.Capacity = max(h.Capacity, h.Load*capacity/load)
		}
	}
}

// isHeld reports whether a host keeps its slices because its target is cold.
func (r *round) isHeld(h *HostLoad) bool {
	l, ok := r.core.slotLimits[h.Session]
	return ok && l.holdsSlices(r.now)
}
