package spread

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const inForceBound = 10 * time.Second

var testDocument = Key{docs, "rayuela"}

// runWithFaults runs a fleet through restarts, isolated daemons, lost, delayed
// and reordered messages and store outages, while documents and sessions
// change. A violation is recorded for a daemon that lacks a document 10 s after
// it was accepted, if the store has been up since.
func runWithFaults(f *fleet, d time.Duration) {
	end := f.now.Add(d)
	for f.now.Before(end) {
		switch draw := f.rand.IntN(60); {
		case draw < 15:
			f.writeDocument()
		case draw < 25:
			f.writeSession()
		case draw < 37:
			f.restart(f.nodes[f.rand.IntN(len(f.nodes))], time.Second+time.Duration(f.rand.Int64N(int64(time.Second))))
		case draw < 40:
			f.isolate(f.nodes[f.rand.IntN(len(f.nodes))])
		case draw < 41:
			f.outage()
		}
		f.run(time.Duration(f.rand.Int64N(int64(2 * time.Second))))
	}
}

func (f *fleet) writeDocument() {
	if f.store.down {
		return
	}
	version := f.store.write(testDocument, false)
	wrote := f.now
	f.schedule(inForceBound, func() {
		if f.store.down || f.store.upSince.After(wrote) {
			return
		}
		f.deadlinesChecked++
		if bad := f.findBehind(testDocument, version, wrote); bad != "" {
			f.violations = append(f.violations, "late: "+bad)
		}
	})
}

// writeSession writes or deletes a session record. With writersTell, half of the
// writes come from daemons, which send the version to the relays.
func (f *fleet) writeSession() {
	if f.store.down {
		return
	}
	record, deleted := f.rand.IntN(30), f.rand.IntN(3) == 0
	if f.writersTell && !deleted && f.rand.IntN(2) == 0 {
		f.writeFrom(f.nodes[f.rand.IntN(len(f.nodes))], sessionKey(record))
		return
	}
	f.store.writeSession(record, deleted)
}

func sessionKey(i int) Key {
	return Key{sessions, fmt.Sprintf("s%02d", i)}
}

func (s *fakeStore) writeSession(i int, deleted bool) {
	if !s.down {
		s.write(sessionKey(i), deleted)
	}
}

func (f *fleet) isolate(n *node) {
	n.cutUntil = f.now.Add(8 * time.Second)
}

func (f *fleet) outage() {
	if f.store.down {
		return
	}
	f.store.setDown(true)
	f.schedule(15*time.Second, func() { f.store.setDown(false) })
}

func TestVersionsOnlyRiseAndReachAllWithinBound(t *testing.T) {
	cases := []struct {
		zones, perZone int
		seeds          uint64
		length         time.Duration
		writersTell    bool
	}{
		{4, 4, 12, 5 * time.Minute, false},
		{4, 4, 12, 5 * time.Minute, true},
		{4, 75, 1, time.Minute, true},
	}
	for _, c := range cases {
		t.Run(fmt.Sprint(c.zones*c.perZone), func(t *testing.T) {
			for seed := range c.seeds {
				f := newFleet(seed, c.zones, c.perZone)
				f.store.write(testDocument, false)
				f.loss = 0.05
				f.writersTell = c.writersTell
				runWithFaults(f, c.length)
				must.SliceEmpty(t, f.violations, must.Sprintf("seed %d", seed))
				must.Positive(t, f.deadlinesChecked)
				f.store.setDown(false)
				f.run(20 * time.Second)
				must.Eq(t, len(f.nodes), f.countCaughtUp())
				f.requireConverged(t, seed)
			}
		})
	}
}

// requireConverged requires that every daemon has the store's newest objects in
// force.
func (f *fleet) requireConverged(t *testing.T, seed uint64) {
	t.Helper()
	for k, o := range f.store.objects {
		for _, n := range f.nodes {
			if o.Deleted {
				_, found := n.core.Get(k)
				must.False(t, found, must.Sprintf("seed %d: %s on %s", seed, k, n.session))
				continue
			}
			must.Eq(t, o.Version, n.adopted[k], must.Sprintf("seed %d: %s on %s", seed, k, n.session))
		}
	}
}
