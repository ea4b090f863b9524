package document

import (
	"fmt"
	"slices"

	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/key"
)

// HasRegion reports whether the document has a region of the name.
func (d *Document) HasRegion(name host.Region) bool {
	return slices.ContainsFunc(d.Regions, func(r Region) bool { return r.Name == name })
}

// RegionsForSlices returns the regions whose hosts may own slices of an app;
// empty for all. If all routes to the app name regions, it is those that all of
// them name. If they have none in common, it is every region that one of them
// names: no choice would then suit all routes.
func (d *Document) RegionsForSlices(app key.App) []host.Region {
	var lists [][]host.Region
	for i := range d.Routes {
		r := &d.Routes[i]
		if !slices.ContainsFunc(r.Split, func(s WeightedApp) bool { return s.App == app }) {
			continue
		}
		if len(r.AllowedRegions) == 0 {
			return nil
		}
		lists = append(lists, r.AllowedRegions)
	}
	if common, ok := host.CommonRegions(lists...); ok {
		return common
	}
	all := slices.Concat(lists...)
	slices.Sort(all)
	return slices.Compact(all)
}

// regionsKnown adds a problem for each region of a route that the document does
// not have.
func (c *checker) regionsKnown(at string, r *Route, known map[host.Region]bool) {
	for i, name := range r.AllowedRegions {
		if !known[name] {
			c.add(fmt.Sprintf("%s.allowed_regions[%d]", at, i), fmt.Sprintf("route %s names it, and no region has this name", r.Name), "name one of the regions")
		}
	}
}
