package gate

import (
	"math"
	"slices"

	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/result"
)

// OriginLost says that the session of an entry daemon is over for good. What
// it sent and still waits is dropped, and what comes of it late too. What runs
// goes on if it is not idempotent, and its outcome is raised, since nobody is
// there to be told; so are the answers that it did not acknowledge.
func (g *Gate) OriginLost(now mono.Time, from host.Session, out *Actions) {
	if g.seen[from.Host].incarnation <= from.Incarnation {
		g.seen[from.Host] = lastSeen{incarnation: from.Incarnation, seq: math.MaxUint64}
	}
	g.raiseUnacked(from, out)
	for _, j := range g.jobs() {
		j.joined = slices.DeleteFunc(j.joined, func(o origin) bool { return o.from == from })
		if j.first.from == from {
			j.abandoned = true
		}
		if !j.waits() {
			g.withdraw(now, j, out)
		}
	}
	g.pump(now, out)
}

// OriginDisconnected says that the connection to an entry daemon was lost,
// while its session may go on. The entry daemon counts what it sent as lost, so
// that what waits here is dropped; what runs goes on if it is not idempotent,
// and its answer is sent, should there be a connection again.
func (g *Gate) OriginDisconnected(now mono.Time, from host.Session, out *Actions) {
	for _, j := range g.jobs() {
		if j.first.from == from && len(j.joined) == 0 {
			g.withdraw(now, j, out)
		}
	}
	g.pump(now, out)
}

func (g *Gate) withdraw(now mono.Time, j *job, out *Actions) {
	if j.state != stateQueued && !j.req.Idempotent {
		return
	}
	g.step(now, j, eventWithdraw, g.outcome(j, result.Cancelled), out)
}
