package placement

import (
	"github.com/rhubarbring/rhubarbring/evacuation"
	"github.com/rhubarbring/rhubarbring/mono"
)

// EvacuationsChanged holds the zones that are evacuated. Their hosts hand over their
// slices like draining ones, and own none before the evacuation ends. If an app has no
// host elsewhere, its slices keep their owners, whose gates refuse.
type EvacuationsChanged struct{ Zones evacuation.Zones }

func (EvacuationsChanged) isEvent() {}

// setEvacuated sets the evacuated zones. The hosts of a zone whose evacuation has ended
// warm up like new ones, so that their slices come back in steps.
func (f *fleet) setEvacuated(now mono.Time, zones evacuation.Zones) {
	if zones.Equal(f.evacuated) {
		return
	}
	for _, h := range f.hosts {
		if f.isEvacuated(h) && !zones.Contains(h.place.Zone) {
			h.firstSeenAt = now
		}
	}
	f.evacuated = zones
	f.generation++
}

// isEvacuated reports whether a host is in an evacuated zone.
func (f *fleet) isEvacuated(h *hostInfo) bool {
	return f.evacuated.Contains(h.place.Zone)
}
