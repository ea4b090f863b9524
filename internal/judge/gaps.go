package judge

import (
	"cmp"
	"slices"
	"time"

	"github.com/rhubarbring/rhubarbring/internal/load"
	"github.com/rhubarbring/rhubarbring/result"
)

// Gap is an interval in which callers requested a slice and it was not served.
// Times are CLOCK_BOOTTIME nanoseconds.
type Gap struct {
	Slice   string
	BeginNs int64
	EndNs   int64
}

// Length returns how long the gap lasted.
func (g Gap) Length() time.Duration {
	return time.Duration(g.EndNs - g.BeginNs)
}

// requestSpan is the interval of one request, from when the caller wanted to
// send it to its last answer or the end of its wait.
type requestSpan struct {
	span
	served bool
}

// requestSpansBySlice groups requests by the slice that targets recorded for
// their app and key. A key that no target recorded forms a group of its own,
// and so does an app without keys.
func requestSpansBySlice(in Input, runs []run) map[string][]requestSpan {
	slice := map[string]string{}
	for _, r := range runs {
		if r.Slice != "" {
			slice[r.App+" "+r.Key] = r.Slice
		}
	}
	out := map[string][]requestSpan{}
	for _, r := range in.Records {
		name, ok := slice[r.App+" "+r.Key]
		if !ok {
			name = r.App + " " + r.Key
		}
		out[name] = append(out[name], requestSpanOf(r))
	}
	return out
}

func requestSpanOf(r load.Record) requestSpan {
	w, _ := r.LastAnswered()
	return requestSpan{span{r.ArrivalNs, r.EndedNs}, w.Outcome == result.Done.String()}
}

// FaultGap is the longest gap that ends after a fault began and before the next
// fault did.
type FaultGap struct {
	Fault Fault
	Gap   Gap
}

// gapsByFault returns the longest gap of any slice after each fault, sorted by
// the beginnings of the faults. Gaps that end before the first fault are not
// counted.
func gapsByFault(in Input, runs []run) []FaultGap {
	out := make([]FaultGap, 0, len(in.Faults))
	for _, f := range in.Faults {
		out = append(out, FaultGap{Fault: f})
	}
	slices.SortFunc(out, func(a, b FaultGap) int { return cmp.Compare(a.Fault.BeginNs, b.Fault.BeginNs) })
	for name, requests := range requestSpansBySlice(in, runs) {
		for _, g := range gaps(name, requests) {
			i, _ := slices.BinarySearchFunc(out, g.EndNs, func(f FaultGap, ns int64) int { return cmp.Compare(f.Fault.BeginNs, ns) })
			if i > 0 && longer(g, out[i-1].Gap) {
				out[i-1].Gap = g
			}
		}
	}
	return out
}

// longestGap returns the longest gap after any fault.
func longestGap(byFault []FaultGap) Gap {
	var worst Gap
	for _, f := range byFault {
		if longer(f.Gap, worst) {
			worst = f.Gap
		}
	}
	return worst
}

// longer orders gaps by length, then by slice, so that the longest gap does not
// depend on the iteration order of a map.
func longer(a, b Gap) bool {
	if a.Length() != b.Length() {
		return a.Length() > b.Length()
	}
	return a.Slice < b.Slice
}

// gaps splits time at each answer that served the slice and returns the gaps of
// each part. The wait of each served request is a gap. So is the time from the
// first failed request of a part to the end of the last one; a served request
// that was asked before that end extends it to its own interval.
func gaps(name string, requests []requestSpan) []Gap {
	var served []int64
	for _, a := range requests {
		if a.served {
			served = append(served, a.to)
		}
	}
	slices.Sort(served)
	parts := make([][]requestSpan, len(served)+1)
	for _, a := range requests {
		first, _ := slices.BinarySearch(served, a.from+1)
		for i := first; i < len(parts); i++ {
			part := partSpan(served, i)
			if part.from >= a.to {
				break
			}
			clipped := span{max(a.from, part.from), min(a.to, part.to)}
			parts[i] = append(parts[i], requestSpan{clipped, a.served})
		}
	}
	var out []Gap
	for _, part := range parts {
		out = append(out, gapsOfPart(name, part)...)
	}
	return out
}

// partSpan returns the interval between the served answers i-1 and i; the first
// and the last part are open-ended.
func partSpan(served []int64, i int) span {
	s := span{-1 << 63, 1<<63 - 1}
	if i > 0 {
		s.from = served[i-1]
	}
	if i < len(served) {
		s.to = served[i]
	}
	return s
}

// gapsOfPart returns the gaps between two served answers; see gaps.
func gapsOfPart(name string, part []requestSpan) []Gap {
	slices.SortFunc(part, func(a, b requestSpan) int { return cmp.Compare(a.from, b.from) })
	var out []Gap
	var failed *Gap
	for _, a := range part {
		if a.served {
			out = append(out, Gap{name, a.from, a.to})
			continue
		}
		if failed == nil {
			failed = &Gap{name, a.from, a.to}
		}
		failed.EndNs = max(failed.EndNs, a.to)
	}
	if failed == nil {
		return out
	}
	end := failed.EndNs
	for _, a := range part {
		if a.served && a.from <= end {
			failed.BeginNs = min(failed.BeginNs, a.from)
			failed.EndNs = max(failed.EndNs, a.to)
		}
	}
	return append(out, *failed)
}
