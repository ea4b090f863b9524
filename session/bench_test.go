package session_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/result"
	"github.com/rhubarbring/rhubarbring/session"
	"github.com/rhubarbring/rhubarbring/takeover"
	"github.com/rhubarbring/rhubarbring/witness"
)

// largeFleet returns n members spread over 22 availability zones of 6 regions.
func largeFleet(n int) []session.Member {
	out := make([]session.Member, n)
	for i := range out {
		zone := i % 22
		out[i] = session.Member{
			Session: host.Session{Host: host.ID(fmt.Sprintf("host-%05d", i)), Incarnation: 1_700_000_000_000 + uint64(i)},
			Place:   host.Place{Region: host.Region(fmt.Sprintf("region-%d", zone%6)), Zone: host.Zone(fmt.Sprintf("zone-%02d", zone))},
			State:   session.Live,
		}
	}
	return out
}

// leasedHolder returns a session that holds a lease with three witnesses.
func leasedHolder(members []session.Member, now mono.Time) *session.Core {
	c := session.New(session.Config{Session: members[0].Session, Place: members[0].Place, Timing: session.DefaultTiming()})
	c.Step(now, session.MembersChanged{List: members})
	c.Step(now, session.MembersChanged{List: members})
	for _, a := range c.Step(now, session.Tick{}) {
		if r, ok := a.(session.Renew); ok {
			applyWrites(c, now, c.Step(now, session.RenewResponse{Session: r.Session, Witness: r.Witness, Seq: r.Seq, Reply: session.Granted}))
		}
	}
	return c
}

// applyWrites answers every requested write with success, also those that follow
// from it.
func applyWrites(c *session.Core, now mono.Time, acts []session.Action) {
	for _, a := range acts {
		if put, ok := a.(session.Put); ok {
			applyWrites(c, now, c.Step(now, session.PutResult{Token: put.Record.Token, Code: result.OK, Version: put.IfVersion + 1}))
		}
	}
}

// BenchmarkRenewalRound measures what a daemon does each 500 ms: one round of
// its own renewals with their replies, and as many renewals of others.
func BenchmarkRenewalRound(b *testing.B) {
	members := largeFleet(100)
	now := mono.Time(time.Hour)
	holder := leasedHolder(members, now)
	witnesses := make(map[host.Session]*witness.Core)
	for _, s := range holder.Recorded().Record.Witnesses {
		witnesses[s] = witness.New(s, session.DefaultTiming().Lease)
	}
	if !holder.HoldsLease(now) {
		b.Fatal("the holder has no lease")
	}
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(500 * time.Millisecond)
		for _, a := range holder.Step(now, session.Tick{}) {
			r, ok := a.(session.Renew)
			if !ok {
				continue
			}
			answer, _ := witnesses[r.Witness].Renew(now, r)
			holder.Step(now, answer)
		}
	}
	if !holder.HoldsLease(now) {
		b.Fatal("the lease was lost")
	}
}

// BenchmarkWitnessSelection measures the selection of the witnesses of one host.
func BenchmarkWitnessSelection(b *testing.B) {
	for _, n := range []int{50, 300, 12000} {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			members := largeFleet(n)
			i := 0
			for b.Loop() {
				self := members[i%n]
				i++
				selector := session.WitnessSelector{Self: self.Session, Place: self.Place, Members: members}
				if selector.Select() == nil {
					b.Fatal("no witnesses")
				}
			}
		})
	}
}

// BenchmarkStateBytes measures the memory of a daemon's session, witness and
// takeover cores, without the list of members, which all daemons of the benchmark
// share.
func BenchmarkStateBytes(b *testing.B) {
	for _, n := range []int{5, 50, 300, 12000} {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			const daemons = 100
			members := largeFleet(n)
			for b.Loop() {
				before := heapBytes()
				kept := make([]any, 0, 3*daemons)
				for range daemons {
					kept = append(kept, daemonState(members)...)
				}
				grown := heapBytes() - before
				runtime.KeepAlive(kept)
				b.ReportMetric(float64(grown)/daemons, "B/daemon")
			}
			before := heapBytes()
			list := largeFleet(n)
			b.ReportMetric(float64(heapBytes()-before), "B/members")
			runtime.KeepAlive(list)
		})
	}
}

// daemonState returns the cores of a daemon that holds a lease, is the witness
// of four sessions and has seen the record of every member.
func daemonState(members []session.Member) []any {
	now := mono.Time(time.Hour)
	holder := leasedHolder(members, now)
	self := members[0].Session
	w := witness.New(self, session.DefaultTiming().Lease)
	t := takeover.New(takeover.Config{Self: self, Timing: session.DefaultTiming()}, w)
	for i, m := range members {
		r := session.Record{Session: m.Session, Place: m.Place, State: session.Live, Generation: 1, Witnesses: []host.Session{members[len(members)-1].Session}}
		if i > 0 && i <= 4 {
			r.Witnesses = []host.Session{self}
			w.Renew(now, session.Renew{Session: m.Session, Witness: self, Seq: 1, Generation: 1})
		}
		t.RecordObserved(now, session.VersionedRecord{Version: uint64(i + 1), Record: r})
	}
	return []any{holder, w, t}
}

func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// BenchmarkControlBytes measures the bytes that a daemon sends for leases in a
// round and in a second: its own renewals, and the replies to as many.
func BenchmarkControlBytes(b *testing.B) {
	m := largeFleet(12000)
	renew := session.Renew{Session: m[7].Session, Witness: m[9].Session, Seq: 5_000_000, Generation: 12, Rank: 2}
	renewed := session.RenewResponse{Session: m[7].Session, Witness: m[9].Session, Seq: 5_000_000, Reply: session.Granted, Sealed: 11}
	var sent, rounds int
	for b.Loop() {
		rounds++
		for range session.WitnessCount {
			ask, err := cbor.Marshal(renew)
			if err != nil {
				b.Fatal(err)
			}
			answer, err := cbor.Marshal(renewed)
			if err != nil {
				b.Fatal(err)
			}
			sent += len(ask) + len(answer)
		}
	}
	each := float64(sent) / float64(rounds)
	b.ReportMetric(each, "B/round")
	b.ReportMetric(each*float64(time.Second/session.DefaultTiming().RenewInterval), "B/s")
}

// BenchmarkTakeover measures, on the virtual clock, the time from the death of
// one of 15 hosts until it is recorded as lost, and all calls to the store that
// the loss causes.
func BenchmarkTakeover(b *testing.B) {
	var took []time.Duration
	calls := 0
	for b.Loop() {
		seed := uint64(len(took) + 1)
		f := newFleet(seed, placesFor(15), noFaults(), noCheckDisabled)
		f.run(settleTime + time.Duration(seed%500)*time.Millisecond)
		f.run(f.now + 10*time.Second)
		n := f.nodes[rand.New(rand.NewPCG(seed, 1)).IntN(len(f.nodes))]
		dead := n.proc.id
		n.crash()
		before := f.calls
		f.run(f.now + 20*time.Second)
		took = append(took, f.lostAfter(dead))
		calls += f.calls - before
	}
	report(b, took, "to-lost")
	b.ReportMetric(float64(calls)/float64(len(took)), "calls/loss")
}

// BenchmarkOutage measures the time from the return of the store, after an
// outage in which a host was lost, until the loss is recorded.
func BenchmarkOutage(b *testing.B) {
	var took []time.Duration
	var gap time.Duration
	for b.Loop() {
		f := newFleet(uint64(len(took)+1), placesFor(15), noFaults(), noCheckDisabled)
		f.run(2 * settleTime)
		for _, p := range f.processes {
			p.gap = 0
		}
		f.storeDown = true
		f.run(f.now + time.Minute)
		dead := f.nodes[len(took)%15].proc.id
		f.nodes[len(took)%15].crash()
		f.run(f.now + 9*time.Minute)
		f.storeDown = false
		back := f.now
		f.run(f.now + time.Minute)
		took = append(took, f.endedAt[dead]-back)
		gap = max(gap, f.worstGap())
	}
	report(b, took, "after-return")
	b.ReportMetric(gap.Seconds(), "s-worst-gap")
}

// BenchmarkStart starts all hosts of a fleet at once and measures the time and
// the calls to the store until every daemon has its lease and its witnesses.
func BenchmarkStart(b *testing.B) {
	for _, n := range []int{15, 100, 300} {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			var took []time.Duration
			calls := 0
			for b.Loop() {
				f := newFleet(uint64(len(took)+1), placesFor(n), noFaults(), noCheckDisabled)
				for !f.allHaveWitnesses() && f.now < time.Minute {
					f.run(f.now + 100*time.Millisecond)
				}
				took = append(took, f.now)
				calls += f.calls
			}
			report(b, took, "to-all")
			b.ReportMetric(float64(calls)/float64(len(took)*n), "calls/host")
		})
	}
}

func (f *fleet) allHaveWitnesses() bool {
	for _, n := range f.nodes {
		if n.proc == nil {
			return false
		}
		r := n.proc.holder.Recorded().Record
		if r.StoreLeased() || !n.proc.holder.HoldsLease(n.clock()) {
			return false
		}
	}
	return true
}

func report(b *testing.B, took []time.Duration, what string) {
	slices.Sort(took)
	for _, p := range []int{50, 99, 100} {
		at := took[min(len(took)-1, len(took)*p/100)]
		b.ReportMetric(at.Seconds(), fmt.Sprintf("s-%s-p%d", what, p))
	}
	b.ReportMetric(0, "ns/op")
}

// No host is the witness of many more sessions than the average.
func TestWitnessSelectionSpreadsLoad(t *testing.T) {
	members := largeFleet(2200)
	load := make(map[host.Session]int)
	for _, m := range members {
		selector := session.WitnessSelector{Self: m.Session, Place: m.Place, Members: members}
		for _, w := range selector.Select() {
			load[w]++
		}
	}
	worst := 0
	for _, n := range load {
		worst = max(worst, n)
	}
	t.Logf("worst load %d, mean %d", worst, session.WitnessCount)
	if worst > 5*session.WitnessCount {
		t.Errorf("a host is the witness of %d sessions", worst)
	}
}
