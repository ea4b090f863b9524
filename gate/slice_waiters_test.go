package gate

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/request"
)

const waitStart = mono.Time(time.Hour)

var waitEntry = host.Session{Host: "entry", Incarnation: 1}

func newWaitRequest(seq uint64) *request.Request {
	return &request.Request{Seq: seq, Idempotent: true, Budget: time.Second, LatencyTarget: 400 * time.Millisecond}
}

func never(*request.Request) bool  { return false }
func always(*request.Request) bool { return true }

// Requests wait in their order, and their time limits shrink by the wait.
func TestWaitersComeOutInOrderWithTimeLeft(t *testing.T) {
	w := NewSliceWaiters(10)
	first, second := newWaitRequest(1), newWaitRequest(2)
	must.True(t, w.Add(waitStart, waitEntry, first, waitStart.Add(300*time.Millisecond)))
	must.True(t, w.Add(waitStart.Add(100*time.Millisecond), waitEntry, second, waitStart.Add(300*time.Millisecond)))
	must.SliceEmpty(t, w.Take(waitStart.Add(200*time.Millisecond), never))
	out := w.Take(waitStart.Add(300*time.Millisecond), always)
	must.Len(t, 2, out)
	must.Eq(t, []time.Duration{700 * time.Millisecond, 800 * time.Millisecond}, []time.Duration{out[0].Request.Budget, out[1].Request.Budget})
	must.Eq(t, 100*time.Millisecond, out[0].Request.LatencyTarget)
	must.Eq(t, time.Second, first.Budget, must.Sprint("the sender's request is not changed"))
	must.Zero(t, w.Len())
}

// A request does not wait if the slice comes too late for it, beyond the room,
// or if it must not run twice.
func TestSomeRequestsDoNotWait(t *testing.T) {
	w := NewSliceWaiters(1)
	must.False(t, w.Add(waitStart, waitEntry, newWaitRequest(1), waitStart.Add(501*time.Millisecond)))
	once := newWaitRequest(2)
	once.Idempotent = false
	must.False(t, w.Add(waitStart, waitEntry, once, waitStart))
	must.True(t, w.Add(waitStart, waitEntry, newWaitRequest(3), waitStart))
	must.False(t, w.Add(waitStart, waitEntry, newWaitRequest(4), waitStart))
}

// A request whose slice does not come is given back while there is time to refuse
// it.
func TestWaitIsBounded(t *testing.T) {
	w := NewSliceWaiters(10)
	w.Add(waitStart, waitEntry, newWaitRequest(1), waitStart)
	must.SliceEmpty(t, w.Take(waitStart.Add(499*time.Millisecond), never))
	out := w.Take(waitStart.Add(600*time.Millisecond), never)
	must.Len(t, 1, out)
	must.Eq(t, time.Millisecond, out[0].Request.LatencyTarget)
}

func TestCancelledAndLostWaitersAreDropped(t *testing.T) {
	w := NewSliceWaiters(10)
	other := host.Session{Host: "other", Incarnation: 1}
	w.Add(waitStart, waitEntry, newWaitRequest(1), waitStart)
	w.Add(waitStart, waitEntry, newWaitRequest(2), waitStart)
	w.Add(waitStart, other, newWaitRequest(1), waitStart)
	must.True(t, w.Cancel(waitEntry, 1))
	must.False(t, w.Cancel(waitEntry, 1))
	w.DropFrom(other)
	out := w.Take(waitStart, always)
	must.Len(t, 1, out)
	must.Eq(t, 2, out[0].Request.Seq)
}

// The load: callers ask 100 times a second for a slice that its new owner's target
// gets with its next heartbeat in 350 ms. A run takes 20 ms, the latency target is
// 400 ms. Refused, a request is sent again after 50 ms, with three redirects and a
// budget of retries of 12 %, as the entry daemons have it.
func TestWaitingServesMoreThanRefusing(t *testing.T) {
	const (
		heldAfter = 350 * time.Millisecond
		asked     = 35
		run       = 20 * time.Millisecond
	)
	held := waitStart.Add(heldAfter)
	inTime := func(arrived, started mono.Time) bool { return started.Add(run).Sub(arrived) <= 400*time.Millisecond }
	waiting, refusing, budget := 0, 0, 0.12*asked+2
	w := NewSliceWaiters(256)
	for i := range asked {
		arrived := waitStart.Add(time.Duration(i) * 10 * time.Millisecond)
		must.True(t, w.Add(arrived, waitEntry, newWaitRequest(uint64(i)), held))
		for attempt := range 4 {
			at := arrived.Add(time.Duration(attempt) * 50 * time.Millisecond)
			if !at.Before(held) {
				refusing++
				break
			}
			if budget--; budget < 0 {
				break
			}
		}
	}
	for _, a := range w.Take(held, always) {
		if inTime(held.Add(a.Request.Budget-time.Second), held) {
			waiting++
		}
	}
	t.Logf("of %d requests %d are served in time by waiting, %d by refusing", asked, waiting, refusing)
	must.Eq(t, asked, waiting)
	must.Less(t, asked/2, refusing)
}
