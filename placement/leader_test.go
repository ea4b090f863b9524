package placement

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/session"
)

// electAndCountClaims runs every daemon except the silent ones until one leads, and
// returns the leader and the number of claims written.
func (s *script) electAndCountClaims(silent map[host.ID]bool) (*modelLeader, int) {
	before := s.claimWrites
	for range 200 {
		for _, l := range s.leaders {
			if silent[l.core.cfg.Self.Host] {
				continue
			}
			s.deliverRecords(l)
			s.stepLeader(l, LeaderObserved{Leader: s.leader, Version: s.version})
			s.stepLeader(l, Tick{})
			l.performAll(s.model)
			if l.core.IsLeader() {
				return l, s.claimWrites - before
			}
		}
		s.advance(DefaultClaimStagger / 3)
	}
	s.t.Fatal("no leader")
	return nil, 0
}

// The loss of a leader causes one claim and not one from each daemon. A silent
// daemon that ranks first is passed over after one claim stagger.
func TestLostLeaderCausesOneClaim(t *testing.T) {
	s := newScript(t, 2)
	for range 20 {
		s.addLeader(disabledChecks{}, &Balanced{})
	}
	silent := map[host.ID]bool{}
	for round := range 5 {
		before := s.now
		l, n := s.electAndCountClaims(silent)
		must.Eq(t, 1, n, must.Sprintf("round %d", round))
		must.Eq(t, uint64(round+1), s.leader.Term)
		must.Less(t, 22*DefaultClaimStagger, s.now.Sub(before))
		self := l.core.cfg.Self
		silent[self.Host] = true
		s.record(session.Record{Session: self, State: session.Lost})
	}
	must.NoError(t, s.err)
}

// A claim whose answer was lost is resolved by reading the leader object. A
// leader whose own session is draining resigns.
func TestUnconfirmedClaimIsResolvedAndDrainingLeaderResigns(t *testing.T) {
	s := newScript(t, 2)
	l := s.leaders[0]
	s.deliverRecords(l)
	s.stepLeader(l, ListingComplete{})
	s.stepLeader(l, LeaderObserved{})
	s.advance(50 * DefaultClaimStagger)
	s.stepLeader(l, Tick{})
	s.advance(50 * DefaultClaimStagger)
	s.stepLeader(l, Tick{})
	must.SliceLen(t, 1, l.pending)
	claim := l.pending[0].(Write)
	l.pending = nil
	s.applyClaim(s.leaders[1], claim)
	s.stepLeader(l, WriteUnconfirmed{Kind: claim.Kind, Name: claim.Name, Token: claim.Token})
	must.False(t, l.core.IsLeader())
	l.performAll(s.model)
	must.True(t, l.core.IsLeader())
	s.record(session.Record{Session: l.core.cfg.Self, State: session.Draining})
	s.deliverRecords(l)
	s.stepLeader(l, Tick{})
	must.False(t, l.core.IsLeader())
	_, n := s.electAndCountClaims(map[host.ID]bool{l.core.cfg.Self.Host: true})
	must.Eq(t, 1, n, must.Sprint("claims after the resignation"))
}

// When every daemon restarts at once, each knows only its own session, the one
// on the old leader's host and that the old leader is lost, and it learns of a
// new leader a second late. Still few daemons claim, and they read the leader
// object at most twice on average.
func TestRestartOfAllDaemonsCausesFewClaims(t *testing.T) {
	const daemons, leaderSeenAfter = 300, time.Second
	old := host.Session{Host: "d0", Incarnation: 1}
	var cores []*Core
	for i := range daemons {
		self := host.Session{Host: host.ID(fmt.Sprintf("d%d", i)), Incarnation: 2}
		c := New(Config{Self: self})
		c.Step(1, SessionObserved{Record: session.Record{Session: self, State: session.Live}, Version: uint64(i + 2)})
		c.Step(1, SessionObserved{Record: session.Record{Session: host.Session{Host: "d0", Incarnation: 2}, State: session.Live}, Version: 2})
		c.Step(1, SessionObserved{Record: session.Record{Session: old, State: session.Lost}, Version: 1})
		cores = append(cores, c)
	}
	leader, version, electedAt := Leader{Session: old, Term: 1}, uint64(1), mono.Time(0)
	claims, reads := 0, 0
	for now := mono.Time(1); now < mono.Time(10*time.Second); now += mono.Time(100 * time.Millisecond) {
		var writes []Write
		for _, c := range cores {
			if electedAt != 0 && now.Sub(electedAt) >= leaderSeenAfter {
				c.Step(now, LeaderObserved{Leader: leader, Version: version})
			}
			pending := c.Step(now, Tick{})
			for len(pending) > 0 {
				a := pending[0]
				pending = pending[1:]
				switch a := a.(type) {
				case Read:
					reads++
					pending = append(pending, c.Step(now, LeaderObserved{Leader: leader, Version: version})...)
				case Write:
					writes = append(writes, a)
				}
			}
		}
		claims += len(writes)
		if electedAt == 0 && len(writes) > 0 {
			electedAt, version = now, 2
			must.NoError(t, json.Unmarshal(writes[0].Value, &leader))
		}
	}
	t.Logf("%d daemons: %d claims, %d reads of the leader object, a leader after %s", daemons, claims, reads, time.Duration(electedAt))
	must.Positive(t, claims)
	must.LessEq(t, daemons/20, claims)
	must.LessEq(t, 2*daemons, reads)
}

// A leader that reports that its writes to the store fail is replaced although
// its session is live. A report about another term or from another session is
// ignored.
func TestLeaderWithoutStoreAccessIsReplaced(t *testing.T) {
	self := host.Session{Host: "a", Incarnation: 1}
	leader := host.Session{Host: "b", Incarnation: 1}
	claims := func(unwritable LeaderUnwritable) int {
		c := New(Config{Self: self, Seed: 1})
		now := mono.Time(1)
		for i, s := range []host.Session{self, leader} {
			c.Step(now, SessionObserved{Record: session.Record{Session: s, State: session.Live}, Version: uint64(i + 1)})
		}
		c.Step(now, LeaderObserved{Leader: Leader{Session: leader, Term: 4}, Version: 9})
		c.Step(now, Tick{})
		now = now.Add(2 * startupPeriod)
		c.Step(now, unwritable)
		writes := 0
		for range 20 {
			now = now.Add(DefaultClaimStagger)
			for _, a := range c.Step(now, Tick{}) {
				if w, ok := a.(Write); ok && w.Kind == LeaderKind {
					must.Eq(t, 9, int(w.IfVersion))
					writes++
				}
			}
		}
		return writes
	}
	must.Eq(t, 1, claims(LeaderUnwritable{From: leader, Term: 4}))
	must.Zero(t, claims(LeaderUnwritable{From: leader, Term: 3}))
	must.Zero(t, claims(LeaderUnwritable{From: self, Term: 4}))
}
