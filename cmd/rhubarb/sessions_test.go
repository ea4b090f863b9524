package main

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/internal/cli"
	"github.com/rhubarbring/rhubarbring/internal/storestand"
	"github.com/rhubarbring/rhubarbring/session"
)

// gone records a session of a host that does not answer, and returns its name.
func (s *site) gone(id host.ID, state session.State, witnesses ...host.Session) string {
	ln := listen(s.t)
	must.NoError(s.t, ln.Close())
	r := session.Record{Token: "own", Session: host.Session{Host: id, Incarnation: 4}, Control: ln.Addr().String(), State: state, Generation: 2, Witnesses: witnesses}
	value, err := r.Encode()
	must.NoError(s.t, err)
	_, err = s.client.Scoped("trial").Put(session.Kind, session.Name(r.Session), 0, value)
	must.NoError(s.t, err)
	return r.Session.String()
}

// recorded returns the record of a session that gone recorded.
func (s *site) recorded(id host.ID) session.Record {
	object, err := s.client.Scoped("trial").Get(session.Kind, session.Name(host.Session{Host: id, Incarnation: 4}))
	must.NoError(s.t, err)
	r, err := session.Decode(object.Value)
	must.NoError(s.t, err)
	return r
}

func declare(name string, more ...string) []string {
	return append([]string{"sessions", "declare-lost", name, "--environment", "trial", "--why", "region burnt"}, more...)
}

func TestSessionsList(t *testing.T) {
	s := newSite(t)
	s.expect(cli.ExitOK, "none", "sessions", "list", "--environment", "trial")
	s.gone("r1", session.Draining, host.Session{Host: "w", Incarnation: 7})
	out := s.expect(cli.ExitOK, "draining", "sessions", "list", "--environment", "trial")
	must.StrContains(t, out, "w/7")
	s.expect(cli.ExitOK, `"generation": 2`, "sessions", "list", "--environment", "trial", "--output", "json")
	s.expect(cli.ExitOK, "none", "sessions", "list", "--environment", "production")
	s.expect(cli.ExitSettings, "--environment", "sessions", "list")
}

// A session is declared lost once, on a person's word, and not without it.
func TestDeclareLost(t *testing.T) {
	s := newSite(t)
	r1 := s.gone("r1", session.Live, host.Session{Host: "r2", Incarnation: 4}, host.Session{Host: "none", Incarnation: 1})
	s.gone("r2", session.Draining)
	s.gone("r3", session.Left)

	s.expect(cli.ExitSettings, "its keys get two owners", declare(r1)...)
	s.expect(cli.ExitSettings, "--why", "sessions", "declare-lost", r1, "--environment", "trial", "--host-is-destroyed")
	s.expect(cli.ExitSettings, "is no session", declare("r1", "--host-is-destroyed")...)
	s.expect(cli.ExitFailed, "no such session", declare("r1/5", "--host-is-destroyed")...)
	s.expect(cli.ExitFailed, "the record says left", declare("r3/4", "--host-is-destroyed")...)
	must.Eq(t, session.Live, s.recorded("r1").State)

	s.expect(cli.ExitOK, "r1/4 is recorded lost", declare(r1, "--host-is-destroyed")...)
	r := s.recorded("r1")
	must.Eq(t, session.Lost, r.State)
	must.Eq(t, "ana", r.Declared.Who)
	must.Eq(t, "region burnt", r.Declared.Why)
	must.NotEq(t, "own", r.Token)
	s.expect(cli.ExitFailed, "the record says lost", declare(r1, "--host-is-destroyed")...)
	s.expect(cli.ExitOK, `"state": "lost"`, declare("r2/4", "--host-is-destroyed", "--output", "json")...)
}

// A session that answers, or that a witness or the named daemon hears, stays.
func TestDeclareLostRefusesWhoIsHeard(t *testing.T) {
	s := newSite(t)
	s.host("trial", "t1", "pampa-norte-1")
	s.host("production", "p1", "pampa-norte-1")
	s.expect(cli.ExitFailed, "its daemon answers", declare("t1/1", "--host-is-destroyed")...)

	witnessed := s.gone("r1", session.Live, host.Session{Host: "t1", Incarnation: 1})
	other := s.gone("r2", session.Live)
	s.heard = []host.Session{{Host: "r1", Incarnation: 4}, {Host: "r2", Incarnation: 4}}
	s.expect(cli.ExitFailed, "the daemon t1/1 hears it", declare(witnessed, "--host-is-destroyed")...)
	s.expect(cli.ExitFailed, "the daemon t1/1 hears it", declare(other, "--host-is-destroyed", "--daemon", s.control["t1"])...)

	s.heard = nil
	s.expect(cli.ExitSettings, "a daemon of production", declare(other, "--host-is-destroyed", "--daemon", s.control["p1"])...)
	s.expect(cli.ExitFailed, "peer_unreachable", declare(other, "--host-is-destroyed", "--daemon", s.recorded("r1").Control)...)
	for _, id := range []host.ID{"r1", "r2"} {
		must.Eq(t, session.Live, s.recorded(id).State)
	}
	s.expect(cli.ExitOK, "recorded lost", declare(witnessed, "--host-is-destroyed", "--daemon", s.control["t1"])...)
}

// A write whose answer is lost is read back and found.
func TestDeclareLostFindsItsWrite(t *testing.T) {
	s := newSite(t)
	name := s.gone("r1", session.Live)
	s.server.SetFault(storestand.Fault{LoseAnswers: 1})
	s.expect(cli.ExitOK, "recorded lost", declare(name, "--host-is-destroyed")...)
}
