package daemon

import (
	"cmp"
	"slices"
	"time"

	"github.com/rhubarbring/rhubarbring/admission"
	"github.com/rhubarbring/rhubarbring/balance"
	"github.com/rhubarbring/rhubarbring/document"
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/session"
)

const (
	bitsPerByte    = 8
	bitsPerMegabit = 1e6
	// hostLinkShare is the part of the host's link that answers may fill. The rest
	// is for what the daemon sends as an entry, and for the target's host itself.
	hostLinkShare = 0.75
	// bulkLinkShare is the part of the host's link that large messages of replicated
	// objects may take, beside requests, answers and what the target's host sends.
	bulkLinkShare = 0.5
	// linkBurst sizes the burst of the link budget: the bytes of the link share
	// that accumulate in this time can be sent at once.
	linkBurst = 500 * time.Millisecond
)

// gatesChanged makes the routing loop rebuild the list of gates from the
// session directory.
type gatesChanged struct{}

func (gatesChanged) handle(r *routingLoop, now mono.Time) {
	r.updateLinkShare(now)
	gates := make(map[key.App][]balance.GateInfo)
	for id, v := range r.fleet.sessions.Load().records {
		if v.Record.State != session.Live || v.Record.Target == nil || r.evacuated.Contains(v.Record.Place.Zone) {
			continue
		}
		if r.peerTargets.Leaving(id.Host, v.Record.Target.Instance) {
			continue
		}
		app := v.Record.Target.App
		gates[app] = append(gates[app], balance.GateInfo{Session: id, Place: v.Record.Place})
	}
	for app := range r.balancedGates {
		if _, ok := gates[app]; !ok {
			r.setGates(app, nil)
		}
	}
	r.balancedGates = gates
	for app, list := range gates {
		slices.SortFunc(list, func(a, b balance.GateInfo) int { return cmp.Compare(a.Session.Host, b.Session.Host) })
		r.setGates(app, list)
	}
	r.watchBoundRoutes()
	r.router.MapChanged(now, &r.routerActions) // An owner's region may be known now, or the last gate of a region gone.
}

// setGates gives the gates of an app to those who decide by them.
func (r *routingLoop) setGates(app key.App, list []balance.GateInfo) {
	r.balancer.SetGates(app, list)
	gates := make([]admission.Gate, 0, len(list))
	for _, g := range list {
		gates = append(gates, admission.Gate{Session: g.Session, Region: g.Place.Region})
	}
	r.admission.SetGates(app, gates)
}

// updateLinkShare gives the balancer this daemon's part of the narrowest link
// from its region: the share that the document allows for requests, divided by
// the number of daemons in the region.
func (r *routingLoop) updateLinkShare(now mono.Time) {
	d := r.fleet.document.Load()
	if d == nil {
		return
	}
	share, ok := narrowestLinkShare(d.document, r.place.Region)
	if !ok {
		return
	}
	part := share / float64(max(r.fleet.daemonsInRegion(r.place.Region), 1))
	r.balancer.Link().SetShare(now, balance.LinkConfig{BytesPerSecond: part, Burst: part * linkBurst.Seconds()})
}

// chargeControlBytes deducts from the link share the control bytes that were
// sent to other regions since the last call. Requests and answers are charged
// one by one elsewhere.
func (r *routingLoop) chargeControlBytes(now mono.Time) {
	crossed := r.peers.CrossRegionBytes(balance.Control)
	if n := crossed - r.chargedControlBytes; n > 0 {
		r.balancer.Link().Charge(now, balance.Control, int(n))
	}
	r.chargedControlBytes = crossed
}

// narrowestLinkShare returns the bytes per second that requests may use on the
// narrowest link from a region. It returns false if the document has no link
// from there.
func narrowestLinkShare(doc *document.Document, from host.Region) (float64, bool) {
	narrowest, found := 0.0, false
	for _, l := range doc.Links {
		if !slices.Contains(l.Between, from) {
			continue
		}
		share := float64(l.BitsPerSecond) / bitsPerByte * l.RequestShare
		if !found || share < narrowest {
			narrowest, found = share, true
		}
	}
	return narrowest, found
}

// zoneOf returns the availability zone of a session, empty if the session is not
// known.
func (r *routingLoop) zoneOf(s host.Session) host.Zone {
	return r.fleet.sessions.Load().records[s].Record.Place.Zone
}
