package machine

import (
	"math"

	"golang.org/x/sys/unix"
)

// Descriptors returns how many descriptors the process may have open. The Go
// runtime raises the limit to the highest that the process may have.
func Descriptors() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > math.MaxInt32 {
		return math.MaxInt32
	}
	return int(limit.Cur)
}
