package grant

import (
	"slices"
	"time"

	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/mono"
)

// reportDelay is the longest that a heartbeat is assumed to be on its way.
const reportDelay = 10 * time.Second

// expectedHoldings finds the slices that a target holds although this daemon has
// not granted them to it.
//
// The target sends a heartbeat after it has taken, or given up, the answer to the
// one before. So it holds a slice at an epoch rightly only if that answer granted
// it, or if the heartbeat before reported it and it was right then: also while it
// works on a slice that it is to release, and at an earlier epoch until it takes
// the next. A slice that one heartbeat did not report is not held in the next one
// without another grant, since it may have been reported as released. What an
// earlier daemon granted is right until it has surely expired when the heartbeat
// was sent, reportDelay before it is handled.
//
// A late heartbeat of an instance that has ended is taken for one of a new instance
// if the running one is silent (package targetinstance). What it reports is then
// unexpected too.
type expectedHoldings struct {
	// earlierUntil is until when a report may name what an earlier daemon granted.
	earlierUntil mono.Time
	granted      map[key.Slice]uint64 // The epochs in the last answer.
	expected     map[key.Slice]uint64 // The epochs in the last report that were right.
	unexpected   map[key.Slice]uint64 // Those that were not.
}

// observe handles the epochs of a report and returns what is not expected and was
// not in the report before, in the order of slices.
func (e *expectedHoldings) observe(now mono.Time, held map[key.Slice]uint64) []SliceEpoch {
	expected, unexpected := make(map[key.Slice]uint64), make(map[key.Slice]uint64)
	var added []SliceEpoch
	for s, epoch := range held {
		switch {
		case isAt(e.granted, s, epoch) || isAt(e.expected, s, epoch):
			expected[s] = epoch
		case now.Before(e.earlierUntil):
			// An earlier daemon may have granted it.
		default:
			unexpected[s] = epoch
			if !isAt(e.unexpected, s, epoch) {
				added = append(added, SliceEpoch{Slice: s, Epoch: epoch})
			}
		}
	}
	e.expected, e.unexpected, e.granted = expected, unexpected, nil
	slices.SortFunc(added, compareSlices)
	return added
}

// answered records what the answer to the last report grants.
func (e *expectedHoldings) answered(rows []Row) {
	e.granted = make(map[key.Slice]uint64)
	for _, r := range rows {
		for id := r.Range.First; id <= r.Range.Last; id++ {
			e.granted[key.Slice{App: r.Range.App, ID: id}] = r.Epoch
		}
	}
}

// isAt reports whether the map has a slice at an epoch.
func isAt(epochs map[key.Slice]uint64, s key.Slice, epoch uint64) bool {
	at, ok := epochs[s]
	return ok && at == epoch
}
