package daemon

import (
	"slices"

	"github.com/rhubarbring/rhubarbring/evacuation"
	"github.com/rhubarbring/rhubarbring/event"
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/internal/bootclock"
	"github.com/rhubarbring/rhubarbring/internal/settings"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/placement"
	"github.com/rhubarbring/rhubarbring/result"
	"github.com/rhubarbring/rhubarbring/spread"
)

// evacuationsChanged tells the routing loop which zones are evacuated from now on, and
// placementEvacuations the placement loop.
type (
	evacuationsChanged   struct{ zones evacuation.Zones }
	placementEvacuations struct{ zones evacuation.Zones }
)

// kindsOf returns the kinds of objects that a daemon with these settings exchanges.
// Without evacuations in the settings, it does not read them.
func kindsOf(s *settings.Daemon) []spread.Kind {
	if s.Evacuation.Within == 0 {
		return spreadKinds
	}
	return append(slices.Clone(spreadKinds), evacuation.ObjectKind)
}

// adoptEvacuation records that a zone is evacuated, or not any more.
func (s *spreadLoop) adoptEvacuation(o spread.Object) {
	s.d.process.withEvacuations(func(set *evacuation.Set) {
		if o.Deleted {
			set.End(host.Zone(o.Name))
			return
		}
		set.Begin(bootclock.Now(), host.Zone(o.Name))
	})
	s.d.applyEvacuations()
}

// evacuationsRead ends the evacuations that this session, which has caught up, has not
// read. From now on the daemon may count as routable.
func (s *spreadLoop) evacuationsRead() {
	s.d.process.withEvacuations((*evacuation.Set).CaughtUp)
	s.d.applyEvacuations()
	s.d.process.evacuationsKnown.Store(true)
}

// withEvacuations calls f with the evacuations that the process knows.
func (p *Process) withEvacuations(f func(*evacuation.Set)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f(&p.evacuations)
}

// applyEvacuations passes the evacuated zones to the loops if they have changed. Names
// that are no zone of the document in force are reported once, and have no effect. The
// spread loop calls it, and Start before that runs.
func (d *Daemon) applyEvacuations() {
	exists := func(host.Zone) bool { return true }
	doc := d.fleet.document.Load()
	if doc != nil {
		exists = func(z host.Zone) bool { _, ok := doc.document.RegionOf(z); return ok }
	}
	var zones evacuation.Zones
	var unknown []host.Zone
	d.process.withEvacuations(func(set *evacuation.Set) { zones, unknown = set.Zones(exists) })
	d.reportUnknownZones(unknown, doc)
	old := d.evacuated()
	if zones.Equal(old) {
		return
	}
	d.logEvacuations(old, zones)
	d.fleet.evacuated.Store(&zones)
	d.routing.ring.PushWait(evacuationsChanged{zones}, d.routing.stop)
	d.placement.pushWait(placementEvacuations{zones})
}

// evacuated returns the zones that are evacuated.
func (d *Daemon) evacuated() evacuation.Zones {
	if zones := d.fleet.evacuated.Load(); zones != nil {
		return *zones
	}
	return nil
}

// reportUnknownZones logs the names that were not unknown before.
func (d *Daemon) reportUnknownZones(unknown []host.Zone, doc *documentInForce) {
	for _, zone := range unknown {
		if !slices.Contains(d.unknownZones, zone) {
			d.log.Event(event.EvacuationUnknown, "zone", string(zone), "version", doc.stored.Version)
		}
	}
	d.unknownZones = unknown
}

func (d *Daemon) logEvacuations(old, zones evacuation.Zones) {
	for _, zone := range zones.Names() {
		if !old.Contains(zone) {
			d.log.Event(event.EvacuationBegan, "zone", string(zone), "within_ms", d.settings.Evacuation.Within.Std().Milliseconds())
		}
	}
	for _, zone := range old.Names() {
		if !zones.Contains(zone) {
			d.log.Event(event.EvacuationEnded, "zone", string(zone))
		}
	}
}

// checkEvacuationsKnown returns an error until the daemon knows which zones are
// evacuated, if the settings ask for evacuations.
func (d *Daemon) checkEvacuationsKnown() error {
	if d.settings.Evacuation.Within == 0 || d.process.evacuationsKnown.Load() {
		return nil
	}
	return &result.Error{Code: result.NotConfigured, Detail: "it is not known yet which zones are evacuated"}
}

// handle leaves the gates of evacuated zones out of the choice, and drains this host's
// target if it is in one.
func (w evacuationsChanged) handle(r *routingLoop, now mono.Time) {
	r.evacuated = w.zones
	gatesChanged{}.handle(r, now)
	r.evacuateGate(now)
}

// evacuateGate makes the gate obey the evacuation of this host's zone, or its end.
func (r *routingLoop) evacuateGate(now mono.Time) {
	if r.gate == nil {
		return
	}
	until, evacuated := r.evacuated.LastStart(r.place.Zone, r.evacuationWithin)
	if evacuated {
		r.gate.Evacuate(now, until, &r.gateActions)
		return
	}
	r.gate.EndEvacuation(now, &r.gateActions)
	r.reportCold(now)
}

// handle makes placement obey the evacuations, whether this daemon leads or not: one
// that leads later knows the same set.
func (w placementEvacuations) handle(p *placementLoop, now mono.Time) {
	p.step(now, placement.EvacuationsChanged{Zones: w.zones})
	p.scheduleEarlyTick()
}
