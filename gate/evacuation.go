package gate

import (
	"github.com/rhubarbring/rhubarbring/mono"
)

// evacuationState is what the gate knows of the evacuation of its zone.
type evacuationState struct {
	active bool
	// startsUntil is the time from which no request is started.
	startsUntil mono.Time
}

// Evacuate drains the target because its zone is evacuated: requests that other gates
// can run are refused at once, and from startsUntil on nothing is started. Announcements
// do not end it.
func (g *Gate) Evacuate(now, startsUntil mono.Time, out *Actions) {
	g.evacuation = evacuationState{active: true, startsUntil: startsUntil}
	g.refuseIfDrained(now, out)
}

// EndEvacuation lets the target serve again. It has been idle and counts as cold.
func (g *Gate) EndEvacuation(now mono.Time, out *Actions) {
	if !g.evacuation.active {
		return
	}
	g.evacuation = evacuationState{}
	g.MarkCold(now, out)
	g.startQueued(now, out)
}

// isDraining reports whether the target or the daemon drains, or the zone is evacuated.
func (g *Gate) isDraining() bool {
	return g.target.draining || g.evacuation.active
}
