// Package assignment records which session owns which slice.
//
// The slices of an app are divided into packs of PackSlices. A pack is one
// object of the platform's store (kind "assignment"), so that a round of moves
// takes one conditional write per pack. Carved-out keys are kept in the pack of
// the slice that they were carved out of, so that a daemon that reads that it
// owns a slice reads at once which keys are no longer part of it.
//
// Ownership rule: a daemon may serve slice s at epoch e if
//
//   - a pack read from the store, of any version, named its session the owner
//     of s at e, and
//   - it has not released (s, e), and
//   - the lease of its session is in force.
//
// A session loses ownership in two ways only: by its own release of that epoch,
// or after it was recorded as lost or left, when its lease can no longer be in
// force. A stale pack is therefore harmless to a daemon: the pack is still
// right, or the daemon has released that epoch, or its lease has expired. Every
// write that changes an owner raises the epoch by one.
package assignment

import (
	"math"
	"strconv"
	"strings"

	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/key"
)

// Kind is the object kind of packs in the store.
const Kind = "assignment"

// Limits of apps and packs.
const (
	// PackSlices is the number of slices in a pack; the last pack of an app
	// may hold fewer.
	PackSlices = 512
	// MaxSlices is the largest number of regular slices of an app.
	MaxSlices = 1 << 20
	// MaxCarveOuts is the largest number of keys that can be carved out of
	// the slices of one pack at a time.
	MaxCarveOuts = 256
	// MaxEpoch is the highest epoch.
	MaxEpoch = math.MaxUint64
	// MaxKeyBytes is the size of the longest key that can be carved out.
	MaxKeyBytes = 1024
	// MaxHostBytes is the size of the longest host name in a pack.
	MaxHostBytes = 255
)

// Ownership is the assignment of one slice.
type Ownership struct {
	// Owner is the session that may serve the slice, or nobody.
	Owner host.Session
	// Epoch rises with each new owner: by one in the store's era 0, and as
	// restore.Next says in later ones. It is 0 before the first owner.
	Epoch uint64
	// Next is the next owner of a handover in progress, or nobody.
	Next host.Session
}

// CarveOut is a key that forms a slice of its own.
type CarveOut struct {
	// Key is the caller's key.
	Key string
	// ID is the carve-out's slice, key.CarveOutBase or above.
	ID key.SliceID
	// Ownership is the assignment of that slice.
	Ownership Ownership
}

// PackName returns the name of the pack object that holds slice id of the app,
// "app.first".
func PackName(app key.App, id key.SliceID) string {
	return string(app) + "." + strconv.FormatUint(uint64(PackFirstSlice(id)), 10)
}

// ParsePackName parses a name written by PackName. It returns false if the name
// is not one of a pack.
func ParsePackName(name string) (key.App, key.SliceID, bool) {
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

// PackFirstSlice returns the first slice of the pack that holds the slice,
// which may be a carve-out.
func PackFirstSlice(id key.SliceID) key.SliceID {
	if id >= key.CarveOutBase {
		return (id - key.CarveOutBase) / MaxCarveOuts * PackSlices
	}
	return id / PackSlices * PackSlices
}

// carveOutID returns the ID of the n-th carve-out of the pack beginning at first.
func carveOutID(first key.SliceID, n int) key.SliceID {
	return key.CarveOutBase + first/PackSlices*MaxCarveOuts + key.SliceID(n)
}
