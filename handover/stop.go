package handover

import (
	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/mono"
)

// Stop begins a planned stop. The daemon has told the store that it drains;
// the leader then names next owners. Slices that have none after
// Config.StopGrace are drained all the same.
func (h *Holder) Stop(now mono.Time) {
	if !h.stopping {
		h.stopping, h.stopSince = true, now
	}
}

// Renounce gives up every slice that is held, as after the loss of a target's
// life: another life may get them at a higher epoch only. The leader hears of
// the releases and names owners anew.
func (h *Holder) Renounce(now mono.Time) []Action {
	h.out = nil
	for _, r := range h.sorted(stateOwned) {
		h.fire(now, r, eventAsked)
	}
	h.checkIdle(now)
	return h.out
}

// RenounceSlice is Renounce for one slice that is held at an epoch.
func (h *Holder) RenounceSlice(now mono.Time, s key.Slice, epoch uint64) []Action {
	h.out = nil
	if r := h.records[s]; r != nil && r.state == stateOwned && r.epoch == epoch {
		h.fire(now, r, eventAsked)
		h.release(now, r)
	}
	return h.out
}

func (h *Holder) drainAll(now mono.Time) {
	h.drained = true
	for _, r := range h.sorted(stateOwned) {
		h.fire(now, r, eventAsked)
	}
}

// Stopped reports whether a planned stop is complete on this side: every slice
// is released. Only then may the daemon record its session as left.
func (h *Holder) Stopped() bool {
	return h.drained && h.counts.Owned == 0 && h.counts.Draining == 0
}
