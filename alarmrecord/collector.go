package alarmrecord

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/rhubarbring/rhubarbring/alarm"
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/mono"
)

// record is the record of one cause as a collector knows it.
type record struct {
	// reports holds what each daemon reported last.
	reports map[host.Session]*report
	// version and stored are the record as last read or written; stored is nil
	// if the store has none. outdated reports that it has to be read before the
	// next write.
	version  uint64
	stored   *alarm.Record
	outdated bool
	// sending is the record that is being written, and busy reports that a call
	// is under way.
	sending *alarm.Record
	busy    bool
	// dueAt is the earliest time of the next write, writtenAt the time of the
	// last write or read, and interval the time between two writes.
	dueAt     mono.Time
	triedAt   mono.Time // when a call last failed
	writtenAt mono.Time
	interval  time.Duration
	// conflicts counts the writes in a row that met another version.
	conflicts int
	// acknowledged and covered are the last acknowledgement seen, and when the
	// alarms that it covers were raised, by reporter.
	acknowledged *alarm.Acknowledgement
	covered      map[string]int64
}

// report is what one daemon reported of an alarm.
type report struct {
	alarm  alarm.Alarm
	number uint64
	// stored is the highest number in the record, and sending that in the write
	// under way.
	stored  uint64
	sending uint64
	heardAt mono.Time
}

// receive keeps the reported alarms to merge them into their records, and returns
// what this collector has of each.
func (r *Recorder) receive(now mono.Time, from host.Session, m *Report) *Answer {
	answer := &Answer{}
	for _, e := range m.Entries {
		rec := r.records[e.ID]
		if rec == nil {
			rec = &record{reports: make(map[host.Session]*report), writtenAt: mono.Never, triedAt: mono.Never}
			r.records[e.ID] = rec
		}
		rec.keep(now, from, e, now.Add(r.cfg.Gather))
		answer.Entries = append(answer.Entries, rec.answerTo(from, e.ID, r.cutOff()))
	}
	r.flush(now)
	return answer
}

// keep notes a report. One of an alarm that this collector lacks, or of a severity
// that the record lacks, is due soon; others when the record's interval is over.
func (rec *record) keep(now mono.Time, from host.Session, e ReportEntry, soon mono.Time) {
	old := rec.reports[from]
	if old != nil {
		old.heardAt = now
	}
	var a alarm.Alarm
	if len(e.Alarm) == 0 || old != nil && old.number >= e.Number || json.Unmarshal(e.Alarm, &a) != nil {
		return
	}
	rec.dropEarlierSessions(from)
	a.Number = e.Number
	next := &report{alarm: a, number: e.Number, heardAt: now}
	if old != nil && old.alarm.RaisedMs == a.RaisedMs {
		next.stored = old.stored
	}
	rec.setDue(a.Severity, soon)
	rec.reports[from] = next
}

// dropEarlierSessions drops the reports of other sessions of a daemon's host, whose
// report in the record its own takes the place of.
func (rec *record) dropEarlierSessions(from host.Session) {
	for s := range rec.reports {
		if s.Host == from.Host && s != from {
			delete(rec.reports, s)
		}
	}
}

// setDue brings the next write forward for a report that is about to be kept, if
// the store has no record of the cause, or only that of a notice.
func (rec *record) setDue(severity alarm.Severity, soon mono.Time) {
	switch {
	case !rec.inStore():
		if !rec.dirty() {
			rec.dueAt = soon
		}
	case severity == alarm.Ring && rec.stored.Alarm.Severity != alarm.Ring && rec.conflicts == 0:
		rec.dueAt = min(rec.dueAt, soon)
	}
}

// inStore reports whether the store has a record of the cause that nobody has
// acknowledged.
func (rec *record) inStore() bool {
	return rec.stored != nil && rec.stored.Alarm.Acknowledged == nil
}

// answerTo returns the answer to a daemon. If an acknowledgement covers its alarm,
// the answer carries it, and the report is dropped.
func (rec *record) answerTo(to host.Session, id string, cutOff bool) AnswerEntry {
	e := AnswerEntry{ID: id, InStore: rec.inStore() && !cutOff}
	held := rec.reports[to]
	if held == nil {
		return e
	}
	e.Held, e.Stored = held.number, held.stored
	if raised, ok := rec.covered[held.alarm.Reporter]; ok && raised == held.alarm.RaisedMs {
		e.Acknowledged, e.RaisedMs = mustEncode(rec.acknowledged), raised
		delete(rec.reports, to)
	}
	return e
}

func (r *Recorder) collectorTick(now mono.Time) {
	for id, rec := range r.records {
		r.dropOld(now, rec)
		if len(rec.reports) == 0 && !rec.busy && now.Sub(rec.writtenAt) >= r.cfg.ForgetAfter {
			delete(r.records, id)
		}
	}
	r.flush(now)
	if !r.listing && !r.retryAt.After(now) && now.Sub(r.listedAt) >= r.cfg.Poll && r.anyReported() {
		r.listing = true
		r.listedAt = now
		r.emit(List{})
	}
}

// dropOld drops the reports that are in the record and that their daemon no longer
// repeats. It reports to another collector then, or has ended.
func (r *Recorder) dropOld(now mono.Time, rec *record) {
	for s, one := range rec.reports {
		if one.stored == one.number && (now.Sub(one.heardAt) >= r.cfg.ForgetAfter || !r.living[s] && s != r.cfg.Self) {
			delete(rec.reports, s)
		}
	}
}

// anyReported reports whether some record in the store has a report of a daemon
// that waits for its acknowledgement.
func (r *Recorder) anyReported() bool {
	for _, rec := range r.records {
		if rec.inStore() && len(rec.reports) > 0 {
			return true
		}
	}
	return false
}

func (rec *record) dirty() bool {
	for _, one := range rec.reports {
		if one.stored < one.number {
			return true
		}
	}
	return false
}

func compareSessions(a, b host.Session) int {
	return cmp.Or(cmp.Compare(a.Host, b.Host), cmp.Compare(a.Incarnation, b.Incarnation))
}

// lose notes that the store has no record: every report has to be written.
func (rec *record) lose(version uint64) {
	rec.version, rec.stored, rec.outdated = version, nil, false
	for _, one := range rec.reports {
		one.stored = 0
	}
}

// observe notes a record that was read. If it is acknowledged, the daemons whose
// alarms it contains are told. Reports that it does not contain have to be
// written: those of an acknowledged record stand in a new one.
func (r *Recorder) observe(rec *record, s StoredRecord) {
	earlier := rec.reportedSince()
	rec.version, rec.stored, rec.outdated = s.Version, s.Record, false
	if s.Record == nil {
		rec.lose(s.Version)
		return
	}
	if ack := s.Record.Alarm.Acknowledged; ack != nil {
		rec.dueAt, rec.interval = mono.Never, 0
		rec.acknowledged = ack
		rec.covered = make(map[string]int64)
		for _, one := range s.Record.Reports {
			rec.covered[one.Reporter] = cmp.Or(one.RaisedMs, earlier[one.Reporter])
		}
	}
	for _, session := range slices.SortedFunc(maps.Keys(rec.reports), compareSessions) {
		one := rec.reports[session]
		one.stored = one.storedIn(s.Record)
		r.answerAcknowledged(rec, session, s.ID)
	}
}

// storedIn returns the highest number of a report that a record contains. One by
// an older build has no numbers, and contains what this collector has merged.
func (one *report) storedIn(r *alarm.Record) uint64 {
	found, ok := r.ReportOf(one.alarm.Reporter)
	switch {
	case !ok:
		return 0
	case found.RaisedMs == 0:
		return one.stored
	case found.RaisedMs != one.alarm.RaisedMs:
		return 0
	}
	return min(found.Number, one.number)
}

// reportedSince returns when the alarms in the stored record were raised, by
// reporter, as far as this collector has merged them. A record that was written
// by an older build lacks these times.
func (rec *record) reportedSince() map[string]int64 {
	raised := make(map[string]int64)
	for _, one := range rec.reports {
		if one.stored > 0 {
			raised[one.alarm.Reporter] = one.alarm.RaisedMs
		}
	}
	return raised
}

// answerAcknowledged tells a daemon that its alarm was acknowledged, if it was.
func (r *Recorder) answerAcknowledged(rec *record, to host.Session, id string) {
	e := rec.answerTo(to, id, r.cutOff())
	if len(e.Acknowledged) == 0 {
		return
	}
	if to == r.cfg.Self {
		if o := r.own[id]; o != nil {
			r.acknowledged(e, o)
		}
		return
	}
	r.emit(SendAnswer{To: to, Answer: &Answer{Entries: []AnswerEntry{e}}})
}

// listDone takes what the list has of the records that have reports here. A
// record that is missing from it has been lost by the store, unless it was
// written after the state that the list shows.
func (r *Recorder) listDone(now mono.Time, ev ListDone) {
	r.listing = false
	if ev.Failed {
		r.failedLists++
		return
	}
	r.failedLists = 0
	listed := make(map[string]bool, len(ev.Records))
	for _, s := range ev.Records {
		listed[s.ID] = true
		if rec := r.records[s.ID]; rec != nil && !rec.busy && s.Version > rec.version {
			r.observe(rec, s)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(r.records)) {
		rec := r.records[id]
		if !listed[id] && !rec.busy && rec.inStore() && now.Sub(rec.writtenAt) >= r.cfg.ForgetAfter {
			rec.lose(0)
		}
	}
	r.flush(now)
}

// cutOff reports whether this collector seems to be cut off from the store, so that
// another one should write the records and read acknowledgements.
func (r *Recorder) cutOff() bool {
	return r.failedLists > 1
}
