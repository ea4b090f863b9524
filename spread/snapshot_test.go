package spread

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/host"
)

// A reference to a version that the receiver does not hold must not count as received:
// the object would be missing from then on.
func TestSnapshotWithUnknownReferenceIsAskedForWhole(t *testing.T) {
	cfg := DefaultConfig()
	cfg.Self, cfg.Kinds = host.Session{Host: "a", Incarnation: 1}, []Kind{docs, sessions}
	from := host.Session{Host: "b", Incarnation: 1}
	c := New(cfg, 0)
	known := Object{Name: "known", Version: 5, Value: []byte("value")}
	page := Objects{Kind: 1, UpTo: 9, Snapshot: true, Items: []Object{known.reference()}}
	var asked *ChangesRequest
	for _, a := range c.Step(0, Received{From: from, Message: &page}) {
		if send, ok := a.(Send); ok {
			asked, _ = send.Message.(*ChangesRequest)
		}
	}
	must.NotNil(t, asked)
	must.True(t, asked.Whole)
	must.Eq(t, "", asked.Cursor)
	must.Eq(t, 0, c.Revision(sessions))

	page.Items[0] = known
	c.Step(0, Received{From: from, Message: &page})
	must.Eq(t, 9, c.Revision(sessions))
	held, ok := c.Get(Key{sessions, "known"})
	must.True(t, ok)
	must.Eq(t, "value", string(held.Value))
}

// A snapshot carries a value only if the requester does not hold the version, unless it
// asks for all of them.
func TestSnapshotRefersToVersionsThatRequesterHolds(t *testing.T) {
	s := newKindState(sessions, Blocks{})
	for i, name := range []string{"a", "b", "c"} {
		s.put(Object{Name: name, Version: uint64(10 + i), Value: []byte(name)})
	}
	for _, whole := range []bool{false, true} {
		items, last := s.snapshotPage(&ChangesRequest{After: 11, Whole: whole}, 1<<10)
		must.Eq(t, "", last)
		must.Len(t, 3, items)
		for _, o := range items {
			must.Eq(t, whole || o.Version > 11, len(o.Value) > 0)
			must.Eq(t, len(o.Value) == 0, o.isReference())
		}
	}
}

// Snapshots between daemons whose sets differ in every way leave them with the same
// objects, whatever was deleted or written since.
func TestFleetAgreesAfterSnapshots(t *testing.T) {
	f := newListedFleet(0)
	for i := range 60 {
		name := string(rune('a' + i%7))
		f.store.write(Key{sessions, name}, i%5 == 3)
		if i%6 == 0 {
			n := f.nodes[(7*i)%len(f.nodes)]
			f.startAlone(n)
			f.run(200 * time.Millisecond)
			f.announceMembers()
		}
		f.run(time.Duration(f.rand.Int64N(int64(time.Second))))
	}
	f.run(inForceBound)
	must.SliceEmpty(t, f.violations)
	for _, n := range f.nodes {
		for k, o := range f.store.objects {
			held, ok := n.core.Get(k)
			must.Eq(t, !o.Deleted, ok, must.Sprintf("%s at %s", k, n.session))
			must.True(t, o.Deleted || held.Version == o.Version)
		}
	}
}
