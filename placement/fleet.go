package placement

import (
	"slices"
	"strings"
	"time"

	"github.com/rhubarbring/rhubarbring/evacuation"
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/session"
)

// status is the state of a session according to its record.
type status uint8

const (
	// statusUnknown: there is no record of the session; it counts as live.
	statusUnknown status = iota
	// statusNobody: the session is host.NoSession.
	statusNobody
	statusLive
	statusDraining
	statusLeft
	statusLost
)

// ended reports whether the session is recorded left or lost, after which it
// can't serve again.
func (s status) ended() bool {
	return s == statusLeft || s == statusLost
}

// hostInfo holds the parts of a session record that placement uses.
type hostInfo struct {
	session      host.Session
	state        session.State
	place        host.Place
	app          key.App
	slots        int
	checksGrants bool
	// instance identifies the run of the session's target; 0 if the target does
	// not report one. It last replaced another one at replacedAt; mono.Never if that is
	// not known.
	instance    uint64
	replacedAt  mono.Time
	version     uint64
	firstSeenAt mono.Time // When the session was first seen; mono.Never if before the first ListingComplete.
}

func (h *hostInfo) status() status {
	switch h.state {
	case session.Live:
		return statusLive
	case session.Draining:
		return statusDraining
	case session.Left:
		return statusLeft
	}
	return statusLost
}

// instanceReplacedAt returns when the session's target last replaced another instance,
// if a newer record names the given one.
func (h *hostInfo) instanceReplacedAt(now mono.Time, instance uint64) mono.Time {
	if h.instance != 0 && h.instance != instance {
		return now
	}
	return h.replacedAt
}

// departure holds what is kept of a session that has ended, because packs may
// still name it.
type departure struct {
	seenAt       mono.Time // When this daemon first saw the end, by its own clock.
	left         bool      // The session released all its slices before it ended.
	checksGrants bool      // Its target checks grants.
	// superseded says that the host's next session recorded this one as lost
	// without waiting; the target of that instance may still hold slices that
	// this session granted.
	superseded bool
	// instance is the session's last one, which replaced another one at replacedAt;
	// mono.Never if it replaced none.
	instance   uint64
	replacedAt mono.Time
}

// fleet holds the known sessions, by their records.
type fleet struct {
	hosts      map[host.ID]*hostInfo      // The newest session of each host.
	earlier    map[host.Session]*hostInfo // Earlier sessions of a host that are not recorded as ended.
	departures map[host.Session]departure
	// leaving holds the instances of targets that are about to end, and when that
	// was last reported.
	leaving map[uint64]mono.Time
	// recordless holds the sessions that have not ended and whose records the store
	// lost when it came back from a copy.
	recordless map[host.Session]recordlessSession
	// evacuated holds the zones whose hosts own nothing.
	evacuated  evacuation.Zones
	listed     bool
	generation uint64 // Increases with each change that concerns placement.
}

func newFleet() fleet {
	return fleet{hosts: make(map[host.ID]*hostInfo), earlier: make(map[host.Session]*hostInfo), departures: make(map[host.Session]departure), leaving: make(map[uint64]mono.Time), recordless: make(map[host.Session]recordlessSession)}
}

// observe records a session record unless the same or a later version is known.
// Each session has its own record: a newer session of the host does not end an
// earlier one, which may be paused and still hold its lease.
func (f *fleet) observe(now mono.Time, r session.Record, version uint64) {
	newest := f.hosts[r.Session.Host]
	old := f.lookup(r.Session)
	if old != nil && version <= old.version {
		return
	}
	delete(f.recordless, r.Session)
	updated := f.newHostInfo(now, r, version)
	if old != nil {
		updated.firstSeenAt = old.firstSeenAt
		updated.replacedAt = old.instanceReplacedAt(now, updated.instance)
	}
	if updated.status().ended() {
		f.addDeparture(updated.session, departure{seenAt: now, left: updated.state == session.Left, checksGrants: updated.checksGrants, superseded: r.Superseded, instance: updated.instance, replacedAt: updated.replacedAt})
	}
	switch {
	case newest == nil || r.Session.Incarnation >= newest.session.Incarnation:
		f.setNewest(newest, updated)
	case updated.status().ended():
		delete(f.earlier, updated.session)
	default:
		f.earlier[updated.session] = updated
	}
	if old == nil || old.differs(updated) {
		f.generation++
	}
}

func (f *fleet) newHostInfo(now mono.Time, r session.Record, version uint64) *hostInfo {
	h := &hostInfo{session: r.Session, state: r.State, place: r.Place, version: version, firstSeenAt: now, replacedAt: mono.Never}
	if !f.listed {
		h.firstSeenAt = mono.Never
	}
	if r.Target != nil {
		h.app, h.slots, h.checksGrants = r.Target.App, r.Target.Slots, r.Target.ChecksGrants
		h.instance = r.Target.Instance
	}
	return h
}

// setNewest makes a session its host's newest and keeps the previous one as an
// earlier session unless it has ended.
func (f *fleet) setNewest(before, h *hostInfo) {
	if before != nil && before.session != h.session && !before.status().ended() {
		f.earlier[before.session] = before
	}
	f.hosts[h.session.Host] = h
}

// lookup returns the record of a session, or nil if there is none.
func (f *fleet) lookup(s host.Session) *hostInfo {
	if h := f.hosts[s.Host]; h != nil && h.session == s {
		return h
	}
	return f.earlier[s]
}

// differs reports whether two records of a session differ in what concerns
// placement.
func (h *hostInfo) differs(o *hostInfo) bool {
	return h.session != o.session || h.state != o.state || h.app != o.app || h.slots != o.slots || h.instance != o.instance
}

// addDeparture records the end of a session; the first record of it counts.
func (f *fleet) addDeparture(s host.Session, d departure) {
	if _, ok := f.departures[s]; !ok {
		f.departures[s] = d
	}
}

// status returns the status of a session. Only its own record can say that it
// has ended.
func (f *fleet) status(s host.Session) status {
	if s.IsZero() {
		return statusNobody
	}
	if h := f.lookup(s); h != nil {
		return h.status()
	}
	d, gone := f.departures[s]
	switch {
	case gone && d.left:
		return statusLeft
	case gone:
		return statusLost
	}
	return statusUnknown
}

// mayReassign reports whether the slices of a session that has ended may get
// another owner now. If the session was lost and its target did not check
// grants, or is not known to, its slices wait until maxDeadline has passed
// since this daemon first saw the loss.
func (f *fleet) mayReassign(now mono.Time, s host.Session, maxDeadline time.Duration) bool {
	d, ok := f.departures[s]
	if !ok {
		d = departure{seenAt: now}
		f.departures[s] = d
	}
	return d.left || d.checksGrants || now.Sub(d.seenAt) >= maxDeadline
}

// successor returns the session that must get the slices of a superseded
// session. The target may hold them until grantTTL has passed; during that time
// only the host's next session may own them, and only if its target is the instance
// that the superseded one had and had granted all of them: another instance may run
// beside the one that holds them. It returns host.NoSession if any host may own
// them, and false if that is not known yet.
func (f *fleet) successor(now mono.Time, s host.Session, app *App, grantTTL time.Duration) (host.Session, bool) {
	d := f.departures[s]
	if !d.superseded || now.Sub(d.seenAt) >= grantTTL {
		return host.NoSession, true
	}
	next := f.hosts[s.Host]
	if next == nil || next.session == s || next.state != session.Live || next.slots == 0 || f.isLeaving(next) || f.isEvacuated(next) {
		return host.NoSession, false
	}
	if next.app != app.Name || !host.RegionAllowed(app.Regions, next.place.Region) || next.instance == 0 || next.instance != d.instance {
		return host.NoSession, false
	}
	if d.seenAt.Sub(d.replacedAt) < grantTTL {
		return host.NoSession, false
	}
	return next.session, true
}

// serving returns the hosts that may own slices of the app, sorted by host ID.
func (f *fleet) serving(app *App) []*hostInfo {
	var out []*hostInfo
	for _, h := range f.hosts {
		if f.serves(h, app) {
			out = append(out, h)
		}
	}
	slices.SortFunc(out, func(a, b *hostInfo) int {
		return strings.Compare(string(a.session.Host), string(b.session.Host))
	})
	return out
}

// awaitsTargets reports whether there is a live session whose target has not
// announced itself yet.
func (f *fleet) awaitsTargets() bool {
	for _, h := range f.hosts {
		if h.state == session.Live && h.slots == 0 {
			return true
		}
	}
	return false
}

// serves reports whether a session is live in a region of the app, and its target
// serves the app and is not about to end; its zone is not evacuated.
func (f *fleet) serves(h *hostInfo, app *App) bool {
	if h.state != session.Live || !host.RegionAllowed(app.Regions, h.place.Region) {
		return false
	}
	return h.app == app.Name && h.slots > 0 && !f.isLeaving(h) && !f.isEvacuated(h)
}

// eligible reports whether a session is its host's newest and serves the app, so
// that it may own slices of the app.
func (f *fleet) eligible(s host.Session, app *App) bool {
	h := f.hosts[s.Host]
	return h != nil && h.session == s && f.serves(h, app)
}

// departureRetention is how long a departure is kept once the session's own
// record is no longer held. A session that a pack still names after that would
// count as live, but its slices have got another owner long before.
const departureRetention = 7 * 24 * time.Hour

// pruneDepartures drops departures older than departureRetention of sessions
// whose record is no longer held.
func (f *fleet) pruneDepartures(now mono.Time) {
	for s, d := range f.departures {
		if now.Sub(d.seenAt) > departureRetention && f.lookup(s) == nil {
			delete(f.departures, s)
		}
	}
}
