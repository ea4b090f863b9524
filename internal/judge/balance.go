package judge

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// minKillWindow is the least length of the window of a kill, which covers the
// time in which the system settles after it.
const minKillWindow = 5 * time.Second

// span is an interval in CLOCK_BOOTTIME nanoseconds.
type span struct {
	from, to int64
}

func (s span) overlap(o span) int64 {
	return max(0, min(s.to, o.to)-max(s.from, o.from))
}

// faultFreeSpans returns the parts of the load's duration outside the windows
// of faults.
func faultFreeSpans(in Input) []span {
	whole := loadSpan(in)
	windows := make([]span, 0, len(in.Faults))
	for _, f := range in.Faults {
		w := span{f.BeginNs, f.EndNs}
		if f.Kind == Kill {
			w.to = max(w.to, f.BeginNs+int64(minKillWindow))
		}
		windows = append(windows, w)
	}
	slices.SortFunc(windows, func(a, b span) int { return cmp.Compare(a.from, b.from) })
	var out []span
	from := whole.from
	for _, w := range windows {
		if w.from > from {
			out = append(out, span{from, min(w.from, whole.to)})
		}
		from = max(from, w.to)
	}
	if from < whole.to {
		out = append(out, span{from, whole.to})
	}
	return out
}

// loadSpan returns the interval from the first request to the end of the last
// one.
func loadSpan(in Input) span {
	if len(in.Records) == 0 {
		return span{}
	}
	out := span{in.Records[0].ArrivalNs, in.Records[0].EndedNs}
	for _, r := range in.Records {
		out.from = min(out.from, r.ArrivalNs)
		out.to = max(out.to, r.EndedNs)
	}
	return out
}

// AppBalance is the imbalance of one app.
type AppBalance struct {
	App string
	// Imbalance is the highest busy time per slot of any target of the app over
	// the mean; 1 is perfect balance.
	Imbalance float64
}

// balances returns the imbalance of each app outside the windows of faults. The
// uptime of a killed target counts only until its first kill.
func balances(in Input, runs []run) []AppBalance {
	return balancesIn(in, runs, faultFreeSpans(in))
}

// balancesIn returns the imbalance of each app over the given spans, sorted by
// app.
func balancesIn(in Input, runs []run, spans []span) []AppBalance {
	busy := map[string]int64{}
	for _, r := range runs {
		for _, s := range spans {
			busy[r.Target] += s.overlap(span{r.StartNs, r.endNs})
		}
	}
	shares := map[string][]float64{}
	for _, h := range in.Hosts {
		up := int64(0)
		for _, s := range spans {
			up += s.overlap(span{s.from, killedAt(in, h.Name)})
		}
		if up > 0 {
			shares[h.App] = append(shares[h.App], float64(busy[h.Name])/float64(up)/float64(h.Slots))
		}
	}
	var out []AppBalance
	for _, app := range slices.Sorted(maps.Keys(shares)) {
		out = append(out, AppBalance{app, maxOverMean(shares[app])})
	}
	return out
}

// killedAt returns when the host was first killed, or the largest time if it
// was not.
func killedAt(in Input, name string) int64 {
	for _, f := range in.Faults {
		if f.Kind == Kill && f.Host == name {
			return f.BeginNs
		}
	}
	return 1<<63 - 1
}

// maxOverMean returns the maximum over the mean, or 1 if all values are 0.
func maxOverMean(values []float64) float64 {
	sum, most := 0.0, 0.0
	for _, v := range values {
		sum += v
		most = max(most, v)
	}
	if sum == 0 {
		return 1
	}
	return most * float64(len(values)) / sum
}
