package handover

import (
	"github.com/rhubarbring/rhubarbring/mono"
)

// BeginStop begins a planned stop. By then the daemon has recorded in the store
// that it drains, and the leader names next owners. Slices that have none after
// Config.StopGrace are drained without one.
func (h *Holder) BeginStop(now mono.Time) {
	if !h.stopping {
		h.stopping, h.stopSince = true, now
	}
}

// drainForStop drains every owned slice, with or without a next owner.
func (h *Holder) drainForStop(now mono.Time) {
	h.stopDrained = true
	for _, r := range h.sorted(stateOwned) {
		h.fire(now, r, eventAsked)
	}
}

// Stopped reports whether a planned stop has drained and released every slice.
// Only then may the daemon record its session as left.
func (h *Holder) Stopped() bool {
	return h.stopDrained && h.counts.Owned == 0 && h.counts.Draining == 0
}
