package judge

import (
	"cmp"
	"slices"

	"github.com/rhubarbring/rhubarbring/internal/faketarget"
)

// run is one run of a request at a target, joined from the start and end
// records of its journal.
type run struct {
	faketarget.Record
	endNs int64
	// unfinished says that the journal has no end record of the run.
	unfinished bool
}

// mayHaveTakenEffect reports whether the run took effect or may have: only a
// run that a cancellation stopped certainly did not.
func (r run) mayHaveTakenEffect() bool {
	return !r.Stopped
}

// runsFromJournals joins start and end records into runs, sorted by start. An
// unfinished run is taken to last until the last time in the journal of its
// target or, if the target was killed, the end of the kill, whichever is later.
func runsFromJournals(in Input) []run {
	ends := map[runKey]faketarget.Record{}
	last := map[string]int64{}
	for _, r := range in.Journal {
		last[r.Target] = max(last[r.Target], r.StartNs, r.EndNs)
		if r.Phase == faketarget.PhaseEnd {
			ends[runKeyOf(r)] = r
		}
	}
	for _, f := range in.Faults {
		if f.Kind == Kill {
			last[f.Host] = max(last[f.Host], f.EndNs)
		}
	}
	var runs []run
	for _, r := range in.Journal {
		if r.Phase != faketarget.PhaseStart {
			continue
		}
		end, ended := ends[runKeyOf(r)]
		if !ended {
			runs = append(runs, run{Record: r, endNs: last[r.Target], unfinished: true})
			continue
		}
		runs = append(runs, run{Record: end, endNs: end.EndNs})
	}
	slices.SortStableFunc(runs, func(a, b run) int { return cmp.Compare(a.StartNs, b.StartNs) })
	return runs
}

// runKey identifies a run across its start and end records.
type runKey struct {
	target, id, attempt string
	startNs             int64
}

func runKeyOf(r faketarget.Record) runKey {
	return runKey{r.Target, r.ID, r.Attempt, r.StartNs}
}

// repeatedRequests returns the ids of non-idempotent requests of which more
// than one run took effect or may have.
func repeatedRequests(runs []run) []string {
	counts := map[string]int{}
	var out []string
	for _, r := range runs {
		if r.Idempotent || !r.mayHaveTakenEffect() {
			continue
		}
		counts[r.ID]++
		if counts[r.ID] == 2 {
			out = append(out, r.ID)
		}
	}
	return out
}

// sliceOwners holds what the runs seen so far tell about the ownership of a
// slice.
type sliceOwners struct {
	epoch  uint64
	owner  string // Owner at epoch.
	active []run
}

// ownershipViolations returns the runs that break sole ownership of a slice: a
// run that overlaps a run under another owner, one at a lower epoch than a run
// that started before it, and one at the same epoch under another owner. Runs
// must be sorted by start.
func ownershipViolations(runs []run) []run {
	seen := map[string]*sliceOwners{}
	var out []run
	for _, r := range runs {
		if r.Slice == "" {
			continue
		}
		s, ok := seen[r.Slice]
		if !ok {
			s = &sliceOwners{}
			seen[r.Slice] = s
		}
		if s.conflicts(r) {
			out = append(out, r)
		}
		s.add(r)
	}
	return out
}

// conflicts reports whether r breaks sole ownership, given the runs that
// started before it.
func (s *sliceOwners) conflicts(r run) bool {
	if r.Epoch < s.epoch {
		return true
	}
	if r.Epoch == s.epoch && s.owner != "" && r.Owner != s.owner {
		return true
	}
	return slices.ContainsFunc(s.active, func(o run) bool {
		return o.Owner != r.Owner && o.endNs > r.StartNs
	})
}

// add records r and drops the active runs that ended by its start.
func (s *sliceOwners) add(r run) {
	if r.Epoch >= s.epoch {
		s.epoch, s.owner = r.Epoch, r.Owner
	}
	s.active = slices.DeleteFunc(s.active, func(o run) bool { return o.endNs <= r.StartNs })
	s.active = append(s.active, r)
}
