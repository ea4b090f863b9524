package gate

import (
	"math"
	"time"

	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/request"
	"github.com/rhubarbring/rhubarbring/result"
)

// State is what a target says of itself.
type State uint8

// The states of a target.
const (
	Cold State = iota
	Warm
	Draining
)

// Announcement is what a target announces of itself.
type Announcement struct {
	// Slots and Connections are never exceeded.
	Slots       int
	Connections int
	// ChecksGrants says that the target refuses an expired or older grant.
	ChecksGrants bool
	State        State
	// Instance changes with each start of the target's process; 0 if the
	// target does not say.
	Instance uint64
	// Load is busy slots over slots, as the target says. It may lag or
	// mislead.
	Load float64
	// StopsRuns says that the target drops a run whose connection closes, and
	// ends every run at the deadline that it was told.
	StopsRuns bool
	// SaysCold says that the target announces itself as cold for as long as it
	// is slow, so that its age says nothing more.
	SaysCold bool
}

// target is what the gate knows of its target.
type target struct {
	Announcement
	present     bool
	since       mono.Time // when it was first announced
	pausedUntil mono.Time // the end of the pause after a shed request
	pause       time.Duration
	draining    bool
	drainBegan  mono.Time
	daemonDrain bool
}

// Announced takes an announcement of the target.
func (g *Gate) Announced(now mono.Time, a Announcement, out *Actions) {
	t := &g.target
	if !t.present {
		t.since = now
	}
	if t.Instance != a.Instance {
		t.since = now
		g.restarted(now, out)
	}
	t.present = true
	t.Announcement = a
	if len(g.conns) < a.Connections {
		g.conns = append(g.conns, make([]bool, a.Connections-len(g.conns))...)
	}
	g.setDraining(now, a.State == Draining || t.daemonDrain)
	g.pump(now, out)
}

// restarted ends the runs of a target's earlier process: it is gone, and runs
// nothing any longer.
func (g *Gate) restarted(now mono.Time, out *Actions) {
	for _, j := range g.jobs() {
		if j.run == 0 {
			continue
		}
		g.freeConn(j)
		g.step(now, j, eventLost, g.outcome(j, result.AnswerLost), out)
		g.step(now, j, eventRelease, nil, out)
	}
}

// TargetGone says that the target stopped announcing itself. What waits is
// refused; what runs ends when its connection does.
func (g *Gate) TargetGone(now mono.Time, out *Actions) {
	g.target.present = false
	g.refuseQueued(now, result.TargetUnavailable, out)
}

// Drain begins the drain of the daemon itself: after the grace no work is
// begun, and what runs finishes.
func (g *Gate) Drain(now mono.Time, out *Actions) {
	g.target.daemonDrain = true
	g.setDraining(now, true)
	g.endDrain(now, out)
}

// Idle reports whether nothing waits or runs: a drain is complete.
func (g *Gate) Idle() bool {
	return len(g.runs) == 0 && g.urgent.len()+g.normal.len() == 0
}

func (g *Gate) setDraining(now mono.Time, draining bool) {
	t := &g.target
	if draining && !t.draining {
		t.drainBegan = now
	}
	t.draining = draining
}

// drainEnd is when no more work is begun, or 0 if there is no drain.
func (g *Gate) drainEnd() mono.Time {
	if !g.target.draining {
		return 0
	}
	return g.target.drainBegan.Add(g.cfg.DrainGrace)
}

func (g *Gate) drained(now mono.Time) bool {
	return g.target.draining && !now.Before(g.drainEnd())
}

// endDrain refuses what waits once the grace is over.
func (g *Gate) endDrain(now mono.Time, out *Actions) {
	if g.drained(now) {
		g.refuseQueued(now, result.Draining, out)
	}
}

func (g *Gate) refuseQueued(now mono.Time, code result.Code, out *Actions) {
	for _, q := range [...]*queue{&g.urgent, &g.normal} {
		for _, j := range q.all() {
			g.refuseJob(now, j, code, Admission{}, out)
		}
	}
}

// usableSlots is how many slots may be taken now: a new target's rise from
// WarmStart to all within WarmUp, and the target's own report of load that the
// gate does not see can take away no more than LoadTrust.
func (g *Gate) usableSlots(now mono.Time) int {
	t := &g.target
	if !t.present {
		return 0
	}
	slots := float64(t.Slots)
	warm := g.warmth(now) * slots
	unseen := t.Load*slots - float64(g.slots)
	trusted := slots - min(max(unseen, 0), g.cfg.LoadTrust*slots)
	return min(max(int(math.Ceil(min(warm, trusted))), 1), t.Slots)
}

// warmth is the part of its slots that the target's age allows. One that
// calls itself cold warms half as fast; one that stays cold is not waited for.
func (g *Gate) warmth(now mono.Time) float64 {
	if g.target.SaysCold {
		if g.target.State == Cold {
			return g.cfg.ColdShare
		}
		return 1
	}
	warmUp := g.cfg.WarmUp
	if g.target.State == Cold {
		warmUp *= 2
	}
	age := now.Sub(g.target.since)
	if age >= warmUp {
		return 1
	}
	part := float64(age) / float64(warmUp)
	return g.cfg.WarmStart + (1-g.cfg.WarmStart)*part
}

// shed pauses the starts, longer with each shed request in a row.
func (g *Gate) shed(now mono.Time) {
	t := &g.target
	g.counters.Shed++
	if 2*g.slots <= t.Slots {
		return // It is not full: a pause would not help it.
	}
	if t.pause == 0 {
		t.pause = g.cfg.ShedPause
	}
	t.pausedUntil = now.Add(t.pause)
	t.pause = min(2*t.pause, g.cfg.ShedPauseMax)
}

// expectedWait is how long a new request of the class, whose answer is wanted
// at an instant, would wait for a slot.
func (g *Gate) expectedWait(now mono.Time, class request.Class, wanted mono.Time) time.Duration {
	slots := g.usableSlots(now)
	if slots == 0 {
		return 0
	}
	pause := max(g.target.pausedUntil.Sub(now), 0)
	ahead := g.ahead(class, wanted) + g.slots - slots
	if ahead < 0 {
		return pause
	}
	return pause + time.Duration(ahead+1)*g.service.mean()/time.Duration(slots)
}

// ahead is how many of the requests that wait go before a new one of the
// class, whose answer is wanted at an instant.
func (g *Gate) ahead(class request.Class, wanted mono.Time) int {
	urgent, normal := g.urgent.len(), g.normal.len()
	if class == request.Urgent {
		urgent = g.urgent.before(wanted)
		return urgent + min(normal, urgent/g.cfg.UrgentRun)
	}
	normal = g.normal.before(wanted)
	return normal + min(urgent, (normal+1)*g.cfg.UrgentRun)
}

// maxRoutes bounds the routes whose service time is followed apart.
const maxRoutes = 256

// learn takes a service time in.
func (g *Gate) learn(route string, took time.Duration) {
	g.service.add(took)
	e := g.byRoute[route]
	if e == nil {
		if len(g.byRoute) >= maxRoutes {
			return
		}
		e = &estimator{}
		g.byRoute[route] = e
	}
	e.add(took)
}

// serviceOf returns the estimate for a route. One that was never served counts
// as taking no time: it is tried.
func (g *Gate) serviceOf(route string) *estimator {
	if e := g.byRoute[route]; e != nil {
		return e
	}
	return &estimator{}
}

// estimator follows the mean of the service time.
type estimator struct {
	meanNs float64
	seen   bool
}

// meanWeight is the weight of the newest service time in the mean.
const meanWeight = 1.0 / 16

func (e *estimator) add(d time.Duration) {
	ns := float64(d)
	if !e.seen {
		e.meanNs = ns
		e.seen = true
		return
	}
	e.meanNs += meanWeight * (ns - e.meanNs)
}

func (e *estimator) mean() time.Duration {
	return time.Duration(e.meanNs)
}
