package main

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/internal/cli"
	"github.com/rhubarbring/rhubarbring/internal/fakestore"
	"github.com/rhubarbring/rhubarbring/session"
)

// recordUnreachable records a session of a host that does not answer, and
// returns its name.
func (s *testSite) recordUnreachable(id host.ID, state session.State, witnesses ...host.Session) string {
	ln := listen(s.t)
	must.NoError(s.t, ln.Close())
	r := session.Record{Token: "own", Session: host.Session{Host: id, Incarnation: 4}, ControlAddress: ln.Addr().String(), State: state, Generation: 2, Witnesses: witnesses}
	value, err := r.Encode()
	must.NoError(s.t, err)
	_, err = s.client.ForEnvironment("trial").Put(session.ObjectKind, session.ObjectName(r.Session), 0, value)
	must.NoError(s.t, err)
	return r.Session.String()
}

// readRecord returns the record of a session that recordUnreachable wrote.
func (s *testSite) readRecord(id host.ID) session.Record {
	object, err := s.client.ForEnvironment("trial").Get(session.ObjectKind, session.ObjectName(host.Session{Host: id, Incarnation: 4}))
	must.NoError(s.t, err)
	r, err := session.Decode(object.Value)
	must.NoError(s.t, err)
	return r
}

func declareLostArgs(name string, more ...string) []string {
	return append([]string{"sessions", "declare-lost", name, "--environment", "trial", "--why", "region destroyed"}, more...)
}

func TestSessionsList(t *testing.T) {
	s := newSite(t)
	s.expect(cli.ExitOK, "none", "sessions", "list", "--environment", "trial")
	s.recordUnreachable("r1", session.Draining, host.Session{Host: "w", Incarnation: 7})
	out := s.expect(cli.ExitOK, "draining", "sessions", "list", "--environment", "trial")
	must.StrContains(t, out, "w/7")
	s.expect(cli.ExitOK, `"generation": 2`, "sessions", "list", "--environment", "trial", "--output", "json")
	s.expect(cli.ExitOK, "none", "sessions", "list", "--environment", "production")
	s.expect(cli.ExitUsage, "--environment", "sessions", "list")
}

// A session is declared lost only with --host-is-destroyed and a reason, only
// while it is live or draining, and only once.
func TestDeclareLost(t *testing.T) {
	s := newSite(t)
	r1 := s.recordUnreachable("r1", session.Live, host.Session{Host: "r2", Incarnation: 4}, host.Session{Host: "none", Incarnation: 1})
	s.recordUnreachable("r2", session.Draining)
	s.recordUnreachable("r3", session.Left)

	s.expect(cli.ExitUsage, "its keys get two owners", declareLostArgs(r1)...)
	s.expect(cli.ExitUsage, "--why", "sessions", "declare-lost", r1, "--environment", "trial", "--host-is-destroyed")
	s.expect(cli.ExitUsage, "is no session", declareLostArgs("r1", "--host-is-destroyed")...)
	s.expect(cli.ExitFailed, "no such session", declareLostArgs("r1/5", "--host-is-destroyed")...)
	s.expect(cli.ExitFailed, "the record says left", declareLostArgs("r3/4", "--host-is-destroyed")...)
	must.Eq(t, session.Live, s.readRecord("r1").State)

	s.expect(cli.ExitOK, "r1/4 is recorded lost", declareLostArgs(r1, "--host-is-destroyed")...)
	r := s.readRecord("r1")
	must.Eq(t, session.Lost, r.State)
	must.Eq(t, "ana", r.Declared.Who)
	must.Eq(t, "region destroyed", r.Declared.Why)
	must.NotEq(t, "own", r.Token)
	s.expect(cli.ExitFailed, "the record says lost", declareLostArgs(r1, "--host-is-destroyed")...)
	s.expect(cli.ExitOK, `"state": "lost"`, declareLostArgs("r2/4", "--host-is-destroyed", "--output", "json")...)
}

// A session whose daemon answers, or whose lease renewals a witness or the
// daemon at --daemon receives, is not declared lost.
func TestDeclareLostRefusesAliveSession(t *testing.T) {
	s := newSite(t)
	s.startDaemon("trial", "t1", "pampa-norte-1")
	s.startDaemon("production", "p1", "pampa-norte-1")
	s.expect(cli.ExitFailed, "its daemon answers", declareLostArgs("t1/1", "--host-is-destroyed")...)

	witnessed := s.recordUnreachable("r1", session.Live, host.Session{Host: "t1", Incarnation: 1})
	other := s.recordUnreachable("r2", session.Live)
	s.heard = []host.Session{{Host: "r1", Incarnation: 4}, {Host: "r2", Incarnation: 4}}
	s.expect(cli.ExitFailed, "the daemon t1/1 hears it", declareLostArgs(witnessed, "--host-is-destroyed")...)
	s.expect(cli.ExitFailed, "the daemon t1/1 hears it", declareLostArgs(other, "--host-is-destroyed", "--daemon", s.control["t1"])...)

	s.heard = nil
	s.expect(cli.ExitUsage, "a daemon of production", declareLostArgs(other, "--host-is-destroyed", "--daemon", s.control["p1"])...)
	s.expect(cli.ExitFailed, "peer_unreachable", declareLostArgs(other, "--host-is-destroyed", "--daemon", s.readRecord("r1").ControlAddress)...)
	for _, id := range []host.ID{"r1", "r2"} {
		must.Eq(t, session.Live, s.readRecord(id).State)
	}
	s.expect(cli.ExitOK, "recorded lost", declareLostArgs(witnessed, "--host-is-destroyed", "--daemon", s.control["t1"])...)
}

// If the store's answer to the write is lost, the record is read again and the
// write is found.
func TestDeclareLostResolvesLostAnswer(t *testing.T) {
	s := newSite(t)
	name := s.recordUnreachable("r1", session.Live)
	s.server.SetFault(fakestore.Fault{LoseAnswers: 1})
	s.expect(cli.ExitOK, "recorded lost", declareLostArgs(name, "--host-is-destroyed")...)
}
