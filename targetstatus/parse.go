package targetstatus

import (
	"math"
	"strconv"
	"strings"
)

// ParseLimit returns the limit that the values of a header field name, in requests
// a second. If there are several, also in one value with commas between them, the
// lowest that can be read counts. It returns NaN if none can: a limit is a decimal
// number that is not negative.
func ParseLimit(values []string) float64 {
	lowest := math.NaN()
	for _, value := range values {
		for item := range strings.SplitSeq(value, ",") {
			if limit, ok := parseDecimal(strings.TrimSpace(item)); ok && !(lowest <= limit) {
				lowest = limit
			}
		}
	}
	return lowest
}

// parseDecimal parses a decimal number. One that is too large for a float64 is
// infinite.
func parseDecimal(text string) (float64, bool) {
	if text == "" || strings.Trim(text, "0123456789.eE+-") != "" {
		return 0, false
	}
	number, err := strconv.ParseFloat(text, 64)
	if err != nil && !math.IsInf(number, 1) || math.Signbit(number) && number != 0 {
		return 0, false
	}
	return number, true
}

// SaysLeaving reports whether one of the values of a header field says that the
// target is about to end, which is the value 1. Any other value says nothing.
func SaysLeaving(values []string) bool {
	for _, value := range values {
		for item := range strings.SplitSeq(value, ",") {
			if strings.TrimSpace(item) == "1" {
				return true
			}
		}
	}
	return false
}
