package takeover_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/result"
	"github.com/rhubarbring/rhubarbring/session"
	"github.com/rhubarbring/rhubarbring/takeover"
	"github.com/rhubarbring/rhubarbring/witness"
)

var (
	self   = host.Session{Host: "w0", Incarnation: 1}
	w1     = host.Session{Host: "w1", Incarnation: 1}
	w2     = host.Session{Host: "w2", Incarnation: 1}
	holder = host.Session{Host: "h", Incarnation: 3}
	start  = mono.Time(time.Hour)
	timing = session.DefaultTiming()
)

func record(version, generation uint64) session.Versioned {
	return session.Versioned{Version: version, Record: session.Record{
		Token: "h", Session: holder, State: session.Live, Generation: generation, Witnesses: []host.Session{self, w1, w2},
	}}
}

// bench is a taker whose witness last heard the holder at start.
type bench struct {
	core *takeover.Core
	now  mono.Time
}

// silent returns a taker that has read the record of a silent holder and
// asked the others.
func silent(t *testing.T) *bench {
	w := witness.New(self, timing.Lease)
	w.Renew(start, session.Renew{Session: holder, Witness: self, Seq: 1, Generation: 4})
	b := &bench{core: takeover.New(takeover.Config{Self: self, Timing: timing}, w), now: start.Add(timing.Lease)}
	must.SliceEmpty(t, puts(b.core.Tick(b.now)))
	b.now = b.now.Add(100 * time.Millisecond)
	acts := b.core.Tick(b.now)
	must.Len(t, 2, acts) // The log line and the read.
	must.Eq(t, takeover.Get{Get: session.Get{Session: holder}}, acts[1].(takeover.Get))
	asks := b.read(record(9, 4))
	must.Len(t, 2, asks)
	return b
}

func (b *bench) read(v session.Versioned) []takeover.Action {
	return b.core.GetResult(b.now, session.GetResult{Session: v.Record.Session, Code: result.OK, Found: v})
}

func (b *bench) seal(from host.Session, seq, generation uint64, remaining time.Duration) {
	s := witness.Seal{Session: holder, Witness: from, Generation: generation, Remaining: remaining}
	b.core.Sealed(b.now, takeover.Seals{From: from, To: self, Seq: seq, List: []witness.Seal{s}})
}

func (b *bench) tickAfter(d time.Duration) []takeover.Action {
	b.now = b.now.Add(d)
	return b.core.Tick(b.now)
}

func puts(acts []takeover.Action) []session.Put {
	var out []session.Put
	for _, a := range acts {
		if p, ok := a.(takeover.Put); ok {
			out = append(out, p.Put)
		}
	}
	return out
}

// The write is conditional on the version that the seals were counted on,
// carries a token, and is recorded when the store says so.
func TestMajorityIsRecorded(t *testing.T) {
	b := silent(t)
	b.seal(w1, 1, 4, 0)
	must.SliceEmpty(t, puts(b.tickAfter(timing.Margin)))
	p := puts(b.tickAfter(time.Millisecond))
	must.Len(t, 1, p)
	must.Eq(t, 9, p[0].IfVersion)
	must.Eq(t, session.Lost, p[0].Record.State)
	acts := b.core.PutResult(b.now, session.PutResult{Token: p[0].Record.Token, Code: result.OK, Version: 10})
	must.SliceContains(t, acts, takeover.Action(takeover.Lost{Session: holder, Version: 10}))
	must.Eq(t, 0, b.core.Len())
}

// One witness alone records nothing, however long it waits: time alone never
// makes a second owner.
func TestTimeAloneRecordsNothing(t *testing.T) {
	b := silent(t)
	stuck := 0
	for range 2000 {
		acts := b.tickAfter(50 * time.Millisecond)
		must.SliceEmpty(t, puts(acts))
		for _, a := range acts {
			if s, ok := a.(takeover.Stuck); ok {
				must.Eq(t, takeover.WitnessesSilent, s.Reason)
				stuck++
			}
		}
	}
	must.Eq(t, 1, stuck)
}

// Leases granted before the seals are waited for, from when the seal came.
func TestGrantedLeasesAreWaitedFor(t *testing.T) {
	b := silent(t)
	b.seal(w1, 1, 4, time.Second)
	must.SliceEmpty(t, puts(b.tickAfter(time.Second+timing.Margin)))
	must.Len(t, 1, puts(b.tickAfter(time.Millisecond)))
}

// A seal of an earlier witness set does not count, nor does one for another
// daemon or in another's name; an older one does not replace a newer one.
func TestSealsThatDoNotCount(t *testing.T) {
	b := silent(t)
	b.seal(w1, 5, 3, 0)
	b.seal(host.Session{Host: "w1", Incarnation: 2}, 1, 4, 0)
	s := witness.Seal{Session: holder, Witness: w1, Generation: 4}
	b.core.Sealed(b.now, takeover.Seals{From: w2, To: self, Seq: 9, List: []witness.Seal{s}})
	b.core.Sealed(b.now, takeover.Seals{From: w1, To: w2, Seq: 9, List: []witness.Seal{s}})
	b.seal(w1, 4, 4, 0)
	must.Eq(t, 3, b.core.Stale())
	must.SliceEmpty(t, puts(b.tickAfter(time.Minute)))
}

// Trap 1: the answer of the store is lost after the write took effect. The
// record is read back and the token compared before anything else is done.
func TestAnswerLostAfterWrite(t *testing.T) {
	b := silent(t)
	b.seal(w1, 1, 4, 0)
	put := puts(b.tickAfter(time.Second))[0]
	must.SliceEmpty(t, b.core.PutResult(b.now, session.PutResult{Token: put.Record.Token, Code: result.StoreDoubt}))
	acts := b.tickAfter(time.Second)
	must.Eq(t, []takeover.Action{takeover.Get{Get: session.Get{Session: holder}}}, acts)
	acts = b.read(session.Versioned{Version: 10, Record: put.Record})
	must.SliceContains(t, acts, takeover.Action(takeover.Lost{Session: holder, Version: 10}))
}

// A write in doubt is sent again, the same, while the version stands.
func TestWriteInDoubtIsNotGivenUp(t *testing.T) {
	b := silent(t)
	b.seal(w1, 1, 4, 0)
	put := puts(b.tickAfter(time.Second))[0]
	for range 5 {
		b.core.PutResult(b.now, session.PutResult{Token: put.Record.Token, Code: result.StoreDoubt})
		b.tickAfter(10 * time.Second)
		must.Eq(t, []session.Put{put}, puts(b.read(record(9, 4))))
	}
}

// The holder came first with a new witness set: what was sealed counts no
// more, and the takeover is counted anew.
func TestHolderWritesFirst(t *testing.T) {
	b := silent(t)
	b.seal(w1, 1, 4, 0)
	put := puts(b.tickAfter(time.Second))[0]
	b.core.PutResult(b.now, session.PutResult{Token: put.Record.Token, Code: result.StoreConflict})
	must.SliceEmpty(t, puts(b.read(record(12, 5))))
	must.SliceEmpty(t, puts(b.tickAfter(time.Minute)))
}

// A lease in the store is taken over when its version stands for the time of
// the lease and the margin, on that version only.
func TestStoreLeaseRunsOut(t *testing.T) {
	core := takeover.New(takeover.Config{Self: self, Timing: timing}, witness.New(self, timing.Lease))
	v := record(9, 1)
	v.Record.Witnesses = nil
	core.Seen(start, v)
	v.Version = 10
	core.Seen(start.Add(time.Second), v)
	must.SliceEmpty(t, puts(core.Tick(start.Add(time.Second+timing.Lease+timing.Margin))))
	p := puts(core.Tick(start.Add(5 * time.Second)))
	must.Len(t, 1, p)
	must.Eq(t, 10, p[0].IfVersion)
}

// A witness that hears the session says so, and seals nothing.
func TestAskedWitnessThatHears(t *testing.T) {
	w := witness.New(self, timing.Lease)
	w.Renew(start, session.Renew{Session: holder, Witness: self, Seq: 1, Generation: 4})
	core := takeover.New(takeover.Config{Self: self, Timing: timing}, w)
	ask := takeover.Asks{From: w1, To: self, Seq: 1, List: []takeover.Ask{{Session: holder, Generation: 4}}}
	answer := core.Asked(start.Add(time.Second), ask)[0].(takeover.Seals)
	must.SliceEmpty(t, answer.List)
	must.Eq(t, []host.Session{holder}, answer.Heard)
	answer = core.Asked(start.Add(timing.Lease), ask)[0].(takeover.Seals)
	must.Eq(t, []witness.Seal{{Session: holder, Witness: self, Generation: 4}}, answer.List)
}

// An earlier life on the same machine and address is over, and recorded so
// when the grants to its target have run out; one on another machine, or of an
// unknown one, is not.
func TestEarlierLifeIsSucceeded(t *testing.T) {
	own := host.Session{Host: "h", Incarnation: 4}
	for _, c := range []struct {
		machine, peer string
		own           string
		want          int
	}{
		{"m1", "10.0.0.1:7000", "m1", 1},
		{"m2", "10.0.0.1:7000", "m1", 0},
		{"m1", "10.0.0.2:7000", "m1", 0},
		{"", "10.0.0.1:7000", "", 0},
	} {
		core := takeover.New(takeover.Config{Self: own, Machine: c.own, Peer: "10.0.0.1:7000", Timing: timing}, witness.New(own, timing.Lease))
		v := record(9, 4)
		v.Record.Machine = c.machine
		v.Record.Peer = c.peer
		core.Tick(start)
		core.Seen(start, v)
		must.SliceEmpty(t, puts(core.Tick(start.Add(timing.Lease+timing.Margin))))
		must.Len(t, c.want, puts(core.Tick(start.Add(timing.Lease+timing.Margin+1))))
	}
}

// A daemon that is told to record its earlier lives early does so at once, and
// marks them as superseded.
func TestEarlierLifeIsSupersededEarly(t *testing.T) {
	own := host.Session{Host: "h", Incarnation: 4}
	cfg := takeover.Config{Self: own, Machine: "m1", Peer: "10.0.0.1:7000", Timing: timing, Early: true}
	core := takeover.New(cfg, witness.New(own, timing.Lease))
	v := record(9, 4)
	v.Record.Machine = "m1"
	v.Record.Peer = "10.0.0.1:7000"
	core.Tick(start)
	core.Seen(start, v)
	written := puts(core.Tick(start.Add(1)))
	must.Len(t, 1, written)
	must.True(t, written[0].Record.Superseded)
	must.Eq(t, session.Lost, written[0].Record.State)
}
