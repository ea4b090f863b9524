// Package mono defines instants of a host's monotonic clock. Leases and
// deadlines are counted on it. The shells fill it from CLOCK_BOOTTIME, which,
// unlike Go's own monotonic clock, goes on counting while a virtual machine
// is suspended. Instants of different hosts can't be compared.
package mono

import "time"

// Time is an instant in nanoseconds since the host started.
type Time int64

// Never is an instant before every other: a lease that was never granted.
const Never Time = -1 << 62

// Add returns the instant d later.
func (t Time) Add(d time.Duration) Time {
	return t + Time(d)
}

// Sub returns the time from u to t.
func (t Time) Sub(u Time) time.Duration {
	return time.Duration(t - u)
}

// Before reports whether t is earlier than u.
func (t Time) Before(u Time) bool {
	return t < u
}

// After reports whether t is later than u.
func (t Time) After(u Time) bool {
	return t > u
}
