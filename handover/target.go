package handover

import (
	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/mono"
)

// RenounceAll renounces every slice that this session has not released, after the
// instance of the target has ended or was replaced: another one may get them only
// at a higher epoch. Each is released once its requests have ended. The leader
// receives the releases and assigns owners again. Releases that no pack has
// acknowledged are sent again: the instance may have ended before it gave the slice
// up.
func (h *Holder) RenounceAll(now mono.Time) []Action {
	h.out = nil
	for _, r := range h.sorted(stateReleased) {
		h.sendRelease(now, r)
	}
	for _, r := range h.sorted(stateOwned, stateDraining) {
		h.fire(now, r, eventSpent)
	}
	h.releaseIdle(now)
	return h.out
}

// Renounce renounces a slice that this session has not released at an epoch, which
// the target can't be granted.
func (h *Holder) Renounce(now mono.Time, s key.Slice, epoch uint64) []Action {
	h.out = nil
	if r := h.records[s]; r != nil && r.epoch == epoch {
		h.fire(now, r, eventSpent)
		h.releaseIfIdle(now, r)
	}
	return h.out
}
