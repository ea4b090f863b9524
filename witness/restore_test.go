package witness_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/restore"
	"github.com/rhubarbring/rhubarbring/session"
	"github.com/rhubarbring/rhubarbring/witness"
)

// A store that comes back from a copy shows an ended session as live again. Its
// witnesses must take it over again, and never renew it: it would get slices that
// nobody serves for as long as its host is gone.
func TestEndedSessionThatIsRestoredIsSilent(t *testing.T) {
	w := witness.New(self, lease)
	w.Renew(start, renew(1, 4))
	w.ObserveRecord(start, record(session.Lost, 4, self))
	restored := record(session.Live, 3, self)
	w.ObserveRecord(start, restored)
	must.SliceEmpty(t, w.SilentSessions(start.Add(lease)))

	var err error
	restored.Version, err = restore.Version{Era: 1, Revision: 3}.Number()
	must.NoError(t, err)
	w.ObserveRecord(start, restored)
	answer, ok := w.Renew(start, renew(2, 4))
	must.True(t, ok)
	must.Eq(t, session.Ended, answer.Reply)
	must.Eq(t, 1, len(w.SilentSessions(start.Add(lease))))
}
