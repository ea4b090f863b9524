package grant

import (
	"time"

	"github.com/rhubarbring/rhubarbring/key"
)

// Report is what a target says of its grants in one heartbeat.
type Report struct {
	Held  []HeldRange
	Freed []FreedRange
}

// HeldRange is a range that a target holds at an epoch, or still works on.
type HeldRange struct {
	Range Range
	Epoch uint64
}

// FreedRange is a range that a target has released, with the token for the next
// owner's grant. A target may report it in several heartbeats.
type FreedRange struct {
	Range Range
	Token string
}

// HeartbeatAnswer is the answer to a heartbeat. Rows is everything that the
// target is to hold for the duration Hold, counted from when the target sent the
// heartbeat. If Hold is 0, the answer says nothing about grants: the target keeps
// what it holds and nothing is renewed.
type HeartbeatAnswer struct {
	Rows []Row
	Hold time.Duration
	// Deferred is the number of slices that did not fit into the answer.
	Deferred int
}

// Row is a range in the answer to a heartbeat.
type Row struct {
	Range Range
	Epoch uint64
	// Token is the token that the previous owner's target returned on its
	// release. It is empty if it is not known, and once the target has reported
	// the range.
	Token string
}

// rowBytes is the greatest length of an encoded row without its token: two
// numbers of slices' bounds with 5 digits, an epoch with 20, and punctuation.
const rowBytes = 38

// size returns the greatest length of the encoded row.
func (r *Row) size() int {
	return rowBytes + len(r.Token)
}

// extend adds a slice at the end of the row. It returns false if the slice does
// not follow the row's range at the same epoch with the same token.
func (r *Row) extend(s key.Slice, epoch uint64, token string) bool {
	if r.Range.App != s.App || r.Range.Last+1 != s.ID || r.Epoch != epoch || r.Token != token {
		return false
	}
	r.Range.Last = s.ID
	return true
}

// length returns the number of slices in the row.
func (r *Row) length() int {
	return int(r.Range.Last-r.Range.First) + 1
}

// epochs returns the epoch at which each slice of the report is held, the
// highest if it is named more than once.
func (r *Report) epochs() map[key.Slice]uint64 {
	out := make(map[key.Slice]uint64)
	for _, h := range r.Held {
		for id := h.Range.First; id <= h.Range.Last; id++ {
			s := key.Slice{App: h.Range.App, ID: id}
			out[s] = max(out[s], h.Epoch)
		}
	}
	return out
}
