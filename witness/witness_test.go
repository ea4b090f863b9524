package witness_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/session"
	"github.com/rhubarbring/rhubarbring/witness"
)

const lease = 2 * time.Second

var (
	self   = host.Session{Host: "w", Incarnation: 5}
	holder = host.Session{Host: "h", Incarnation: 3}
	start  = mono.Time(time.Hour)
)

func renew(seq, generation uint64) session.Renew {
	return session.Renew{Session: holder, Witness: self, Seq: seq, Generation: generation}
}

func record(state session.State, generation uint64, witnesses ...host.Session) session.VersionedRecord {
	return session.VersionedRecord{Version: generation, Record: session.Record{Session: holder, State: state, Generation: generation, Witnesses: witnesses}}
}

// A restarted daemon runs under another session and refuses renewals that were
// sent to its previous one.
func TestRestartedWitnessRefusesRenewalsOfItsPredecessor(t *testing.T) {
	w := witness.New(host.Session{Host: "w", Incarnation: 6}, lease)
	answer, ok := w.Renew(start, renew(1, 1))
	must.True(t, ok)
	must.Eq(t, session.WrongSession, answer.Reply)
	must.Eq(t, 0, w.Len())
}

// An older or repeated renewal is dropped and counted, and does not extend the
// lease.
func TestOlderRenewalIsDropped(t *testing.T) {
	w := witness.New(self, lease)
	_, ok := w.Renew(start, renew(7, 1))
	must.True(t, ok)
	for _, seq := range []uint64{7, 6} {
		_, ok = w.Renew(start.Add(time.Second), renew(seq, 1))
		must.False(t, ok)
	}
	must.Eq(t, 2, w.StaleRenewals())
	must.True(t, w.IsSilent(start.Add(lease), holder))
}

func TestOnlySilentSessionsAreSealed(t *testing.T) {
	w := witness.New(self, lease)
	w.Renew(start, renew(1, 4))
	_, ok := w.Seal(start.Add(lease-1), holder)
	must.False(t, ok)
	must.Eq(t, []host.Session{holder}, w.SilentSessions(start.Add(lease)))
	seal, ok := w.Seal(start.Add(lease), holder)
	must.True(t, ok)
	must.Eq(t, witness.Seal{Session: holder, Witness: self, Generation: 4}, seal)
}

// A seal is final for its generation and earlier ones, but does not cover later
// ones.
func TestSealBindsItsGeneration(t *testing.T) {
	w := witness.New(self, lease)
	w.Renew(start, renew(1, 4))
	now := start.Add(lease)
	w.Seal(now, holder)
	answer, _ := w.Renew(now, renew(2, 4))
	must.Eq(t, 4, answer.Sealed)
	must.True(t, w.IsSilent(now, holder))
	answer, _ = w.Renew(now, renew(3, 5))
	must.Eq(t, 4, answer.Sealed)
	must.False(t, w.IsSilent(now, holder))
	seal, ok := w.Seal(now.Add(lease), holder)
	must.True(t, ok)
	must.Eq(t, 5, seal.Generation)
}

// A session that has ended is never renewed again, however long its process was
// suspended.
func TestEndedSessionIsNeverRenewed(t *testing.T) {
	w := witness.New(self, lease)
	w.Renew(start, renew(1, 1))
	w.ObserveRecord(start, record(session.Lost, 1, self))
	must.Eq(t, 0, w.Len())
	answer, _ := w.Renew(start.Add(48*time.Hour), renew(2, 1))
	must.Eq(t, session.Ended, answer.Reply)
	w.ObserveRecord(start.Add(48*time.Hour), record(session.Live, 1, self))
	must.Eq(t, 0, w.Len())
}

// A newer session of a host makes an earlier one silent, unless that one has
// renewed recently. The seal still states the rest of the lease that it was
// granted.
func TestNewerSessionOfAHostShortensSilencePeriod(t *testing.T) {
	newer := session.Renew{Session: host.Session{Host: "h", Incarnation: 4}, Witness: self, Seq: 1}
	w := witness.New(self, lease)
	w.Renew(start, renew(1, 1))
	w.Renew(start.Add(900*time.Millisecond), newer)
	must.False(t, w.IsSilent(start.Add(900*time.Millisecond), holder))
	newer.Seq = 2
	w.Renew(start.Add(1200*time.Millisecond), newer)
	seal, ok := w.Seal(start.Add(1200*time.Millisecond), holder)
	must.True(t, ok)
	must.Eq(t, 800*time.Millisecond, seal.Remaining)
}

// The memory of a witness is bounded: entries that are neither named nor sealed
// are dropped when their lease has run out.
func TestUnneededEntriesAreDropped(t *testing.T) {
	w := witness.New(self, lease)
	w.Renew(start, renew(1, 0)) // Probed, but in no recorded set.
	must.Eq(t, 1, w.Len())
	must.SliceEmpty(t, w.SilentSessions(start.Add(lease)))
	must.Eq(t, 0, w.Len())
	w.Renew(start, renew(2, 1))
	w.ObserveRecord(start.Add(time.Second), record(session.Live, 2, host.Session{Host: "x", Incarnation: 1}))
	must.SliceEmpty(t, w.SilentSessions(start.Add(lease)))
	must.Eq(t, 0, w.Len())
}

// A record that names the witness starts the lease period even without a
// renewal.
func TestRecordNamingTheWitnessStartsTheLeasePeriod(t *testing.T) {
	w := witness.New(self, lease)
	w.ObserveRecord(start, record(session.Live, 1, self))
	must.False(t, w.IsSilent(start.Add(lease-1), holder))
	must.True(t, w.IsSilent(start.Add(lease), holder))
}

// A session counts as heard for one lease period after its renewal, sealed or
// not.
func TestRecentlyRenewedReturnsSessionsThatRenewedWithinALease(t *testing.T) {
	w := witness.New(self, lease)
	must.SliceEmpty(t, w.RecentlyRenewed(start))
	w.Renew(start, renew(1, 1))
	must.Eq(t, []host.Session{holder}, w.RecentlyRenewed(start.Add(lease-1)))
	must.SliceEmpty(t, w.RecentlyRenewed(start.Add(lease)))
	_, ok := w.Seal(start.Add(lease), holder)
	must.True(t, ok)
	w.Renew(start.Add(lease), renew(2, 1))
	must.Eq(t, []host.Session{holder}, w.RecentlyRenewed(start.Add(lease)))
}
