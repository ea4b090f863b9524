package spread

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// writeFrom writes a session record to the store as the daemon of a node does.
func (f *fleet) writeFrom(n *node, k Key) uint64 {
	version := f.store.write(k, false)
	f.schedule(storeDelay, func() {
		if n.alive {
			f.step(n, Written{Kind: k.Kind, Object: f.store.objects[k]})
		}
	})
	return version
}

// newLargeFleet returns 8 zones of 37 daemons that have caught up.
func newLargeFleet(t *testing.T) *fleet {
	f := newFleet(3, 8, 37)
	f.run(10 * time.Second)
	must.Eq(t, len(f.nodes), f.countCaughtUp())
	return f
}

// The load: one daemon, the leader, writes an object five times a second, as
// placement does while a hot key moves. The versions reach 295 other daemons
// within 100 ms. With watches alone each write costs the store one call for each
// zone; with the versions sent by their writer, the relays' watches may pause for
// 2 s.
func TestWrittenVersionsReachFleetWithFewStoreCalls(t *testing.T) {
	const writes, pause = 40, 200 * time.Millisecond
	play := func(watchPause time.Duration, write func(*fleet, *node, Key) uint64) (calls int, slowest time.Duration) {
		f := newLargeFleet(t)
		f.store.watchPause = watchPause
		f.run(5 * time.Second)
		f.storeCalls = 0
		key := Key{sessions, "s"}
		for range writes {
			version := write(f, f.nodes[5], key)
			wrote := f.now
			for f.findBehind(key, version, f.now) != "" {
				f.run(5 * time.Millisecond)
			}
			slowest = max(slowest, f.now.Sub(wrote))
			f.run(pause)
		}
		return f.storeCalls, slowest
	}
	naiveCalls, naiveSlowest := play(0, func(f *fleet, _ *node, k Key) uint64 { return f.store.write(k, false) })
	calls, slowest := play(2*time.Second, (*fleet).writeFrom)
	t.Logf("watched: %d calls, slowest %s; sent by the writer: %d calls, slowest %s", naiveCalls, naiveSlowest, calls, slowest)
	must.LessEq(t, 100*time.Millisecond, slowest)
	must.Less(t, naiveCalls/3, calls)
}

// A version that was lost on its way comes with the next watch of the zone's
// relay, or from a daemon that holds it.
func TestLostWrittenVersionComesWithWatch(t *testing.T) {
	f := newFleet(4, 3, 6)
	f.run(10 * time.Second)
	f.store.muted = true
	f.loss = 1
	key := Key{sessions, "s"}
	version := f.writeFrom(f.nodes[2], key)
	f.run(100 * time.Millisecond)
	must.NotEq(t, "", f.findBehind(key, version, f.now))
	f.loss = 0
	f.run(5 * time.Second)
	must.Eq(t, "", f.findBehind(key, version, f.now))
}

// A written version does not raise the revision: other changes before it may be
// unknown here.
func TestWrittenVersionRaisesNoRevision(t *testing.T) {
	f := newFleet(5, 2, 3)
	f.run(10 * time.Second)
	f.store.watchPause = time.Hour
	f.run(5 * time.Second)
	f.loss = 1
	f.writeFrom(f.nodes[0], Key{sessions, "first"})
	f.run(100 * time.Millisecond)
	f.loss = 0
	before := f.nodes[4].core.Revision(sessions)
	second := f.writeFrom(f.nodes[0], Key{sessions, "second"})
	f.run(100 * time.Millisecond)
	must.Eq(t, "", f.findBehind(Key{sessions, "second"}, second, f.now))
	must.Eq(t, before, f.nodes[4].core.Revision(sessions))
	_, known := f.nodes[4].core.Get(Key{sessions, "first"})
	must.False(t, known)
}
