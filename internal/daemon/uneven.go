package daemon

import (
	"maps"
	"slices"

	"github.com/rhubarbring/rhubarbring/event"
	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/mono"
)

const (
	// busySpillShare is the part of an app's requests that leaves the region from which
	// that is logged. A smaller one comes and goes with the noise of the loads.
	busySpillShare = 0.1
	// limitedRunsShare is the part of the slots below which a limit on concurrent runs
	// is logged.
	limitedRunsShare = 0.9
)

// unevenLoad is what the log says of uneven loads.
type unevenLoad struct {
	busy    map[key.App]bool // apps whose requests leave the region
	limited bool             // the target bears fewer runs than it has slots
}

// watchUnevenLoad logs when a part of an app's requests begins to leave the region and
// when none does any more, and the same of a limit on concurrent runs.
func (r *routingLoop) watchUnevenLoad(now mono.Time) {
	for _, app := range slices.Sorted(maps.Keys(r.balancedGates)) {
		r.logSpill(now, app)
	}
	if r.gate == nil {
		return
	}
	runs, slots := r.gate.BearableRuns(), float64(r.target.slots)
	switch {
	case !r.uneven.limited && runs < limitedRunsShare*slots:
		r.uneven.limited = true
		r.log.Event(event.RunsLimited, "app", string(r.target.app), "runs", runs, "slots", r.target.slots)
	case r.uneven.limited && runs >= slots:
		r.uneven.limited = false
		r.log.Event(event.RunsUnlimited, "app", string(r.target.app))
	}
}

func (r *routingLoop) logSpill(now mono.Time, app key.App) {
	spill := r.balancer.SpillOf(now, app)
	switch {
	case !r.uneven.busy[app] && spill.Share >= busySpillShare:
		if r.uneven.busy == nil {
			r.uneven.busy = make(map[key.App]bool)
		}
		r.uneven.busy[app] = true
		r.log.Event(event.RegionBusy, "app", string(app), "share", spill.Share, "near", spill.Near, "far", spill.Far)
	case r.uneven.busy[app] && spill.Share == 0:
		delete(r.uneven.busy, app)
		r.log.Event(event.RegionRelieved, "app", string(app))
	}
}
