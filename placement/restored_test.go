package placement

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/assignment"
	"github.com/rhubarbring/rhubarbring/handover"
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/restore"
	"github.com/rhubarbring/rhubarbring/session"
)

// restoredFleet is a leader that has just begun to lead, and a pack that the store
// restored: its slices belong to a session that has left, at epoch 1.
type restoredFleet struct {
	m       *model
	l       *modelLeader
	pack    *assignment.Pack
	version uint64
}

func newRestoredFleet(t *testing.T) *restoredFleet {
	m := newModel(func(int) int { return 0 }, disabledChecks{}, func() Policy { return &Balanced{} })
	f := &restoredFleet{m: m, l: m.leaders[0], pack: assignment.NewPack(m.app.Name, m.app.Slices, 0)}
	gone := m.hosts[0]
	m.record(gone.record(session.Left))
	for i := range key.SliceID(modelSlices) {
		f.pack.Set(i, assignment.Ownership{Owner: gone.self, Epoch: 1})
	}
	var err error
	f.version, err = restore.Version{Era: 1, Revision: 90}.Number()
	must.NoError(t, err)
	m.deliverRecords(f.l)
	f.l.performAll(m)
	m.stepLeader(f.l, PackObserved{Pack: f.pack, Version: f.version})
	f.l.pending = nil
	return f
}

// writes ticks the leader and returns what it writes.
func (f *restoredFleet) writes() []Write {
	f.l.pending = nil
	f.m.stepLeader(f.l, Tick{})
	var out []Write
	for _, a := range f.l.pending {
		if w, ok := a.(Write); ok {
			out = append(out, w)
		}
	}
	return out
}

func epochInEra1(t *testing.T, counter uint64) uint64 {
	e, ok := restore.NewEpoch(1, counter)
	must.True(t, ok)
	return uint64(e)
}

// The store may have lost that slices got the next epoch: a leader that has read the
// restored pack must not give that epoch again, nor give a slice to a second session
// while a holder that it does not know of may have it.
func TestRestoredEntryIsNotGivenAway(t *testing.T) {
	f := newRestoredFleet(t)
	must.SliceEmpty(t, f.writes())
	timing := session.DefaultTiming()
	f.m.now = f.m.now.Add(restore.UnclaimedWait(timing.Lease, timing.Margin) - 1)
	must.SliceEmpty(t, f.writes())
	f.m.now = f.m.now.Add(modelDeadline + 1)
	writes := f.writes()
	must.SliceLen(t, 1, writes)
	must.Eq(t, f.version, writes[0].IfVersion)
	for _, move := range writes[0].Moves {
		must.Eq(t, Unclaimed, move.Reason)
		must.Eq(t, epochInEra1(t, 90), move.Epoch)
	}
	must.SliceLen(t, modelSlices, writes[0].Moves)
}

// A holder that claims its slice gets it at once, whatever the restored entry says.
func TestClaimantGetsItsSlice(t *testing.T) {
	f := newRestoredFleet(t)
	holder := f.m.hosts[1].self
	f.m.stepLeader(f.l, ClaimReceived{Claim: handover.Claim{From: holder, App: f.m.app.Name, Slices: []handover.ClaimedSlice{{ID: 3, Epoch: 2, Version: f.version}}}})
	writes := f.writes()
	must.SliceLen(t, 1, writes)
	must.Eq(t, []Move{{Slice: key.Slice{App: f.m.app.Name, ID: 3}, Reason: ClaimedByHolder, From: f.m.hosts[0].self, To: holder, Epoch: epochInEra1(t, 90)}}, writes[0].Moves)
}

// A claim that was sent before the leader saw the entry, one of a session that has
// ended, and one of an unknown session give nothing.
func TestClaimThatProvesNothingIsIgnored(t *testing.T) {
	f := newRestoredFleet(t)
	for _, c := range []struct {
		from    host.Session
		version uint64
	}{
		{f.m.hosts[1].self, f.version - 1},
		{f.m.hosts[0].self, f.version},
		{host.Session{Host: "unknown", Incarnation: 1}, f.version},
	} {
		f.m.stepLeader(f.l, ClaimReceived{Claim: handover.Claim{From: c.from, App: f.m.app.Name, Slices: []handover.ClaimedSlice{{ID: 3, Epoch: 2, Version: c.version}}}})
		must.SliceEmpty(t, f.writes())
	}
}

// A pack that the store has lost is made anew: its slices had holders.
func TestSlicesOfLostPackWait(t *testing.T) {
	f := newRestoredFleet(t)
	lost, err := restore.Version{Era: 2}.Number()
	must.NoError(t, err)
	f.m.stepLeader(f.l, PackMissing{App: f.m.app.Name, Version: lost})
	must.SliceEmpty(t, f.writes())
	f.m.stepLeader(f.l, ClaimReceived{Claim: handover.Claim{From: f.m.hosts[1].self, App: f.m.app.Name, Slices: []handover.ClaimedSlice{{ID: 3, Epoch: 2, Version: lost}}}})
	writes := f.writes()
	must.SliceLen(t, 1, writes)
	must.Eq(t, lost, writes[0].IfVersion)
	must.Eq(t, restore.Era(2), restore.Epoch(writes[0].Moves[0].Epoch).Era())

	// A write whose answer is lost, and that the store never took, is made again.
	f.m.stepLeader(f.l, WriteUnconfirmed{Kind: writes[0].Kind, Name: writes[0].Name, Token: writes[0].Token})
	must.SliceEmpty(t, f.writes())
	f.m.stepLeader(f.l, PackMissing{App: f.m.app.Name, Version: lost})
	must.SliceLen(t, 1, f.writes())
}

// The store may have lost the record of the session that leads: that session ends,
// and no daemon would ever lead again.
func TestLeaderWithoutRecordIsReplaced(t *testing.T) {
	for _, known := range []bool{false, true} {
		m := newModel(func(int) int { return 0 }, disabledChecks{}, func() Policy { return &Balanced{} })
		l, leader := m.leaders[0], host.Session{Host: "gone", Incarnation: 1}
		m.deliverRecords(l)
		version, err := restore.Version{Era: 1, Revision: 90}.Number()
		must.NoError(t, err)
		m.stepLeader(l, LeaderObserved{Leader: Leader{Session: leader, Term: 2}, Version: version})
		if known {
			m.stepLeader(l, SessionObserved{Record: session.Record{Session: leader, State: session.Live}, Version: 1})
			m.stepLeader(l, SessionDeleted{Session: leader})
		}
		l.pending = nil
		claimed := false
		for range 60 {
			m.now = m.now.Add(time.Duration(modelStep))
			m.stepLeader(l, Tick{})
			for len(l.pending) > 0 {
				a := l.pending[0]
				l.pending = l.pending[1:]
				w, ok := a.(Write)
				claimed = claimed || ok && w.Kind == LeaderKind && w.IfVersion == version
				if r, ok := a.(Read); ok && r.Kind == LeaderKind {
					m.stepLeader(l, LeaderObserved{Leader: Leader{Session: leader, Term: 2}, Version: version})
				}
			}
		}
		must.True(t, claimed, must.Sprintf("known %v", known))
	}
}

// Before any restore a leader whose record has not been read yet keeps the lead.
func TestLeaderWithUnknownRecordKeepsTheLead(t *testing.T) {
	m := newModel(func(int) int { return 0 }, disabledChecks{}, func() Policy { return &Balanced{} })
	l := m.leaders[0]
	m.deliverRecords(l)
	m.stepLeader(l, LeaderObserved{Leader: Leader{Session: host.Session{Host: "new", Incarnation: 1}, Term: 2}, Version: 90})
	l.pending = nil
	for range 60 {
		m.now = m.now.Add(time.Duration(modelStep))
		m.stepLeader(l, Tick{})
	}
	must.SliceEmpty(t, l.pending)
}

// An owner whose record the store has lost gets no slices, and its own go to others
// once it must have noticed.
func TestOwnerWithoutRecordCountsAsLost(t *testing.T) {
	f := newRestoredFleet(t)
	owner := host.Session{Host: "gone", Incarnation: 1}
	for i := range key.SliceID(modelSlices) {
		f.pack.Set(i, assignment.Ownership{Owner: owner, Epoch: epochInEra1(t, 80)})
	}
	f.m.stepLeader(f.l, PackObserved{Pack: f.pack, Version: f.version + 1})
	must.SliceEmpty(t, f.writes())
	f.m.stepLeader(f.l, SessionMissing{Session: owner})
	timing := session.DefaultTiming()
	f.m.now = f.m.now.Add(restore.UnclaimedWait(timing.Lease, timing.Margin))
	f.m.stepLeader(f.l, SessionMissing{Session: host.Session{Host: "other", Incarnation: 1}})
	must.SliceEmpty(t, f.writes())
	must.Eq(t, []Action{Read{Kind: session.ObjectKind, Name: session.ObjectName(owner)}}, f.l.pending)
	must.SliceEmpty(t, f.writes(), must.Sprint("the store has not answered"))
	f.m.stepLeader(f.l, SessionMissing{Session: owner})
	must.SliceEmpty(t, f.writes(), must.Sprint("its target is not known to check grants"))
	f.m.now = f.m.now.Add(modelDeadline)
	writes := f.writes()
	must.SliceLen(t, 1, writes)
	must.SliceLen(t, modelSlices, writes[0].Moves)
	must.Eq(t, LostOwner, writes[0].Moves[0].Reason)
}
