package gate

import (
	"math"
	"time"

	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/result"
)

// State is the state that a target announces.
type State uint8

// The states of a target.
const (
	Cold State = iota
	Warm
	Draining
)

// Announcement is what a target announces about itself.
type Announcement struct {
	// Slots and Connections are the largest numbers of concurrent runs and of
	// connections. The gate never exceeds them.
	Slots       int
	Connections int
	// ChecksGrants says that the target itself refuses a grant that has expired
	// or was superseded.
	ChecksGrants bool
	State        State
	// Instance changes with each start of the target's process; 0 if the target
	// does not announce it.
	Instance uint64
	// Load is the target's ratio of busy slots to slots. It may be out of date
	// or wrong.
	Load float64
	// StopsAbandonedRuns says that the target aborts a run whose connection
	// closes, and ends every run at the deadline that it was given.
	StopsAbandonedRuns bool
	// Age is the time since the instance started; 0 if it is not known.
	Age time.Duration
	// ReportsCold says that the target announces the state Cold exactly while it
	// is slow, so that the time since its start need not be considered.
	ReportsCold bool
}

// target is the gate's view of its target.
type target struct {
	Announcement
	present        bool
	announcedSince mono.Time     // when this instance was first announced
	announcedAt    mono.Time     // when the latest announcement came
	pausedUntil    mono.Time     // no request is started before; set when the target sheds one
	nextPause      time.Duration // length of the next pause; 0 after an answer
	draining       bool          // the target or the daemon drains
	drainStarted   mono.Time
	daemonDraining bool // the daemon drains
	// stopsAt is when this daemon ends, or 0 if that is not known. Runs have to end
	// before.
	stopsAt mono.Time
	leaving bool // this instance said that it is about to end
}

// TargetAnnounced handles an announcement of the target.
func (g *Gate) TargetAnnounced(now mono.Time, a Announcement, out *Actions) {
	t := &g.target
	if !t.present {
		t.announcedSince = now
		t.leaving = t.leaving && a.Instance != 0 // Without a number, it is taken for another instance.
	}
	if t.Instance != a.Instance {
		t.announcedSince = now
		t.leaving = false
		g.rate.set(now, 0)
		g.endRunsOfOldInstance(now, out)
	}
	t.present = true
	t.Announcement = a
	if a.State != Draining {
		g.cold.announced = a.State == Cold
	}
	t.announcedAt = now
	g.cold.awaited = max(g.cold.awaited-1, 0)
	g.noteStart()
	g.updateCold(now, out)
	g.setDraining(now, a.State == Draining || t.daemonDraining || t.leaving)
	g.startQueued(now, out)
}

// endRunsOfOldInstance ends the runs of the target's previous process, which
// can no longer execute any of them.
func (g *Gate) endRunsOfOldInstance(now mono.Time, out *Actions) {
	for _, j := range g.allJobs() {
		if j.run == 0 {
			continue
		}
		g.releaseConnection(j)
		g.step(now, j, eventLost, g.newAnswer(j, result.AnswerLost), out)
		g.step(now, j, eventRelease, nil, out)
	}
}

// TargetGone handles a target that no longer announces itself: queued requests
// are refused, and running ones end when their connections do.
func (g *Gate) TargetGone(now mono.Time, out *Actions) {
	g.target.present = false
	g.refuseQueued(now, result.TargetUnavailable, out)
}

// DrainBy is Drain for a daemon that ends at stopsAt: requests whose run would likely
// not have ended by then are refused.
func (g *Gate) DrainBy(now, stopsAt mono.Time, out *Actions) {
	g.target.stopsAt = stopsAt
	g.Drain(now, out)
}

// Drain starts the drain of the daemon itself: after the grace no request is
// started, and running ones finish.
func (g *Gate) Drain(now mono.Time, out *Actions) {
	g.target.daemonDraining = true
	g.setDraining(now, true)
	g.refuseIfDrained(now, out)
}

// TargetLeaving drains a target whose instance has been known to be about to end
// since the given time, from which the grace counts. What the instance announces
// later does not end the drain.
func (g *Gate) TargetLeaving(now, since mono.Time, out *Actions) {
	t := &g.target
	t.leaving = true
	g.setDraining(since, true)
	t.drainStarted = min(t.drainStarted, since)
	g.refuseIfDrained(now, out)
}

// Idle reports whether no request is queued or running, so that a drain is
// complete.
func (g *Gate) Idle() bool {
	return len(g.runs) == 0 && g.queuedCount() == 0
}

// setDraining records whether the target or the daemon drains, and when that
// began.
func (g *Gate) setDraining(now mono.Time, draining bool) {
	t := &g.target
	if draining && !t.draining {
		t.drainStarted = now
	}
	t.draining = draining
}

// drainEnd returns the time from which no request is started, or 0 if there is
// no drain.
func (g *Gate) drainEnd() mono.Time {
	if !g.isDraining() {
		return 0
	}
	graceEnd := g.target.drainStarted.Add(g.cfg.DrainGrace)
	switch {
	case !g.evacuation.active:
		return graceEnd
	case !g.target.draining:
		return g.evacuation.startsUntil
	}
	return min(graceEnd, g.evacuation.startsUntil)
}

// drainGraceOver reports whether there is a drain and its grace is over, so
// that no request is started.
func (g *Gate) drainGraceOver(now mono.Time) bool {
	return g.isDraining() && !now.Before(g.drainEnd())
}

// refuseIfDrained refuses the queued requests once the grace of a drain is
// over.
func (g *Gate) refuseIfDrained(now mono.Time, out *Actions) {
	if g.drainGraceOver(now) {
		g.refuseQueued(now, result.Draining, out)
	}
}

// usableSlots returns how many slots may be taken at now. A new target's slots
// increase from WarmUpStartShare to all within WarmUp. Load that the target
// reports beyond the runs of this gate takes away at most MaxLoadDeduction,
// since the report may be wrong. No more are usable than the target bears
// concurrently. At least one slot of a target that is present
// stays usable.
func (g *Gate) usableSlots(now mono.Time) int {
	t := &g.target
	if !t.present {
		return 0
	}
	slots := float64(t.Slots)
	warm := g.warmShare(now) * slots
	unaccounted := t.Load*slots - float64(g.busySlots)
	trusted := slots - min(max(unaccounted, 0), g.cfg.MaxLoadDeduction*slots)
	bearable := g.concurrency.limitOf(t.Slots)
	return min(max(int(math.Ceil(min(warm, trusted, bearable))), 1), t.Slots)
}

// warmShare returns the fraction of the slots that the target's warm-up allows.
// If the target sets ReportsCold, only its state counts. Otherwise the time
// counts since this instance was first announced, or announced again after it
// was gone, and a target in the state Cold takes twice as long. One that stays
// Cold still gets all slots in the end.
func (g *Gate) warmShare(now mono.Time) float64 {
	if g.target.ReportsCold {
		if g.target.State == Cold {
			return g.cfg.ColdShare
		}
		return 1
	}
	warmUp := g.cfg.WarmUp
	if g.target.State == Cold {
		warmUp *= 2
	}
	age := now.Sub(g.target.announcedSince)
	if age >= warmUp {
		return 1
	}
	part := float64(age) / float64(warmUp)
	return g.cfg.WarmUpStartShare + (1-g.cfg.WarmUpStartShare)*part
}

// pauseStarts starts no request for a while after the target shed one, and
// doubles the pause with each further shed request.
func (g *Gate) pauseStarts(now mono.Time) {
	t := &g.target
	g.counters.Shed++
	if 2*g.busySlots <= t.Slots {
		return // At most half of its slots are taken: a pause would not help.
	}
	if t.nextPause == 0 {
		t.nextPause = g.cfg.ShedPause
	}
	t.pausedUntil = now.Add(t.nextPause)
	t.nextPause = min(2*t.nextPause, g.cfg.ShedPauseMax)
}
