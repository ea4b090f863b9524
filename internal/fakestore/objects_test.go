package fakestore_test

import (
	"flag"
	"maps"
	"os"
	"slices"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/rhubarbring/rhubarbring/internal/fakestore"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}

// modelStore is a reference model that keeps every write and derives all
// results from the list of writes.
type modelStore struct {
	writes []modelWrite
}

type modelWrite struct {
	kind  string
	event fakestore.Event
}

func (n *modelStore) get(kind, name string) (fakestore.Event, bool) {
	for _, w := range slices.Backward(n.writes) {
		if w.kind == kind && w.event.Name == name {
			return w.event, !w.event.Deleted
		}
	}
	return fakestore.Event{}, false
}

func (n *modelStore) write(kind string, e fakestore.Event) uint64 {
	e.Version = uint64(len(n.writes) + 1)
	n.writes = append(n.writes, modelWrite{kind, e})
	return e.Version
}

func (n *modelStore) put(kind, name string, ifVersion uint64, value []byte) (uint64, fakestore.WriteOutcome) {
	current, exists := n.get(kind, name)
	if !exists {
		current.Version = 0
	}
	if current.Version != ifVersion {
		return current.Version, fakestore.Conflict
	}
	return n.write(kind, fakestore.Event{Name: name, Value: value}), fakestore.Written
}

func (n *modelStore) remove(kind, name string, ifVersion uint64) (uint64, fakestore.WriteOutcome) {
	current, exists := n.get(kind, name)
	if !exists {
		return 0, fakestore.NotFound
	}
	if current.Version != ifVersion {
		return current.Version, fakestore.Conflict
	}
	return n.write(kind, fakestore.Event{Name: name, Deleted: true}), fakestore.Written
}

func (n *modelStore) list(kind string) map[string]fakestore.Object {
	out := map[string]fakestore.Object{}
	for _, w := range n.writes {
		if w.kind != kind {
			continue
		}
		delete(out, w.event.Name)
		if !w.event.Deleted {
			out[w.event.Name] = fakestore.Object{Name: w.event.Name, Version: w.event.Version, Value: w.event.Value}
		}
	}
	return out
}

func (n *modelStore) since(kind string, revision uint64) []fakestore.Event {
	out := []fakestore.Event{}
	for _, w := range n.writes {
		if w.kind == kind && w.event.Version > revision {
			out = append(out, w.event)
		}
	}
	return out
}

const historyInTest = 4

func TestObjectsAgreeWithModelStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		objects, model := fakestore.NewObjects(historyInTest), &modelStore{}
		kinds := rapid.SampledFrom([]string{"a", "b"})
		names := rapid.SampledFrom([]string{"x", "y", "z"})
		// version draws the current version, or now and then another.
		version := func(kind, name string) uint64 {
			current, exists := model.get(kind, name)
			if !exists {
				current.Version = 0
			}
			return current.Version + rapid.SampledFrom([]uint64{0, 0, 0, 1}).Draw(t, "off")
		}
		t.Repeat(map[string]func(*rapid.T){
			"put": func(t *rapid.T) {
				kind, name := kinds.Draw(t, "kind"), names.Draw(t, "name")
				ifVersion, value := version(kind, name), rapid.SliceOfN(rapid.Byte(), 1, 2).Draw(t, "value")
				want, wantOutcome := model.put(kind, name, ifVersion, value)
				got, outcome := objects.Put(kind, name, ifVersion, value)
				must.Eq(t, want, got)
				must.Eq(t, wantOutcome, outcome)
			},
			"delete": func(t *rapid.T) {
				kind, name := kinds.Draw(t, "kind"), names.Draw(t, "name")
				ifVersion := version(kind, name)
				want, wantOutcome := model.remove(kind, name, ifVersion)
				got, outcome := objects.Delete(kind, name, ifVersion)
				must.Eq(t, want, got)
				must.Eq(t, wantOutcome, outcome)
			},
			"": func(t *rapid.T) { compare(t, objects, model, kinds.Draw(t, "kind")) },
		})
	})
}

func compare(t *rapid.T, objects *fakestore.Objects, model *modelStore, kind string) {
	want := model.list(kind)
	got := map[string]fakestore.Object{}
	for after, pages := "", 0; pages == 0 || after != ""; pages++ {
		var items []fakestore.Object
		items, after = objects.List(kind, after, 2)
		for _, o := range items {
			got[o.Name] = o
		}
	}
	must.Eq(t, want, got)
	for _, name := range slices.Sorted(maps.Keys(want)) {
		object, ok := objects.Get(kind, name)
		must.True(t, ok)
		must.Eq(t, want[name], object)
	}
	compareWatch(t, objects, model, kind)
}

// compareWatch checks that a watch returns all changes or reports that it
// cannot, and that it can if no more changes were made than are kept.
func compareWatch(t *rapid.T, objects *fakestore.Objects, model *modelStore, kind string) {
	now := uint64(len(model.writes))
	must.Eq(t, now, objects.Revision())
	revision := rapid.Uint64Range(0, now+1).Draw(t, "revision")
	want := model.since(kind, revision)
	got, known := objects.Since(kind, revision)
	must.Eq(t, revision <= now && len(want) <= historyInTest, known)
	if known {
		must.Eq(t, want, append([]fakestore.Event{}, got...))
	}
}
