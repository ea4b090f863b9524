package spread

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/mono"
)

// firstViolationWithout runs fleets with a check turned off on every daemon
// until a rule is violated, and returns the first violation, or "" if there is
// none.
func firstViolationWithout(seeds uint64, disable func(*Core)) string {
	for seed := range seeds {
		f := newFleet(seed, 4, 4)
		f.onStart = disable
		for _, n := range f.nodes {
			disable(n.core)
		}
		f.store.write(testDocument, false)
		f.loss = 0.05
		for range 30 {
			runWithFaults(f, 10*time.Second)
			if len(f.violations) > 0 {
				return f.violations[0]
			}
		}
	}
	return ""
}

// Without the check against older versions, delayed messages bring them back.
func TestWithoutVersionCheckObjectsGoBack(t *testing.T) {
	must.StrContains(t, firstViolationWithout(4, func(c *Core) {
		for _, s := range c.states {
			s.allowOlder = true
		}
	}), "goes back")
}

// A restarted daemon that doesn't wait until it has caught up may put in force
// an older version from a peer that was isolated.
func TestWithoutCatchUpRestartedDaemonGoesBack(t *testing.T) {
	must.StrContains(t, firstViolationWithout(12, func(c *Core) { c.disabled.join = true }), "goes back")
}

// A lost message is made up for at the next heartbeats, and only by their
// comparison of revisions.
func TestLostMessageHealsOnlyByRevisionComparison(t *testing.T) {
	for _, unchecked := range []bool{false, true} {
		f := newFleet(1, 2, 10)
		f.store.write(testDocument, false)
		f.run(20 * time.Second)
		for _, n := range f.nodes {
			n.core.disabled.compare = unchecked
		}
		f.loss = 1
		wrote := f.now
		version := f.store.write(testDocument, false)
		f.run(100 * time.Millisecond)
		f.loss = 0
		f.run(inForceBound)
		must.Eq(t, unchecked, f.findBehind(testDocument, version, wrote) != "")
	}
}

// loseRelayAfterRead has a relay read a new document, fail before any other
// daemon has it, and restart while the store is down. It returns the versions
// that the relay had in force before and after the restart; 0 means that it
// did not catch up.
func loseRelayAfterRead(unchecked bool) (before, after uint64) {
	f := newFleet(1, 1, 4)
	f.store.write(testDocument, false)
	f.run(20 * time.Second)
	relay := f.nodes[0]
	relay.core.disabled.staging = unchecked
	f.loss = 1
	f.store.write(testDocument, false)
	f.run(100 * time.Millisecond)
	before = relay.adopted[testDocument]
	f.loss = 0
	f.store.setDown(true)
	f.restart(relay, time.Second)
	f.run(30 * time.Second)
	if relay.caughtUpAt == mono.Never {
		return before, 0
	}
	return before, relay.adopted[testDocument]
}

// A relay must not put in force a version that no other daemon holds: if the
// relay failed, it would restart from peers with an older one.
func TestRelayHoldsVersionUntilAnotherDaemonHasIt(t *testing.T) {
	before, after := loseRelayAfterRead(false)
	must.Eq(t, 1, before)
	must.Eq(t, 1, after)
	before, after = loseRelayAfterRead(true)
	must.Eq(t, 2, before)
	must.Eq(t, 1, after)
}

// While the store is down, a daemon catches up from its peers. If all daemons
// have restarted, none can catch up until the store is back.
func TestDaemonStartsFromPeersWhileStoreIsDown(t *testing.T) {
	f := newFleet(1, 2, 4)
	version := f.store.write(testDocument, false)
	f.run(20 * time.Second)
	f.store.setDown(true)
	f.restart(f.nodes[2], time.Second)
	f.run(5 * time.Second)
	must.Eq(t, version, f.nodes[2].adopted[testDocument])

	for _, n := range f.nodes {
		f.restart(n, time.Second)
	}
	f.run(30 * time.Second)
	must.Eq(t, 0, f.countCaughtUp())
	f.store.setDown(false)
	f.run(10 * time.Second)
	must.Eq(t, len(f.nodes), f.countCaughtUp())
}

// One daemon of each zone watches the store. When it can't reach the store, the
// next one does, until the first can again.
func TestOneRelayPerZoneWithFailover(t *testing.T) {
	f := newFleet(1, 2, 10)
	f.store.write(testDocument, false)
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
	version := f.store.write(testDocument, false)
	f.run(5 * time.Second)
	must.Eq(t, "", f.findBehind(testDocument, version, f.now.Add(-5*time.Second)))
	f.storeless = nil
	f.run(10 * time.Second)
	must.False(t, f.nodes[1].core.IsRelay())
}

// A daemon that was away for longer than deletions are remembered is sent a
// snapshot, and drops the objects that are not in it.
func TestSnapshotRemovesForgottenDeletions(t *testing.T) {
	s := newKindState(sessions, Blocks{})
	for v := range uint64(3 * maxDeletions) {
		name := string(rune('a' + v%26))
		must.Eq(t, putApplied, s.put(Object{Name: name + content(v)[:20] + time.Duration(v).String(), Version: 2*v + 1}))
		must.Eq(t, putApplied, s.put(Object{Name: name + content(v)[:20] + time.Duration(v).String(), Version: 2*v + 2, Deleted: true}))
	}
	s.put(Object{Name: "kept", Version: 1 << 30})
	must.True(t, s.markWatched(1<<30))
	s.sorted = false
	s.sortChanges()
	must.LessEq(t, maxDeletions*2, len(s.objects))
	must.Positive(t, s.forgottenTo)

	behind := New(newTestConfig(2), 0)
	behind.states[1].put(Object{Name: "gone", Version: 1})
	behind.states[1].markWatched(1)
	ahead := New(newTestConfig(1), 0)
	ahead.states[1] = s
	exchangeAll(behind, ahead)
	_, found := behind.Get(Key{sessions, "gone"})
	must.False(t, found)
	_, found = behind.Get(Key{sessions, "kept"})
	must.True(t, found)
	must.Eq(t, s.revision, behind.Revision(sessions))
}

func newTestConfig(incarnation uint64) Config {
	cfg := DefaultConfig()
	cfg.Self.Host, cfg.Self.Incarnation = "h", incarnation
	cfg.Kinds = []Kind{docs, sessions}
	return cfg
}

// exchangeAll delivers messages between two cores until there are none left, or
// 100 have been delivered.
func exchangeAll(a, b *Core) {
	type envelope struct {
		to *Core
		ev Received
	}
	var queue []envelope
	post := func(from, to *Core, actions []Action) {
		for _, action := range actions {
			if s, ok := action.(Send); ok {
				queue = append(queue, envelope{to, Received{from.cfg.Self, s.Message}})
			}
		}
	}
	a.sendDigest(0, b.cfg.Self, true)
	post(a, b, a.out)
	for range 100 {
		if len(queue) == 0 {
			return
		}
		l := queue[0]
		queue = queue[1:]
		other := a
		if l.to == a {
			other = b
		}
		post(l.to, other, append([]Action(nil), l.to.Step(0, l.ev)...))
	}
}

// Deletions found by a list share one version. A message must not end between
// them, or the receiver would take the rest as known.
func TestDeletionsOfOneVersionStayTogether(t *testing.T) {
	s := newKindState(sessions, Blocks{})
	for i := range uint64(10) {
		s.put(Object{Name: string(rune('a' + i)), Version: i + 1})
	}
	s.markWatched(10)
	for _, gone := range s.missingFrom("", "", 20, nil) {
		must.Eq(t, putApplied, s.put(gone))
	}
	s.markWatched(20)
	items, upTo := s.changesSince(10, 1, false)
	must.Eq(t, 20, upTo)
	must.Len(t, 10, items)
}

// A daemon was isolated while an object was deleted, and its peers have since
// restarted from a list without the object. It must not bring the object back.
func TestDeletedObjectDoesNotComeBackFromStalePeer(t *testing.T) {
	f := newFleet(1, 1, 3)
	f.store.write(testDocument, false)
	f.store.writeSession(1, false)
	f.run(10 * time.Second)
	f.storeless = f.nodes[2]
	f.nodes[2].cutUntil = f.now.Add(12 * time.Second)
	f.store.writeSession(1, true)
	f.run(time.Second)
	for range 2 * rememberedChanges {
		f.store.write(testDocument, false)
	}
	f.restart(f.nodes[0], time.Second)
	f.restart(f.nodes[1], time.Second)
	f.run(40 * time.Second)
	must.SliceEmpty(t, f.violations)
	must.Eq(t, 3, f.countCaughtUp())
	f.requireConverged(t, 1)
}
