package daemon

import (
	"slices"
	"time"

	"github.com/rhubarbring/rhubarbring/alarm"
	"github.com/rhubarbring/rhubarbring/internal/peer"
	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/takeover"
)

// acknowledgedPoll is the time between two looks at whether a person has
// acknowledged an alarm that rings here.
const acknowledgedPoll = 10 * time.Second

// heardLately is how recent news of a session or a zone must be to count.
const heardLately = 5 * time.Second

// found is a condition that holds now, and for how long it has.
type found struct {
	condition alarm.Condition
	lasts     time.Duration
}

// look compares what holds now with what the alarm was told, once a second.
// Only the relay of an availability zone looks at what concerns the fleet;
// each daemon looks at its own session and those that it is a witness of.
func (r *riskDuty) look(now mono.Time) {
	r.reportRings()
	if r.d.fleet.document.Load() == nil {
		return // Without a document there are neither bounds nor slices.
	}
	r.setBounds(now)
	holds := r.ownConditions(now)
	if r.d.spread.relay.Load() {
		holds = append(holds, r.fleetConditions(now)...)
		r.see(now)
	} else {
		r.lastUnowned = nil
	}
	r.updateGauges(now)
	r.tell(now, holds)
	r.ringBell(now, alarm.Tick{})
	r.pollAcknowledged(now)
}

func (r *riskDuty) setBounds(now mono.Time) {
	a := r.d.fleet.document.Load().document.Alarm
	r.ringBell(now, alarm.SetBounds{
		Receiver: a.Receiver != "",
		Bounds: alarm.Bounds{
			UnownedKey:         a.UnownedKey.Std(),
			DocumentNotInForce: a.DocumentNotInForce.Std(),
			AssignmentAtRisk:   a.AssignmentAtRisk.Std(),
			CannotSee:          a.CannotSee.Std(),
		},
	})
}

// tell turns what holds into begun and ended conditions.
func (r *riskDuty) tell(now mono.Time, holds []found) {
	next := make(map[alarm.Condition]bool, len(holds))
	for _, f := range holds {
		next[f.condition] = true
		if !r.started[f.condition] {
			r.ringBell(now, alarm.Began{Condition: f.condition, For: f.lasts})
		}
	}
	for c := range r.started {
		if !next[c] {
			r.ringBell(now, alarm.Ended{Kind: c.Kind, Subject: c.Subject})
		}
	}
	r.started = next
}

// ownConditions are a lapsed lease here, and sessions that fell silent but are
// not recorded as lost yet.
func (r *riskDuty) ownConditions(now mono.Time) []found {
	var holds []found
	if r.d.lease.recorded.Load() != nil && !now.Before(r.d.lease.lease()) {
		self := r.d.self.String()
		holds = append(holds, found{condition: alarm.Condition{Kind: alarm.AssignmentAtRisk, Subject: self, Cause: "session " + self}})
	}
	if pending := r.d.lease.pending.Load(); pending != nil {
		for _, p := range *pending {
			holds = append(holds, r.silentSession(now, p)...)
		}
	}
	return holds
}

// silentSession returns what a takeover under way puts at risk. A session that
// another witness hears lives. One whose witnesses are silent too, in a zone
// that nothing is heard of, is cut off from here and may serve on: that is a
// place that can't be seen, not a session at risk.
func (r *riskDuty) silentSession(now mono.Time, p takeover.Pending) []found {
	if p.Heard != mono.Never && now.Sub(p.Heard) < heardLately {
		return nil
	}
	name := p.Session.String()
	f := found{
		condition: alarm.Condition{Kind: alarm.AssignmentAtRisk, Subject: name, Cause: "session " + name},
		lasts:     now.Sub(p.Since),
	}
	zone := string(p.Place.Zone)
	if p.Reason == takeover.WitnessesSilent && !slices.Contains(r.d.heard.since(now, heardLately), zone) {
		f.condition = alarm.Condition{Kind: alarm.CannotSee, Subject: "sessions in " + zone, Cause: "no news of " + zone}
	}
	return []found{f}
}

// fleetConditions are slices without an owner, and a document that is not in
// force on every daemon of the zone.
func (r *riskDuty) fleetConditions(now mono.Time) []found {
	holds := r.unowned()
	if lag := r.d.spread.documentLag(now); lag > 0 {
		zone := string(r.d.settings.Zone)
		holds = append(holds, found{
			condition: alarm.Condition{Kind: alarm.DocumentNotInForce, Subject: "zone " + zone, Cause: "document in zone " + zone},
			lasts:     lag,
		})
	}
	return holds
}

// unowned asks the routing duty for slices without an owner. If it is too busy
// to answer in time, what it said last still counts.
func (r *riskDuty) unowned() []found {
	holds, err := inquire(r.d, func(routing *routingDuty, _ mono.Time) []found { return routing.unownedSlices() })
	if err == nil {
		r.lastUnowned = holds
	}
	return slices.Clone(r.lastUnowned)
}

// unownedSlices returns the slices whose owner is recorded lost or left, or
// that never had one.
func (r *routingDuty) unownedSlices() []found {
	d := r.fleet.document.Load()
	if d == nil {
		return nil
	}
	var holds []found
	records := r.fleet.sessions.Load().records
	for _, app := range d.document.Apps {
		for id := range slicesOf(app) {
			slice := key.Slice{App: app.Name, ID: key.SliceID(id)}
			s, _ := r.owners.At(slice)
			v, known := records[s.Owner]
			if known && !v.Record.State.Final() {
				continue
			}
			holds = append(holds, found{condition: alarm.Condition{
				Kind:    alarm.UnownedKey,
				Subject: slice.String(),
				Cause:   "session " + s.Owner.String(),
			}})
		}
	}
	return holds
}

// see tells the alarm which availability zones there is news of.
func (r *riskDuty) see(now mono.Time) {
	zones := map[string]bool{}
	var names []string
	for id, v := range r.d.fleet.sessions.Load().records {
		zone := string(v.Record.Place.Zone)
		if id == r.d.self || v.Record.State.Final() || zones[zone] {
			continue
		}
		zones[zone] = true
		names = append(names, zone)
	}
	r.ringBell(now, alarm.Parts{Names: names})
	for _, zone := range r.d.heard.since(now, 2*alarmTick) {
		r.ringBell(now, alarm.Seen{Part: zone})
	}
}

// note remembers that a frame of a zone arrived.
func (h *heardZones) note(from *peer.Conn) {
	zone := from.Zone()
	if zone == "" {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.at[string(zone)] = h.clock()
}

// since returns the zones that were heard of within a time.
func (h *heardZones) since(now mono.Time, within time.Duration) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var zones []string
	for zone, at := range h.at {
		if now.Sub(at) <= within {
			zones = append(zones, zone)
		}
	}
	return zones
}
