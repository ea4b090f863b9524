package daemon

import (
	"slices"
	"time"

	"github.com/rhubarbring/rhubarbring/alarm"
	"github.com/rhubarbring/rhubarbring/alarmrecord"
	"github.com/rhubarbring/rhubarbring/internal/peer"
	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/takeover"
)

// recentWindow is how long after its last message a session or zone counts as
// alive.
const recentWindow = 5 * time.Second

// activeCondition is an alarm condition that holds now, and for how long it has
// held.
type activeCondition struct {
	condition alarm.Condition
	duration  time.Duration
}

// checkConditions compares, once a second, the conditions that hold with those
// reported to the alarm core. Every daemon checks its own session and the
// sessions for which it is a witness; only the relay of an availability zone
// checks what concerns the whole fleet.
func (r *riskLoop) checkConditions(now mono.Time) {
	r.logRefusals()
	r.stepRecords(now, alarmrecord.Tick{StoreReachable: r.d.store.reachable()})
	if r.d.fleet.document.Load() == nil {
		return // Without a document there are neither bounds nor slices.
	}
	r.setBounds(now)
	active := r.localConditions(now)
	if r.d.spread.isRelay.Load() {
		active = append(active, r.fleetConditions(now)...)
		r.reportZones(now)
	} else {
		r.lastUnowned = nil
	}
	r.updateGauges(now)
	r.reportConditions(now, active)
	r.stepAlarm(now, alarm.Tick{})
}

func (r *riskLoop) setBounds(now mono.Time) {
	a := r.d.fleet.document.Load().document.Alarm
	r.stepAlarm(now, alarm.SetBounds{
		HasReceiver: a.Receiver != "",
		Bounds: alarm.Bounds{
			UnownedKey:         a.UnownedKey.Std(),
			DocumentNotInForce: a.DocumentNotInForce.Std(),
			AssignmentAtRisk:   a.AssignmentAtRisk.Std(),
			CannotSee:          a.CannotSee.Std(),
		},
	})
}

// reportConditions reports to the alarm core the conditions that began or ended
// since the last call.
func (r *riskLoop) reportConditions(now mono.Time, active []activeCondition) {
	next := make(map[alarm.Condition]bool, len(active))
	for _, f := range active {
		next[f.condition] = true
		if !r.reported[f.condition] {
			r.stepAlarm(now, alarm.ConditionBegan{Condition: f.condition, For: f.duration})
		}
	}
	for c := range r.reported {
		if !next[c] {
			r.stepAlarm(now, alarm.ConditionEnded{Kind: c.Kind, Subject: c.Subject})
		}
	}
	r.reported = next
}

// localConditions returns a condition for this daemon's lease if it has lapsed,
// and the conditions of sessions that stopped renewing but are not yet recorded
// as lost.
func (r *riskLoop) localConditions(now mono.Time) []activeCondition {
	var active []activeCondition
	if r.d.lease.recorded.Load() != nil && !now.Before(r.d.lease.leaseEnd()) {
		self := r.d.self.String()
		active = append(active, activeCondition{condition: alarm.Condition{Kind: alarm.AssignmentAtRisk, Subject: self, Cause: "session " + self}})
	}
	if pending := r.d.lease.pendingTakeovers.Load(); pending != nil {
		for _, p := range *pending {
			active = append(active, r.takeoverConditions(now, p)...)
		}
	}
	return active
}

// takeoverConditions returns the condition that a pending takeover gives rise
// to. A session that another witness has heard recently is alive and gives
// none. If its witnesses are silent too and nothing has been heard from its
// zone, the zone is cut off from this daemon and may go on serving: the
// condition is then that the zone cannot be seen, not that an assignment is at
// risk.
func (r *riskLoop) takeoverConditions(now mono.Time, p takeover.Pending) []activeCondition {
	if p.LastHeard != mono.Never && now.Sub(p.LastHeard) < recentWindow {
		return nil
	}
	name := p.Session.String()
	f := activeCondition{
		condition: alarm.Condition{Kind: alarm.AssignmentAtRisk, Subject: name, Cause: "session " + name},
		duration:  now.Sub(p.Since),
	}
	zone := string(p.Place.Zone)
	if p.Reason == takeover.NoWitnessMajority && !slices.Contains(r.d.zoneActivity.heardWithin(now, recentWindow), zone) {
		f.condition = alarm.Condition{Kind: alarm.CannotSee, Subject: "sessions in " + zone, Cause: "no news of " + zone}
	}
	return []activeCondition{f}
}

// fleetConditions returns the slices without an owner, and whether some daemon
// of the zone lacks the newest document.
func (r *riskLoop) fleetConditions(now mono.Time) []activeCondition {
	active := r.queryUnowned()
	if lag := r.d.spread.documentLag(now); lag > 0 {
		zone := string(r.d.settings.Zone)
		active = append(active, activeCondition{
			condition: alarm.Condition{Kind: alarm.DocumentNotInForce, Subject: "zone " + zone, Cause: "document in zone " + zone},
			duration:  lag,
		})
	}
	return active
}

// queryUnowned returns the slices without an owner from the routing loop. If
// the loop does not answer in time, the previous result is returned.
func (r *riskLoop) queryUnowned() []activeCondition {
	active, err := queryRouting(r.d, func(routing *routingLoop, _ mono.Time) []activeCondition { return routing.unownedSlices() })
	if err == nil {
		r.lastUnowned = active
	}
	return slices.Clone(r.lastUnowned)
}

// unownedSlices returns a condition for each slice that never had an owner or
// whose owner is unknown or recorded as lost or left.
func (r *routingLoop) unownedSlices() []activeCondition {
	d := r.fleet.document.Load()
	if d == nil {
		return nil
	}
	var active []activeCondition
	records := r.fleet.sessions.Load().records
	for _, app := range d.document.Apps {
		for id := range sliceCount(app) {
			slice := key.Slice{App: app.Name, ID: key.SliceID(id)}
			s, _ := r.owners.At(slice)
			v, known := records[s.Owner]
			if known && !v.Record.State.Final() {
				continue
			}
			active = append(active, activeCondition{condition: alarm.Condition{
				Kind:    alarm.UnownedKey,
				Subject: slice.String(),
				Cause:   "session " + s.Owner.String(),
			}})
		}
	}
	return active
}

// reportZones reports to the alarm core which availability zones exist and
// from which of them frames arrived recently.
func (r *riskLoop) reportZones(now mono.Time) {
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
	r.stepAlarm(now, alarm.SetParts{Names: names})
	for _, zone := range r.d.zoneActivity.heardWithin(now, 2*alarmTick) {
		r.stepAlarm(now, alarm.PartSeen{Part: zone})
	}
}

// frameReceived records that a frame of a zone arrived.
func (h *zoneActivity) frameReceived(from *peer.Conn) {
	zone := from.Zone()
	if zone == "" {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.at[string(zone)] = h.clock()
}

// heardWithin returns the zones from which a frame arrived within the given
// time before now.
func (h *zoneActivity) heardWithin(now mono.Time, within time.Duration) []string {
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
