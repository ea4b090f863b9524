package assignment

import (
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/restore"
	"github.com/rhubarbring/rhubarbring/result"
)

// Map is a daemon's view of all packs of all apps. The version of a pack in it
// never decreases. For routing, the Map is only a hint: the owner's gate finds the
// slice of a key with its own Map, whose changes its handover.Holder receives.
// A Map must be used by one goroutine.
type Map struct {
	sessions   sessionTable
	apps       map[key.App]*appMap
	keyNumbers map[key.App]uint32 // Number of keys, for apps with numeric keys.
}

// Change describes one slice whose assignment differs between two versions of
// a pack.
type Change struct {
	Slice key.Slice
	// Key is the key of a carve-out; empty for a regular slice.
	Key string
	// Parent is the regular slice that a carved-out key was carved out of.
	Parent key.SliceID
	// To is the new assignment, zero if the carve-out was merged.
	To Ownership
	// Merged is set if the carve-out was merged back into its parent.
	Merged bool
	// NotInForce is set if the epoch is of another era than the version of the
	// pack. The assignment was restored with the store, or written by a daemon
	// that had not noticed the restore, and gives its owner nothing.
	NotInForce bool
}

// NewMap returns an empty map.
func NewMap() *Map {
	return &Map{sessions: newSessionTable(), apps: make(map[key.App]*appMap), keyNumbers: make(map[key.App]uint32)}
}

// SetNumericKeys declares that the keys of an app are the numbers below
// numbers, and divides them into slices by range. With 0 the keys are hashed to
// slices, which is the default. All daemons must use the same setting.
func (m *Map) SetNumericKeys(app key.App, numbers uint32) {
	if numbers == 0 {
		delete(m.keyNumbers, app)
		return
	}
	m.keyNumbers[app] = numbers
}

// Locate returns the slice that a key belongs to: its carve-out if it has one,
// else the regular slice. For an app with numeric keys it is always the regular
// slice. It returns false if the map does not know the app, or if the key is not
// one of its numbers. For an app that is not divided by key, k is the request's
// ID.
func (m *Map) Locate(app key.App, k string) (key.Slice, bool) {
	a := m.apps[app]
	if a == nil {
		return key.Slice{}, false
	}
	if numbers, ok := m.keyNumbers[app]; ok {
		return key.SliceOfNumericKey(app, k, numbers, a.total)
	}
	return key.Slice{App: app, ID: a.locate(app, k)}, true
}

// At returns the assignment of a slice, and whether the map contains it.
func (m *Map) At(s key.Slice) (Ownership, bool) {
	a := m.apps[s.App]
	if a == nil {
		return Ownership{}, false
	}
	e, ok := a.at(s.ID)
	if !ok {
		return Ownership{}, false
	}
	return m.toSlice(e), true
}

// Lookup returns the slice of a key and its assignment.
func (m *Map) Lookup(app key.App, k string) (key.Slice, Ownership, bool) {
	s, ok := m.Locate(app, k)
	if !ok {
		return s, Ownership{}, false
	}
	assigned, ok := m.At(s)
	return s, assigned, ok
}

// Version returns the version of a pack, or 0 if the map has none.
func (m *Map) Version(app key.App, first key.SliceID) uint64 {
	a := m.apps[app]
	if a == nil || int(first/PackSlices) >= len(a.packs) {
		return 0
	}
	return a.packs[first/PackSlices].version
}

// InForce reports whether the assignment of a slice gives its owner anything: its
// epoch is of the era of the pack's version. It is true for a slice that the map
// does not contain.
func (m *Map) InForce(s key.Slice) bool {
	assigned, ok := m.At(s)
	era := restore.VersionOf(m.Version(s.App, PackFirstSlice(s.ID))).Era
	return !ok || restore.Epoch(assigned.Epoch).InForce(era)
}

// Versions calls f for each pack in the map, in no particular order of apps. It
// stops when f returns false.
func (m *Map) Versions(f func(app key.App, first key.SliceID, version uint64) bool) {
	for app, a := range m.apps {
		for i, p := range a.packs {
			if p.version != 0 && !f(app, key.SliceID(i*PackSlices), p.version) {
				return
			}
		}
	}
}

// PutPack stores a pack if its version is higher than the one in the map, and
// returns the changes: first merged carve-outs, then regular slices, then other
// carve-outs. An older or equal version changes nothing, nor does a pack whose
// total number of slices differs from the app's.
func (m *Map) PutPack(p *Pack, version uint64) []Change {
	if version <= m.Version(p.App, p.First) {
		return nil
	}
	a := m.ensureApp(p.App, p.Total)
	if a == nil {
		return nil
	}
	a.packs[p.First/PackSlices] = packState{version: version, token: p.Token, epochFloor: p.epochFloor}
	u := packUpdate{m: m, app: p.App, a: a, era: restore.VersionOf(version).Era}
	for _, id := range a.carveOutsOf(p.First) {
		if k, ok := p.carveOutKey(id); !ok || k != a.carveOuts[id].key {
			u.mergeCarveOut(id)
		}
	}
	for i, e := range p.entries {
		u.setRegular(p.First+key.SliceID(i), p.toSlice(e))
	}
	for _, c := range p.carveOuts {
		u.setCarveOut(c.id, c.key, p.toSlice(c.entry))
	}
	m.compactSessions()
	return u.changes
}

// ApplyDelta applies a delta. It returns a *result.Error with code StaleMessage
// if the map's version of the pack is not the delta's base, so that the whole
// pack must be requested, and with code BadFrame if the delta is invalid. A
// delta that leads to the map's version or an older one changes nothing.
func (m *Map) ApplyDelta(d *Delta) ([]Change, error) {
	held := m.Version(d.App, d.First)
	if held != 0 && d.Version <= held {
		return nil, nil
	}
	if held == 0 || held != d.Base {
		return nil, &result.Error{Code: result.StaleMessage, Field: PackName(d.App, d.First), Detail: "delta of another base version", Remedy: "ask for the whole pack"}
	}
	p, _ := m.Pack(d.App, d.First)
	next, err := p.ApplyDelta(d)
	if err != nil {
		return nil, err
	}
	return m.PutPack(next, d.Version), nil
}

// Pack returns a copy of a pack and its version, or nil and 0 if the map does not
// contain it.
func (m *Map) Pack(app key.App, first key.SliceID) (*Pack, uint64) {
	version := m.Version(app, first)
	if version == 0 {
		return nil, 0
	}
	a := m.apps[app]
	state := a.packs[first/PackSlices]
	p := NewPack(app, a.total, first)
	p.Token, p.epochFloor = state.token, state.epochFloor
	for i := range p.entries {
		e, _ := a.at(first + key.SliceID(i))
		p.entries[i] = p.toEntry(m.toSlice(e))
	}
	for _, id := range a.carveOutsOf(first) {
		c := a.carveOuts[id]
		p.insertCarveOut(carveOut{key: c.key, id: id, entry: p.toEntry(m.toSlice(c.mapEntry))})
	}
	return p, version
}

// Sessions calls f for each session that is the owner or the next owner of a
// slice, in no particular order.
func (m *Map) Sessions(f func(host.Session)) {
	named := make([]bool, len(m.sessions.list))
	for _, a := range m.apps {
		for _, e := range a.entries {
			named[e.owner], named[e.next] = true, true
		}
		for _, c := range a.carveOuts {
			named[c.owner], named[c.next] = true, true
		}
	}
	for i, is := range named {
		if is && i > 0 {
			f(m.sessions.list[i])
		}
	}
}

// Total returns the number of regular slices of an app, or 0 if the map does not
// know the app.
func (m *Map) Total(app key.App) uint32 {
	if a := m.apps[app]; a != nil {
		return a.total
	}
	return 0
}

// ensureApp returns the map of an app and creates it if needed. It returns nil if
// the app is known with another total number of slices.
func (m *Map) ensureApp(app key.App, total uint32) *appMap {
	a := m.apps[app]
	if a == nil {
		a = newAppMap(total)
		m.apps[app] = a
	}
	if a.total != total {
		return nil
	}
	return a
}

func (m *Map) toSlice(e mapEntry) Ownership {
	return Ownership{Owner: m.sessions.list[e.owner], Epoch: e.epoch, Next: m.sessions.list[e.next]}
}

func (m *Map) toEntry(s Ownership) mapEntry {
	return mapEntry{owner: m.sessions.intern(s.Owner), next: m.sessions.intern(s.Next), epoch: s.Epoch}
}

// compactSessions rebuilds the session table without the sessions that no slice
// names, once the table has grown enough since it was last rebuilt.
func (m *Map) compactSessions() {
	if !m.sessions.needsCompaction() {
		return
	}
	old := m.sessions
	m.sessions = newSessionTable()
	for _, a := range m.apps {
		a.replaceEntries(func(e mapEntry) mapEntry {
			e.owner = m.sessions.intern(old.list[e.owner])
			e.next = m.sessions.intern(old.list[e.next])
			return e
		})
	}
	m.sessions.compactedLen = len(m.sessions.list)
}

// packUpdate writes one pack into the map and collects the changes.
type packUpdate struct {
	m       *Map
	app     key.App
	a       *appMap
	era     restore.Era // Of the pack's version.
	changes []Change
}

func (u *packUpdate) setRegular(id key.SliceID, s Ownership) {
	old, _ := u.a.at(id)
	if u.m.toSlice(old) == s {
		return
	}
	u.a.set(id, u.m.toEntry(s))
	u.changes = append(u.changes, Change{Slice: key.Slice{App: u.app, ID: id}, To: s, NotInForce: !u.inForce(s)})
}

func (u *packUpdate) setCarveOut(id key.SliceID, k string, s Ownership) {
	old, ok := u.a.carveOuts[id]
	if ok && u.m.toSlice(old.mapEntry) == s {
		return
	}
	u.a.addCarveOut(id, mapCarveOut{key: k, mapEntry: u.m.toEntry(s)})
	c := u.newCarveOutChange(id, k)
	c.To = s
	c.NotInForce = !u.inForce(s)
	u.changes = append(u.changes, c)
}

func (u *packUpdate) inForce(s Ownership) bool {
	return restore.Epoch(s.Epoch).InForce(u.era)
}

func (u *packUpdate) mergeCarveOut(id key.SliceID) {
	c := u.newCarveOutChange(id, u.a.carveOuts[id].key)
	c.Merged = true
	u.a.removeCarveOut(id)
	u.changes = append(u.changes, c)
}

// newCarveOutChange returns a Change of a carve-out without its new assignment.
func (u *packUpdate) newCarveOutChange(id key.SliceID, k string) Change {
	parent := key.SliceOf(u.app, k, u.a.total)
	return Change{Slice: key.Slice{App: u.app, ID: id}, Key: k, Parent: parent.ID}
}

// sessionTable assigns each session an index, 0 for nobody.
type sessionTable struct {
	list         []host.Session
	index        map[host.Session]uint32
	compactedLen int // Length of list after the last compaction.
}

// tableSlack is how many sessions, beyond twice its size after the last
// compaction, the table may hold before it is compacted.
const tableSlack = 4096

func newSessionTable() sessionTable {
	return sessionTable{list: []host.Session{host.NoSession}, index: map[host.Session]uint32{host.NoSession: 0}}
}

// intern returns the index of a session, and adds the session if needed.
func (t *sessionTable) intern(s host.Session) uint32 {
	if i, ok := t.index[s]; ok {
		return i
	}
	i := uint32(len(t.list))
	t.list = append(t.list, s)
	t.index[s] = i
	return i
}

func (t *sessionTable) needsCompaction() bool {
	return len(t.list) > 2*t.compactedLen+tableSlack
}
