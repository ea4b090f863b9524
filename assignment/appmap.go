package assignment

import (
	"slices"

	"github.com/rhubarbring/rhubarbring/key"
)

// mapEntry is an assignment whose sessions are places in the map's table.
type mapEntry struct {
	owner uint32
	next  uint32
	epoch uint32
}

type mapCarveOut struct {
	key string
	mapEntry
}

type packState struct {
	version uint64
	token   string
	floor   uint32
}

// appMap is the assignment of one app.
type appMap struct {
	total   uint32
	entries []mapEntry
	packs   []packState
	byKey   map[string]key.SliceID
	carved  map[key.SliceID]mapCarveOut
}

func newAppMap(total uint32) *appMap {
	return &appMap{
		total:   total,
		entries: make([]mapEntry, total),
		packs:   make([]packState, (total+PackSlices-1)/PackSlices),
		byKey:   make(map[string]key.SliceID),
		carved:  make(map[key.SliceID]mapCarveOut),
	}
}

func (a *appMap) locate(app key.App, k string) key.SliceID {
	if len(a.byKey) > 0 {
		if id, ok := a.byKey[k]; ok {
			return id
		}
	}
	return key.SliceOf(app, k, a.total).ID
}

func (a *appMap) at(id key.SliceID) (mapEntry, bool) {
	if uint32(id) < a.total {
		return a.entries[id], true
	}
	c, ok := a.carved[id]
	return c.mapEntry, ok
}

func (a *appMap) set(id key.SliceID, e mapEntry) {
	a.entries[id] = e
}

func (a *appMap) carve(id key.SliceID, c mapCarveOut) {
	a.carved[id] = c
	a.byKey[c.key] = id
}

func (a *appMap) merge(id key.SliceID) {
	delete(a.byKey, a.carved[id].key)
	delete(a.carved, id)
}

// carvedOf returns the carve-outs of the pack that begins at first, in
// ascending order.
func (a *appMap) carvedOf(first key.SliceID) []key.SliceID {
	var ids []key.SliceID
	for id := range a.carved {
		if FirstOf(id) == first {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

func (a *appMap) rewrite(f func(mapEntry) mapEntry) {
	for i, e := range a.entries {
		a.entries[i] = f(e)
	}
	for id, c := range a.carved {
		c.mapEntry = f(c.mapEntry)
		a.carved[id] = c
	}
}
