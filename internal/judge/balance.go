package judge

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/rhubarbring/rhubarbring/host"
)

// settleAfterKill is how long the time after a kill counts as its window.
const settleAfterKill = 5 * time.Second

// span is a stretch of time, in CLOCK_BOOTTIME nanoseconds.
type span struct {
	from, to int64
}

func (s span) overlap(o span) int64 {
	return max(0, min(s.to, o.to)-max(s.from, o.from))
}

// quietSpans returns the stretches of the load without a fault window.
func quietSpans(in Input) []span {
	whole := loadSpan(in)
	windows := make([]span, 0, len(in.Faults))
	for _, f := range in.Faults {
		w := span{f.BeginNs, f.EndNs}
		if f.Kind == Kill {
			w.to = max(w.to, f.BeginNs+int64(settleAfterKill))
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

func loadSpan(in Input) span {
	if len(in.Records) == 0 {
		return span{}
	}
	out := span{in.Records[0].AskedNs, in.Records[0].EndedNs}
	for _, r := range in.Records {
		out.from = min(out.from, r.AskedNs)
		out.to = max(out.to, r.EndedNs)
	}
	return out
}

// AppBalance is the imbalance of one app.
type AppBalance struct {
	App string
	// Imbalance is the busiest server's busy time per slot over the mean.
	Imbalance float64
}

// balances returns the imbalance of each app over the quiet spans. A killed
// target is counted until its death.
func balances(in Input, runs []run) []AppBalance {
	return balancesIn(in, runs, quietSpans(in))
}

func balancesIn(in Input, runs []run, quiet []span) []AppBalance {
	busy := map[string]int64{}
	for _, r := range runs {
		for _, q := range quiet {
			busy[r.Target] += q.overlap(span{r.StartNs, r.endNs})
		}
	}
	shares := map[string][]float64{}
	for _, h := range in.Hosts {
		up := int64(0)
		for _, q := range quiet {
			up += q.overlap(span{q.from, diedAt(in, h.Name)})
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

func diedAt(in Input, name string) int64 {
	for _, f := range in.Faults {
		if f.Kind == Kill && f.Host == name {
			return f.BeginNs
		}
	}
	return 1<<63 - 1
}

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

// Moves counts the changes of owners that targets saw.
type Moves struct {
	// Changes are all changes of a slice's owner between two runs.
	Changes int
	// Forced are those away from a session that a fault stopped or killed.
	Forced int
}

// Churn is the changes over the least possible number of them.
func (m Moves) Churn() float64 {
	return float64(m.Changes) / float64(max(1, m.Forced))
}

// ownerChange is one change of a slice's owner that a target saw.
type ownerChange struct {
	atNs     int64
	slice    string
	from, to string
}

// forced reports whether the change leads away from a session that a fault
// ended, given when each of those ended.
func (c ownerChange) forced(victims map[string]int64) bool {
	ended, ok := victims[c.from]
	return ok && c.atNs >= ended
}

func ownerChanges(runs []run) []ownerChange {
	owners := map[string]string{}
	var out []ownerChange
	for _, r := range runs {
		if r.Slice == "" {
			continue
		}
		if before, ok := owners[r.Slice]; ok && before != r.Owner {
			out = append(out, ownerChange{r.StartNs, r.Slice, before, r.Owner})
		}
		owners[r.Slice] = r.Owner
	}
	return out
}

func moves(in Input, runs []run) Moves {
	victims := victimSessions(in, runs)
	var m Moves
	for _, c := range ownerChanges(runs) {
		m.Changes++
		if c.forced(victims) {
			m.Forced++
		}
	}
	return m
}

// victimSessions returns the sessions that a fault ended and when: the newest
// session of the fault's host that a target saw before the fault.
func victimSessions(in Input, runs []run) map[string]int64 {
	out := map[string]int64{}
	for _, f := range in.Faults {
		newest := ""
		for _, r := range runs {
			if r.StartNs < f.BeginNs && hostOf(r.Owner) == f.Host {
				newest = r.Owner
			}
		}
		if newest != "" {
			out[newest] = f.BeginNs
		}
	}
	return out
}

func hostOf(owner string) string {
	s, ok := host.ParseSession(owner)
	if !ok {
		return ""
	}
	return string(s.Host)
}
