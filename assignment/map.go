package assignment

import (
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/result"
)

// Map is a daemon's view of all packs of all apps. Each pack in it only ever
// moves to a later version. For routers it is a hint; the owner's gate finds
// the slice of a key by its own Map, the same that its handover.Holder is fed
// from. A Map belongs to one goroutine.
type Map struct {
	sessions sessionTable
	apps     map[key.App]*appMap
	numbers  map[key.App]uint32 // Of the apps whose keys are numbers.
}

// Change is one slice whose assignment differs between two versions of a
// pack.
type Change struct {
	// Slice is the slice.
	Slice key.Slice
	// Key is the key of a carve-out; empty for a regular slice.
	Key string
	// Parent is the regular slice that a carved-out key belongs to.
	Parent key.SliceID
	// To is the new assignment. It is zero if the carve-out was merged back.
	To Slice
	// Merged says that the carve-out is gone.
	Merged bool
}

// NewMap returns an empty map.
func NewMap() *Map {
	return &Map{sessions: newSessionTable(), apps: make(map[key.App]*appMap), numbers: make(map[key.App]uint32)}
}

// DivideByNumber says that the keys of an app are numbers below the one given,
// and that its slices are ranges of them; 0 says that keys are hashed. All
// daemons must agree on it.
func (m *Map) DivideByNumber(app key.App, numbers uint32) {
	if numbers == 0 {
		delete(m.numbers, app)
		return
	}
	m.numbers[app] = numbers
}

// Locate returns the slice that a key belongs to: its carve-out if it has
// one, else the regular slice. It returns false for an app that the map does
// not know. For an app that is not divided by key, k is the request's ID.
func (m *Map) Locate(app key.App, k string) (key.Slice, bool) {
	a := m.apps[app]
	if a == nil {
		return key.Slice{}, false
	}
	if numbers, ok := m.numbers[app]; ok {
		return key.SliceOfNumber(app, k, numbers, a.total)
	}
	return key.Slice{App: app, ID: a.locate(app, k)}, true
}

// At returns the assignment of a slice, and whether the map knows it.
func (m *Map) At(s key.Slice) (Slice, bool) {
	a := m.apps[s.App]
	if a == nil {
		return Slice{}, false
	}
	e, ok := a.at(s.ID)
	if !ok {
		return Slice{}, false
	}
	return m.open(e), true
}

// Lookup returns the slice of a key and its assignment.
func (m *Map) Lookup(app key.App, k string) (key.Slice, Slice, bool) {
	s, ok := m.Locate(app, k)
	if !ok {
		return s, Slice{}, false
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

// Versions calls f for each pack that the map holds, in no particular order
// of apps, until f returns false.
func (m *Map) Versions(f func(app key.App, first key.SliceID, version uint64) bool) {
	for app, a := range m.apps {
		for i, p := range a.packs {
			if p.version != 0 && !f(app, key.SliceID(i*PackSlices), p.version) {
				return
			}
		}
	}
}

// Put takes a pack over if its version is later than the one held, and
// returns what changed: first the merged carve-outs, then regular slices, then
// other carve-outs. An older or equal version changes nothing.
func (m *Map) Put(p *Pack, version uint64) []Change {
	if version <= m.Version(p.App, p.First) {
		return nil
	}
	a := m.app(p.App, p.Total)
	if a == nil {
		return nil
	}
	a.packs[p.First/PackSlices] = packState{version: version, token: p.Token, floor: p.floor}
	w := writer{m: m, app: p.App, a: a}
	for _, id := range a.carvedOf(p.First) {
		if k, ok := p.carvedKey(id); !ok || k != a.carved[id].key {
			w.merge(id)
		}
	}
	for i, e := range p.entries {
		w.regular(p.First+key.SliceID(i), p.open(e))
	}
	for _, c := range p.carved {
		w.carveOut(c.id, c.key, p.open(c.entry))
	}
	m.tidy()
	return w.changes
}

// Apply takes a delta over. It returns a *result.Error: code StaleMessage if
// the map holds another version than the delta's base, and the pack must be
// asked for as a whole; code BadFrame if the delta is wrong. A delta that
// leads to a version already held or passed changes nothing.
func (m *Map) Apply(d *Delta) ([]Change, error) {
	held := m.Version(d.App, d.First)
	if held != 0 && d.Version <= held {
		return nil, nil
	}
	if held == 0 || held != d.Base {
		return nil, &result.Error{Code: result.StaleMessage, Field: Name(d.App, d.First), Detail: "delta of another base version", Remedy: "ask for the whole pack"}
	}
	p, _ := m.Pack(d.App, d.First)
	next, err := p.Apply(d)
	if err != nil {
		return nil, err
	}
	return m.Put(next, d.Version), nil
}

// Pack returns a pack as the map holds it, with its version; nil and 0 if it
// holds none.
func (m *Map) Pack(app key.App, first key.SliceID) (*Pack, uint64) {
	version := m.Version(app, first)
	if version == 0 {
		return nil, 0
	}
	a := m.apps[app]
	state := a.packs[first/PackSlices]
	p := NewPack(app, a.total, first)
	p.Token, p.floor = state.token, state.floor
	for i := range p.entries {
		e, _ := a.at(first + key.SliceID(i))
		p.entries[i] = p.pack(m.open(e))
	}
	for _, id := range a.carvedOf(first) {
		c := a.carved[id]
		p.insertCarved(carveOut{key: c.key, id: id, entry: p.pack(m.open(c.mapEntry))})
	}
	return p, version
}

// Sessions calls f for each session that is the owner or the next owner of a
// slice, in no
// particular order.
func (m *Map) Sessions(f func(host.Session)) {
	named := make([]bool, len(m.sessions.list))
	for _, a := range m.apps {
		for _, e := range a.entries {
			named[e.owner], named[e.next] = true, true
		}
		for _, c := range a.carved {
			named[c.owner], named[c.next] = true, true
		}
	}
	for i, is := range named {
		if is && i > 0 {
			f(m.sessions.list[i])
		}
	}
}

// Total returns the number of regular slices of an app; 0 if the map does not
// know the app.
func (m *Map) Total(app key.App) uint32 {
	if a := m.apps[app]; a != nil {
		return a.total
	}
	return 0
}

func (m *Map) app(app key.App, total uint32) *appMap {
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

func (m *Map) open(e mapEntry) Slice {
	return Slice{Owner: m.sessions.list[e.owner], Epoch: uint64(e.epoch), Next: m.sessions.list[e.next]}
}

func (m *Map) place(s Slice) mapEntry {
	return mapEntry{owner: m.sessions.place(s.Owner), next: m.sessions.place(s.Next), epoch: uint32(s.Epoch)}
}

// tidy drops the sessions that no slice names once they outnumber the others.
func (m *Map) tidy() {
	if !m.sessions.crowded() {
		return
	}
	old := m.sessions
	m.sessions = newSessionTable()
	for _, a := range m.apps {
		a.rewrite(func(e mapEntry) mapEntry {
			e.owner = m.sessions.place(old.list[e.owner])
			e.next = m.sessions.place(old.list[e.next])
			return e
		})
	}
	m.sessions.kept = len(m.sessions.list)
}

// writer takes one pack over and collects what changed.
type writer struct {
	m       *Map
	app     key.App
	a       *appMap
	changes []Change
}

func (w *writer) regular(id key.SliceID, s Slice) {
	old, _ := w.a.at(id)
	if w.m.open(old) == s {
		return
	}
	w.a.set(id, w.m.place(s))
	w.changes = append(w.changes, Change{Slice: key.Slice{App: w.app, ID: id}, To: s})
}

func (w *writer) carveOut(id key.SliceID, k string, s Slice) {
	old, ok := w.a.carved[id]
	if ok && w.m.open(old.mapEntry) == s {
		return
	}
	w.a.carve(id, mapCarveOut{key: k, mapEntry: w.m.place(s)})
	c := w.change(id, k)
	c.To = s
	w.changes = append(w.changes, c)
}

func (w *writer) merge(id key.SliceID) {
	c := w.change(id, w.a.carved[id].key)
	c.Merged = true
	w.a.merge(id)
	w.changes = append(w.changes, c)
}

func (w *writer) change(id key.SliceID, k string) Change {
	parent := key.SliceOf(w.app, k, w.a.total)
	return Change{Slice: key.Slice{App: w.app, ID: id}, Key: k, Parent: parent.ID}
}

// sessionTable gives each session a small number, 0 for nobody.
type sessionTable struct {
	list  []host.Session
	index map[host.Session]uint32
	kept  int // Length of the list when it was last tidied.
}

// tableSlack is how far the table may grow before it is tidied.
const tableSlack = 4096

func newSessionTable() sessionTable {
	return sessionTable{list: []host.Session{host.Nobody}, index: map[host.Session]uint32{host.Nobody: 0}}
}

func (t *sessionTable) place(s host.Session) uint32 {
	if i, ok := t.index[s]; ok {
		return i
	}
	i := uint32(len(t.list))
	t.list = append(t.list, s)
	t.index[s] = i
	return i
}

func (t *sessionTable) crowded() bool {
	return len(t.list) > 2*t.kept+tableSlack
}
