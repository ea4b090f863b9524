// Package routes finds the app that serves a request by its host name and path,
// according to the document's routes.
//
// Among the routes of a host name, the one with the longest matching path prefix
// wins. A split route distributes its requests to several apps in proportion to
// their weights. The shares hold over short runs of requests too, because
// consecutive requests are spread evenly over the apps instead of at random.
package routes

import (
	"maps"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rhubarbring/rhubarbring/document"
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/request"
)

// Match is the app and the settings that the document gives for a request.
type Match struct {
	// Route is the name of the route.
	Route string
	// App is the app that this request goes to.
	App key.App
	// Idempotent reports whether the request may be run more than once.
	Idempotent bool
	// Class is the priority class, by the rank of the route's priority among those
	// of all routes. It is request.Normal if all routes have the same priority.
	Class request.Class
	// DividedByKey reports whether the app is divided by key.
	DividedByKey bool
	// FreshIDs reports that the app's request IDs are never used twice.
	FreshIDs bool
	// Timeout bounds the time that the request may take.
	Timeout time.Duration
	// LatencyTarget is the time within which an answer has its full value to
	// the caller. A later one is still passed on until the deadline. 0 means
	// that none is set.
	LatencyTarget time.Duration
	// MaxAttempts bounds the attempts that may reach a target; 0 means no
	// bound.
	MaxAttempts int
	// Regions are the regions in which targets may run the request; empty for
	// all. Callers must not modify the list.
	Regions []host.Region
}

// Table looks up routes. It is safe for concurrent use.
type Table struct {
	// hosts holds the routes by host name in lower case and by path prefix.
	hosts map[string]map[string]*route
}

// route is a route of the document, prepared for lookup.
type route struct {
	match        Match
	shares       []share
	totalWeight  uint64
	step         uint64
	requestCount atomic.Uint64
}

// share is one app of a route's split.
type share struct {
	app              document.App
	cumulativeWeight uint64 // Sum of the weights up to and including this share.
}

// New returns a Table of the document's routes, whose splits begin at phase 0.
func New(doc *document.Document) *Table {
	return NewAt(doc, 0)
}

// NewAt returns a Table of the document's routes. Tables of different phases begin at
// different places of their splits. If many daemons that get few requests began at
// the same place after each change of the document, these would all go to one app.
func NewAt(doc *document.Document, phase uint64) *Table {
	t := &Table{hosts: make(map[string]map[string]*route)}
	classes := classesByPriority(doc)
	for i := range doc.Routes {
		from := &doc.Routes[i]
		name := strings.ToLower(from.Host)
		if t.hosts[name] == nil {
			t.hosts[name] = make(map[string]*route)
		}
		t.hosts[name][from.PathPrefix] = newRoute(doc, from, classes[from.Priority], phase)
	}
	return t
}

// classesByPriority returns the class of each priority: equal priorities, and all
// if there is only one, have one class. Ranks follow the order of the priorities
// and not their numbers, so that gaps between the numbers don't count.
func classesByPriority(doc *document.Document) map[int]request.Class {
	classes := make(map[int]request.Class)
	for _, r := range doc.Routes {
		classes[r.Priority] = request.Normal
	}
	if len(classes) == 1 {
		return classes
	}
	for rank, priority := range slices.Sorted(maps.Keys(classes)) {
		classes[priority] = request.ClassOf(rank)
	}
	return classes
}

func newRoute(doc *document.Document, from *document.Route, class request.Class, phase uint64) *route {
	r := &route{
		match: Match{
			Route:         from.Name,
			Idempotent:    from.Idempotent,
			Timeout:       from.Timeout.Std(),
			LatencyTarget: from.LatencyTarget.Std(),
			MaxAttempts:   from.MaxAttempts,
			Regions:       from.AllowedRegions,
			Class:         class,
		},
	}
	for _, s := range from.Split {
		app, _ := doc.App(s.App)
		r.totalWeight += uint64(s.Weight)
		r.shares = append(r.shares, share{app: app, cumulativeWeight: r.totalWeight})
	}
	r.step = spreadStep(r.totalWeight)
	r.requestCount.Store(phase % max(r.totalWeight, 1))
	return r
}

// spreadStep returns a number near n divided by the golden ratio that is coprime
// to n. Its multiples modulo n visit every residue and spread evenly.
func spreadStep(n uint64) uint64 {
	step := max(n*618/1000, 1)
	for gcd(step, n) != 1 {
		step++
	}
	return step
}

func gcd(a, b uint64) uint64 {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}

// Resolve returns the match for a host name in lower case and a path, and whether
// there is one. For a split route each call counts as one request.
func (t *Table) Resolve(hostName, path string) (Match, bool) {
	r := t.find(hostName, path)
	if r == nil {
		return Match{}, false
	}
	return r.nextMatch(), true
}

// find returns the route with the longest prefix of the path, or nil. Prefixes end
// with a slash, so that it tries only the parts of the path that do, the longest
// first.
func (t *Table) find(hostName, path string) *route {
	prefixes := t.hosts[hostName]
	if prefixes == nil {
		return nil
	}
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r := prefixes[path[:end+1]]; r != nil {
			return r
		}
	}
	return nil
}

// nextMatch returns the match for the route's next request.
func (r *route) nextMatch() Match {
	m := r.match
	s := r.nextShare()
	m.App = s.app.Name
	m.DividedByKey = s.app.DividedByKey
	m.FreshIDs = s.app.FreshIDs
	return m
}

// nextShare returns the share that the next request goes to.
func (r *route) nextShare() *share {
	if len(r.shares) == 1 {
		return &r.shares[0]
	}
	at := r.requestCount.Add(1) % r.totalWeight * r.step % r.totalWeight
	for i := range r.shares {
		if at < r.shares[i].cumulativeWeight {
			return &r.shares[i]
		}
	}
	return &r.shares[len(r.shares)-1]
}
