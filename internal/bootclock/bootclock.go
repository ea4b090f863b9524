// Package bootclock reads CLOCK_BOOTTIME, the clock that leases are measured
// by, because it keeps counting while the machine is suspended.
package bootclock

import (
	"time"

	"golang.org/x/sys/unix"

	"github.com/rhubarbring/rhubarbring/mono"
)

// Now returns the current time. Reading the clock does not fail on Linux. If it
// does, Now panics, because the process must not continue to serve without it.
func Now() mono.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("bootclock: " + err.Error())
	}
	return mono.Time(ts.Sec*int64(time.Second) + ts.Nsec)
}
