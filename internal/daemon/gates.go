package daemon

import (
	"cmp"
	"slices"
	"time"

	"github.com/rhubarbring/rhubarbring/balance"
	"github.com/rhubarbring/rhubarbring/document"
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/session"
)

const (
	bitsPerByte = 8
	// linkBurst is how long a daemon may use its whole share at once.
	linkBurst = 2 * time.Second
)

// gatesChanged tells the routing duty to take the gates anew from the
// directory of sessions.
type gatesChanged struct{}

func (gatesChanged) routingWork(r *routingDuty, now mono.Time) {
	r.shareLink(now)
	gates := make(map[key.App][]balance.Gate)
	for id, v := range r.fleet.sessions.Load().records {
		if v.Record.State != session.Live || v.Record.Target == nil {
			continue
		}
		app := v.Record.Target.App
		gates[app] = append(gates[app], balance.Gate{Session: id, Place: v.Record.Place})
	}
	for app := range r.balanced {
		if _, ok := gates[app]; !ok {
			r.balancer.SetGates(app, nil)
		}
	}
	r.balanced = gates
	for app, list := range gates {
		slices.SortFunc(list, func(a, b balance.Gate) int { return cmp.Compare(a.Session.Host, b.Session.Host) })
		r.balancer.SetGates(app, list)
	}
}

// shareLink gives the balancer this daemon's part of the narrowest link from
// its region: the document's share for requests, divided by the daemons there.
func (r *routingDuty) shareLink(now mono.Time) {
	d := r.fleet.document.Load()
	if d == nil {
		return
	}
	share, ok := narrowestShare(d.document, r.place.Region)
	if !ok {
		return
	}
	part := share / float64(max(r.fleet.daemonsIn(r.place.Region), 1))
	r.balancer.Link().SetShare(now, balance.LinkConfig{BytesPerSecond: part, Burst: part * linkBurst.Seconds()})
}

// countControl takes the control bytes that went to other regions since the
// last time from the share. Requests and answers are counted one by one.
func (r *routingDuty) countControl(now mono.Time) {
	crossed := r.peers.Crossed(balance.Control)
	if n := crossed - r.crossed; n > 0 {
		r.balancer.Link().Count(now, balance.Control, int(n))
	}
	r.crossed = crossed
}

// narrowestShare returns the bytes per second that requests may use of the
// narrowest link from a region.
func narrowestShare(doc *document.Document, from host.Region) (float64, bool) {
	narrowest, found := 0.0, false
	for _, l := range doc.Links {
		if !slices.Contains(l.Between, from) {
			continue
		}
		share := float64(l.BitsPerSecond) / bitsPerByte * l.RequestShare
		if !found || share < narrowest {
			narrowest, found = share, true
		}
	}
	return narrowest, found
}
