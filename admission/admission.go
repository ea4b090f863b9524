// Package admission decides at the entry daemon whether a new request is sent to a
// gate at all. Under overload a refusal that comes at once, and says when to come
// back, serves its caller better than one that comes after several gates have
// refused the request.
//
// It keeps what gates answered: which gate had no room for which route, and until
// when, and for each route of an app how many requests of the last second were
// refused. The gates have the last word: what is admitted here may be refused
// there. The package does no I/O and reads no clock.
package admission

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/request"
	"github.com/rhubarbring/rhubarbring/result"
)

const (
	// statementAge is after which time a gate's statement does not count any more.
	statementAge = 2 * time.Second
	// probeShare is the share of the requests that are admitted whatever is known, so
	// that an entry daemon learns when there is room again.
	probeShare = 1.0 / 16
	// minRetryAfter is the least time after which a refused caller is to come back,
	// here and at gates.
	minRetryAfter = 80 * time.Millisecond
	// minFullGates is the least number of gates whose statements count if any of them
	// may run a request. Gates estimate waits with a margin; obeyed by all entries, a
	// single one left up to a twelfth of its target unused, and asking it costs one
	// message only.
	minFullGates = 2
	// maxStatements bounds the statements that are kept. Beyond it none are added
	// until old ones are dropped.
	maxStatements = 4096
)

const rngStream = 0x61646d69 // distinguishes this random stream from others with the same seed

// Controller decides which requests are sent. It implements request.Admission and
// is not safe for concurrent use.
type Controller struct {
	rnd        *rand.Rand
	gates      map[key.App][]Gate
	statements map[gateRoute]statement
	flows      map[flow]*throttle
}

// gateRoute identifies a gate and a route whose requests it was sent.
type gateRoute struct {
	gate  host.Session
	route string
}

// flow identifies the requests of a route to an app.
type flow struct {
	app   key.App
	route string
}

// statement is a gate's refusal for lack of room. A request whose answer is wanted
// before fullUntil finds none there.
type statement struct {
	at        mono.Time
	fullUntil mono.Time
}

// New returns a Controller that knows nothing and admits.
func New(seed uint64) *Controller {
	return &Controller{
		rnd:        rand.New(rand.NewPCG(seed, rngStream)),
		gates:      make(map[key.App][]Gate),
		statements: make(map[gateRoute]statement),
		flows:      make(map[flow]*throttle),
	}
}

// Gate is a gate that runs requests of an app, and its region.
type Gate struct {
	Session host.Session
	Region  host.Region
}

// mayRun reports whether the gate is in one of the regions; no regions allow all.
func (g *Gate) mayRun(regions []host.Region) bool {
	return len(regions) == 0 || slices.Contains(regions, g.Region)
}

// SetGates replaces the gates of an app. Gates that are not named do not count.
func (c *Controller) SetGates(app key.App, gates []Gate) {
	if len(gates) == 0 {
		delete(c.gates, app)
		return
	}
	c.gates[app] = gates
}

// Admit implements request.Admission. A request without a latency target, whose
// caller waits as long as its deadline allows, and a call, whose refusal would waste
// the run that makes it, are admitted.
func (c *Controller) Admit(now mono.Time, q request.AdmissionQuery) (time.Duration, bool) {
	r := q.Request
	if r.LatencyTarget == 0 || r.Class.IsCall() {
		return 0, true
	}
	f := c.flowOf(now, r)
	room, full := c.roomIn(now, q)
	refused := full || q.Owner.IsZero() && c.rnd.Float64() < f.refusalShare(now, r)
	if !refused || c.rnd.Float64() < probeShare {
		return 0, true
	}
	f.ended(now, r, false)
	return c.spread(now, q, room), false
}

// Answered implements request.Admission.
func (c *Controller) Answered(now mono.Time, e request.AdmissionEvent) {
	k := gateRoute{gate: e.From, route: e.Request.Route}
	switch e.Code {
	case result.QueueFull:
		if e.Request.LatencyTarget > 0 && !e.Request.Class.IsCall() {
			// A gate never advises less than minRetryAfter. Taken for the time until
			// there is room, it left a tenth of a full app unused.
			excess := max(e.RetryAfter-minRetryAfter, 0)
			c.state(now, k, excess+e.Request.LatencyTarget)
		}
	case result.OK:
		if s, known := c.statements[k]; known && e.SentAt.After(s.at) {
			delete(c.statements, k)
		}
	}
}

// Ended implements request.Admission: it counts the end of a request that was sent.
func (c *Controller) Ended(now mono.Time, r *request.Request, code result.Code) {
	if r.LatencyTarget == 0 || r.Class.IsCall() {
		return
	}
	refused := code == result.QueueFull || code == result.DeadlineTooShort || code == result.RetryBudgetSpent
	c.flowOf(now, r).ended(now, r, !refused)
}

// RetryAfter implements request.Admission: it spreads the return of callers that
// the gates have refused.
func (c *Controller) RetryAfter(now mono.Time, q request.AdmissionQuery, advice time.Duration) time.Duration {
	if q.Request.LatencyTarget == 0 || q.Request.Class.IsCall() {
		return advice
	}
	return c.spread(now, q, advice)
}

// state records that a gate has no room for requests of a route whose answers are
// wanted within the given time.
func (c *Controller) state(now mono.Time, k gateRoute, within time.Duration) {
	if _, known := c.statements[k]; !known && len(c.statements) >= maxStatements {
		c.dropOld(now)
	}
	if len(c.statements) < maxStatements {
		c.statements[k] = statement{at: now, fullUntil: now.Add(within)}
	}
}

func (c *Controller) dropOld(now mono.Time) {
	for k, s := range c.statements {
		if now.Sub(s.at) >= statementAge {
			delete(c.statements, k)
		}
	}
}

// roomIn reports whether no gate that may run the request is expected to serve it
// in time, and after which time one may be. A gate that has stated nothing lately
// may serve it.
func (c *Controller) roomIn(now mono.Time, q request.AdmissionQuery) (time.Duration, bool) {
	if !q.Owner.IsZero() {
		return c.gateRoomIn(now, q.Owner, q.Request)
	}
	least, count := time.Duration(0), 0
	gates := c.gates[q.Request.App]
	for i := range gates {
		if !gates[i].mayRun(q.Request.Regions) {
			continue
		}
		room, gateFull := c.gateRoomIn(now, gates[i].Session, q.Request)
		if !gateFull {
			return 0, false
		}
		if count == 0 || room < least {
			least = room
		}
		count++
	}
	return least, count >= minFullGates
}

func (c *Controller) gateRoomIn(now mono.Time, gate host.Session, r *request.Request) (time.Duration, bool) {
	s, known := c.statements[gateRoute{gate: gate, route: r.Route}]
	if !known || now.Sub(s.at) >= statementAge {
		return 0, false
	}
	room := s.fullUntil.Sub(now.Add(r.LatencyTarget))
	return room, room > 0
}
