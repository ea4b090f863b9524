// Package key maps the keys of callers to slices. A slice is the unit of
// ownership. Each app has a fixed number of slices, so that the system's state
// grows with the number of hosts and not with the number of keys. A hot key can
// be carved out of its slice into a slice of its own.
package key

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// App is the name of a customer's application, such as "catalogue".
type App string

// SliceID identifies a slice within its app. Regular slices have the numbers
// from 0 to the app's slice count less one, carved-out keys those from
// CarveOutBase up.
type SliceID uint32

// CarveOutBase is the first SliceID of carved-out keys. An app has fewer regular
// slices than this.
const CarveOutBase SliceID = 1 << 24

// Slice identifies a slice among those of all apps.
type Slice struct {
	App App
	ID  SliceID
}

// String returns "app/id", the format of logs and the command line.
func (s Slice) String() string {
	return string(s.App) + "/" + strconv.FormatUint(uint64(s.ID), 10)
}

// IsCarveOut reports whether the slice holds one carved-out key.
func (s Slice) IsCarveOut() bool {
	return s.ID >= CarveOutBase
}

// Hash returns the 64-bit xxHash of a key. All daemons must agree on it, so it
// must not change within a deployment.
func Hash(k string) uint64 {
	return xxhash.Sum64String(k)
}

// SliceOf returns the regular slice of key k in an app with n slices. It scales
// the upper 32 bits of the hash, so that slices are contiguous hash ranges. The
// count n must be positive.
func SliceOf(app App, k string, n uint32) Slice {
	upper := Hash(k) >> 32
	id := (upper * uint64(n)) >> 32
	return Slice{App: app, ID: SliceID(id)}
}

// SliceOfNumericKey returns the regular slice of a key that is a decimal number
// less than keyCount, in an app with n slices. Slices are contiguous ranges of
// numbers whose lengths differ by at most one. If k is not such a number, the
// result is slice 0 and false.
func SliceOfNumericKey(app App, k string, keyCount, n uint32) (Slice, bool) {
	number, err := strconv.ParseUint(k, 10, 32)
	if err != nil || number >= uint64(keyCount) {
		return Slice{App: app}, false
	}
	return Slice{App: app, ID: SliceID(number * uint64(n) / uint64(keyCount))}, true
}

// NumberRange returns the first and the last number that SliceOfNumericKey maps
// to a slice.
func NumberRange(id SliceID, keyCount, n uint32) (first, last uint32) {
	return firstNumber(uint64(id), keyCount, n), firstNumber(uint64(id)+1, keyCount, n) - 1
}

// firstNumber returns the least number that SliceOfNumericKey maps to a slice.
func firstNumber(id uint64, keyCount, n uint32) uint32 {
	return uint32((id*uint64(keyCount) + uint64(n) - 1) / uint64(n))
}
