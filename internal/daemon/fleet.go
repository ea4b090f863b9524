package daemon

import (
	"sync"
	"sync/atomic"

	"github.com/rhubarbring/rhubarbring/document"
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/routes"
	"github.com/rhubarbring/rhubarbring/session"
)

// defaultSlices is the number of slices of an app that is not divided by key:
// the ids of its requests are spread over them.
const defaultSlices = 256

// fleet is what the daemon knows of the other daemons and the document in
// force. Readers on any duty take a snapshot; writers replace it.
type fleet struct {
	mu       sync.Mutex
	sessions atomic.Pointer[sessionDirectory]
	// introduced are sessions that a peer told before the daemon had caught
	// up. They say only where to send frames to.
	introduced atomic.Pointer[[]session.Record]
	document   atomic.Pointer[documentInForce]
}

// sessionDirectory is one state of the directory; it is never changed.
type sessionDirectory struct {
	records map[host.Session]session.Versioned
}

// documentInForce is the document that the daemon follows.
type documentInForce struct {
	stored   *document.Stored
	document *document.Document
	apps     map[key.App]document.App
	routes   *routes.Table
}

func newFleet() *fleet {
	f := &fleet{}
	f.sessions.Store(&sessionDirectory{records: map[host.Session]session.Versioned{}})
	return f
}

// put takes records over that are newer than the ones known, and returns
// those. Deleted sessions are dropped.
func (f *fleet) put(records []session.Versioned, deleted []host.Session) []session.Versioned {
	f.mu.Lock()
	defer f.mu.Unlock()
	old := f.sessions.Load().records
	next := make(map[host.Session]session.Versioned, len(old)+len(records))
	for s, v := range old {
		next[s] = v
	}
	var newer []session.Versioned
	for _, v := range records {
		if v.Version > next[v.Record.Session].Version {
			next[v.Record.Session] = slim(v)
			newer = append(newer, v)
		}
	}
	for _, s := range deleted {
		delete(next, s)
	}
	f.sessions.Store(&sessionDirectory{records: next})
	return newer
}

// slim drops what the directory is never asked for, so that it takes less
// memory: the lease duty gets the records whole.
func slim(v session.Versioned) session.Versioned {
	v.Record.Token = ""
	v.Record.Witnesses = nil
	return v
}

// peerAddress returns the address that a session takes frames on, or "".
func (f *fleet) peerAddress(s host.Session) string {
	if v, ok := f.sessions.Load().records[s]; ok {
		return v.Record.Peer
	}
	introduced := f.introduced.Load()
	if introduced == nil {
		return ""
	}
	for _, r := range *introduced {
		if r.Session == s {
			return r.Peer
		}
	}
	return ""
}

// members returns the fleet as package session wants it.
func (f *fleet) members() []session.Member {
	records := f.sessions.Load().records
	out := make([]session.Member, 0, len(records))
	for s, v := range records {
		out = append(out, session.Member{Session: s, Place: v.Record.Place, State: v.Record.State, Group: v.Record.Group})
	}
	return out
}

// adopt puts a document in force if its version is higher than the one that
// is. It returns false if it is not.
func (f *fleet) adopt(stored *document.Stored, doc *document.Document) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	old := f.document.Load()
	if old != nil && stored.Version <= old.stored.Version {
		return false
	}
	apps := make(map[key.App]document.App, len(doc.Apps))
	for _, a := range doc.Apps {
		apps[a.Name] = a
	}
	f.document.Store(&documentInForce{stored: stored, document: doc, apps: apps, routes: routes.New(doc)})
	return true
}

// app returns an app of the document in force.
func (f *fleet) app(name key.App) (document.App, bool) {
	d := f.document.Load()
	if d == nil {
		return document.App{}, false
	}
	a, ok := d.apps[name]
	return a, ok
}

// hasSlices reports whether an app is divided into slices. One that is not
// divided by key needs them only to remember ids.
func hasSlices(a document.App) bool {
	return a.DividedByKey || !a.FreshIDs
}

// slicesOf returns the number of slices of an app; 0 if it has none.
func slicesOf(a document.App) uint32 {
	if !hasSlices(a) {
		return 0
	}
	if a.Slices > 0 {
		return a.Slices
	}
	return defaultSlices
}

// daemonsIn counts the daemons of a region that live.
func (f *fleet) daemonsIn(region host.Region) int {
	n := 0
	for _, v := range f.sessions.Load().records {
		if v.Record.Place.Region == region && !v.Record.State.Final() {
			n++
		}
	}
	return n
}
