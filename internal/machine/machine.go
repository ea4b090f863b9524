// Package machine identifies the running machine.
package machine

import (
	"os"
	"strings"
)

const bootIDFile = "/proc/sys/kernel/random/boot_id"

// ID returns the identifier of the running kernel, new with each start of the
// machine, so that no two running machines have the same; empty if it can't be
// read. A process of another boot has another.
func ID() string {
	raw, err := os.ReadFile(bootIDFile)
	if err != nil {
		return ""
	}
	return strings.TrimSpace(string(raw))
}
