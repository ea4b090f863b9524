// Package bootclock reads CLOCK_BOOTTIME, the clock that leases are counted
// on: it goes on counting while the machine is suspended.
package bootclock

import (
	"time"

	"golang.org/x/sys/unix"

	"github.com/rhubarbring/rhubarbring/mono"
)

// Now returns the present instant. Reading the clock can't fail on Linux; if
// it does, the process must not go on to serve, and Now panics.
func Now() mono.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("bootclock: " + err.Error())
	}
	return mono.Time(ts.Sec*int64(time.Second) + ts.Nsec)
}
