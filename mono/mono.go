// Package mono defines the time type of a host's monotonic clock, which leases
// and deadlines are measured on. Daemons read it from CLOCK_BOOTTIME. Unlike
// Go's own monotonic clock, that clock also advances while a virtual machine is
// suspended. Times of different hosts can't be compared.
package mono

import "time"

// Time is a point in time, in nanoseconds since the host booted.
type Time int64

// Never is earlier than every time of the clock. It stands for something that
// has not happened, such as a lease that was never granted.
const Never Time = -1 << 62

// Add returns t+d.
func (t Time) Add(d time.Duration) Time {
	return t + Time(d)
}

// Sub returns the duration t-u.
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
