package judge

import (
	"cmp"
	"slices"

	"github.com/rhubarbring/rhubarbring/internal/targetstand"
)

// run is one run of a request at a target, put together from its journal.
type run struct {
	targetstand.Record
	endNs int64
	// cut says that the journal has no end of the run.
	cut bool
}

// effective reports whether the run took effect, or may have.
func (r run) effective() bool {
	return !r.Stopped
}

// runsOf puts together starts and ends and sorts the runs by start. A run
// without an end is taken to last until its target's death or, if that did
// not die, to the end of its journal.
func runsOf(in Input) []run {
	ends := map[startKey]targetstand.Record{}
	last := map[string]int64{}
	for _, r := range in.Journal {
		last[r.Target] = max(last[r.Target], r.StartNs, r.EndNs)
		if r.Phase == targetstand.PhaseEnd {
			ends[keyOf(r)] = r
		}
	}
	for _, f := range in.Faults {
		if f.Kind == Kill {
			last[f.Host] = max(last[f.Host], f.EndNs)
		}
	}
	var runs []run
	for _, r := range in.Journal {
		if r.Phase != targetstand.PhaseStart {
			continue
		}
		end, ended := ends[keyOf(r)]
		if !ended {
			runs = append(runs, run{Record: r, endNs: last[r.Target], cut: true})
			continue
		}
		runs = append(runs, run{Record: end, endNs: end.EndNs})
	}
	slices.SortStableFunc(runs, func(a, b run) int { return cmp.Compare(a.StartNs, b.StartNs) })
	return runs
}

type startKey struct {
	target, id, attempt string
	startNs             int64
}

func keyOf(r targetstand.Record) startKey {
	return startKey{r.Target, r.ID, r.Attempt, r.StartNs}
}

// repeated counts the requests that are not idempotent and of which more than
// one run took effect or may have.
func repeated(runs []run) []string {
	counts := map[string]int{}
	var out []string
	for _, r := range runs {
		if r.Idempotent || !r.effective() {
			continue
		}
		counts[r.ID]++
		if counts[r.ID] == 2 {
			out = append(out, r.ID)
		}
	}
	return out
}

// sliceOwners is what targets have seen of a slice so far.
type sliceOwners struct {
	epoch   uint64
	owner   string // Owner at that epoch.
	started []run
}

// twoOwners returns the runs that break sole ownership: one that overlaps a
// run of the same slice under another owner, one at an epoch below another
// that had already started, and one at the same epoch under another owner.
func twoOwners(runs []run) []run {
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

func (s *sliceOwners) conflicts(r run) bool {
	if r.Epoch < s.epoch {
		return true
	}
	if r.Epoch == s.epoch && s.owner != "" && r.Owner != s.owner {
		return true
	}
	return slices.ContainsFunc(s.started, func(o run) bool {
		return o.Owner != r.Owner && o.endNs > r.StartNs
	})
}

func (s *sliceOwners) add(r run) {
	if r.Epoch >= s.epoch {
		s.epoch, s.owner = r.Epoch, r.Owner
	}
	s.started = slices.DeleteFunc(s.started, func(o run) bool { return o.endNs <= r.StartNs })
	s.started = append(s.started, r)
}
