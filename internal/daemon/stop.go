package daemon

import (
	"sync"
	"time"

	"github.com/rhubarbring/rhubarbring/event"
	"github.com/rhubarbring/rhubarbring/internal/bootclock"
	"github.com/rhubarbring/rhubarbring/mono"
)

const (
	// drainTimeout bounds the handover of a planned stop. Slices that are not
	// handed over by then are taken over like those of a lost session.
	drainTimeout = 40 * time.Second
	// entryTimeout bounds the wait for the answers to requests in flight. It is
	// longer than any deadline.
	entryTimeout = 40 * time.Second
	// ackTimeout bounds the wait for the last acknowledgements.
	ackTimeout = time.Second
	// leaveTimeout bounds the wait until the session's end is recorded in the
	// store.
	leaveTimeout = 5 * time.Second
	// abandonGrace is how long a daemon whose session ended goes on refusing
	// requests, and waits for the answers to requests that it has sent, before
	// it closes its listener.
	abandonGrace = 300 * time.Millisecond
	// saveTimeout bounds the wait, before a daemon ends, until outcomes at risk
	// are saved in the store. Copies of them exist on other hosts.
	saveTimeout      = 5 * time.Second
	stopPollInterval = 20 * time.Millisecond
)

// Stop performs a planned stop: slices are handed over, requests in flight are
// completed, and the session is recorded as left. If the settings bound the
// time of a stop, steps that do not fit into it are skipped, and the session is
// taken over like a lost one; the process must end after it.
func (d *Daemon) Stop() {
	d.log.Event(event.Stopping, "reason", "asked")
	began := bootclock.Now()
	plan := newStopPlan(began, d.settings.Stop)
	d.stopping.Store(true)
	d.entry.Drain()
	if plan.limited {
		d.routing.ring.PushWait(answerCallersBy{plan.request()}, d.routing.stop)
	}
	d.await(timeUntil(plan.handOverAt), never)
	d.lease.pushWait(drainSession{})
	d.routing.ring.PushWait(stopRequested{}, d.routing.stop)
	d.finishCalls(&plan)
	d.await(plan.timeout(plan.recordBy, ackTimeout), d.answersAcknowledged)
	d.recordLeft(began, &plan)
	d.await(plan.timeout(plan.recordBy, saveTimeout), d.risk.allSaved)
	d.closeLoopsBy(&plan)
	d.log.Event(event.Stopped)
}

// recordLeft records the session as left, so that other daemons get its
// remaining slices at once. It does not do so while a target may still hold
// some of them: the session is then taken over like a lost one, after its lease
// has ended.
func (d *Daemon) recordLeft(began mono.Time, plan *stopPlan) {
	if !d.routing.allReleased.Load() {
		d.log.Event(event.PlannedStopCut, "owned", d.routing.stopOwned.Load(), "after_ms", bootclock.Now().Sub(began).Milliseconds())
		return
	}
	d.lease.pushWait(leaveSession{})
	d.await(plan.timeout(plan.recordBy, leaveTimeout), d.hasLeft)
	if d.hasLeft() && d.routing.idle.Load() {
		d.log.Event(event.PlannedStopDone, "released", d.routing.stopOwned.Load())
	}
}

// finishCalls hands the slices over and answers the callers. If the time of the
// stop is bounded, connections are accepted only for a part of it.
func (d *Daemon) finishCalls(plan *stopPlan) {
	idle := d.routing.idle.Load
	if !plan.limited {
		d.await(drainTimeout, idle)
		d.await(timeUntil(plan.listenUntil), never)
		d.entry.Stop(entryTimeout)
		return
	}
	d.await(timeUntil(plan.drainGateAt), never)
	d.routing.ring.PushWait(drainGate{stopsAt: plan.answerBy}, d.routing.stop)
	d.await(timeUntil(plan.listenUntil), never)
	d.entry.Stop(timeUntil(plan.closeBy))
	d.await(timeUntil(plan.answerBy), idle)
}

// closeLoopsBy ends the loops. If that takes longer than the stop may, the rest ends
// with the process.
func (d *Daemon) closeLoopsBy(plan *stopPlan) {
	if !plan.limited {
		d.closeLoops()
		return
	}
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		d.closeLoops()
	}()
	select {
	case <-closed:
	case <-time.After(timeUntil(plan.exitBy)):
	}
}

// never is a condition for await that is never met.
func never() bool {
	return false
}

// StopAfterSessionEnd ends a daemon whose session is over: it no longer owns
// slices, and other daemons accept nothing from it. Arriving requests are
// refused, also those that waited unread while the process was paused. Requests
// that were sent are answered, and outcomes at risk are saved, before the daemon
// ends.
func (d *Daemon) StopAfterSessionEnd() {
	d.log.Event(event.Stopping, "reason", "session ended")
	d.sessionOver.Store(true)
	d.entry.Drain()
	d.routing.ring.PushWait(sessionEnded{session: d.self}, d.routing.stop)
	time.Sleep(abandonGrace)
	d.routing.ring.PushWait(abandonSent{}, d.routing.stop)
	d.entry.Stop(entryTimeout)
	d.await(saveTimeout, d.risk.allSaved)
	d.closeLoops()
	d.log.Event(event.Stopped)
}

// Close ends the daemon at once, as if its process were killed: nothing is
// handed over, other daemons are not notified, and callers' connections break.
func (d *Daemon) Close() {
	d.entry.Close() // First, so that no caller gets an answer that is recorded nowhere.
	d.closeLoops()
	d.log.Event(event.Stopped)
}

func (d *Daemon) closeLoops() {
	d.risk.close()
	d.spread.close()
	d.placement.close()
	d.routing.close()
	d.lease.close()
	d.store.close()
	d.stopAddresses()
}

// stopAddresses closes the daemon's own addresses. Each of them waits for its calls in
// flight, so that they are closed side by side.
func (d *Daemon) stopAddresses() {
	var all sync.WaitGroup
	if d.metrics != nil {
		all.Go(d.metrics.Stop)
	}
	all.Go(d.control.Stop)
	all.Go(d.peers.Close)
	all.Wait()
}

// answersAcknowledged reports whether the gates have been told that their last
// answers reached the callers.
func (d *Daemon) answersAcknowledged() bool {
	done, err := queryRouting(d, func(r *routingLoop, _ mono.Time) bool { return r.router.Acknowledged() })
	return err == nil && done
}

// hasLeft reports whether the session has ended.
func (d *Daemon) hasLeft() bool {
	return len(d.lease.ended) > 0
}

// await polls a condition until it is met or the timeout has passed.
func (d *Daemon) await(timeout time.Duration, done func() bool) {
	until := time.Now().Add(timeout)
	poll := time.NewTicker(stopPollInterval)
	defer poll.Stop()
	for !done() && time.Now().Before(until) {
		<-poll.C
	}
}
