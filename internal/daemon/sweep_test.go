package daemon

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/session"
)

// Only records that ended at least session.DeleteAfter ago and that no
// assignment contains may be deleted.
func TestSweepKeepsRecentAndAssignedSessions(t *testing.T) {
	record := func(id string, state session.State) session.VersionedRecord {
		return session.VersionedRecord{Version: 1, Record: session.Record{Session: host.Session{Host: host.ID(id), Incarnation: 1}, State: state}}
	}
	records := map[host.Session]session.VersionedRecord{}
	for _, v := range []session.VersionedRecord{record("live", session.Live), record("assigned", session.Lost), record("old", session.Left)} {
		records[v.Record.Session] = v
	}
	assigned := map[host.Session]bool{{Host: "assigned", Incarnation: 1}: true}
	w := sweeper{finalSince: make(map[host.Session]mono.Time)}
	start := mono.Time(time.Hour)
	must.SliceEmpty(t, w.due(start, records, assigned))
	must.SliceEmpty(t, w.due(start.Add(session.DeleteAfter-1), records, assigned))
	due := w.due(start.Add(session.DeleteAfter), records, assigned)
	must.SliceLen(t, 1, due)
	must.Eq(t, host.ID("old"), due[0].Record.Session.Host)
	delete(records, due[0].Record.Session)
	must.SliceEmpty(t, w.due(start.Add(session.DeleteAfter), records, assigned))
	must.MapLen(t, 1, w.finalSince)
}
