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

// bigFleet returns n members spread over 22 availability zones of 6 regions.
func bigFleet(n int) []session.Member {
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

// settledHolder returns a holder with three witnesses.
func settledHolder(members []session.Member, now mono.Time) *session.Core {
	c := session.New(session.Config{Session: members[0].Session, Place: members[0].Place, Timing: session.DefaultTiming()})
	c.Step(now, session.Members{List: members})
	c.Step(now, session.Members{List: members})
	for _, a := range c.Step(now, session.Tick{}) {
		if r, ok := a.(session.Renew); ok {
			drive(c, now, c.Step(now, session.Renewed{Session: r.Session, Witness: r.Witness, Seq: r.Seq, Reply: session.Granted}))
		}
	}
	return c
}

// drive lets every write land.
func drive(c *session.Core, now mono.Time, acts []session.Action) {
	for _, a := range acts {
		if put, ok := a.(session.Put); ok {
			drive(c, now, c.Step(now, session.PutResult{Token: put.Record.Token, Code: result.OK, Version: put.IfVersion + 1}))
		}
	}
}

// BenchmarkRenewalRound is what a daemon does each 500 ms: a round of its own
// renewals with their answers, and as many renewals of others.
func BenchmarkRenewalRound(b *testing.B) {
	members := bigFleet(100)
	now := mono.Time(time.Hour)
	holder := settledHolder(members, now)
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

// BenchmarkChoice chooses the witnesses of one host.
func BenchmarkChoice(b *testing.B) {
	for _, n := range []int{50, 300, 12000} {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			members := bigFleet(n)
			i := 0
			for b.Loop() {
				self := members[i%n]
				i++
				choice := session.WitnessSelector{Self: self.Session, Place: self.Place, Members: members}
				if choice.Select() == nil {
					b.Fatal("no witnesses")
				}
			}
		})
	}
}

// BenchmarkStateBytes is the memory of a daemon's session, witness and
// takeover, beside the list of members that all share.
func BenchmarkStateBytes(b *testing.B) {
	for _, n := range []int{5, 50, 300, 12000} {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			const daemons = 100
			members := bigFleet(n)
			for b.Loop() {
				before := heapBytes()
				kept := make([]any, 0, 3*daemons)
				for range daemons {
					kept = append(kept, stateOfDaemon(members)...)
				}
				grown := heapBytes() - before
				runtime.KeepAlive(kept)
				b.ReportMetric(float64(grown)/daemons, "B/daemon")
			}
			before := heapBytes()
			list := bigFleet(n)
			b.ReportMetric(float64(heapBytes()-before), "B/members")
			runtime.KeepAlive(list)
		})
	}
}

// stateOfDaemon holds a lease, is the witness of four and has seen the record
// of every member.
func stateOfDaemon(members []session.Member) []any {
	now := mono.Time(time.Hour)
	holder := settledHolder(members, now)
	self := members[0].Session
	w := witness.New(self, session.DefaultTiming().Lease)
	t := takeover.New(takeover.Config{Self: self, Timing: session.DefaultTiming()}, w)
	for i, m := range members {
		r := session.Record{Session: m.Session, Place: m.Place, State: session.Live, Generation: 1, Witnesses: []host.Session{members[len(members)-1].Session}}
		if i > 0 && i <= 4 {
			r.Witnesses = []host.Session{self}
			w.Renew(now, session.Renew{Session: m.Session, Witness: self, Seq: 1, Generation: 1})
		}
		t.Seen(now, session.Versioned{Version: uint64(i + 1), Record: r})
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

// BenchmarkControlBytes encodes what a daemon sends each second for leases:
// its own renewals, and the answers to as many.
func BenchmarkControlBytes(b *testing.B) {
	m := bigFleet(12000)
	renew := session.Renew{Session: m[7].Session, Witness: m[9].Session, Seq: 5_000_000, Generation: 12, Rank: 2}
	renewed := session.Renewed{Session: m[7].Session, Witness: m[9].Session, Seq: 5_000_000, Reply: session.Granted, Sealed: 11}
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

// BenchmarkTakeover is the time, on the virtual clock, from the death of one
// host of 15 until it is recorded lost, and the calls to the store that the
// loss costs in all.
func BenchmarkTakeover(b *testing.B) {
	var took []time.Duration
	calls := 0
	for b.Loop() {
		seed := uint64(len(took) + 1)
		f := newFleet(seed, places(15), calmFaults(), none)
		f.run(settled + time.Duration(seed%500)*time.Millisecond)
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

// BenchmarkOutage is the time from the return of the store, after an outage
// in which a host was lost, until that is recorded.
func BenchmarkOutage(b *testing.B) {
	var took []time.Duration
	var gap time.Duration
	for b.Loop() {
		f := newFleet(uint64(len(took)+1), places(15), calmFaults(), none)
		f.run(2 * settled)
		for _, p := range f.lives {
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

// BenchmarkStart starts a fleet at once and counts the calls to the store
// until every daemon has its lease and its witnesses.
func BenchmarkStart(b *testing.B) {
	for _, n := range []int{15, 100, 300} {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			var took []time.Duration
			calls := 0
			for b.Loop() {
				f := newFleet(uint64(len(took)+1), places(n), calmFaults(), none)
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

// The choice spreads witnesses over the fleet.
func TestChoiceSpreadsLoad(t *testing.T) {
	members := bigFleet(2200)
	load := make(map[host.Session]int)
	for _, m := range members {
		choice := session.WitnessSelector{Self: m.Session, Place: m.Place, Members: members}
		for _, w := range choice.Select() {
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
