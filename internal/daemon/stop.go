package daemon

import (
	"time"

	"github.com/rhubarbring/rhubarbring/event"
	"github.com/rhubarbring/rhubarbring/gate"
	"github.com/rhubarbring/rhubarbring/mono"
)

const (
	// drainPatience bounds the handover of a planned stop. What is not handed
	// over by then is taken over like that of a lost session.
	drainPatience = 40 * time.Second
	// entryPatience bounds the answers to requests in flight; it is longer
	// than any deadline.
	entryPatience = 40 * time.Second
	// ackPatience bounds the wait for the last acknowledgements.
	ackPatience = time.Second
	// leavePatience bounds the record of the end in the store.
	leavePatience = 5 * time.Second
	// abandonGrace is how long a daemon whose session ended goes on refusing
	// requests before it closes its address, and waits for the answers to
	// those that it has sent.
	abandonGrace = 300 * time.Millisecond
	// savePatience bounds the wait for outcomes at risk to stand in the store
	// before a daemon ends. Copies of them are on other hosts.
	savePatience = 5 * time.Second
	stopPoll     = 20 * time.Millisecond
)

// Stop ends the daemon as planned: its slices are handed over, nothing in
// flight is cut off, and the session is recorded as left. If the settings bound
// the time of a stop, what is not done by then is left undone: the session is
// taken over like that of a lost one.
func (d *Daemon) Stop() {
	d.log.Event(event.Stopping, "reason", "asked")
	began := time.Now()
	d.stopping.Store(true)
	d.entry.Drain()
	d.await(d.settings.Stop.ServeFor.Std(), never)
	d.lease.wait(drainSession{})
	d.routing.ring.Wait(stopRequested{}, d.routing.stop)
	d.endCalls(began)
	d.await(d.patience(began, ackPatience, 1), d.acknowledged)
	d.leave(began)
	d.await(d.patience(began, savePatience, 1), d.risk.saved)
	d.closeDuties()
	d.log.Event(event.Stopped)
}

// leave records the session as left, so that others get at once what it still
// owns. That is not done while a target may hold some of it: then the session
// is taken over like that of a lost one, when its lease has ended.
func (d *Daemon) leave(began time.Time) {
	if !d.routing.allReleased.Load() {
		d.log.Event(event.PlannedStopCut, "owned", d.routing.stopOwned.Load(), "after_ms", time.Since(began).Milliseconds())
		return
	}
	d.lease.wait(leaveSession{})
	d.await(d.patience(began, leavePatience, 1), d.left)
	if d.left() && d.routing.idle.Load() {
		d.log.Event(event.PlannedStopDone, "released", d.routing.stopOwned.Load())
	}
}

// endCalls hands the slices over and answers the callers. If the time of the
// stop is bounded, callers are taken no longer than they need to learn of it.
func (d *Daemon) endCalls(began time.Time) {
	idle := d.routing.idle.Load
	notice := func() time.Duration { return time.Until(began.Add(d.settings.Stop.Notice.Std())) }
	if d.settings.Stop.Within == 0 {
		d.await(drainPatience, idle)
		d.await(notice(), never)
		d.entry.Stop(entryPatience)
		return
	}
	// Other daemons may not learn of the stop from the store: what they send
	// is refused here in time for what runs to end.
	d.await(notice()-gate.DefaultConfig().DrainGrace, never)
	d.routing.ring.Wait(drainGate{}, d.routing.stop)
	d.await(notice(), never)
	d.entry.Stop(d.patience(began, entryPatience, answersPart))
	d.await(d.patience(began, drainPatience, answersPart), idle)
}

// answersPart is the part of a bounded stop by which callers are answered; the
// rest is for the records of the end.
const answersPart = 0.98

// never is a condition that is not met.
func never() bool {
	return false
}

// patience returns the time that a step of a stop that began at an instant may
// take: at most the step's own bound, and what is left of a part of the time
// that the settings allow.
func (d *Daemon) patience(began time.Time, bound time.Duration, part float64) time.Duration {
	within := d.settings.Stop.Within.Std()
	if within == 0 {
		return bound
	}
	left := time.Until(began.Add(time.Duration(part * float64(within))))
	return min(max(left, 0), bound)
}

// Abandon ends a daemon whose session is over already: it owns nothing any
// more, and other daemons take nothing of it. What arrives is refused, also
// what waited unread while the process was paused. What was sent is answered,
// and outcomes at risk are saved, before the daemon ends.
func (d *Daemon) Abandon() {
	d.log.Event(event.Stopping, "reason", "session ended")
	d.over.Store(true)
	d.entry.Drain()
	d.routing.ring.Wait(sessionEnded{session: d.self}, d.routing.stop)
	time.Sleep(abandonGrace)
	d.routing.ring.Wait(sentGivenUp{}, d.routing.stop)
	d.entry.Stop(entryPatience)
	d.await(savePatience, d.risk.saved)
	d.closeDuties()
	d.log.Event(event.Stopped)
}

// Close ends the daemon at once, as the end of its process would: nothing is
// handed over, nobody is told, and callers' connections break.
func (d *Daemon) Close() {
	d.entry.Close() // First, so that no caller is told what nobody keeps.
	d.closeDuties()
	d.log.Event(event.Stopped)
}

func (d *Daemon) closeDuties() {
	d.risk.close()
	d.spread.close()
	d.placement.close()
	d.routing.close()
	d.lease.close()
	d.store.close()
	d.stopAddresses()
}

func (d *Daemon) stopAddresses() {
	if d.metrics != nil {
		d.metrics.Stop()
	}
	d.control.Stop()
	d.peers.Close()
}

// acknowledged reports whether the gates know that their last answers reached
// the callers.
func (d *Daemon) acknowledged() bool {
	done, err := inquire(d, func(r *routingDuty, _ mono.Time) bool { return r.router.Acknowledged() })
	return err == nil && done
}

// left reports whether the session is over.
func (d *Daemon) left() bool {
	return len(d.lease.ended) > 0
}

// await waits for a condition, at most for the time given.
func (d *Daemon) await(patience time.Duration, done func() bool) {
	until := time.Now().Add(patience)
	poll := time.NewTicker(stopPoll)
	defer poll.Stop()
	for !done() && time.Now().Before(until) {
		<-poll.C
	}
}
