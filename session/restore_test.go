package session_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/restore"
	"github.com/rhubarbring/rhubarbring/result"
	"github.com/rhubarbring/rhubarbring/session"
)

// storedSession is a session whose record is stored, with a lease in the store.
type storedSession struct {
	core *session.Core
	now  mono.Time
}

func newStoredSession(t *testing.T) *storedSession {
	s := &storedSession{core: session.New(session.Config{Session: host.Session{Host: "h0", Incarnation: 1}, Timing: session.DefaultTiming(), StartWithStoreLease: true})}
	created := putsOf(append(s.step(session.MembersChanged{List: []session.Member{}}), s.step(session.Tick{})...))
	must.SliceLen(t, 1, created)
	s.step(session.PutResult{Token: created[0].Record.Token, Code: result.OK, Version: 70})
	must.Eq(t, "live", s.core.State())
	return s
}

func (s *storedSession) step(ev session.Event) []session.Action {
	return s.core.Step(s.now, ev)
}

func versionInEra1(t *testing.T, revision uint64) uint64 {
	n, err := restore.Version{Era: 1, Revision: revision}.Number()
	must.NoError(t, err)
	return n
}

// A store that comes back from a copy shows an earlier record of the session, whose
// witnesses may be others than those that renew it now. Whoever takes over goes by
// the record, so the session writes its own again.
func TestSessionWritesItsRecordAgainAfterRestore(t *testing.T) {
	s := newStoredSession(t)
	mine := s.core.Recorded().Record
	earlier := mine
	earlier.Token, earlier.Generation = "earlier", 0
	acts := s.step(session.RecordObserved{Record: session.VersionedRecord{Version: versionInEra1(t, 60), Record: earlier}})
	puts := putsOf(acts)
	must.SliceLen(t, 1, puts)
	must.Eq(t, versionInEra1(t, 60), puts[0].IfVersion)
	must.Eq(t, mine.Witnesses, puts[0].Record.Witnesses)
	must.Eq(t, mine.Generation, puts[0].Record.Generation)
	s.step(session.PutResult{Token: puts[0].Record.Token, Code: result.OK, Version: versionInEra1(t, 75)})
	must.Eq(t, "live", s.core.State())
	must.Eq(t, versionInEra1(t, 75), s.core.Recorded().Version)
}

// A record that the restore did not change is adopted at its new version.
func TestUnchangedRecordIsKeptAfterRestore(t *testing.T) {
	s := newStoredSession(t)
	same := s.core.Recorded()
	same.Version = versionInEra1(t, 70)
	must.SliceEmpty(t, putsOf(s.step(session.RecordObserved{Record: same})))
	must.Eq(t, same, s.core.Recorded())
}

// A session whose record was created after the copy ends once the store says so: no
// other daemon knows of it, so that nobody could take it over.
func TestSessionEndsIfRestoreLostItsRecord(t *testing.T) {
	s := newStoredSession(t)
	must.Eq(t, []session.Action{session.Get{Session: host.Session{Host: "h0", Incarnation: 1}}}, s.step(session.RecordDeleted{}))
	s.step(session.GetResult{Session: host.Session{Host: "h0", Incarnation: 1}, Code: result.StoreUnavailable})
	must.Eq(t, "live", s.core.State())
	s.step(session.GetResult{Session: host.Session{Host: "h0", Incarnation: 1}, Code: result.StoreNotFound})
	must.Eq(t, "lost", s.core.State())
}

// A write that the store took after it had come back from a copy may have replaced
// the record of the session's loss: its condition matched a revision that was given
// out again.
func TestSessionEndsIfItsWriteLandedInLaterEra(t *testing.T) {
	s := newStoredSession(t)
	puts := putsOf(s.step(session.Drain{}))
	must.SliceLen(t, 1, puts)
	s.step(session.PutResult{Token: puts[0].Record.Token, Code: result.StoreDoubt})
	s.step(session.GetResult{Session: host.Session{Host: "h0", Incarnation: 1}, Code: result.OK, Found: session.VersionedRecord{Version: versionInEra1(t, 71), Record: puts[0].Record}})
	must.Eq(t, "lost", s.core.State())
}
