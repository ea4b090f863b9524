package gate

import (
	"math"
	"slices"

	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/result"
)

// EntryLost handles the end of an entry daemon's session. Its queued requests
// are dropped, and so are non-idempotent attempts of the session that arrive
// later. A running request that is not idempotent continues, and its outcome is
// reported, since no one is left to answer; so are the answers that the entry
// daemon did not acknowledge.
func (g *Gate) EntryLost(now mono.Time, from host.Session, out *Actions) {
	if g.seen[from.Host].incarnation <= from.Incarnation {
		g.seen[from.Host] = lastSeen{incarnation: from.Incarnation, seq: math.MaxUint64}
	}
	g.raiseUnacked(from, out)
	for _, j := range g.allJobs() {
		j.joinedWaiters = slices.DeleteFunc(j.joinedWaiters, func(w waiter) bool { return w.from == from })
		if j.firstWaiter.from == from {
			j.firstGone = true
		}
		if !j.hasWaiters() {
			g.withdraw(now, j, out)
		}
	}
	g.startQueued(now, out)
}

// EntryDisconnected handles the loss of the connection to an entry daemon
// whose session may continue. The entry daemon counts its attempts as lost, so
// that queued ones are dropped. A running request that is not idempotent
// continues, and its answer is sent if there is a connection again.
func (g *Gate) EntryDisconnected(now mono.Time, from host.Session, out *Actions) {
	for _, j := range g.allJobs() {
		if j.firstWaiter.from == from && len(j.joinedWaiters) == 0 {
			g.withdraw(now, j, out)
		}
	}
	g.startQueued(now, out)
}

// withdraw drops a job that no one waits for. A non-idempotent request is not
// stopped once it has started.
func (g *Gate) withdraw(now mono.Time, j *job, out *Actions) {
	if j.state != stateQueued && !j.req.Idempotent {
		return
	}
	g.step(now, j, eventWithdraw, g.newAnswer(j, result.Cancelled), out)
}
