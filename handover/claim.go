package handover

import (
	"slices"

	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/restore"
)

// Claim is a session's statement that it holds slices whose stored entries are not
// in force, since the store came back from a copy. It is sent to the placement
// leader, possibly many times. A slice has one holder, so that whoever claims it
// may get it at a new epoch at once.
type Claim struct {
	_      struct{} `cbor:",toarray"`
	From   host.Session
	App    key.App
	Slices []ClaimedSlice
}

// ClaimedSlice is a slice that is held, and the version of its pack in which the
// holder saw the entry that is not in force.
type ClaimedSlice struct {
	_       struct{} `cbor:",toarray"`
	ID      key.SliceID
	Epoch   uint64
	Version uint64
}

// Contest notes that the stored entry of a slice is not in force. If the session
// holds the slice, it goes on doing so and claims it for restore.ClaimTime. Unless
// it is granted the slice at a new epoch by then, it renounces it.
func (h *Holder) Contest(now mono.Time, s key.Slice) {
	r := h.records[s]
	if r == nil || r.contested || !r.isHeld() {
		return
	}
	r.contested = true
	r.claimEnd = now.Add(restore.ClaimTime)
	if !slices.Contains(h.contested, r) {
		h.contested = append(h.contested, r)
	}
}

// isHeld reports whether the session holds the slice: it has neither released nor
// renounced it.
func (r *record) isHeld() bool {
	return r.state == stateOwned || r.state == stateDraining
}

// Held returns the slices that the session holds, in ascending order.
func (h *Holder) Held() []key.Slice {
	var out []key.Slice
	for _, r := range h.sorted(stateOwned, stateDraining) {
		out = append(out, r.slice)
	}
	return out
}

// Claims returns the contested slices that the session holds under its lease.
func (h *Holder) Claims(now mono.Time) []OwnedSlice {
	if h.sessionEnded || !now.Before(h.leaseEnd) {
		return nil
	}
	var out []OwnedSlice
	for _, r := range h.contested {
		if r.contested && r.isHeld() && now.Before(r.claimEnd) {
			out = append(out, OwnedSlice{Slice: r.slice, Epoch: r.epoch, InFlight: r.inFlight()})
		}
	}
	return out
}

// renounceUnclaimed renounces the contested slices whose claims have ended, and
// forgets those that are not held or were granted at a new epoch.
func (h *Holder) renounceUnclaimed(now mono.Time) {
	kept := h.contested[:0]
	for _, r := range h.contested {
		r.contested = r.contested && r.isHeld()
		if r.contested && now.Before(r.claimEnd) {
			kept = append(kept, r)
			continue
		}
		if r.contested {
			r.contested = false
			h.fire(now, r, eventSpent)
		}
	}
	h.contested = kept
}
