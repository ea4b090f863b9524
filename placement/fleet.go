package placement

import (
	"slices"
	"strings"
	"time"

	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/session"
)

// status is what the records say of a session.
type status uint8

const (
	// statusUnknown: no record says anything of it; it counts as living.
	statusUnknown status = iota
	statusNobody
	statusLive
	statusDraining
	statusLeft
	statusLost
)

// ended reports whether the session can't serve any more.
func (s status) ended() bool {
	return s == statusLeft || s == statusLost
}

// hostInfo is what the leader keeps of a session record.
type hostInfo struct {
	session      host.Session
	state        session.State
	place        host.Place
	app          key.App
	slots        int
	checksGrants bool
	// instance is the life of its target; 0 if the target does not say.
	instance    uint64
	version     uint64
	firstSeenAt mono.Time // When the session was first seen; mono.Never if before the first listing.
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

// departure is what is remembered of a session that is gone and may still be
// named by packs.
type departure struct {
	seenAt       mono.Time // By this daemon's clock.
	left         bool      // It released everything before it went.
	checksGrants bool      // Its target checked grants.
	// superseded says that its host's next session recorded it as lost at
	// once; its target, of that instance, may still hold what it granted.
	superseded bool
	instance   uint64
}

// fleet is what the records say of all sessions.
type fleet struct {
	hosts      map[host.ID]*hostInfo      // The newest session of each host.
	earlier    map[host.Session]*hostInfo // Earlier ones not recorded as ended.
	departures map[host.Session]departure
	listed     bool
	generation uint64 // Rises with each change.
}

func newFleet() fleet {
	return fleet{hosts: make(map[host.ID]*hostInfo), earlier: make(map[host.Session]*hostInfo), departures: make(map[host.Session]departure)}
}

// observe takes a record over unless a later version is known. Each session has a
// record of its own: that a host has a newer session says nothing of an
// earlier one, which may be paused and still hold its lease.
func (f *fleet) observe(now mono.Time, r session.Record, version uint64) {
	newest := f.hosts[r.Session.Host]
	old := f.lookup(r.Session)
	if old != nil && version <= old.version {
		return
	}
	updated := f.newHostInfo(now, r, version)
	if old != nil {
		updated.firstSeenAt = old.firstSeenAt
	}
	if updated.status().ended() {
		f.addDeparture(updated.session, departure{seenAt: now, left: updated.state == session.Left, checksGrants: updated.checksGrants, superseded: r.Superseded, instance: updated.instance})
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
	h := &hostInfo{session: r.Session, state: r.State, place: r.Place, version: version, firstSeenAt: now}
	if !f.listed {
		h.firstSeenAt = mono.Never
	}
	if r.Target != nil {
		h.app, h.slots, h.checksGrants = r.Target.App, r.Target.Slots, r.Target.ChecksGrants
		h.instance = r.Target.Instance
	}
	return h
}

// setNewest makes a session its host's newest and keeps the one before unless
// it has ended.
func (f *fleet) setNewest(before, h *hostInfo) {
	if before != nil && before.session != h.session && !before.status().ended() {
		f.earlier[before.session] = before
	}
	f.hosts[h.session.Host] = h
}

// lookup returns what the records say of a session, or nil.
func (f *fleet) lookup(s host.Session) *hostInfo {
	if h := f.hosts[s.Host]; h != nil && h.session == s {
		return h
	}
	return f.earlier[s]
}

// differs reports whether the change of a record concerns placement.
func (h *hostInfo) differs(o *hostInfo) bool {
	return h.session != o.session || h.state != o.state || h.app != o.app || h.slots != o.slots || h.instance != o.instance
}

func (f *fleet) addDeparture(s host.Session, d departure) {
	if _, ok := f.departures[s]; !ok {
		f.departures[s] = d
	}
}

// status returns what the records say of a session. Only its own record can
// say that it has ended.
func (f *fleet) status(s host.Session) status {
	if s.IsNobody() {
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

// mayReassign reports whether the slices of a session that is gone may be
// given away now. Those of a lost session whose target did not check grants,
// or is not known to, wait for the longest deadline.
func (f *fleet) mayReassign(now mono.Time, s host.Session, maxDeadline time.Duration) bool {
	d, ok := f.departures[s]
	if !ok {
		d = departure{seenAt: now}
		f.departures[s] = d
	}
	return d.left || d.checksGrants || now.Sub(d.seenAt) >= maxDeadline
}

// successor says who gets the slices of a session that was superseded. The target
// beside it may still hold them for a while: until then only the host's next
// session may have them, if it serves the same life of the target. It returns
// nobody if any host may, and false if that is not known yet.
func (f *fleet) successor(now mono.Time, s host.Session, app key.App, grantTTL time.Duration) (host.Session, bool) {
	d := f.departures[s]
	if !d.superseded || now.Sub(d.seenAt) >= grantTTL {
		return host.Nobody, true
	}
	next := f.hosts[s.Host]
	if next == nil || next.session == s || next.state != session.Live || next.slots == 0 {
		return host.Nobody, false
	}
	if next.app != app || next.instance != d.instance || d.instance == 0 {
		return host.Nobody, d.instance != 0
	}
	return next.session, true
}

// serving returns the live hosts whose target serves the app, by name.
func (f *fleet) serving(app key.App) []*hostInfo {
	var out []*hostInfo
	for _, h := range f.hosts {
		if h.serves(app) {
			out = append(out, h)
		}
	}
	slices.SortFunc(out, func(a, b *hostInfo) int {
		return strings.Compare(string(a.session.Host), string(b.session.Host))
	})
	return out
}

// awaitsTargets reports whether a live session's target has not announced
// itself yet.
func (f *fleet) awaitsTargets() bool {
	for _, h := range f.hosts {
		if h.state == session.Live && h.slots == 0 {
			return true
		}
	}
	return false
}

func (h *hostInfo) serves(app key.App) bool {
	return h.state == session.Live && h.app == app && h.slots > 0
}

// eligible reports whether a session is live and its target serves the app.
func (f *fleet) eligible(s host.Session, app key.App) bool {
	h := f.hosts[s.Host]
	return h != nil && h.session == s && h.serves(app)
}

// departureRetention is how long a departure is remembered after the host has a
// newer session. A session that is forgotten and still named by a pack would
// count as living; its slices are given away long before.
const departureRetention = 7 * 24 * time.Hour

// pruneDepartures drops old departures of sessions that a newer one replaced.
func (f *fleet) pruneDepartures(now mono.Time) {
	for s, d := range f.departures {
		if now.Sub(d.seenAt) > departureRetention && f.lookup(s) == nil {
			delete(f.departures, s)
		}
	}
}
