package alarmrecord

import (
	"cmp"
	"maps"
	"reflect"
	"slices"
	"time"

	"github.com/rhubarbring/rhubarbring/alarm"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/result"
)

// flush writes the records that are due and differ from the stored ones. While
// the store does not answer, it tries one at a time.
func (r *Recorder) flush(now mono.Time) {
	if r.storePause > 0 && (r.retryAt.After(now) || r.anyBusy()) {
		return
	}
	ids := slices.SortedFunc(maps.Keys(r.records), func(a, b string) int {
		return cmp.Or(cmp.Compare(r.records[a].triedAt, r.records[b].triedAt), cmp.Compare(a, b))
	})
	for _, id := range ids {
		rec := r.records[id]
		if rec.busy || rec.dueAt.After(now) || !rec.dirty() {
			continue
		}
		r.call(id, rec)
		if rec.busy && r.storePause > 0 {
			return
		}
	}
}

func (r *Recorder) anyBusy() bool {
	for _, rec := range r.records {
		if rec.busy {
			return true
		}
	}
	return false
}

// call reads an outdated record, or writes the record with the reports that it
// lacks. Without a record known here it tries to create one, because most causes
// are new. Nothing is written that the record contains already.
func (r *Recorder) call(id string, rec *record) {
	if rec.outdated {
		rec.busy = true
		r.emit(Read{ID: id})
		return
	}
	next := rec.merged()
	if rec.inStore() && reflect.DeepEqual(next.Reports, rec.stored.Reports) && sameContent(next.Alarm, rec.stored.Alarm) {
		rec.markStored()
		return
	}
	rec.sending = &next
	rec.busy = true
	r.emit(Write{ID: id, IfVersion: rec.version, Record: next})
}

// merged returns the stored record with the reports that it lacks.
func (rec *record) merged() alarm.Record {
	stored := rec.stored
	for _, s := range slices.SortedFunc(maps.Keys(rec.reports), compareSessions) {
		one := rec.reports[s]
		one.sending = one.number
		if one.stored < one.number {
			next, _ := alarm.Merge(stored, one.alarm)
			stored = &next
		}
	}
	return *stored
}

func (rec *record) markStored() {
	for _, one := range rec.reports {
		one.stored = max(one.stored, one.sending)
	}
}

func (r *Recorder) writeDone(now mono.Time, ev WriteDone) {
	rec := r.records[ev.ID]
	if rec == nil {
		return
	}
	rec.busy = false
	switch ev.Code {
	case result.OK:
		r.storePause, r.failedLists = 0, 0
		rec.stored, rec.version, rec.conflicts = rec.sending, ev.Version, 0
		rec.markStored()
		rec.writtenAt = now
		rec.interval = min(max(2*rec.interval, r.cfg.UpdateInterval), r.cfg.MaxUpdateInterval)
		rec.dueAt = now.Add(rec.interval)
	case result.StoreConflict:
		r.storePause = 0
		rec.outdated = true
		if rec.conflicts++; rec.conflicts > 1 {
			rec.dueAt = now.Add(r.pause(r.cfg.Retry << min(rec.conflicts-2, 5)))
		}
	case result.StoreTooLarge:
		rec.dueAt = now.Add(r.cfg.MaxUpdateInterval)
	default:
		rec.outdated = true
		r.storeFailed(now, rec)
	}
	r.flush(now)
}

func (r *Recorder) readDone(now mono.Time, ev ReadDone) {
	rec := r.records[ev.Stored.ID]
	if rec == nil {
		return
	}
	rec.busy = false
	switch ev.Code {
	case result.OK:
		r.storePause = 0
		rec.writtenAt = now
		r.observe(rec, ev.Stored)
	case result.StoreNotFound:
		r.storePause = 0
		rec.lose(ev.Stored.Version)
	default:
		r.storeFailed(now, rec)
	}
	r.flush(now)
}

func (r *Recorder) storeFailed(now mono.Time, rec *record) {
	rec.triedAt = now
	r.storePause = min(max(2*r.storePause, r.cfg.Retry), r.cfg.MaxRetry)
	r.retryAt = now.Add(r.pause(r.storePause))
}

// pause returns a time between half of the longest pause and all of it.
func (r *Recorder) pause(longest time.Duration) time.Duration {
	longest = min(longest, r.cfg.MaxRetry)
	return longest/2 + time.Duration(r.rand.Int64N(int64(longest/2)+1))
}
