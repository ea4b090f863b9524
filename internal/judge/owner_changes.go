package judge

import "github.com/rhubarbring/rhubarbring/host"

// OwnerChanges counts the changes of slice owners that targets saw.
type OwnerChanges struct {
	// Total counts all changes of a slice's owner between two runs.
	Total int
	// Forced counts the changes away from a session after a fault stopped or
	// killed it.
	Forced int
}

// Churn returns the changes over the forced ones, which are the fewest
// possible; without forced changes it returns the number of changes.
func (c OwnerChanges) Churn() float64 {
	return float64(c.Total) / float64(max(1, c.Forced))
}

// ownerChange is a change of a slice's owner between two consecutive runs. atNs
// is the start of the first run under the new owner.
type ownerChange struct {
	atNs     int64
	slice    string
	from, to string
}

// forced reports whether the change leads away from a session that a fault had
// ended by then. endedAt holds the end of each such session.
func (c ownerChange) forced(endedAt map[string]int64) bool {
	ended, ok := endedAt[c.from]
	return ok && c.atNs >= ended
}

// ownerChanges returns the changes of owners in the order of runs, which must
// be sorted by start.
func ownerChanges(runs []run) []ownerChange {
	owners := map[string]string{}
	var out []ownerChange
	for _, r := range runs {
		if r.Slice == "" {
			continue
		}
		if previous, ok := owners[r.Slice]; ok && previous != r.Owner {
			out = append(out, ownerChange{r.StartNs, r.Slice, previous, r.Owner})
		}
		owners[r.Slice] = r.Owner
	}
	return out
}

func countOwnerChanges(in Input, runs []run) OwnerChanges {
	endedAt := sessionsEndedByFaults(in, runs)
	var out OwnerChanges
	for _, c := range ownerChanges(runs) {
		out.Total++
		if c.forced(endedAt) {
			out.Forced++
		}
	}
	return out
}

// sessionsEndedByFaults returns the sessions that faults ended, with the
// beginning of the fault: the session of the fault's host that a target saw
// last before the fault.
func sessionsEndedByFaults(in Input, runs []run) map[string]int64 {
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

// hostOf returns the host of a session, or "" if owner is not a session.
func hostOf(owner string) string {
	s, ok := host.ParseSession(owner)
	if !ok {
		return ""
	}
	return string(s.Host)
}
