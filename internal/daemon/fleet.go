package daemon

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"

	"github.com/rhubarbring/rhubarbring/document"
	"github.com/rhubarbring/rhubarbring/evacuation"
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/routes"
	"github.com/rhubarbring/rhubarbring/session"
)

// defaultSlices is the number of slices of an app that is not divided by key:
// its requests are assigned to them by request id.
const defaultSlices = 256

// fleet holds the sessions known to the daemon and the document in force.
// Readers on any goroutine load a snapshot; writers replace it.
type fleet struct {
	mu       sync.Mutex
	sessions atomic.Pointer[sessionDirectory]
	// bootstrap holds session records that a peer sent before the daemon had
	// caught up. They serve only to look up peer addresses.
	bootstrap atomic.Pointer[[]session.Record]
	// document is shared with the process, so that none goes back with a session.
	document *atomic.Pointer[documentInForce]
	// refusedVersion is the highest version of the document that this daemon
	// could not put in force, or 0.
	refusedVersion atomic.Uint64
	// evacuated holds the zones that are evacuated; nil before any was.
	evacuated atomic.Pointer[evacuation.Zones]
}

// sessionDirectory is an immutable snapshot of the known sessions.
type sessionDirectory struct {
	records map[host.Session]session.VersionedRecord
}

// documentInForce is the document that the daemon applies, with what is derived
// from it.
type documentInForce struct {
	stored   *document.Stored
	document *document.Document
	apps     map[key.App]document.App
	routes   *routes.Table
}

func newFleet(document *atomic.Pointer[documentInForce]) *fleet {
	f := &fleet{document: document}
	f.sessions.Store(&sessionDirectory{records: map[host.Session]session.VersionedRecord{}})
	return f
}

// update adds the records that are newer than the known ones and returns them.
// Deleted sessions are removed.
func (f *fleet) update(records []session.VersionedRecord, deleted []host.Session) []session.VersionedRecord {
	f.mu.Lock()
	defer f.mu.Unlock()
	old := f.sessions.Load().records
	next := make(map[host.Session]session.VersionedRecord, len(old)+len(records))
	for s, v := range old {
		next[s] = v
	}
	var newer []session.VersionedRecord
	for _, v := range records {
		if v.Version > next[v.Record.Session].Version {
			next[v.Record.Session] = compact(v)
			newer = append(newer, v)
		}
	}
	for _, s := range deleted {
		delete(next, s)
	}
	f.sessions.Store(&sessionDirectory{records: next})
	return newer
}

// compact clears the fields that no reader of the directory uses, to save
// memory. The lease loop gets the full records.
func compact(v session.VersionedRecord) session.VersionedRecord {
	v.Record.Token = ""
	v.Record.Witnesses = nil
	return v
}

// peerAddress returns the address at which a session receives frames, or "" if
// it is unknown.
func (f *fleet) peerAddress(s host.Session) string {
	record, _ := f.record(s)
	return record.PeerAddress
}

// sessionMembers returns the known sessions as members for package session.
func (f *fleet) sessionMembers() []session.Member {
	records := f.sessions.Load().records
	out := make([]session.Member, 0, len(records))
	for s, v := range records {
		out = append(out, session.Member{Session: s, Place: v.Record.Place, State: v.Record.State, Group: v.Record.Group})
	}
	return out
}

// largeFleet is the number of sessions from which writers no longer send their
// records to the relays. Each daemon writes several when it starts: sent one by
// one to all others, they would take more of a large fleet's time than watches,
// which bring many at once.
const largeFleet = 100

// isLarge reports whether the fleet has so many sessions that their records come
// by watches only. Records of sessions that have ended don't count: they stay for
// session.DeleteAfter, and after some restarts a fleet of 82 hosts would have its
// relays watch ten times a second.
func (f *fleet) isLarge() bool {
	records := f.sessions.Load().records
	if len(records) <= largeFleet {
		return false
	}
	living := 0
	for _, v := range records {
		if !v.Record.State.Final() {
			living++
		}
	}
	return living > largeFleet
}

// adopt puts a document in force if its version is higher than that of the
// current one. It reports whether it did.
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
	f.document.Store(&documentInForce{stored: stored, document: doc, apps: apps, routes: routes.NewAt(doc, rand.Uint64())})
	return true
}

// refuse records a version of the document that can't be put in force.
func (f *fleet) refuse(version uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refusedVersion.Store(max(f.refusedVersion.Load(), version))
}

// isNewDocument reports whether a version of the document is neither in force,
// replaced nor refused, so that it is worth decoding. Every version arrives more
// than once: from the store, the parent and other peers.
func (f *fleet) isNewDocument(version uint64) bool {
	inForce := f.document.Load()
	return version != f.refusedVersion.Load() && (inForce == nil || version > inForce.stored.Version)
}

// hasNewest reports whether d is the newest version of the document that this
// daemon knows of, with all routes of that version.
func (f *fleet) hasNewest(d *documentInForce) bool {
	return f.refusedVersion.Load() <= d.stored.Version && !d.stored.Incomplete
}

func (f *fleet) app(name key.App) (document.App, bool) {
	d := f.document.Load()
	if d == nil {
		return document.App{}, false
	}
	a, ok := d.apps[name]
	return a, ok
}

// hasSlices reports whether an app has slices. An app that is not divided by
// key has them only for deduplication by request id, which it does not need if
// no id is ever used twice.
func hasSlices(a document.App) bool {
	return a.DividedByKey || !a.FreshIDs
}

// sliceCount returns the number of slices of an app, or 0 if it has none.
func sliceCount(a document.App) uint32 {
	if !hasSlices(a) {
		return 0
	}
	if a.Slices > 0 {
		return a.Slices
	}
	return defaultSlices
}

// daemonsInRegion counts the sessions of a region that have not ended.
func (f *fleet) daemonsInRegion(region host.Region) int {
	n := 0
	for _, v := range f.sessions.Load().records {
		if v.Record.Place.Region == region && !v.Record.State.Final() {
			n++
		}
	}
	return n
}
