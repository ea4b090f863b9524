package document

import (
	"fmt"
	"strings"

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

func (c *checker) routes() {
	names := make(map[string]int)
	prefixes := make(map[[2]string]int)
	apps := make(map[key.App]bool)
	for _, a := range c.doc.Apps {
		apps[a.Name] = true
	}
	for i, r := range c.doc.Routes {
		at := fmt.Sprintf("routes[%d]", i)
		if first, twice := names[r.Name]; twice && r.Name != "" {
			c.add(at+".name", fmt.Sprintf("routes[%d] has the same name", first), "give each route a name of its own")
		}
		names[r.Name] = i
		prefix := [2]string{r.Host, r.PathPrefix}
		if first, twice := prefixes[prefix]; twice && r.Host != "" {
			c.add(at+".path_prefix", fmt.Sprintf("routes[%d] has the same host and prefix", first), "give each route a prefix of its own")
		}
		prefixes[prefix] = i
		c.route(at, r, apps)
	}
}

func (c *checker) route(at string, r Route, apps map[key.App]bool) {
	if !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/") {
		c.add(at+".path_prefix", "it does not begin and end with a slash", `write a prefix such as "/book/"`)
	}
	c.duration(at+".timeout", r.Timeout, MinDeadline, MaxDeadline)
	if len(r.Split) == 0 {
		c.add(at+".split", "it lists no app", "list an app with its weight")
	}
	for j, s := range r.Split {
		if s.Weight < 1 {
			c.add(fmt.Sprintf("%s.split[%d].weight", at, j), "it is below 1", "write a weight of 1 or more")
		}
		if !apps[s.App] {
			c.add(fmt.Sprintf("%s.split[%d].app", at, j), "no app has this name", "name one of the apps")
		}
	}
}
