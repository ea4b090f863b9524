package routes

import (
	"github.com/rhubarbring/rhubarbring/document"
	"github.com/rhubarbring/rhubarbring/request"
)

// Share is an app that requests of a route go to, and its part of them.
type Share struct {
	App   document.App
	Part  float64
	Class request.Class
}

// Preview returns what Resolve would match, without the fields that depend on the
// app, and the apps that the request may go to. It counts as no request, so that
// the shares of a split stay as they are.
func (t *Table) Preview(hostName, path string) (Match, []Share, bool) {
	r := t.find(hostName, path)
	if r == nil {
		return Match{}, nil, false
	}
	shares := make([]Share, len(r.shares))
	before := uint64(0)
	for i, s := range r.shares {
		shares[i] = Share{App: s.app, Part: float64(s.cumulativeWeight-before) / float64(r.totalWeight), Class: r.match.Class}
		before = s.cumulativeWeight
	}
	return r.match, shares, true
}
