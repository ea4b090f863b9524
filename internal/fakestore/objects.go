// Package fakestore is an in-memory fake of the platform's store: versioned
// objects with conditional writes, lists and watches, served over HTTP. It
// counts calls and injects faults on request.
package fakestore

import (
	"maps"
	"slices"
)

// Object is a stored object with its version.
type Object struct {
	Name    string `json:"name"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
}

// Event is one change of an object, as watches report it.
type Event struct {
	Name    string `json:"name"`
	Version uint64 `json:"version"`
	Deleted bool   `json:"deleted"`
	Value   []byte `json:"value,omitempty"`
}

// WriteOutcome is the result of a conditional write.
type WriteOutcome int

// Results of a write.
const (
	Written WriteOutcome = iota
	Conflict
	NotFound
)

// Objects holds the objects of all kinds. All share one revision counter: each
// write takes the next revision as the object's version. It is not safe for
// concurrent use.
type Objects struct {
	revision uint64
	history  int
	kinds    map[string]*kind
}

type kind struct {
	objects map[string]Object
	events  []Event
	// droppedVersion is the version of the newest event that is no longer kept.
	droppedVersion uint64
	// changed is closed and replaced at each change of the kind.
	changed chan struct{}
}

// NewObjects returns an empty store that keeps the last history events of each
// kind for watches.
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

// Revision returns the version of the latest write.
func (o *Objects) Revision() uint64 {
	return o.revision
}

// Get returns an object and whether it exists.
func (o *Objects) Get(kindName, name string) (Object, bool) {
	object, ok := o.kind(kindName).objects[name]
	return object, ok
}

// Put writes an object if its current version is ifVersion; 0 requires that it
// does not exist. It returns the object's version after the call.
func (o *Objects) Put(kindName, name string, ifVersion uint64, value []byte) (uint64, WriteOutcome) {
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

// Delete removes an object if its current version is ifVersion. It returns the
// version of the deletion; after a conflict, the current version.
func (o *Objects) Delete(kindName, name string, ifVersion uint64) (uint64, WriteOutcome) {
	k := o.kind(kindName)
	current, ok := k.objects[name]
	if !ok {
		return 0, NotFound
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
		k.droppedVersion = k.events[extra-1].Version
		k.events = slices.Delete(k.events, 0, extra)
	}
	close(k.changed)
	k.changed = make(chan struct{})
}

// List returns up to limit objects of a kind, ordered by name, from the first
// name after the given one. next is the name to continue after; it is empty at
// the end.
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

// Since returns the changes of a kind after a revision. It returns false if
// some of them are no longer kept, or if the revision is above the latest.
func (o *Objects) Since(kindName string, revision uint64) ([]Event, bool) {
	k := o.kind(kindName)
	if revision < k.droppedVersion || revision > o.revision {
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
