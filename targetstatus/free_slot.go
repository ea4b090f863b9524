package targetstatus

import "strings"

// The places of figures in a target's load field.
const (
	runningField = iota
	waitingField
	slotsField
)

// HasFreeSlot reports whether a target states in its load field that a slot is free
// and no request waits. Of several values the last one that can be read counts.
func HasFreeSlot(values []string) bool {
	free := false
	for _, value := range values {
		figures := strings.Split(value, ",")
		if len(figures) <= slotsField {
			continue
		}
		running, ok := parseDecimal(strings.TrimSpace(figures[runningField]))
		waiting, waitingOK := parseDecimal(strings.TrimSpace(figures[waitingField]))
		slots, slotsOK := parseDecimal(strings.TrimSpace(figures[slotsField]))
		if ok && waitingOK && slotsOK {
			free = waiting == 0 && running < slots
		}
	}
	return free
}
