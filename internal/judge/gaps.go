package judge

import (
	"cmp"
	"slices"
	"time"

	"github.com/rhubarbring/rhubarbring/internal/load"
	"github.com/rhubarbring/rhubarbring/result"
)

// Gap is a stretch in which a slice was asked for and not served.
type Gap struct {
	Slice   string
	BeginNs int64
	EndNs   int64
}

// Length returns how long the gap lasted.
func (g Gap) Length() time.Duration {
	return time.Duration(g.EndNs - g.BeginNs)
}

// ask is one request for a slice: from the caller's wish to its last word.
type ask struct {
	span
	served bool
}

// asksBySlice groups requests by the slice that targets saw their key in. A
// key that no target saw is a group of its own; so is an app without keys.
func asksBySlice(in Input, runs []run) map[string][]ask {
	slice := map[string]string{}
	for _, r := range runs {
		if r.Slice != "" {
			slice[r.App+" "+r.Key] = r.Slice
		}
	}
	out := map[string][]ask{}
	for _, r := range in.Records {
		name, ok := slice[r.App+" "+r.Key]
		if !ok {
			name = r.App + " " + r.Key
		}
		out[name] = append(out[name], askOf(r))
	}
	return out
}

func askOf(r load.Record) ask {
	w, _ := r.Last()
	return ask{span{r.AskedNs, r.EndedNs}, w.Outcome == result.Done.String()}
}

// FaultGap is the longest gap that ends after a fault began and before the
// next one did.
type FaultGap struct {
	Fault Fault
	Gap   Gap
}

// gapsByFault returns the longest gap of any slice for each fault, by the
// faults' beginnings. Gaps that end before the first fault belong to none.
func gapsByFault(in Input, runs []run) []FaultGap {
	out := make([]FaultGap, 0, len(in.Faults))
	for _, f := range in.Faults {
		out = append(out, FaultGap{Fault: f})
	}
	slices.SortFunc(out, func(a, b FaultGap) int { return cmp.Compare(a.Fault.BeginNs, b.Fault.BeginNs) })
	for name, asks := range asksBySlice(in, runs) {
		for _, g := range gaps(name, asks) {
			i, _ := slices.BinarySearchFunc(out, g.EndNs, func(f FaultGap, ns int64) int { return cmp.Compare(f.Fault.BeginNs, ns) })
			if i > 0 && longer(g, out[i-1].Gap) {
				out[i-1].Gap = g
			}
		}
	}
	return out
}

// worstGap returns the longest gap after any fault.
func worstGap(byFault []FaultGap) Gap {
	var worst Gap
	for _, f := range byFault {
		if longer(f.Gap, worst) {
			worst = f.Gap
		}
	}
	return worst
}

// longer orders gaps by length, then by name, so that the worst one does not
// depend on the order of a map.
func longer(a, b Gap) bool {
	if a.Length() != b.Length() {
		return a.Length() > b.Length()
	}
	return a.Slice < b.Slice
}

// gaps splits time at each served answer and returns, for each part, the time
// for which the slice is known to have been asked for and not served: from
// the first failed request to the end of the last, or of a served one that
// was asked before that; and in any case the wait of each served one.
func gaps(name string, asks []ask) []Gap {
	var served []int64
	for _, a := range asks {
		if a.served {
			served = append(served, a.to)
		}
	}
	slices.Sort(served)
	parts := make([][]ask, len(served)+1)
	for _, a := range asks {
		first, _ := slices.BinarySearch(served, a.from+1)
		for i := first; i < len(parts); i++ {
			part := partSpan(served, i)
			if part.from >= a.to {
				break
			}
			clipped := span{max(a.from, part.from), min(a.to, part.to)}
			parts[i] = append(parts[i], ask{clipped, a.served})
		}
	}
	var out []Gap
	for _, part := range parts {
		out = append(out, gapsOfPart(name, part)...)
	}
	return out
}

// partSpan returns the time between the i-th served answer and the one before.
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

func gapsOfPart(name string, part []ask) []Gap {
	slices.SortFunc(part, func(a, b ask) int { return cmp.Compare(a.from, b.from) })
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
