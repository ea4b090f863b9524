package spread

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/mono"
)

// faultsWithout runs fleets with a guard dropped on every daemon until there
// are faults, and returns the first.
func faultsWithout(seeds uint64, drop func(*Core)) string {
	for seed := range seeds {
		f := newFleet(seed, 4, 4)
		f.onStart = drop
		for _, n := range f.nodes {
			drop(n.core)
		}
		f.store.write(theDoc, false)
		f.loss = 0.05
		for range 30 {
			chaos(f, 10*time.Second)
			if len(f.faults) > 0 {
				return f.faults[0]
			}
		}
	}
	return ""
}

// Without the guard against older versions, late messages bring them back.
func TestNeedsTheVersionGuard(t *testing.T) {
	must.StrContains(t, faultsWithout(4, func(c *Core) {
		for _, s := range c.shelves {
			s.anyVersion = true
		}
	}), "goes back")
}

// Without waiting until it has caught up, a daemon that restarts may take an
// older version from a peer that was cut off.
func TestNeedsToCatchUp(t *testing.T) {
	must.StrContains(t, faultsWithout(12, func(c *Core) { c.skip.join = true }), "goes back")
}

// A message that was lost heals at the next heartbeats, and only there.
func TestNeedsToCompare(t *testing.T) {
	for _, skip := range []bool{false, true} {
		f := newFleet(1, 2, 10)
		f.store.write(theDoc, false)
		f.run(20 * time.Second)
		for _, n := range f.nodes {
			n.core.skip.compare = skip
		}
		f.loss = 1
		wrote := f.now
		version := f.store.write(theDoc, false)
		f.run(100 * time.Millisecond)
		f.loss = 0
		f.run(bound)
		must.Eq(t, skip, f.behind(theDoc, version, wrote) != "")
	}
}

// lostAtOnce has a relay read a new document, lose it before anyone else has
// it, and start again while the store is down. It returns the versions that
// the relay put in force.
func lostAtOnce(skip bool) (before, after uint64) {
	f := newFleet(1, 1, 4)
	f.store.write(theDoc, false)
	f.run(20 * time.Second)
	relay := f.nodes[0]
	relay.core.skip.hold = skip
	f.loss = 1
	f.store.write(theDoc, false)
	f.run(100 * time.Millisecond)
	before = relay.adopted[theDoc]
	f.loss = 0
	f.store.setDown(true)
	f.restart(relay, time.Second)
	f.run(30 * time.Second)
	if relay.readyAt == mono.Never {
		return before, 0
	}
	return before, relay.adopted[theDoc]
}

// A relay doesn't put in force what would be forgotten if it were lost.
func TestRelayHoldsWhatOnlyItHas(t *testing.T) {
	before, after := lostAtOnce(false)
	must.Eq(t, 1, before)
	must.Eq(t, 1, after)
	before, after = lostAtOnce(true)
	must.Eq(t, 2, before)
	must.Eq(t, 1, after)
}

// With the store down a daemon starts from its peers; with all daemons
// started anew as well there is nothing to start from.
func TestStartsFromPeers(t *testing.T) {
	f := newFleet(1, 2, 4)
	version := f.store.write(theDoc, false)
	f.run(20 * time.Second)
	f.store.setDown(true)
	f.restart(f.nodes[2], time.Second)
	f.run(5 * time.Second)
	must.Eq(t, version, f.nodes[2].adopted[theDoc])

	for _, n := range f.nodes {
		f.restart(n, time.Second)
	}
	f.run(30 * time.Second)
	must.Eq(t, 0, f.ready())
	f.store.setDown(false)
	f.run(10 * time.Second)
	must.Eq(t, len(f.nodes), f.ready())
}

// One relay a zone watches; when it can't reach the store, the next one does.
func TestOneRelayForEachZone(t *testing.T) {
	f := newFleet(1, 2, 10)
	f.store.write(theDoc, false)
	f.run(20 * time.Second)
	relays := 0
	for _, n := range f.nodes {
		if n.core.IsRelay() {
			relays++
		}
	}
	must.Eq(t, 2, relays)
	must.Eq(t, 10, f.nodes[0].core.View(f.now).Hosts)
	must.Eq(t, f.nodes[0].core.Revision(docs), f.nodes[0].core.View(f.now).InForce)

	f.storeless = f.nodes[0]
	f.run(10 * time.Second)
	must.True(t, f.nodes[1].core.IsRelay())
	version := f.store.write(theDoc, false)
	f.run(5 * time.Second)
	must.Eq(t, "", f.behind(theDoc, version, f.now.Add(-5*time.Second)))
	f.storeless = nil
	f.run(10 * time.Second)
	must.False(t, f.nodes[1].core.IsRelay())
}

// A daemon that was away for longer than deletions are remembered gets a
// snapshot, and drops what was deleted.
func TestSnapshotDropsTheDeleted(t *testing.T) {
	s := newShelf(sessions, Blocks{})
	for v := range uint64(3 * maxDeletions) {
		name := string(rune('a' + v%26))
		must.Eq(t, taken, s.put(Object{Name: name + content(v)[:20] + time.Duration(v).String(), Version: 2*v + 1}))
		must.Eq(t, taken, s.put(Object{Name: name + content(v)[:20] + time.Duration(v).String(), Version: 2*v + 2, Deleted: true}))
	}
	s.put(Object{Name: "kept", Version: 1 << 30})
	must.True(t, s.watchedTo(1<<30))
	s.sorted = false
	s.order()
	must.LessEq(t, maxDeletions*2, len(s.objects))
	must.Positive(t, s.forgotten)

	behind := New(testConfig(2), 0)
	behind.shelves[1].put(Object{Name: "gone", Version: 1})
	behind.shelves[1].watchedTo(1)
	ahead := New(testConfig(1), 0)
	ahead.shelves[1] = s
	talk(behind, ahead)
	_, found := behind.Get(Key{sessions, "gone"})
	must.False(t, found)
	_, found = behind.Get(Key{sessions, "kept"})
	must.True(t, found)
	must.Eq(t, s.revision, behind.Revision(sessions))
}

func testConfig(incarnation uint64) Config {
	cfg := DefaultConfig()
	cfg.Self.Host, cfg.Self.Incarnation = "h", incarnation
	cfg.Kinds = []Kind{docs, sessions}
	return cfg
}

// talk delivers messages between two cores until neither has more to say.
func talk(a, b *Core) {
	type letter struct {
		to *Core
		ev Received
	}
	var letters []letter
	post := func(from, to *Core, actions []Action) {
		for _, action := range actions {
			if s, ok := action.(Send); ok {
				letters = append(letters, letter{to, Received{from.cfg.Self, s.Message}})
			}
		}
	}
	a.sendHave(0, b.cfg.Self, true)
	post(a, b, a.out)
	for range 100 {
		if len(letters) == 0 {
			return
		}
		l := letters[0]
		letters = letters[1:]
		other := a
		if l.to == a {
			other = b
		}
		post(l.to, other, append([]Action(nil), l.to.Step(0, l.ev)...))
	}
}

// Deletions that a list revealed share a version; a message never ends among
// them, or the rest would be taken as known.
func TestDeletionsOfOneVersionStayTogether(t *testing.T) {
	s := newShelf(sessions, Blocks{})
	for i := range uint64(10) {
		s.put(Object{Name: string(rune('a' + i)), Version: i + 1})
	}
	s.watchedTo(10)
	for _, gone := range s.missing("", "", 20, nil) {
		must.Eq(t, taken, s.put(gone))
	}
	s.watchedTo(20)
	items, upTo := s.since(10, 1, false)
	must.Eq(t, 20, upTo)
	must.Len(t, 10, items)
}

// A daemon that was away while an object was deleted, and whose peers have
// started anew since from a list without it, doesn't bring it back.
func TestDeletedStaysDeleted(t *testing.T) {
	f := newFleet(1, 1, 3)
	f.store.write(theDoc, false)
	f.store.writeSession(1, false)
	f.run(10 * time.Second)
	f.storeless = f.nodes[2]
	f.nodes[2].cutUntil = f.now.Add(12 * time.Second)
	f.store.writeSession(1, true)
	f.run(time.Second)
	for range 2 * rememberedChanges {
		f.store.write(theDoc, false)
	}
	f.restart(f.nodes[0], time.Second)
	f.restart(f.nodes[1], time.Second)
	f.run(40 * time.Second)
	must.SliceEmpty(t, f.faults)
	must.Eq(t, 3, f.ready())
	f.sameEverywhere(t, 1)
}
