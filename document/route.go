package document

import (
	"fmt"
	"strings"

	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/key"
)

// Route maps the requests for a host name and a path prefix to apps.
type Route struct {
	// Name is unique among the routes.
	Name string `json:"name"`
	// Host is the HTTP host name that the requests are addressed to, not a host
	// of the fleet.
	Host string `json:"host"`
	// PathPrefix is the prefix of the paths of the route's requests. It begins
	// and ends with a slash; the longest one that matches a path wins.
	PathPrefix string `json:"path_prefix"`
	// Idempotent is set if the requests may be run more than once.
	Idempotent bool `json:"idempotent"`
	// Timeout is the longest time that a caller waits.
	Timeout Duration `json:"timeout"`
	// LatencyTarget is the time within which an answer has its full value; 0
	// if none is set.
	LatencyTarget Duration `json:"latency_target,omitempty"`
	// Priority ranks the route's requests; 0 is the highest.
	Priority int `json:"priority"`
	// MaxAttempts limits the targets that one request may be sent to.
	MaxAttempts int `json:"max_attempts"`
	// AllowedRegions lists the regions in which targets may run the requests;
	// empty if all may.
	AllowedRegions []host.Region `json:"allowed_regions,omitempty"`
	// Split lists the apps that the requests go to, with their weights.
	Split []WeightedApp `json:"split"`
}

// WeightedApp is an app of a route and its weight.
type WeightedApp struct {
	// App is the app's name.
	App key.App `json:"app"`
	// Weight divided by the sum of the route's weights is the app's share of the
	// requests.
	Weight int `json:"weight"`
}

// DropUnusableRoutes removes the routes that the checks of a document refuse, and
// returns their problems. Of routes that exclude each other the first stays.
func (d *Document) DropUnusableRoutes() Problems {
	var dropped Problems
	c := newRouteChecker(d)
	kept := d.Routes[:0]
	for i, r := range d.Routes {
		problems := c.problemsOf(i, r)
		if len(problems) > 0 {
			dropped = append(dropped, problems...)
			continue
		}
		c.add(i, r)
		kept = append(kept, r)
	}
	d.Routes = kept
	return dropped
}

func (c *checker) routes() {
	rc := newRouteChecker(c.doc)
	for i, r := range c.doc.Routes {
		c.problems = append(c.problems, rc.problemsOf(i, r)...)
		rc.add(i, r)
	}
}

// routeChecker checks routes one after the other, each against those before it.
type routeChecker struct {
	apps    map[key.App]bool
	regions map[host.Region]bool
	// names and prefixes hold the indexes of the routes so far.
	names    map[string]int
	prefixes map[hostPrefix]int
}

// hostPrefix is what tells a route from others in lookups.
type hostPrefix struct{ host, prefix string }

func newRouteChecker(doc *Document) *routeChecker {
	c := &routeChecker{apps: make(map[key.App]bool), regions: make(map[host.Region]bool), names: make(map[string]int), prefixes: make(map[hostPrefix]int)}
	for _, r := range doc.Regions {
		c.regions[r.Name] = true
	}
	for _, a := range doc.Apps {
		c.apps[a.Name] = true
	}
	return c
}

// add makes a route one of those that later routes are checked against.
func (c *routeChecker) add(i int, r Route) {
	c.names[r.Name] = i
	c.prefixes[hostPrefix{r.Host, r.PathPrefix}] = i
}

// problemsOf returns the problems of the document's route i.
func (c *routeChecker) problemsOf(i int, r Route) Problems {
	at := fmt.Sprintf("routes[%d]", i)
	var p checker
	if first, twice := c.names[r.Name]; twice && r.Name != "" {
		p.add(at+".name", fmt.Sprintf("routes[%d] has the same name", first), "give each route a name of its own")
	}
	if first, twice := c.prefixes[hostPrefix{r.Host, r.PathPrefix}]; twice && r.Host != "" {
		p.add(at+".path_prefix", fmt.Sprintf("routes[%d] has the same host and prefix", first), "give each route a prefix of its own")
	}
	if !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/") {
		p.add(at+".path_prefix", "it does not begin and end with a slash", `write a prefix such as "/book/"`)
	}
	p.duration(at+".timeout", r.Timeout, MinDeadline, MaxDeadline)
	p.regionsKnown(at, &r, c.regions)
	if len(r.Split) == 0 {
		p.add(at+".split", "it lists no app", "list an app with its weight")
	}
	for j, s := range r.Split {
		if s.Weight < 1 {
			p.add(fmt.Sprintf("%s.split[%d].weight", at, j), "it is below 1", "write a weight of 1 or more")
		}
		if !c.apps[s.App] {
			p.add(fmt.Sprintf("%s.split[%d].app", at, j), "no app has this name", "name one of the apps")
		}
	}
	return p.problems
}
