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

func record(version, generation uint64) session.VersionedRecord {
	return session.VersionedRecord{Version: version, Record: session.Record{
		Token: "h", Session: holder, State: session.Live, Generation: generation, Witnesses: []host.Session{self, w1, w2},
	}}
}

// harness drives a Core whose witness last renewed the holder at start.
type harness struct {
	core *takeover.Core
	now  mono.Time
}

// newHarnessWithSilentHolder returns a harness that has read the record of a
// silent holder and has asked the other witnesses for seals.
func newHarnessWithSilentHolder(t *testing.T) *harness {
	w := witness.New(self, timing.Lease)
	w.Renew(start, session.Renew{Session: holder, Witness: self, Seq: 1, Generation: 4})
	h := &harness{core: takeover.New(takeover.Config{Self: self, Timing: timing}, w), now: start.Add(timing.Lease)}
	must.SliceEmpty(t, puts(h.core.Tick(h.now)))
	h.now = h.now.Add(100 * time.Millisecond)
	acts := h.core.Tick(h.now)
	must.Len(t, 2, acts) // The log line and the read.
	must.Eq(t, takeover.Get{Get: session.Get{Session: holder}}, acts[1].(takeover.Get))
	requests := h.read(record(9, 4))
	must.Len(t, 2, requests)
	return h
}

func (h *harness) read(v session.VersionedRecord) []takeover.Action {
	return h.core.GetResult(h.now, session.GetResult{Session: v.Record.Session, Code: result.OK, Found: v})
}

func (h *harness) seal(from host.Session, seq, generation uint64, remaining time.Duration) {
	s := witness.Seal{Session: holder, Witness: from, Generation: generation, Remaining: remaining}
	h.core.HandleSealResponse(h.now, takeover.SealResponse{From: from, To: self, Seq: seq, List: []witness.Seal{s}})
}

func (h *harness) tickAfter(d time.Duration) []takeover.Action {
	h.now = h.now.Add(d)
	return h.core.Tick(h.now)
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

// With a majority of seals the loss is written, conditional on the version that
// the seals were counted for, and reported once the store confirms the write.
func TestMajorityOfSealsRecordsLoss(t *testing.T) {
	h := newHarnessWithSilentHolder(t)
	h.seal(w1, 1, 4, 0)
	must.SliceEmpty(t, puts(h.tickAfter(timing.Margin)))
	p := puts(h.tickAfter(time.Millisecond))
	must.Len(t, 1, p)
	must.Eq(t, 9, p[0].IfVersion)
	must.Eq(t, session.Lost, p[0].Record.State)
	acts := h.core.PutResult(h.now, session.PutResult{Token: p[0].Record.Token, Code: result.OK, Version: 10})
	must.SliceContains(t, acts, takeover.Action(takeover.Lost{Session: holder, Version: 10}))
	must.Eq(t, 0, h.core.Len())
}

// A single witness never records a loss, however long it waits: elapsed time
// alone must not lead to a second owner. The stuck takeover is reported once.
func TestElapsedTimeAloneRecordsNothing(t *testing.T) {
	h := newHarnessWithSilentHolder(t)
	stuck := 0
	for range 2000 {
		acts := h.tickAfter(50 * time.Millisecond)
		must.SliceEmpty(t, puts(acts))
		for _, a := range acts {
			if s, ok := a.(takeover.Stuck); ok {
				must.Eq(t, takeover.NoWitnessMajority, s.Reason)
				stuck++
			}
		}
	}
	must.Eq(t, 1, stuck)
}

// The write waits until the lease that a sealing witness granted earlier has
// expired, counted from the arrival of its seal, plus the margin.
func TestWriteWaitsForGrantedLeases(t *testing.T) {
	h := newHarnessWithSilentHolder(t)
	h.seal(w1, 1, 4, time.Second)
	must.SliceEmpty(t, puts(h.tickAfter(time.Second+timing.Margin)))
	must.Len(t, 1, puts(h.tickAfter(time.Millisecond)))
}

// Seals do not count if they are for an earlier witness set, of a session that
// is no witness, sent in another's name or addressed to another daemon. A seal
// with a lower sequence number does not replace a later one.
func TestInvalidSealsAreDropped(t *testing.T) {
	h := newHarnessWithSilentHolder(t)
	h.seal(w1, 5, 3, 0)
	h.seal(host.Session{Host: "w1", Incarnation: 2}, 1, 4, 0)
	s := witness.Seal{Session: holder, Witness: w1, Generation: 4}
	h.core.HandleSealResponse(h.now, takeover.SealResponse{From: w2, To: self, Seq: 9, List: []witness.Seal{s}})
	h.core.HandleSealResponse(h.now, takeover.SealResponse{From: w1, To: w2, Seq: 9, List: []witness.Seal{s}})
	h.seal(w1, 4, 4, 0)
	must.Eq(t, 3, h.core.Dropped())
	must.SliceEmpty(t, puts(h.tickAfter(time.Minute)))
}

// Guards against a store answer that is lost after the write took effect: the
// record is read back and its token compared before anything else is done.
func TestLostWriteAnswerIsReadBack(t *testing.T) {
	h := newHarnessWithSilentHolder(t)
	h.seal(w1, 1, 4, 0)
	put := puts(h.tickAfter(time.Second))[0]
	must.SliceEmpty(t, h.core.PutResult(h.now, session.PutResult{Token: put.Record.Token, Code: result.StoreDoubt}))
	acts := h.tickAfter(time.Second)
	must.Eq(t, []takeover.Action{takeover.Get{Get: session.Get{Session: holder}}}, acts)
	acts = h.read(session.VersionedRecord{Version: 10, Record: put.Record})
	must.SliceContains(t, acts, takeover.Action(takeover.Lost{Session: holder, Version: 10}))
}

// A write whose outcome is unknown is repeated unchanged as long as the record
// still has the version that the write is conditional on.
func TestWriteInDoubtIsRetriedUnchanged(t *testing.T) {
	h := newHarnessWithSilentHolder(t)
	h.seal(w1, 1, 4, 0)
	put := puts(h.tickAfter(time.Second))[0]
	for range 5 {
		h.core.PutResult(h.now, session.PutResult{Token: put.Record.Token, Code: result.StoreDoubt})
		h.tickAfter(10 * time.Second)
		must.Eq(t, []session.Put{put}, puts(h.read(record(9, 4))))
	}
}

// If the holder writes a new witness set first, the seals of the earlier one no
// longer count and the takeover collects new ones.
func TestConflictingWriteRestartsCount(t *testing.T) {
	h := newHarnessWithSilentHolder(t)
	h.seal(w1, 1, 4, 0)
	put := puts(h.tickAfter(time.Second))[0]
	h.core.PutResult(h.now, session.PutResult{Token: put.Record.Token, Code: result.StoreConflict})
	must.SliceEmpty(t, puts(h.read(record(12, 5))))
	must.SliceEmpty(t, puts(h.tickAfter(time.Minute)))
}

// A lease kept in the store is taken over once its version has not changed for
// the time of the lease and the margin. A new version restarts the wait.
func TestExpiredStoreLeaseIsTakenOver(t *testing.T) {
	core := takeover.New(takeover.Config{Self: self, Timing: timing}, witness.New(self, timing.Lease))
	v := record(9, 1)
	v.Record.Witnesses = nil
	core.RecordObserved(start, v)
	v.Version = 10
	core.RecordObserved(start.Add(time.Second), v)
	must.SliceEmpty(t, puts(core.Tick(start.Add(time.Second+timing.Lease+timing.Margin))))
	p := puts(core.Tick(start.Add(5 * time.Second)))
	must.Len(t, 1, p)
	must.Eq(t, 10, p[0].IfVersion)
}

// A witness that still hears the session reports so and does not seal it; it
// seals it once the lease has passed without a renewal.
func TestWitnessSealsOnlySilentSession(t *testing.T) {
	w := witness.New(self, timing.Lease)
	w.Renew(start, session.Renew{Session: holder, Witness: self, Seq: 1, Generation: 4})
	core := takeover.New(takeover.Config{Self: self, Timing: timing}, w)
	requests := takeover.SealRequests{From: w1, To: self, Seq: 1, List: []takeover.SealRequest{{Session: holder, Generation: 4}}}
	answer := core.HandleSealRequests(start.Add(time.Second), requests)[0].(takeover.SealResponse)
	must.SliceEmpty(t, answer.List)
	must.Eq(t, []host.Session{holder}, answer.Alive)
	answer = core.HandleSealRequests(start.Add(timing.Lease), requests)[0].(takeover.SealResponse)
	must.Eq(t, []witness.Seal{{Session: holder, Witness: self, Generation: 4}}, answer.List)
}

// An earlier session on the same machine and address has ended; it is recorded
// as lost once the grants to its target have expired. One on another or an
// unknown machine, or at another address, is left alone.
func TestEarlierSessionOnSameMachineAndAddressIsRecordedLost(t *testing.T) {
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
		v.Record.MachineID = c.machine
		v.Record.PeerAddress = c.peer
		core.Tick(start)
		core.RecordObserved(start, v)
		must.SliceEmpty(t, puts(core.Tick(start.Add(timing.Lease+timing.Margin))))
		must.Len(t, c.want, puts(core.Tick(start.Add(timing.Lease+timing.Margin+1))))
	}
}

// With Config.SupersedeEarly a daemon records its earlier sessions as lost at
// once and marks them as superseded.
func TestSupersedeEarlySupersedesEarlierSessionAtOnce(t *testing.T) {
	own := host.Session{Host: "h", Incarnation: 4}
	cfg := takeover.Config{Self: own, Machine: "m1", Peer: "10.0.0.1:7000", Timing: timing, SupersedeEarly: true}
	core := takeover.New(cfg, witness.New(own, timing.Lease))
	v := record(9, 4)
	v.Record.MachineID = "m1"
	v.Record.PeerAddress = "10.0.0.1:7000"
	core.Tick(start)
	core.RecordObserved(start, v)
	written := puts(core.Tick(start.Add(1)))
	must.Len(t, 1, written)
	must.True(t, written[0].Record.Superseded)
	must.Eq(t, session.Lost, written[0].Record.State)
}
