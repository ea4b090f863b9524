package handover

import (
	"github.com/rhubarbring/rhubarbring/key"
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

// DrainAll drains every owned slice, as after the target was lost: a restarted
// target may be granted them only at a higher epoch. A slice is released once
// its requests have ended. The leader receives the releases and assigns owners
// again.
func (h *Holder) DrainAll(now mono.Time) []Action {
	h.out = nil
	for _, r := range h.sorted(stateOwned) {
		h.fire(now, r, eventAsked)
	}
	h.releaseIdle(now)
	return h.out
}

// DrainSlice is DrainAll for one slice, if it is owned at the given epoch.
func (h *Holder) DrainSlice(now mono.Time, s key.Slice, epoch uint64) []Action {
	h.out = nil
	if r := h.records[s]; r != nil && r.state == stateOwned && r.epoch == epoch {
		h.fire(now, r, eventAsked)
		h.releaseIfIdle(now, r)
	}
	return h.out
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
