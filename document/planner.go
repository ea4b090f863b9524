package document

import (
	"fmt"

	"github.com/rhubarbring/rhubarbring/host"
)

// planner collects the items and problems of a plan.
type planner struct {
	old, next *Document
	fleet     Fleet
	items     []Item
	problems  Problems
}

func (p *planner) add(i Item) {
	p.items = append(p.items, i)
}

// countHosts returns the number of hosts that satisfy the condition, and the
// number of slices that they own.
func (p *planner) countHosts(where func(FleetHost) bool) (hosts, slices int) {
	for _, h := range p.fleet.Hosts {
		if where(h) {
			hosts++
			slices += h.Slices
		}
	}
	return hosts, slices
}

func (p *planner) places() {
	for _, r := range p.next.Regions {
		for _, z := range r.Zones {
			if !p.old.HasPlace(host.Place{Region: r.Name, Zone: z}) {
				p.zoneAdded(r.Name, z)
			}
		}
	}
	for _, r := range p.old.Regions {
		for _, z := range r.Zones {
			if !p.next.HasPlace(host.Place{Region: r.Name, Zone: z}) {
				p.zoneRemoved(r.Name, z)
			}
		}
	}
}

func (p *planner) zoneAdded(r host.Region, z host.Zone) {
	hosts, _ := p.countHosts(func(h FleetHost) bool { return h.Place.Zone == z })
	p.add(Item{
		Kind: PlaceAdded, Subject: fmt.Sprintf("availability zone %s of %s", z, r),
		Concerns: "daemons there", Effect: "may join, own slices and act as witnesses", Hosts: hosts,
	})
}

func (p *planner) zoneRemoved(r host.Region, z host.Zone) {
	hosts, slices := p.countHosts(func(h FleetHost) bool { return h.Place.Zone == z })
	subject := fmt.Sprintf("availability zone %s of %s", z, r)
	p.add(Item{
		Kind: PlaceRemoved, Subject: subject,
		Concerns: "daemons there", Effect: "may no longer join; those that run are drained", Hosts: hosts,
	})
	if slices > 0 {
		p.add(Item{
			Kind: MovesExpected, Subject: subject,
			Concerns: "callers of these slices", Effect: "their owners change by planned handover", Moves: slices,
		})
	}
}

func (p *planner) apps() {
	for i, a := range p.next.Apps {
		old, had := p.old.App(a.Name)
		if !had {
			p.appAdded(a)
			continue
		}
		p.partitioning(i, old, a)
		p.limits(old, a)
		p.placement(old, a)
		p.grantChecks(old, a)
	}
	for _, a := range p.old.Apps {
		if _, kept := p.next.App(a.Name); !kept {
			p.appRemoved(a)
		}
	}
}

func (p *planner) targets(a App) (hosts, slices int) {
	return p.countHosts(func(h FleetHost) bool { return h.App == a.Name })
}

func (p *planner) appAdded(a App) {
	hosts, _ := p.targets(a)
	effect := "requests are taken and balanced over the targets"
	if a.DividedByKey {
		effect = fmt.Sprintf("requests are taken; %d slices are assigned", a.Slices)
	}
	p.add(Item{
		Kind: AppAdded, Subject: "app " + string(a.Name),
		Concerns: "callers and targets of the app", Effect: effect, Hosts: hosts, Moves: int(a.Slices),
	})
}

func (p *planner) appRemoved(a App) {
	hosts, slices := p.targets(a)
	subject := "app " + string(a.Name)
	p.add(Item{
		Kind: AppRemoved, Subject: subject,
		Concerns: "targets of the app", Effect: "get no new work, finish what is in flight, and own nothing", Hosts: hosts, Moves: slices,
	})
	p.add(Item{
		Kind: RefusalsExpected, Subject: subject,
		Concerns: "callers of the app", Effect: "every request is refused as unknown_app; none runs",
	})
}

// partitioning refuses a change of divided_by_key or slices. It would change
// which slice a key belongs to, and so give keys two owners in a running fleet.
func (p *planner) partitioning(i int, old, a App) {
	at := fmt.Sprintf("apps[%d]", i)
	if old.DividedByKey != a.DividedByKey {
		p.problems = append(p.problems, Problem{
			Field: at + ".divided_by_key", Value: fmt.Sprint(a.DividedByKey),
			Reason: fmt.Sprintf("it is %v in the document in force, and changing it would give keys two owners", old.DividedByKey),
			Remedy: "keep it, or add an app of another name and move the callers there",
		})
	}
	if old.DividedByKey && a.DividedByKey && old.Slices != a.Slices {
		p.problems = append(p.problems, Problem{
			Field: at + ".slices", Value: fmt.Sprint(a.Slices),
			Reason: fmt.Sprintf("it is %d in the document in force, and changing it would give keys two owners", old.Slices),
			Remedy: "keep it, or add an app of another name and move the callers there",
		})
	}
}
