package request

import (
	"cmp"
	"slices"

	"github.com/rhubarbring/rhubarbring/mono"
)

// Stop holds the times of a planned stop of this daemon. The zero Stop is none.
type Stop struct {
	// TakeUntil is until when requests are taken whatever their deadline. A later
	// one is refused unless its deadline is AnswerBy at the latest: it might have to
	// be given up while a target runs it.
	TakeUntil mono.Time
	// AnswerBy is when every caller has been answered.
	AnswerBy mono.Time
}

// refuses reports whether a request with the deadline that arrives at now is refused.
func (s Stop) refuses(now, deadline mono.Time) bool {
	return s != Stop{} && !now.Before(s.TakeUntil) && deadline.After(s.AnswerBy)
}

// limit returns the deadline, or AnswerBy if that is earlier.
func (s Stop) limit(deadline mono.Time) mono.Time {
	if s == (Stop{}) {
		return deadline
	}
	return earlierOf(deadline, s.AnswerBy)
}

// BeginStop begins a planned stop. Requests that are open, and those that are still
// taken, end by AnswerBy at the latest as if it were their deadline.
func (r *Router) BeginStop(stop Stop) {
	r.stop = stop
	for _, c := range r.open() {
		c.deadline = stop.limit(c.deadline)
		if c.timerAt.After(c.deadline) {
			r.setTimer(c, c.deadline)
		}
	}
}

// open returns the calls whose outcome is not known yet, sorted by caller so that the
// order is deterministic. The callers of some may have disconnected.
func (r *Router) open() []*call {
	var list []*call
	for _, c := range r.byCaller {
		list = append(list, c)
	}
	for _, c := range r.bySeq {
		if c.callerGone && c.state == stateSent {
			list = append(list, c)
		}
	}
	slices.SortFunc(list, func(a, b *call) int { return cmp.Compare(a.caller, b.caller) })
	return slices.Compact(list)
}
