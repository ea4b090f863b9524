package document

import (
	"fmt"
	"slices"
	"strings"

	"github.com/rhubarbring/rhubarbring/host"
)

// routes adds items for the routes whose allowed regions change, and for the
// slices that change owner for that.
func (p *planner) routes() {
	for _, r := range p.next.Routes {
		p.regions(r)
	}
	for _, a := range p.next.Apps {
		if _, had := p.old.App(a.Name); had && a.DividedByKey {
			p.sliceRegions(a)
		}
	}
}

func (p *planner) regions(r Route) {
	var old []host.Region
	if i := slices.IndexFunc(p.old.Routes, func(o Route) bool { return o.Name == r.Name }); i >= 0 {
		old = p.old.Routes[i].AllowedRegions
	}
	subject := "route " + r.Name
	before := len(p.items)
	p.addIfChanged(LimitChanged, subject, "allowed_regions", regionsText(old), regionsText(r.AllowedRegions),
		"requests of the route", "run only at targets in these regions; all if none is named")
	if len(p.items) == before {
		return
	}
	for _, s := range r.Split {
		hosts, _ := p.countHosts(func(h FleetHost) bool {
			return h.App == s.App && host.RegionAllowed(r.AllowedRegions, h.Place.Region)
		})
		if hosts == 0 {
			p.add(Item{
				Kind: RefusalsExpected, Subject: subject, Concerns: fmt.Sprintf("requests to app %s", s.App),
				Effect: "are refused as no_allowed_region while the app has no target in these regions; none runs",
			})
		}
	}
}

// sliceRegions adds an item for the slices of an app that are owned outside the
// regions which its routes allow from now on.
func (p *planner) sliceRegions(a App) {
	regions := p.next.RegionsForSlices(a.Name)
	if slices.Equal(regions, p.old.RegionsForSlices(a.Name)) {
		return
	}
	hosts, moves := p.countHosts(func(h FleetHost) bool {
		return h.App == a.Name && !host.RegionAllowed(regions, h.Place.Region)
	})
	if moves == 0 {
		return
	}
	p.add(Item{
		Kind: MovesExpected, Subject: "app " + string(a.Name), Concerns: "callers of slices outside " + regionsText(regions),
		Effect: "their owners change by planned handover to hosts in these regions", Hosts: hosts, Moves: moves,
	})
}

func regionsText(regions []host.Region) string {
	names := make([]string, len(regions))
	for i, r := range regions {
		names[i] = string(r)
	}
	return strings.Join(names, ",")
}
