// Package key maps caller keys to slices. A slice is the unit of ownership:
// a fixed number of them per app, so that the system's state grows with the
// number of hosts and never with the number of keys. A hot key can be carved
// out of its slice and owned on its own.
package key

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// App names an application of a customer, such as "catalogue".
type App string

// SliceID numbers a slice within its app, from 0 to the app's slice count
// less one. Numbers from CarveOutBase up name carved-out keys.
type SliceID uint32

// CarveOutBase is the first SliceID that names a carved-out key rather than a
// range of the hash space. An app has fewer regular slices than this.
const CarveOutBase SliceID = 1 << 24

// Slice identifies a slice across apps.
type Slice struct {
	App App
	ID  SliceID
}

// String returns "app/id", the form that logs and the command line show.
func (s Slice) String() string {
	return string(s.App) + "/" + strconv.FormatUint(uint64(s.ID), 10)
}

// IsCarveOut reports whether the slice holds one carved-out key.
func (s Slice) IsCarveOut() bool {
	return s.ID >= CarveOutBase
}

// Hash returns the 64-bit xxHash of a key. Every daemon must agree on it, so
// it never changes within a deployment.
func Hash(k string) uint64 {
	return xxhash.Sum64String(k)
}

// SliceOf returns the regular slice of key k in an app of n slices. It takes
// the high bits of the hash, so that slices are contiguous hash ranges. The
// count n must be positive.
func SliceOf(app App, k string, n uint32) Slice {
	span := Hash(k) >> 32
	id := (span * uint64(n)) >> 32
	return Slice{App: app, ID: SliceID(id)}
}
