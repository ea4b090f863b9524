package targetstatus

import "strings"

const (
	// workTimeField is the index of the work time among the figures of a target's
	// load: running, waiting, slots, work time in percent.
	workTimeField = 3
	percent       = 100.0
	// minWorkTime and maxWorkTime bound the factors that are believed. A machine
	// that is slower than that answers nothing in time, so that the figure is more
	// likely wrong.
	minWorkTime = 0.1
	maxWorkTime = 20
)

// ParseWorkTime returns how long work takes at a target at this moment, as a
// multiple of the usual time, by the values of its load field. It returns 0 if
// none can be read: targets need not state it. Of several values the last one
// counts.
func ParseWorkTime(values []string) float64 {
	factor := 0.0
	for _, value := range values {
		figures := strings.Split(value, ",")
		if len(figures) <= workTimeField {
			continue
		}
		stated, ok := parseDecimal(strings.TrimSpace(figures[workTimeField]))
		if stated /= percent; ok && stated >= minWorkTime && stated <= maxWorkTime {
			factor = stated
		}
	}
	return factor
}
