package gate

import (
	"math"
	"slices"
	"time"

	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/mono"
)

const (
	// flowMemory is the time constant with which the counts of a flow decay: long
	// enough for some ten requests of a flow at one gate, shorter than swings of load.
	flowMemory = 4 * time.Second
	// minServedShare is the least share of a flow's requests that is started, relative
	// to that of all requests. Callers are promised a quarter; the rest is a margin.
	minServedShare = 0.3
	// minFlowCount is the count of requests below which a flow's share says nothing.
	minFlowCount = 5
	// inTimeMargin is how many mean service times must be left for a job that counts as
	// one that can be in time. With 1, half of those that just can are late.
	inTimeMargin = 1.25
	// maxFlows bounds the flows that are told apart. The requests of further ones are
	// shared out as they come.
	maxFlows = 128
)

// flowKey identifies the requests that share room as one: those of a route whose
// callers are in one availability zone.
type flowKey struct {
	route string
	zone  host.Zone
}

// flow counts the requests of a flow that arrived and were started, and the time
// that its runs take in slots. The counts decay with flowMemory.
type flow struct {
	key              flowKey
	arrived, started float64
	useNs            float64
	updatedAt        mono.Time
	queued           int // jobs in the queues
	counted          int // scratch of fairlyAhead
}

// flows are the flows of a gate. The list has a fixed order, so that choices do not
// depend on that of a map.
type flows struct {
	byKey map[flowKey]*flow
	list  []*flow
	all   flow
	// sweptAt is when idle flows were last dropped.
	sweptAt mono.Time
}

// of returns the flow with the key, or nil if there are too many.
func (s *flows) of(now mono.Time, k flowKey) *flow {
	if f := s.byKey[k]; f != nil {
		return f
	}
	if len(s.list) >= maxFlows && now.Sub(s.sweptAt) >= flowMemory {
		s.dropIdle(now)
	}
	if len(s.list) >= maxFlows {
		return nil
	}
	f := &flow{key: k, updatedAt: now}
	s.byKey[k] = f
	s.list = append(s.list, f)
	return f
}

// dropIdle drops the flows without queued jobs whose counts have decayed.
func (s *flows) dropIdle(now mono.Time) {
	s.sweptAt = now
	s.list = slices.DeleteFunc(s.list, func(f *flow) bool {
		f.decay(now)
		idle := f.queued == 0 && f.arrived < 0.1
		if idle {
			delete(s.byKey, f.key)
		}
		return idle
	})
}

// decay lets the counts age until now.
func (f *flow) decay(now mono.Time) {
	if now <= f.updatedAt {
		return
	}
	left := math.Exp(-float64(now.Sub(f.updatedAt)) / float64(flowMemory))
	f.arrived *= left
	f.started *= left
	f.useNs *= left
	f.updatedAt = now
}

// share returns the share of the requests that was started.
func (f *flow) share() float64 {
	return f.started / max(f.arrived, 1)
}

// arrive counts a request of a flow, which may be nil.
func (s *flows) arrive(now mono.Time, f *flow) {
	for _, f := range [...]*flow{f, &s.all} {
		if f != nil {
			f.decay(now)
			f.arrived++
		}
	}
}

// start counts the start of a run of a flow, which may be nil.
func (s *flows) start(now mono.Time, f *flow, service time.Duration) {
	for _, f := range [...]*flow{f, &s.all} {
		if f != nil {
			f.decay(now)
			f.started++
			f.useNs += float64(service)
		}
	}
}

// starves reports whether a flow is served far less often than all requests.
func (s *flows) starves(now mono.Time, f *flow) bool {
	if f == nil {
		return false
	}
	f.decay(now)
	s.all.decay(now)
	return f.arrived >= minFlowCount && f.share() < minServedShare*s.all.share()
}

// mostStarving returns the flow with queued jobs that is served least of those that
// starve, or nil.
func (s *flows) mostStarving(now mono.Time) *flow {
	var least *flow
	for _, f := range s.list {
		if f.queued > 0 && s.starves(now, f) && (least == nil || f.share() < least.share()) {
			least = f
		}
	}
	return least
}

// flowOf returns the flow of a request from an entry daemon, or nil.
func (g *Gate) flowOf(now mono.Time, route string, from host.Session) *flow {
	var zone host.Zone
	if g.cfg.ZoneOf != nil {
		zone = g.cfg.ZoneOf(from)
	}
	return g.flows.of(now, flowKey{route: route, zone: zone})
}

// sharesRoom reports whether room is shared out between flows: while there is too
// little of it. Otherwise the order by soft deadlines serves all in time.
func (g *Gate) sharesRoom(now mono.Time) bool {
	return !g.disabled.fairness && g.overloaded(now)
}

// starvingJob returns the first job of the flow that starves most, if possible one
// that can still be in time, or nil.
func (g *Gate) starvingJob(now mono.Time) *job {
	f := g.flows.mostStarving(now)
	if f == nil {
		return nil
	}
	var late *job
	for i := range g.queues {
		q := &g.queues[i]
		for _, j := range q.jobs[q.head:] {
			switch {
			case j == nil || j.flow != f:
			case g.canBeInTime(now, j):
				return j
			case late == nil:
				late = j
			}
		}
	}
	return late
}

// fairJob returns the job of a level to start next: of those that can still be in
// time, or of all if none can, the first one of the flow whose runs took the least
// time lately.
func (g *Gate) fairJob(now mono.Time, level int) *job {
	var best *job
	bestInTime := false
	for _, j := range g.queues[level].jobs[g.queues[level].head:] {
		if j == nil {
			continue
		}
		inTime := g.canBeInTime(now, j)
		if best == nil || inTime && !bestInTime || inTime == bestInTime && usesLess(now, j.flow, best.flow) {
			best, bestInTime = j, inTime
		}
	}
	return best
}

// canBeInTime reports whether a job would likely meet its soft deadline if it started
// now; a call is of use up to its deadline, and so is a request without a target.
func (g *Gate) canBeInTime(now mono.Time, j *job) bool {
	return !g.lateAt(j).Before(now)
}

// lateAt returns until when a job has to be started to likely meet its soft deadline.
func (g *Gate) lateAt(j *job) mono.Time {
	switch {
	case j.req.LatencyTarget == 0 || j.req.Class.IsCall():
		return j.deadline
	case g.missesSoftDeadline(j.req):
		return 0
	}
	return j.softDeadline.Add(-time.Duration(inTimeMargin * float64(g.expectedRunOf(j.req.Route))))
}

// usesLess reports whether the runs of flow a took less time lately than those of
// b. Requests without a flow come last.
func usesLess(now mono.Time, a, b *flow) bool {
	if a == nil || b == nil {
		return a != nil && b == nil
	}
	a.decay(now)
	b.decay(now)
	return a.useNs < b.useNs
}

// fairlyAhead returns the number of queued requests of a level that are started
// before a new one of flow f with the given soft deadline while room is shared out:
// those of its flow, all of flows that used less, and of each other flow as many as
// of its own after its use has reached that of the other.
func (g *Gate) fairlyAhead(now mono.Time, level int, f *flow, service time.Duration, softDeadline mono.Time) int {
	own := 0
	for _, j := range g.queues[level].all() {
		switch {
		case !g.canBeInTime(now, j):
		case j.flow == f && !j.softDeadline.After(softDeadline):
			own++
		case j.flow != f && j.flow != nil:
			j.flow.counted++
		}
	}
	ahead := own
	for _, other := range g.flows.list {
		if other.counted == 0 {
			continue
		}
		if usesLess(now, other, f) {
			ahead += other.counted
		} else {
			lead := (other.useNs - f.useNs) / max(float64(service), 1)
			ahead += min(other.counted, int(max(float64(own+1)-lead, 0)))
		}
		other.counted = 0
	}
	return ahead
}

// starvingWait returns how long a new request of a flow that starves waits: until
// its queued ones are started at the rate that minServedShare leaves to it.
func (s *flows) starvingWait(f *flow) time.Duration {
	perSecond := minServedShare * s.all.share() * f.arrived / flowMemory.Seconds()
	return time.Duration(float64(f.queued) / perSecond * float64(time.Second))
}
