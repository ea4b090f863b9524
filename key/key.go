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

// SliceOfNumber returns the regular slice of a key that is a number below
// numbers, in an app of n slices: slices are ranges of numbers, the first ones
// of which may be one number longer. The number's text k must be decimal; a
// text that is no such number belongs to slice 0 and the second result is
// false.
func SliceOfNumber(app App, k string, numbers, n uint32) (Slice, bool) {
	number, err := strconv.ParseUint(k, 10, 32)
	if err != nil || number >= uint64(numbers) {
		return Slice{App: app}, false
	}
	return Slice{App: app, ID: SliceID(number * uint64(n) / uint64(numbers))}, true
}

// NumbersOf returns the first and the last number of a slice by SliceOfNumber.
func NumbersOf(id SliceID, numbers, n uint32) (first, last uint32) {
	return firstOf(uint64(id), numbers, n), firstOf(uint64(id)+1, numbers, n) - 1
}

// firstOf returns the least number that SliceOfNumber maps to a slice.
func firstOf(id uint64, numbers, n uint32) uint32 {
	return uint32((id*uint64(numbers) + uint64(n) - 1) / uint64(n))
}
