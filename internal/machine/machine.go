// Package machine returns the kernel's boot id, which identifies one boot of the
// machine that the process runs on.
package machine

import (
	"os"
	"strings"
)

const bootIDFile = "/proc/sys/kernel/random/boot_id"

// BootID returns the kernel's boot id, or an empty string if it can't be read. The
// id is generated anew at each boot, so that no two running machines have the
// same, and processes of different boots of one machine have different ones.
func BootID() string {
	raw, err := os.ReadFile(bootIDFile)
	if err != nil {
		return ""
	}
	return strings.TrimSpace(string(raw))
}
