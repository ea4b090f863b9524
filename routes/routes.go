// Package routes finds the app that a request is for by its host name and
// path, as the document's routes say.
//
// Among the routes of a host name, the one with the longest prefix of the path
// wins. A route that is split sends each app its weight's share of the
// requests; the shares hold over short runs of requests too, since turns are
// taken in an order that spreads each app's turns evenly.
package routes

import (
	"cmp"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rhubarbring/rhubarbring/document"
	"github.com/rhubarbring/rhubarbring/key"
)

// Match is what the document says of a request.
type Match struct {
	// Route names the route.
	Route string
	// App is the app whose turn it is.
	App key.App
	// Idempotent says that the request may be run more than once.
	Idempotent bool
	// Urgent says that no route to the app has a higher rank, and some have a
	// lower one.
	Urgent bool
	// Keyed says that the app is divided by key.
	Keyed bool
	// FreshIDs says that no id is ever used twice.
	FreshIDs bool
	// Timeout is the longest time that the request may take.
	Timeout time.Duration
	// Target is the time within which an answer is of full worth; 0 if none is
	// named.
	Target time.Duration
	// MaxAttempts bounds the targets that the request may be sent to; 0 sets
	// no bound.
	MaxAttempts int
}

// Table finds routes. It is safe for concurrent use.
type Table struct {
	hosts map[string][]*route
}

// route is one route, ready for use.
type route struct {
	prefix string
	match  Match
	shares []share
	total  uint64
	step   uint64
	turn   atomic.Uint64
}

// share is one app of a split route.
type share struct {
	app   document.App
	upTo  uint64 // Sum of the weights so far, this one included.
	first bool   // The route's priority is the app's highest, and others are lower.
}

// New returns the table of a document's routes.
func New(doc *document.Document) *Table {
	t := &Table{hosts: make(map[string][]*route)}
	ranks := ranksOf(doc)
	for i := range doc.Routes {
		r := newRoute(doc, &doc.Routes[i], ranks)
		t.hosts[doc.Routes[i].Host] = append(t.hosts[doc.Routes[i].Host], r)
	}
	for _, list := range t.hosts {
		slices.SortFunc(list, func(a, b *route) int { return cmp.Compare(len(b.prefix), len(a.prefix)) })
	}
	return t
}

// rank is the span of priorities of the routes that lead to an app.
type rank struct{ highest, lowest int }

func ranksOf(doc *document.Document) map[key.App]rank {
	ranks := make(map[key.App]rank)
	for _, r := range doc.Routes {
		for _, s := range r.Split {
			known, ok := ranks[s.App]
			if !ok {
				known = rank{highest: r.Priority, lowest: r.Priority}
			}
			known.highest = min(known.highest, r.Priority)
			known.lowest = max(known.lowest, r.Priority)
			ranks[s.App] = known
		}
	}
	return ranks
}

func newRoute(doc *document.Document, from *document.Route, ranks map[key.App]rank) *route {
	r := &route{
		prefix: from.PathPrefix,
		match: Match{
			Route:       from.Name,
			Idempotent:  from.Idempotent,
			Timeout:     from.Timeout.Std(),
			Target:      from.LatencyTarget.Std(),
			MaxAttempts: from.MaxAttempts,
		},
	}
	for _, s := range from.Split {
		app, _ := doc.App(s.App)
		span := ranks[s.App]
		r.total += uint64(s.Weight)
		r.shares = append(r.shares, share{app: app, upTo: r.total, first: from.Priority == span.highest && span.lowest > span.highest})
	}
	r.step = stepOf(r.total)
	return r
}

// stepOf returns a number without a common divisor with n, near n divided by
// the golden ratio: its multiples modulo n spread evenly.
func stepOf(n uint64) uint64 {
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

// Resolve returns the match of a host name and path, and whether there is one.
func (t *Table) Resolve(hostName, path string) (Match, bool) {
	for _, r := range t.hosts[hostName] {
		if strings.HasPrefix(path, r.prefix) {
			return r.take(), true
		}
	}
	return Match{}, false
}

// take takes the route's next turn.
func (r *route) take() Match {
	m := r.match
	s := r.pick()
	m.App = s.app.Name
	m.Keyed = s.app.DividedByKey
	m.FreshIDs = s.app.FreshIDs
	m.Urgent = s.first
	return m
}

func (r *route) pick() *share {
	if len(r.shares) == 1 {
		return &r.shares[0]
	}
	at := r.turn.Add(1) % r.total * r.step % r.total
	for i := range r.shares {
		if at < r.shares[i].upTo {
			return &r.shares[i]
		}
	}
	return &r.shares[len(r.shares)-1]
}
