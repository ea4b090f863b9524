package placement

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/session"
)

// claims lets every daemon but the silent ones tick until one leads, and
// returns the leader and the number of claims that were written.
func (s *script) claims(silent map[host.ID]bool) (*modelLeader, int) {
	n := 0
	for range 200 {
		for _, l := range s.leaders {
			if silent[l.core.cfg.Self.Host] {
				continue
			}
			s.tellRecords(l)
			s.feed(l, LeaderSeen{Leader: s.leader, Version: s.version})
			s.feed(l, Tick{})
			for _, a := range l.pending {
				if w, ok := a.(Write); ok && w.Kind == LeaderKind {
					n++
				}
			}
			l.carry(s.world)
			if l.core.Leads() {
				return l, n
			}
		}
		s.wait(DefaultClaimStep / 3)
	}
	s.t.Fatal("no leader")
	return nil, n
}

// A lost leader brings one claim, not one from each daemon; a daemon whose
// turn it is and that is silent is passed over after a step.
func TestDaemonsTakeTurnsToClaim(t *testing.T) {
	s := newScript(t, 2)
	for range 20 {
		s.addLeader(guards{}, &Balanced{})
	}
	silent := map[host.ID]bool{}
	for round := range 5 {
		before := s.now
		l, n := s.claims(silent)
		must.Eq(t, 1, n, must.Sprintf("round %d", round))
		must.Eq(t, uint64(round+1), s.leader.Term)
		must.Less(t, 22*DefaultClaimStep, s.now.Sub(before))
		self := l.core.cfg.Self
		silent[self.Host] = true
		s.record(session.Record{Session: self, State: session.Lost})
	}
	must.NoError(t, s.err)
}

// A claim whose answer was lost is found by reading the object; a leader whose
// own session is draining resigns.
func TestClaimInDoubtAndResignation(t *testing.T) {
	s := newScript(t, 2)
	l := s.leaders[0]
	s.tellRecords(l)
	s.feed(l, Listed{})
	s.feed(l, LeaderSeen{})
	s.wait(50 * DefaultClaimStep)
	s.feed(l, Tick{})
	s.wait(50 * DefaultClaimStep)
	s.feed(l, Tick{})
	must.SliceLen(t, 1, l.pending)
	claim := l.pending[0].(Write)
	l.pending = nil
	s.landLeader(s.leaders[1], claim)
	s.feed(l, Doubtful{Kind: claim.Kind, Name: claim.Name, Token: claim.Token})
	must.False(t, l.core.Leads())
	l.carry(s.world)
	must.True(t, l.core.Leads())
	s.record(session.Record{Session: l.core.cfg.Self, State: session.Draining})
	s.tellRecords(l)
	s.feed(l, Tick{})
	must.False(t, l.core.Leads())
	_, n := s.claims(map[host.ID]bool{l.core.cfg.Self.Host: true})
	must.Eq(t, 1, n, must.Sprint("claims after the resignation"))
}
