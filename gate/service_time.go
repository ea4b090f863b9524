package gate

import "time"

// maxRoutes bounds the number of routes whose service time is tracked. Further
// routes are treated as never served.
const maxRoutes = 256

// recordServiceTime adds the service time of a request, at the usual pace, to the
// means of the target and of the route.
func (g *Gate) recordServiceTime(route string, took time.Duration) {
	g.serviceTime.add(took)
	e := g.routeServiceTime[route]
	if e == nil {
		if len(g.routeServiceTime) >= maxRoutes {
			return
		}
		e = &ewma{}
		g.routeServiceTime[route] = e
	}
	e.add(took)
}

// expectedRun returns the mean time of a run at the present pace of the target; 0
// before the first answer.
func (g *Gate) expectedRun() time.Duration {
	return g.pace.expected(g.serviceTime.mean())
}

// expectedRunOf is expectedRun for the runs of a route.
func (g *Gate) expectedRunOf(route string) time.Duration {
	return g.pace.expected(g.serviceTimeOf(route).mean())
}

// MeanServiceTime returns the mean service time of all requests; 0 before the first
// answer.
func (g *Gate) MeanServiceTime() time.Duration {
	return g.serviceTime.mean()
}

// ServiceTime returns the mean service time of a route, 0 if it is not known.
func (g *Gate) ServiceTime(route string) time.Duration {
	return g.serviceTimeOf(route).mean()
}

// serviceTimeOf returns the moving average of a route's service time. It is
// empty, with mean 0, for a route that was never served, so that its requests
// are tried.
func (g *Gate) serviceTimeOf(route string) *ewma {
	if e := g.routeServiceTime[route]; e != nil {
		return e
	}
	return &ewma{}
}

// ewma is an exponentially weighted moving average of a duration.
type ewma struct {
	meanNs float64
	seen   bool
}

// ewmaWeight is the weight of the newest value.
const ewmaWeight = 1.0 / 16

func (e *ewma) add(d time.Duration) {
	ns := float64(d)
	if !e.seen {
		e.meanNs = ns
		e.seen = true
		return
	}
	e.meanNs += ewmaWeight * (ns - e.meanNs)
}

func (e *ewma) mean() time.Duration {
	return time.Duration(e.meanNs)
}
