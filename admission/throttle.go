package admission

import (
	"math"
	"time"

	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/request"
)

const (
	// bucketLength and bucketCount make up the second over which requests are counted.
	bucketLength = 250 * time.Millisecond
	bucketCount  = 4
	// admitFactor is how many requests are let through for each one that is served.
	// Above 1, so that rising capacity is found, and sampling errors of some ten
	// requests refuse nothing that would be served. With 1.2 callers got up to 2 % less
	// value than without admission, with 2 up to 2 % more.
	admitFactor = 2.0
	// maxFlows bounds the flows that are counted. Further ones are never throttled.
	maxFlows = 1024
)

// The columns of throttle.counts: requests that a gate took, and all that ended, of
// callers who had just come and of those who had waited.
const (
	taken = iota
	endedFresh
	endedLate
	columns
)

// throttle counts the requests of a flow that ended in the last second: those that
// a gate took, and those that were refused there or here. Entry daemons of a large fleet hear from each gate too
// seldom to know its load, but their own requests tell the share that finds room.
type throttle struct {
	counts [bucketCount][columns]float64
	newest int64 // number of the newest bucket
	// longestTarget is the longest latency target seen, that of a first submission.
	longestTarget time.Duration
}

// count adds a request to a column.
func (t *throttle) count(now mono.Time, column int) {
	t.advance(now)
	t.counts[t.newest%bucketCount][column]++
}

// advance drops the buckets that are older than a second.
func (t *throttle) advance(now mono.Time) {
	number := int64(now) / int64(bucketLength)
	for range min(number-t.newest, bucketCount) {
		t.newest++
		t.counts[t.newest%bucketCount] = [columns]float64{}
	}
	if number > t.newest {
		t.newest = number
		t.counts = [bucketCount][columns]float64{}
	}
}

// sum returns the count of a column in the last second.
func (t *throttle) sum(now mono.Time, column int) float64 {
	t.advance(now)
	sum := 0.0
	for i := range t.counts {
		sum += t.counts[i][column]
	}
	return sum
}

// ended counts the end of a request, taken by a gate or refused there or here.
func (t *throttle) ended(now mono.Time, r *request.Request, wasTaken bool) {
	if wasTaken {
		t.count(now, taken)
	}
	if t.isLate(r) {
		t.count(now, endedLate)
	} else {
		t.count(now, endedFresh)
	}
}

// isLate reports whether a caller has waited for more than half of the route's
// latency target. Under overload gates refuse most of such requests.
func (t *throttle) isLate(r *request.Request) bool {
	t.longestTarget = max(t.longestTarget, r.LatencyTarget)
	return 2*r.LatencyTarget < t.longestTarget
}

// refusalShare returns the share of requests like r that are refused, so that
// admitFactor times as many as are taken go on: those of callers who have just come
// first, and late ones in what room they leave.
func (t *throttle) refusalShare(now mono.Time, r *request.Request) float64 {
	room := admitFactor * t.sum(now, taken)
	fresh := t.sum(now, endedFresh)
	if !t.isLate(r) {
		return max((fresh-room)/(fresh+1), 0)
	}
	late := t.sum(now, endedLate)
	return max((late-max(room-fresh, 0))/(late+1), 0)
}

// excess returns how many requests were refused for each one that was taken.
func (t *throttle) excess(now mono.Time) float64 {
	served := t.sum(now, taken)
	refused := t.sum(now, endedFresh) + t.sum(now, endedLate) - served
	return refused / max(served, 1)
}

// flowOf returns the counts of a request's flow. Beyond maxFlows it is one that
// records nothing.
func (c *Controller) flowOf(now mono.Time, r *request.Request) *throttle {
	k := flow{app: r.App, route: r.Route}
	t := c.flows[k]
	if t == nil {
		t = &throttle{newest: int64(now) / int64(bucketLength)}
		if len(c.flows) < maxFlows {
			c.flows[k] = t
		}
	}
	return t
}

const (
	// maxSpread bounds the time over which the return of refused callers is spread.
	maxSpread = 2 * time.Second
	// callerShare is the part of its remaining time after which a caller comes back at
	// the latest, whatever it is told.
	callerShare = 3
)

// spread returns when a refused caller is to come back: when there is room and, at
// random, up to the width of the overload later: the time in which what was refused
// in a second could be served. Less urgent callers are spread over more, and come
// later on average. A caller that could then not be served in its time is told to
// come earlier.
func (c *Controller) spread(now mono.Time, q request.AdmissionQuery, room time.Duration) time.Duration {
	room = max(room, minRetryAfter)
	excess := c.flowOf(now, q.Request).excess(now)
	width := min(time.Duration(excess*float64(time.Second)), maxSpread)
	width = width * time.Duration(2+q.Request.Class.Rank()) / 2
	latest := max(q.Left/callerShare, minRetryAfter)
	// A caller that can still be in time needs the other half to be served.
	if half := q.Request.LatencyTarget / 2; room < half {
		latest = min(latest, half)
	}
	if room >= latest {
		return room
	}
	width = min(width, latest-room)
	later := math.Pow(c.rnd.Float64(), 2/float64(2+q.Request.Class.Rank()))
	return room + time.Duration(later*float64(width))
}
