package gate

import (
	"time"

	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/request"
	"github.com/rhubarbring/rhubarbring/result"
)

// quarantined reports whether a request is in quarantine, and for how much longer.
func (g *Gate) quarantined(now mono.Time, r *request.Request) (time.Duration, bool) {
	if g.cfg.Quarantine == nil {
		return 0, false
	}
	return g.cfg.Quarantine.Check(now, r)
}

// IsRunning reports whether a run has been started and neither answered nor
// cancelled.
func (g *Gate) IsRunning(run uint64) bool {
	j := g.runs[run]
	return j != nil && j.state == stateRunning
}

// QuarantineChanged refuses at once the queued requests that are in quarantine
// now. The daemon calls it after each request that is put there.
func (g *Gate) QuarantineChanged(now mono.Time, out *Actions) {
	for _, j := range g.queuedJobs() {
		if left, held := g.quarantined(now, j.req); held {
			g.refuseJobFor(now, j, result.Quarantined, Admission{}, left, out)
		}
	}
	g.startQueued(now, out)
}
