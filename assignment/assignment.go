// Package assignment holds the record of which session owns which slice.
//
// The slices of an app are cut into packs of PackSlices. A pack is one object
// of the platform's store (kind "assignment"), so that a round of moves is one
// conditional write for each pack. Carved-out keys stand in the pack of the
// slice that they were carved out of: whoever learns that it owns a slice
// learns in the same read which keys are no longer part of it.
//
// The rule of ownership. A daemon may serve slice s at epoch e if
//
//   - a pack read from the store, of any version, named its session the owner
//     of s at e, and
//   - it has not released (s, e), and
//   - the lease of its session holds.
//
// Ownership leaves a session in two ways only: by the session's own release of
// that epoch, or after the session is recorded lost or left, when its lease can
// no longer hold. So an old pack in a daemon's hands is harmless: either it
// still tells the truth, or the daemon has released that epoch, or its lease
// is over. Every write that changes an owner raises the epoch by one.
package assignment

import (
	"math"
	"strconv"
	"strings"

	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/key"
)

// Kind is the kind of the packs' objects in the store.
const Kind = "assignment"

// Limits of a pack.
const (
	// PackSlices is the number of slices in a pack; the last pack of an app
	// may hold fewer.
	PackSlices = 512
	// MaxSlices is the highest number of regular slices of an app.
	MaxSlices = 1 << 20
	// MaxCarveOuts is the number of keys that may be carved out of the
	// slices of one pack at one time.
	MaxCarveOuts = 256
	// MaxEpoch is the highest epoch.
	MaxEpoch = math.MaxUint32
	// MaxKeyBytes is the longest key that can be carved out.
	MaxKeyBytes = 1024
	// MaxHostBytes is the longest host name in a pack.
	MaxHostBytes = 255
)

// Slice is the assignment of one slice.
type Slice struct {
	// Owner is the session that may serve the slice; nobody if it has none.
	Owner host.Session
	// Epoch rises by one with each new owner. It is 0 before the first.
	Epoch uint64
	// Next is the session that a handover under way leads to, or nobody.
	Next host.Session
}

// CarveOut is a key that is owned on its own.
type CarveOut struct {
	// Key is the caller's key.
	Key string
	// ID is the carve-out's own slice, key.CarveOutBase or above.
	ID key.SliceID
	// Assigned is the assignment of that slice.
	Assigned Slice
}

// Name returns the name of the pack object that holds slice id of the app,
// "app.first".
func Name(app key.App, id key.SliceID) string {
	return string(app) + "." + strconv.FormatUint(uint64(FirstOf(id)), 10)
}

// ParseName reads the form that Name writes.
func ParseName(name string) (key.App, key.SliceID, bool) {
	i := strings.LastIndexByte(name, '.')
	if i <= 0 {
		return "", 0, false
	}
	first, err := strconv.ParseUint(name[i+1:], 10, 32)
	if err != nil || first >= uint64(key.CarveOutBase) || first%PackSlices != 0 {
		return "", 0, false
	}
	return key.App(name[:i]), key.SliceID(first), true
}

// FirstOf returns the first slice of the pack that holds the slice, which may
// be a carve-out.
func FirstOf(id key.SliceID) key.SliceID {
	if id >= key.CarveOutBase {
		return (id - key.CarveOutBase) / MaxCarveOuts * PackSlices
	}
	return id / PackSlices * PackSlices
}

// carveOutID returns the n-th carve-out's ID of the pack that begins at first.
func carveOutID(first key.SliceID, n int) key.SliceID {
	return key.CarveOutBase + first/PackSlices*MaxCarveOuts + key.SliceID(n)
}
