package gate

import (
	"time"

	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/request"
	"github.com/rhubarbring/rhubarbring/result"
)

// maxColdWait is how long a request that any target of the app may run waits for
// the rate of a cold one. It is rateBurst, which bounds such a queue to the starts of
// one burst: beyond that another gate serves the request sooner.
const maxColdWait = rateBurst

// ColdLimit is what a target of an app bears while it is cold. The zero ColdLimit
// limits nothing.
type ColdLimit struct {
	// PerSecond is the number of requests a second; 0 is no limit. More of them end
	// the target's process.
	PerSecond float64
	// Start is how long a target counts as cold after it has started, whatever it
	// announces.
	Start time.Duration
}

// coldState tracks whether the target counts as cold and spaces its starts while it
// does.
type coldState struct {
	limit ColdLimit
	// rate allows limit.PerSecond while the target counts as cold, else any rate.
	rate rateLimit
	// startUntil is until when the instance counts as just started.
	startUntil mono.Time
	// awaited is the number of announcements until which the target counts as cold
	// whatever it announced before.
	awaited int
	// announced is whether the last announcement of another state than Draining said Cold.
	announced bool
}

// announcementsAfterMark is the number of announcements after MarkCold until which
// the target counts as cold: the first one may have been sent before.
const announcementsAfterMark = 2

// SetColdLimit sets what the target bears while it is cold.
func (g *Gate) SetColdLimit(now mono.Time, l ColdLimit, out *Actions) {
	if l == g.cold.limit {
		return
	}
	g.cold.limit = l
	g.noteStart()
	g.updateCold(now, out)
	g.startQueued(now, out)
}

// Cold reports whether starts are limited because the target counts as cold.
func (g *Gate) Cold() bool {
	return g.cold.rate.limited()
}

// MarkCold makes the target count as cold until an announcement that it sends from
// now on says otherwise.
func (g *Gate) MarkCold(now mono.Time, out *Actions) {
	g.cold.awaited = announcementsAfterMark
	g.updateCold(now, out)
}

// connectFailed makes the target count as cold until its next announcement: the
// process may have been replaced by one that has not announced itself yet.
func (g *Gate) connectFailed(now mono.Time, out *Actions) {
	g.cold.awaited = max(g.cold.awaited, 1)
	g.updateCold(now, out)
}

// noteStart derives from the announcement until when the instance counts as just
// started. Without a known start it counts from the first announcement.
func (g *Gate) noteStart() {
	t := &g.target
	if !t.present {
		return
	}
	startedAt := t.announcedSince
	if t.Age > 0 {
		startedAt = t.announcedAt.Add(-t.Age)
	}
	g.cold.startUntil = startedAt.Add(g.cold.limit.Start)
}

// countsAsCold reports whether the target counts as cold at now.
func (g *Gate) countsAsCold(now mono.Time) bool {
	return !g.target.present || g.cold.announced || g.cold.awaited > 0 || now.Before(g.cold.startUntil)
}

// updateCold begins or ends the limit of a cold target. Queued requests that can't be
// served under a limit that begins are refused at once.
func (g *Gate) updateCold(now mono.Time, out *Actions) {
	perSecond := 0.0
	if g.countsAsCold(now) {
		perSecond = g.cold.limit.PerSecond
	}
	if perSecond == g.cold.rate.perSecond {
		return
	}
	g.cold.rate.set(now, perSecond)
	if perSecond > 0 {
		g.refuseBeyondColdRate(now, out)
	}
}

// refuseBeyondColdRate refuses the queued requests that would wait too long for the
// rate of the cold target. Each of them is told the time of a room of its own, so that
// they do not come back together.
func (g *Gate) refuseBeyondColdRate(now mono.Time, out *Actions) {
	ahead, refused := 0, 0
	perStart := time.Duration(float64(time.Second) / g.cold.limit.PerSecond)
	for _, j := range g.queuedJobs() {
		w := coldWait{wait: g.cold.rate.wait(now, ahead+1), left: j.deadline.Sub(now)}
		if j.req.LatencyTarget > 0 {
			w.target = max(j.softDeadline.Sub(now), time.Nanosecond)
		}
		excess := g.coldExcess(j.req, w)
		if excess <= 0 {
			ahead++
			continue
		}
		room := excess + time.Duration(refused)*perStart
		refused++
		g.refuseJobFor(now, j, result.QueueFull, Admission{}, max(room, g.cfg.MinRetryAfter), out)
	}
}

// coldWait is the wait of a request for the rate of a cold target, and the times left
// until its deadline and until its soft deadline (0 for none).
type coldWait struct {
	wait, left, target time.Duration
}

// coldWaitOf returns the wait of a request of a flow that arrives at now.
func (g *Gate) coldWaitOf(now mono.Time, r *request.Request, f *flow) coldWait {
	if !g.cold.rate.limited() {
		return coldWait{}
	}
	ahead := g.queuedAhead(now, r.Class, g.softDeadline(now, r), f)
	return coldWait{wait: g.cold.rate.wait(now, ahead+1), left: r.Budget, target: r.LatencyTarget}
}

// coldExcess returns by how much a request's wait for the rate of a cold target
// exceeds what is allowed: there is room after that time. The request must still be
// able to be in time, a call by its deadline, and one that other targets can run waits
// for at most maxColdWait.
func (g *Gate) coldExcess(r *request.Request, w coldWait) time.Duration {
	if w.wait == 0 {
		return 0
	}
	service := g.serviceTimeOf(r.Route).mean()
	allowed := w.left - service
	if w.target > service && !r.Class.IsCall() {
		allowed = min(allowed, w.target-service)
	}
	if r.Slice == request.NoSlice {
		allowed = min(allowed, maxColdWait)
	}
	return w.wait - max(allowed, 0)
}
