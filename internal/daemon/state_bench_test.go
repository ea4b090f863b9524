package daemon

import (
	"fmt"
	"io"
	"runtime"
	"testing"

	"github.com/rcrowley/go-metrics"
	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/assignment"
	"github.com/rhubarbring/rhubarbring/document"
	"github.com/rhubarbring/rhubarbring/event"
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/internal/bootclock"
	"github.com/rhubarbring/rhubarbring/internal/eventlog"
	"github.com/rhubarbring/rhubarbring/internal/settings"
	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/placement"
	"github.com/rhubarbring/rhubarbring/quarantine"
	"github.com/rhubarbring/rhubarbring/session"
	"github.com/rhubarbring/rhubarbring/spread"
)

const (
	benchZones         = 22
	benchSlicesPerHost = 16
)

// BenchmarkState measures the heap in use by the state of a fleet on a daemon
// that is not the placement leader: session records, assignments and the map of
// owners, after a list from the store.
func BenchmarkState(b *testing.B) {
	for _, hosts := range []int{1000, 4000, 12000} {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			for b.Loop() {
				b.ReportMetric(stateMiB(b, hosts), "MiB")
			}
		})
	}
}

// BenchmarkSessionChange measures the cost of one changed session record on
// each daemon of a fleet.
func BenchmarkSessionChange(b *testing.B) {
	for _, hosts := range []int{1000, 4000, 12000} {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			d := benchDaemon(b)
			sessions := benchSessions(b, hosts)
			loadState(b, d, hosts, sessions)
			revision := uint64(1 << 20)
			for b.Loop() {
				revision++
				o := sessions[int(revision)%hosts]
				o.Version = revision
				d.spread.step(bootclock.Now(), spread.Watched{Kind: session.ObjectKind, Revision: revision, Objects: []spread.Object{o}})
				drainLoops(d)
			}
		})
	}
}

func benchDaemon(b *testing.B) *Daemon {
	registry := metrics.NewRegistry()
	s := &settings.Daemon{Host: "bench", Region: "r0", Zone: "z0", Environment: "trial", StoreAddress: "127.0.0.1:1"}
	log := eventlog.New(io.Discard, event.Warn, s.Host, registry)
	b.Cleanup(log.Close)
	d := New(NewProcess(s), log, registry)
	d.createLoops()
	return d
}

func stateMiB(b *testing.B, hosts int) float64 {
	d := benchDaemon(b)
	before := heapInUse()
	loadState(b, d, hosts, benchSessions(b, hosts))
	used := (float64(heapInUse()) - float64(before)) / (1 << 20)
	runtime.KeepAlive(d)
	return used
}

// loadState gives a daemon the state of a fleet, as if listed from the store.
func loadState(b *testing.B, d *Daemon, hosts int, sessions []spread.Object) {
	now := bootclock.Now()
	d.spread.step(now, spread.Members{All: d.spread.members()})
	d.spread.step(now, spread.Tick{})
	feedKind(d, session.ObjectKind, sessions)
	feedKind(d, assignment.Kind, benchPacks(b, hosts))
	feedKind(d, document.Kind, nil)
	feedKind(d, placement.LeaderKind, nil)
	feedKind(d, quarantine.ObjectKind, nil)
	drainLoops(d)
	must.MapLen(b, hosts, d.fleet.sessions.Load().records)
	must.Eq(b, uint32(hosts*benchSlicesPerHost), d.routing.owners.Total("catalogue"))
}

// feedKind makes the spread loop read the objects of one kind as a relay would.
func feedKind(d *Daemon, kind spread.Kind, objects []spread.Object) {
	now := bootclock.Now()
	d.spread.step(now, spread.Watched{Kind: kind, TooOld: true})
	d.spread.step(now, spread.Listed{Kind: kind, Revision: 1 << 20, Objects: objects})
	d.spread.step(now, spread.Watched{Kind: kind, Revision: 1 << 20})
}

// drainLoops handles the tasks that the spread loop added to the other loops.
func drainLoops(d *Daemon) {
	now := bootclock.Now()
	for d.routing.ring.Len() > 0 {
		(<-d.routing.ring.Items()).handle(d.routing, now)
	}
	for d.placement.ring.Len() > 0 {
		(<-d.placement.ring.Items()).handle(d.placement, now)
	}
	for d.lease.ring.Len() > 0 {
		<-d.lease.ring.Items() // Handling them would start a session; the cost of its member list is measured in package session.
	}
}

func benchSession(i int) host.Session {
	return host.Session{Host: host.ID(fmt.Sprintf("host-%05d", i)), Incarnation: 1796354728498495000 + uint64(i)}
}

func benchSessions(b *testing.B, hosts int) []spread.Object {
	var out []spread.Object
	for i := range hosts {
		zone := i % benchZones
		r := session.Record{
			Token: "token", Session: benchSession(i), State: session.Live, Generation: 1,
			Place:       host.Place{Region: host.Region(fmt.Sprint("r", zone%6)), Zone: host.Zone(fmt.Sprint("z", zone))},
			PeerAddress: "10.100.100.100:21001", ControlAddress: "10.100.100.100:22001", CallerAddress: "10.100.100.100:23001",
			Target: &session.Target{App: "catalogue", Address: "10.100.100.100:24001", Slots: 12, Connections: 130, ChecksGrants: true},
		}
		for w := 1; w <= session.WitnessCount; w++ {
			r.Witnesses = append(r.Witnesses, benchSession((i+w)%hosts))
		}
		raw, err := r.Encode()
		must.NoError(b, err)
		out = append(out, spread.Object{Name: session.ObjectName(r.Session), Version: uint64(i + 1), Value: raw})
	}
	return out
}

func benchPacks(b *testing.B, hosts int) []spread.Object {
	var out []spread.Object
	total := uint32(hosts * benchSlicesPerHost)
	for first := key.SliceID(0); uint32(first) < total; first += assignment.PackSlices {
		p := assignment.NewPack("catalogue", total, first)
		for i := range p.Len() {
			id := first + key.SliceID(i)
			must.True(b, p.Set(id, assignment.Ownership{Owner: benchSession(int(id) % hosts), Epoch: 1}))
		}
		raw, err := p.Encode()
		must.NoError(b, err)
		out = append(out, spread.Object{Name: assignment.PackName("catalogue", first), Version: uint64(1<<19) + uint64(first) + 1, Value: raw})
	}
	return out
}

func heapInUse() uint64 {
	runtime.GC()
	runtime.GC() // The second run frees what finalizers kept alive.
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
