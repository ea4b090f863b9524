package assignment

import (
	"slices"

	"github.com/rhubarbring/rhubarbring/key"
)

// mapEntry is an assignment with sessions as indexes of the map's session table.
type mapEntry struct {
	owner uint32
	next  uint32
	epoch uint64
}

type mapCarveOut struct {
	key string
	mapEntry
}

type packState struct {
	version    uint64
	token      string
	epochFloor uint64
}

// appMap holds the assignments of one app.
type appMap struct {
	total     uint32
	entries   []mapEntry
	packs     []packState
	byKey     map[string]key.SliceID
	carveOuts map[key.SliceID]mapCarveOut
}

func newAppMap(total uint32) *appMap {
	return &appMap{
		total:     total,
		entries:   make([]mapEntry, total),
		packs:     make([]packState, (total+PackSlices-1)/PackSlices),
		byKey:     make(map[string]key.SliceID),
		carveOuts: make(map[key.SliceID]mapCarveOut),
	}
}

// locate returns the slice of a key: its carve-out if it has one, else the
// regular slice by hash.
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
	c, ok := a.carveOuts[id]
	return c.mapEntry, ok
}

func (a *appMap) set(id key.SliceID, e mapEntry) {
	a.entries[id] = e
}

func (a *appMap) addCarveOut(id key.SliceID, c mapCarveOut) {
	a.carveOuts[id] = c
	a.byKey[c.key] = id
}

func (a *appMap) removeCarveOut(id key.SliceID) {
	delete(a.byKey, a.carveOuts[id].key)
	delete(a.carveOuts, id)
}

// carveOutsOf returns the carve-outs of the pack beginning at first, in ascending
// order.
func (a *appMap) carveOutsOf(first key.SliceID) []key.SliceID {
	var ids []key.SliceID
	for id := range a.carveOuts {
		if PackFirstSlice(id) == first {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// replaceEntries replaces every entry by the result of f.
func (a *appMap) replaceEntries(f func(mapEntry) mapEntry) {
	for i, e := range a.entries {
		a.entries[i] = f(e)
	}
	for id, c := range a.carveOuts {
		c.mapEntry = f(c.mapEntry)
		a.carveOuts[id] = c
	}
}
