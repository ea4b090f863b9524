package placement

import (
	"cmp"
	"maps"
	"slices"

	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/session"
)

// recordlessSession is a session that packs or the leader object name, and whose
// record is not known.
type recordlessSession struct {
	since  mono.Time
	readAt mono.Time // When its record was last read.
}

// recordDeleted notes that the store has lost the record of a session that has not
// ended, since it came back from a copy. The session ends as soon as it knows; it
// gets no slices until then.
func (f *fleet) recordDeleted(now mono.Time, s host.Session) {
	h := f.lookup(s)
	if h == nil || h.status().ended() {
		return
	}
	h.state = session.Draining
	f.noteRecordless(now, s)
	f.generation++
}

// noteRecordless notes that a session that packs or the leader object name has no
// known record, and returns since when.
func (f *fleet) noteRecordless(now mono.Time, s host.Session) mono.Time {
	r, ok := f.recordless[s]
	if !ok {
		r.since = now
		f.recordless[s] = r
	}
	return r.since
}

// readRecordless reads the records that have been unknown for holderTimeout: only
// the store can say that they are missing.
func (c *Core) readRecordless(now mono.Time) {
	for _, s := range slices.SortedFunc(maps.Keys(c.fleet.recordless), compareSessions) {
		r := c.fleet.recordless[s]
		if now.Sub(r.since) < holderTimeout() || r.readAt != 0 && now.Sub(r.readAt) < c.cfg.ReadRetry {
			continue
		}
		r.readAt = now
		c.fleet.recordless[s] = r
		c.emit(Read{Kind: session.ObjectKind, Name: session.ObjectName(s)})
	}
}

func compareSessions(a, b host.Session) int {
	return cmp.Or(cmp.Compare(a.Host, b.Host), cmp.Compare(a.Incarnation, b.Incarnation))
}

// endRecordless counts a session as lost whose record the store does not have.
func (f *fleet) endRecordless(now mono.Time, s host.Session) {
	r, ok := f.recordless[s]
	if !ok || now.Sub(r.since) < holderTimeout() {
		return
	}
	delete(f.recordless, s)
	d := departure{seenAt: now}
	if h := f.lookup(s); h != nil {
		h.state = session.Lost
		d.checksGrants = h.checksGrants
	}
	f.addDeparture(s, d)
	f.generation++
}
