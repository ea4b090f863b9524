package gate

import (
	"time"

	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/request"
)

// SliceWaiters holds requests for slices that this daemon owns and that its
// target gets with its next heartbeat. Refused, they would be sent again several
// times within that wait, each time at the cost of a retry, and mostly end
// without an answer.
//
// Only idempotent requests wait: the gate drops other requests that come out of
// the order of their sequence numbers. SliceWaiters is not safe for concurrent
// use.
type SliceWaiters struct {
	max     int
	waiting []sliceWaiter
}

type sliceWaiter struct {
	from      host.Session
	request   *request.Request
	arrivedAt mono.Time
	until     mono.Time
}

// Arrival is a request that has waited, with its time limits reduced by the wait.
type Arrival struct {
	From    host.Session
	Request *request.Request
}

// waitShare is the part of a request's budget that it may wait for its slice. The
// rest is for its run.
const waitShare = 0.5

// NewSliceWaiters returns an empty SliceWaiters for at most max requests.
func NewSliceWaiters(max int) *SliceWaiters {
	return &SliceWaiters{max: max}
}

// Add makes a request wait until the target holds its slice, which is expected at
// heldAt. It returns false if the request must not wait: it would use too much of
// its time, or there is no room.
func (w *SliceWaiters) Add(now mono.Time, from host.Session, r *request.Request, heldAt mono.Time) bool {
	longest := time.Duration(float64(r.Budget) * waitShare)
	if !r.Idempotent || heldAt.Sub(now) > longest || len(w.waiting) >= w.max {
		return false
	}
	w.waiting = append(w.waiting, sliceWaiter{from: from, request: r, arrivedAt: now, until: now.Add(longest)})
	return true
}

// Len returns the number of waiting requests.
func (w *SliceWaiters) Len() int {
	return len(w.waiting)
}

// Cancel drops a request whose caller has left, and reports whether it waited.
func (w *SliceWaiters) Cancel(from host.Session, seq uint64) bool {
	return w.drop(func(x *sliceWaiter) bool { return x.from == from && x.request.Seq == seq })
}

// DropFrom drops the requests of an entry daemon that is lost.
func (w *SliceWaiters) DropFrom(from host.Session) {
	w.drop(func(x *sliceWaiter) bool { return x.from == from })
}

func (w *SliceWaiters) drop(matches func(*sliceWaiter) bool) bool {
	kept := w.waiting[:0]
	for i := range w.waiting {
		if !matches(&w.waiting[i]) {
			kept = append(kept, w.waiting[i])
		}
	}
	dropped := len(kept) < len(w.waiting)
	clear(w.waiting[len(kept):])
	w.waiting = kept
	return dropped
}

// Take removes and returns, in the order of their arrival, the requests that are
// ready and those that must not wait any longer.
func (w *SliceWaiters) Take(now mono.Time, ready func(*request.Request) bool) []Arrival {
	var out []Arrival
	w.drop(func(x *sliceWaiter) bool {
		if now.Before(x.until) && !ready(x.request) {
			return false
		}
		out = append(out, Arrival{From: x.from, Request: x.afterWait(now)})
		return true
	})
	return out
}

// afterWait returns a copy of the request with the time that is left. The copy
// keeps a latency target that has passed as the shortest one, since 0 means none.
func (x *sliceWaiter) afterWait(now mono.Time) *request.Request {
	waited := now.Sub(x.arrivedAt)
	r := *x.request
	r.Budget -= waited
	if r.LatencyTarget > 0 {
		r.LatencyTarget = max(r.LatencyTarget-waited, time.Millisecond)
	}
	return &r
}
