package placement

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"github.com/rhubarbring/rhubarbring/assignment"
	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/session"
)

const slicesPerHost = 16

var benchHosts = []int{15, 300, 12_000}

// benchFleet returns a balanced fleet whose slices have random loads.
func benchFleet(hosts int) *simFleet {
	app := rayuelaApp()
	app.Slices = uint32(hosts * slicesPerHost)
	app.MaxMoves = int(app.Slices)
	f := newSimFleet(hosts, 12, app, &Balanced{})
	f.benchReports(1)
	for before := -1; before != f.writes; {
		before = f.writes
		f.now = f.now.Add(2 * DefaultMoveCooldown)
		f.tickUntilIdle()
	}
	app.MaxMoves = 64
	f.step(AppsChanged{Apps: []App{app}})
	f.tickUntilIdle()
	f.moves = nil
	return f
}

// benchReports sends a report of each host with random slice loads.
func (f *simFleet) benchReports(sequence uint64) {
	rng := rand.New(rand.NewPCG(1, sequence))
	reports := map[int]*LoadReport{}
	for _, p := range f.packs {
		for i := range p.Len() {
			owner, _, _ := p.EntryIndexes(i)
			s := p.SessionTable()[owner]
			var n int
			if _, err := fmt.Sscanf(string(s.Host), "h%05d", &n); err != nil {
				panic(err)
			}
			if reports[n] == nil {
				reports[n] = &LoadReport{From: s, App: f.app.Name, Sequence: sequence, TargetUtilization: 0.6}
			}
			id := p.First + key.SliceID(i)
			reports[n].Slices = append(reports[n].Slices, SliceLoad{ID: id, BusySlots: rng.Float32() * 0.9})
		}
	}
	for _, r := range reports {
		f.step(LoadReported{Report: *r})
	}
}

// BenchmarkQuietRound measures a balance round in which nothing has to move.
func BenchmarkQuietRound(b *testing.B) {
	for _, hosts := range benchHosts {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			f := benchFleet(hosts)
			b.ReportAllocs()
			writes := f.writes
			for b.Loop() {
				f.now = f.now.Add(DefaultBalanceInterval)
				f.step(Tick{})
			}
			if f.writes != writes {
				b.Fatalf("%d writes in quiet rounds", f.writes-writes)
			}
		})
	}
}

// BenchmarkLossRound measures the round after one host is lost: its slices get
// new owners, and the writes are encoded.
func BenchmarkLossRound(b *testing.B) {
	for _, hosts := range benchHosts {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			f := benchFleet(hosts)
			restarted := simHost(3)
			b.ReportAllocs()
			packs, bytes := 0, 0
			for b.Loop() {
				b.StopTimer()
				lost := restarted
				f.setState(lost, session.Lost)
				b.StartTimer()
				writes := f.core.Step(f.now, Tick{})
				b.StopTimer()
				for _, a := range writes {
					packs++
					bytes += len(a.(Write).Value)
					f.write(a.(Write))
				}
				restarted.Incarnation++
				f.setState(restarted, session.Live)
				f.now = f.now.Add(DefaultMoveCooldown)
				f.tickUntilIdle()
				f.moves = nil
				b.StartTimer()
			}
			b.ReportMetric(float64(packs)/float64(b.N), "packs/op")
			b.ReportMetric(float64(bytes)/float64(b.N), "written-B/op")
		})
	}
}

// BenchmarkMemory measures the memory that a leader keeps for 192,000 slices,
// and that every daemon's assignment map takes.
func BenchmarkMemory(b *testing.B) {
	const hosts = 12_000
	heap := func() int64 {
		var s runtime.MemStats
		runtime.GC()
		runtime.GC()
		runtime.ReadMemStats(&s)
		return int64(s.HeapAlloc)
	}
	for b.Loop() {
		f := benchFleet(hosts)
		withFleet := heap()
		m := f.buildMap()
		withMap := heap()
		f.core.resetApps()
		follower := heap()
		var raw int
		for _, p := range f.packs {
			r, err := p.Encode()
			if err != nil {
				b.Fatal(err)
			}
			raw += len(r)
		}
		b.ReportMetric(float64(withMap-withFleet)/1e6, "map-MB")
		b.ReportMetric(float64(withMap-follower)/1e6, "leader-MB")
		b.ReportMetric(float64(raw)/1e6, "packs-MB")
		b.ReportMetric(float64(raw)/float64(len(f.packs)), "B/pack")
		runtime.KeepAlive(m)
		runtime.KeepAlive(f)
	}
}

// BenchmarkLossDelta compares the size of the deltas that relays send after one
// host is lost with that of the full packs.
func BenchmarkLossDelta(b *testing.B) {
	f := benchFleet(12_000)
	old := map[string]*assignment.Pack{}
	for name, p := range f.packs {
		old[name] = p
	}
	f.setState(simHost(3), session.Lost)
	f.tickUntilIdle()
	var packs, delta, full int
	for b.Loop() {
		packs, delta, full = 0, 0, 0
		for name, p := range f.packs {
			if old[name] == p {
				continue
			}
			d := assignment.Diff(old[name], 1, p, 2)
			packs++
			delta += encodedLen(b, d)
			raw, _ := p.Encode()
			full += len(raw)
		}
	}
	b.ReportMetric(float64(packs), "packs")
	b.ReportMetric(float64(delta), "delta-B")
	b.ReportMetric(float64(full), "whole-B")
}

func encodedLen(b *testing.B, v any) int {
	raw, err := cbor.Marshal(v)
	if err != nil {
		b.Fatal(err)
	}
	return len(raw)
}

// BenchmarkZoneLoss measures all rounds after an availability zone, a 22nd of
// the hosts, is lost at once.
func BenchmarkZoneLoss(b *testing.B) {
	const hosts, lost = 12_000, 545
	for b.Loop() {
		b.StopTimer()
		f := benchFleet(hosts)
		writes := f.writes
		for i := range lost {
			f.setState(simHost(i+1), session.Lost)
		}
		b.StartTimer()
		f.tickUntilIdle()
		b.ReportMetric(float64(f.writes-writes), "writes")
		b.ReportMetric(float64(f.takeOwnerChanges()), "slices")
	}
}
