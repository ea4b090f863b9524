package daemon

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"github.com/rhubarbring/rhubarbring/event"
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/session"
	"github.com/rhubarbring/rhubarbring/status"
)

// RegionOf implements request.Places.
func (r *routingLoop) RegionOf(s host.Session) (host.Region, bool) {
	if s == r.self {
		return r.place.Region, true
	}
	record, ok := r.fleet.record(s)
	return record.Place.Region, ok && !record.State.Final()
}

// ServedIn implements request.Places.
func (r *routingLoop) ServedIn(app key.App, regions []host.Region) bool {
	return r.balancer.HasGateIn(app, regions)
}

// record returns the known record of a session: the newest one or, before the
// daemon has caught up, one that a peer sent.
func (f *fleet) record(s host.Session) (session.Record, bool) {
	if v, ok := f.sessions.Load().records[s]; ok {
		return v.Record, true
	}
	bootstrap := f.bootstrap.Load()
	if bootstrap == nil {
		return session.Record{}, false
	}
	for _, r := range *bootstrap {
		if r.Session == s {
			return r, true
		}
	}
	return session.Record{}, false
}

// boundRoutes returns the routes of the document that name allowed regions, and
// which of their apps have no gate there.
func (r *routingLoop) boundRoutes() []status.BoundRoute {
	d := r.fleet.document.Load()
	if d == nil {
		return nil
	}
	var list []status.BoundRoute
	for _, route := range d.document.Routes {
		if len(route.AllowedRegions) == 0 {
			continue
		}
		b := status.BoundRoute{Route: route.Name, Regions: route.AllowedRegions}
		for _, share := range route.Split {
			if !r.ServedIn(share.App, route.AllowedRegions) {
				b.Unserved = append(b.Unserved, share.App)
			}
		}
		list = append(list, b)
	}
	return list
}

// routeApp is an app of a route's split.
type routeApp struct {
	route   string
	app     key.App
	regions string // The route's allowed regions, separated by commas.
}

// watchBoundRoutes logs which apps of routes have lost their last gate in the
// allowed regions since the last call, and which have got one. A daemon that has not
// caught up with the fleet yet does not know the gates.
func (r *routingLoop) watchBoundRoutes() {
	if !r.caughtUp() {
		return
	}
	unserved := make(map[routeApp]bool)
	for _, b := range r.boundRoutes() {
		for _, app := range b.Unserved {
			unserved[routeApp{b.Route, app, joinRegions(b.Regions)}] = true
		}
	}
	for _, a := range sortedRouteApps(unserved) {
		if !r.unserved[a] {
			r.log.Event(event.RegionsUnserved, "route", a.route, "app", string(a.app), "regions", a.regions)
		}
	}
	for _, a := range sortedRouteApps(r.unserved) {
		if !unserved[a] {
			r.log.Event(event.RegionsServed, "route", a.route, "app", string(a.app), "regions", a.regions)
		}
	}
	r.unserved = unserved
}

func sortedRouteApps(set map[routeApp]bool) []routeApp {
	return slices.SortedFunc(maps.Keys(set), func(a, b routeApp) int {
		return cmp.Or(cmp.Compare(a.route, b.route), cmp.Compare(a.app, b.app), cmp.Compare(a.regions, b.regions))
	})
}

func joinRegions(regions []host.Region) string {
	names := make([]string, len(regions))
	for i, r := range regions {
		names[i] = string(r)
	}
	return strings.Join(names, ",")
}
