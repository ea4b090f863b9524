// Package storestand is a small stand-in for the platform's store: versioned
// objects with conditional writes, lists and watches, held in memory and
// served by HTTP. It counts each call and can be told to misbehave.
package storestand

import (
	"maps"
	"slices"
)

// Object is the stored state of one name.
type Object struct {
	Name    string `json:"name"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
}

// Event is one change of an object, as a watch reports it.
type Event struct {
	Name    string `json:"name"`
	Version uint64 `json:"version"`
	Deleted bool   `json:"deleted"`
	Value   []byte `json:"value,omitempty"`
}

// Outcome is what became of a write.
type Outcome int

// The outcomes of a write.
const (
	Written Outcome = iota
	Conflict
	Absent
)

// Objects holds the objects of all kinds. Versions are revisions: each write
// of any object takes the next one. It is not safe for concurrent use.
type Objects struct {
	revision uint64
	history  int
	kinds    map[string]*kind
}

type kind struct {
	objects map[string]Object
	events  []Event
	// forgotten is the version of the newest event that was dropped.
	forgotten uint64
	// changed is closed and replaced at each change.
	changed chan struct{}
}

// NewObjects returns an empty store that keeps the last history events of
// each kind for watches.
func NewObjects(history int) *Objects {
	return &Objects{history: history, kinds: map[string]*kind{}}
}

func (o *Objects) kind(name string) *kind {
	k, ok := o.kinds[name]
	if !ok {
		k = &kind{objects: map[string]Object{}, changed: make(chan struct{})}
		o.kinds[name] = k
	}
	return k
}

// Revision returns the version of the newest write.
func (o *Objects) Revision() uint64 {
	return o.revision
}

// Get returns an object and whether it exists.
func (o *Objects) Get(kindName, name string) (Object, bool) {
	object, ok := o.kind(kindName).objects[name]
	return object, ok
}

// Put writes an object if its version is ifVersion; 0 says that it must not
// exist. It returns the version after the call.
func (o *Objects) Put(kindName, name string, ifVersion uint64, value []byte) (uint64, Outcome) {
	k := o.kind(kindName)
	current := k.objects[name].Version
	if current != ifVersion {
		return current, Conflict
	}
	o.revision++
	k.objects[name] = Object{Name: name, Version: o.revision, Value: value}
	o.record(k, Event{Name: name, Version: o.revision, Value: value})
	return o.revision, Written
}

// Delete removes an object if its version is ifVersion.
func (o *Objects) Delete(kindName, name string, ifVersion uint64) (uint64, Outcome) {
	k := o.kind(kindName)
	current, ok := k.objects[name]
	if !ok {
		return 0, Absent
	}
	if current.Version != ifVersion {
		return current.Version, Conflict
	}
	o.revision++
	delete(k.objects, name)
	o.record(k, Event{Name: name, Version: o.revision, Deleted: true})
	return o.revision, Written
}

func (o *Objects) record(k *kind, e Event) {
	k.events = append(k.events, e)
	if extra := len(k.events) - o.history; extra > 0 {
		k.forgotten = k.events[extra-1].Version
		k.events = slices.Delete(k.events, 0, extra)
	}
	close(k.changed)
	k.changed = make(chan struct{})
}

// List returns up to limit objects of a kind by name, from the first name
// above after, and the name to continue after; empty at the end.
func (o *Objects) List(kindName, after string, limit int) (items []Object, next string) {
	k := o.kind(kindName)
	for _, name := range slices.Sorted(maps.Keys(k.objects)) {
		if name <= after {
			continue
		}
		if len(items) == limit {
			return items, items[limit-1].Name
		}
		items = append(items, k.objects[name])
	}
	return items, ""
}

// Since returns the changes of a kind after a revision, and false if some of
// them are no longer known. A revision of the future is unknown too.
func (o *Objects) Since(kindName string, revision uint64) ([]Event, bool) {
	k := o.kind(kindName)
	if revision < k.forgotten || revision > o.revision {
		return nil, false
	}
	i, _ := slices.BinarySearchFunc(k.events, revision+1, func(e Event, v uint64) int {
		return int(int64(e.Version) - int64(v))
	})
	return slices.Clone(k.events[i:]), true
}

// Changed returns a channel that is closed at the next change of a kind.
func (o *Objects) Changed(kindName string) <-chan struct{} {
	return o.kind(kindName).changed
}
