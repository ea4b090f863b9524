package daemon

import (
	"io"
	"testing"

	"github.com/rcrowley/go-metrics"
	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/assignment"
	"github.com/rhubarbring/rhubarbring/event"
	"github.com/rhubarbring/rhubarbring/handover"
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/internal/bootclock"
	"github.com/rhubarbring/rhubarbring/internal/eventlog"
	"github.com/rhubarbring/rhubarbring/internal/objectstore"
	"github.com/rhubarbring/rhubarbring/internal/settings"
	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/result"
)

// While the store cannot be read, a slice must not be released for a move,
// since no other daemon could become its owner. Once the store can be read, the
// slice is released.
func TestSliceIsNotReleasedWhileStoreIsDown(t *testing.T) {
	s := &settings.Daemon{Host: "h1", Region: "r", Zone: "z", Environment: "trial", StoreAddress: "127.0.0.1:1"}
	registry := metrics.NewRegistry()
	log := eventlog.New(io.Discard, event.Warn, s.Host, registry)
	defer log.Close()
	d := New(NewProcess(s), log, registry)
	d.createLoops()
	r := d.routing
	var released []handover.Release
	r.onReleased = func(rel handover.Release) { released = append(released, rel) }
	now := bootclock.Now()
	r.holder.SetLease(now + mono.Time(1<<40))
	slice := key.Slice{App: "catalogue", ID: 0}
	pack := assignment.NewPack("catalogue", 1, 0)
	epoch, written := uint64(1), false
	observePack := func(version uint64, next host.Session) []byte {
		must.True(t, pack.Set(0, assignment.Ownership{Owner: d.self, Epoch: epoch, Next: next}))
		raw, err := pack.Encode()
		must.NoError(t, err)
		seen, err := assignment.Decode(raw)
		must.NoError(t, err)
		packsObserved{packs: []packVersion{{pack: seen, version: version, written: written}}}.handle(r, now)
		return raw
	}
	observePack(1, host.NoSession)
	must.True(t, r.holder.Admits(now, slice).Admitted())
	raw := observePack(2, host.Session{Host: "h2", Incarnation: 1})
	must.True(t, r.holder.Admits(now, slice).Admitted())
	name := assignment.PackName("catalogue", 0)
	packRead{name: name, answer: storeAnswer{code: result.StoreUnavailable}}.handle(r, now)
	must.True(t, r.holder.Admits(now, slice).Admitted())
	must.SliceEmpty(t, released)
	object := objectstore.Object{Version: 2, Value: raw}
	packRead{name: name, answer: storeAnswer{code: result.OK, object: object}}.handle(r, now)
	must.False(t, r.holder.Admits(now, slice).Admitted())
	must.SliceLen(t, 1, released)
	// A pack that comes from its writer shows that the store takes writes, unless
	// this daemon's own calls fail.
	epoch, written = 2, true
	observePack(3, host.NoSession)
	d.store.recordResult("get", "x", &result.Error{Code: result.StoreUnavailable})
	observePack(4, host.Session{Host: "h2", Incarnation: 1})
	must.True(t, r.holder.Admits(now, slice).Admitted())
	d.store.recordResult("get", "x", nil)
	epoch = 3
	observePack(5, host.NoSession)
	observePack(6, host.Session{Host: "h2", Incarnation: 1})
	must.False(t, r.holder.Admits(now, slice).Admitted())
	must.SliceLen(t, 2, released)
	close(r.stop) // Ends the pending retry.
}
