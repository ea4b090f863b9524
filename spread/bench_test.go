package spread

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// BenchmarkSpread runs a fleet of each size for two simulated minutes, at the
// rate of 7,000 documents and 790 session records a day, and reports the cost
// of each change and each daemon.
func BenchmarkSpread(b *testing.B) {
	sizes := []struct{ zones, perZone int }{{4, 4}, {4, 75}, {1, 545}, {22, 545}}
	for _, size := range sizes {
		b.Run(fmt.Sprintf("%dx%d", size.zones, size.perZone), func(b *testing.B) {
			for range b.N {
				benchFleet(b, size.zones, size.perZone)
			}
		})
	}
}

const (
	benchDuration = 2 * time.Minute
	documentEvery = 24 * time.Hour / 7000
	restartEvery  = 24 * time.Hour / 790
)

func benchFleet(b *testing.B, zones, perZone int) {
	f := newFleet(1, zones, perZone)
	f.store.write(testDocument, false)
	f.run(20 * time.Second)
	f.encode = true
	f.messages, f.bytes, f.storeCalls = 0, 0, 0
	clear(f.sentBy)
	var slowest time.Duration
	documents := 0
	for at := time.Duration(0); at < benchDuration; at += documentEvery {
		version := f.store.write(testDocument, false)
		documents++
		slowest = max(slowest, f.runUntilInForce(version))
		f.run(documentEvery - f.now.Sub(f.wrote))
		if at%restartEvery < documentEvery {
			f.store.write(Key{sessions, fmt.Sprint("s", documents)}, false)
		}
	}
	seconds := float64(documents) * documentEvery.Seconds()
	most := 0
	for _, n := range f.sentBy {
		most = max(most, n)
	}
	b.ReportMetric(slowest.Seconds()*1000, "slowest-ms")
	b.ReportMetric(float64(f.bytes)/float64(len(f.nodes))/seconds, "B/s/node")
	b.ReportMetric(float64(most)/seconds, "most-B/s")
	b.ReportMetric(float64(f.storeCalls)/seconds, "calls/s")
	b.ReportMetric(float64(len(f.nodes)*len(f.nodes[0].core.cfg.Kinds))/DefaultConfig().WatchWait.Seconds(), "naive-calls/s")
}

// runUntilInForce runs the fleet until every daemon has a version in force, or
// inForceBound has passed, and returns the time that took.
func (f *fleet) runUntilInForce(version uint64) time.Duration {
	f.wrote = f.now
	for f.findBehind(testDocument, version, f.wrote) != "" && f.now.Sub(f.wrote) < inForceBound {
		f.run(time.Millisecond)
	}
	return f.now.Sub(f.wrote)
}

// BenchmarkStep measures a heartbeat of a daemon with eight children.
func BenchmarkStep(b *testing.B) {
	f := newFleet(1, 1, 20)
	f.store.write(testDocument, false)
	f.run(20 * time.Second)
	core := f.nodes[0].core
	digest := &Digest{Revisions: core.revisions(), CaughtUp: true, Child: true, WantAnswer: true}
	b.ReportAllocs()
	now := f.now
	for b.Loop() {
		now = now.Add(time.Second)
		core.Step(now, Tick{})
		for _, child := range f.nodes[1:9] {
			core.Step(now, Received{child.session, digest})
		}
	}
}

// BenchmarkMemory measures the memory for 12,000 objects of 600 bytes, the size
// of session records, each changed once.
func BenchmarkMemory(b *testing.B) {
	const objects, size = 12_000, 600
	for range b.N {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		s := newKindState(sessions, Blocks{})
		for v := range uint64(2 * objects) {
			value := []byte(content(v)[500:])[:size]
			s.put(Object{Name: fmt.Sprintf("host-%05d.1", v%objects), Version: v + 1, Value: append([]byte(nil), value...)})
		}
		s.markWatched(2 * objects)
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/objects, "B/object")
		runtime.KeepAlive(s)
	}
}
