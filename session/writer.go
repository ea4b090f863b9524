package session

import (
	"math/rand/v2"
	"time"

	"github.com/rhubarbring/rhubarbring/charts"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/restore"
	"github.com/rhubarbring/rhubarbring/result"
	"github.com/rhubarbring/rhubarbring/statechart"
)

// WriteOutcome is what a RecordWriter knows about the effect of its write.
type WriteOutcome uint8

// The outcomes of a write.
const (
	// WriteUnconfirmed: the write may have taken effect, or may still take
	// effect.
	WriteUnconfirmed WriteOutcome = iota
	// WriteApplied: the write took effect, at RecordWriter.Version.
	WriteApplied
	// WriteRejected: the write will never take effect, because another write
	// did, whose record is RecordWriter.Found, or because the object was
	// deleted (Found.Version is 0). Found may be the write itself if it took
	// effect after the store had come back from a copy.
	WriteRejected
)

var writeChart = charts.MustLoad("record_write")

// RecordWriter makes one conditional write at a time and repeats it until its
// outcome is known. A lost answer leaves the write in doubt: RecordWriter reads
// the record back, compares the write's token, and sends the same write again
// as long as the version is unchanged. It never abandons a write because a read
// shows the old version, since a copy under way can take effect after the read.
type RecordWriter struct {
	timing       Timing
	rng          *rand.Rand
	state        statechart.State
	pending      Put
	firstSent    mono.Time // When the first copy that may have reached the store was sent.
	retryAt      mono.Time // When the backoff ends.
	backoff      time.Duration
	neverInDoubt bool // No call has ended in doubt, so no earlier copy can still take effect.

	// Version is the version of a write that took effect.
	Version uint64
	// Found is the record that the store holds instead, if the outcome is
	// WriteRejected.
	Found VersionedRecord
}

// NewRecordWriter returns an idle writer.
func NewRecordWriter(t Timing, rng *rand.Rand) *RecordWriter {
	return &RecordWriter{timing: t, rng: rng, state: writeChart.Initial}
}

// Idle reports whether no write is under way.
func (w *RecordWriter) Idle() bool {
	return w.state == writeChart.Initial
}

// Pending returns the write under way, or the last one if the writer is idle.
func (w *RecordWriter) Pending() Put {
	return w.pending
}

// FirstSent returns when the first copy of the write under way, or of the last
// one, that may have reached the store was sent.
func (w *RecordWriter) FirstSent() mono.Time {
	return w.firstSent
}

// Unsent reports whether a write is under way of which no copy can take effect:
// no call has ended in doubt, and the next one has not been sent.
func (w *RecordWriter) Unsent() bool {
	return w.neverInDoubt && w.state == "paused"
}

// Start starts a write. The writer must be idle, and the token unique.
func (w *RecordWriter) Start(now mono.Time, put Put) []Action {
	w.pending = put
	w.firstSent = now
	w.neverInDoubt = true
	w.backoff = 0
	return w.transition(now, "want")
}

// PutResult handles the result of a write call. Results of other writes are
// ignored.
func (w *RecordWriter) PutResult(now mono.Time, r PutResult) (WriteOutcome, []Action) {
	if w.Idle() || r.Token != w.pending.Record.Token {
		return WriteUnconfirmed, nil
	}
	switch r.Code {
	case result.OK:
		return w.finish(now, r.Version)
	case result.StoreConflict:
		return WriteUnconfirmed, w.transition(now, "conflict")
	case result.StoreUnavailable:
		return WriteUnconfirmed, w.transition(now, "unavailable")
	}
	w.neverInDoubt = false
	return WriteUnconfirmed, w.transition(now, "doubt")
}

// GetResult handles the result of a read of the record.
func (w *RecordWriter) GetResult(now mono.Time, r GetResult) (WriteOutcome, []Action) {
	if w.Idle() || r.Session != w.pending.Record.Session {
		return WriteUnconfirmed, nil
	}
	switch r.Code {
	case result.OK:
		return w.Seen(now, r.Found)
	case result.StoreNotFound:
		return w.handleAbsent(now)
	}
	return WriteUnconfirmed, w.transition(now, "unread")
}

// Seen handles a record that a read, a watch or a peer showed.
func (w *RecordWriter) Seen(now mono.Time, v VersionedRecord) (WriteOutcome, []Action) {
	if w.Idle() || v.Record.Session != w.pending.Record.Session || v.Version < w.pending.IfVersion {
		return WriteUnconfirmed, nil
	}
	if v.Version == w.pending.IfVersion {
		return WriteUnconfirmed, w.transition(now, "same")
	}
	if v.Record.Token == w.pending.Record.Token && !w.landedInLaterEra(v.Version) {
		return w.finish(now, v.Version)
	}
	w.Found = v
	return WriteRejected, w.transition(now, "moved")
}

// landedInLaterEra reports whether the write took effect, at the given version,
// after the store had come back from a copy. Its condition may then have matched a
// revision that was given out again.
func (w *RecordWriter) landedInLaterEra(version uint64) bool {
	condition := w.pending.IfVersion
	return condition != 0 && restore.VersionOf(version).Era != restore.VersionOf(condition).Era
}

// Tick sends the next call if the backoff has ended.
func (w *RecordWriter) Tick(now mono.Time) []Action {
	if now.Before(w.retryAt) {
		return nil
	}
	if w.Unsent() {
		w.firstSent = now
	}
	return w.transition(now, "due")
}

// handleAbsent handles a read that found no record: the write can still take
// effect if it is to create one.
func (w *RecordWriter) handleAbsent(now mono.Time) (WriteOutcome, []Action) {
	if w.pending.IfVersion == 0 {
		return WriteUnconfirmed, w.transition(now, "same")
	}
	w.Found = VersionedRecord{}
	return WriteRejected, w.transition(now, "moved")
}

func (w *RecordWriter) finish(now mono.Time, version uint64) (WriteOutcome, []Action) {
	w.Version = version
	return WriteApplied, w.transition(now, "landed")
}

// transition applies an event to the write chart and returns its actions.
func (w *RecordWriter) transition(now mono.Time, e statechart.Event) []Action {
	t, ok := writeChart.Next(w.state, e)
	if !ok {
		return nil
	}
	w.state = t.To
	var out []Action
	for _, do := range t.Actions {
		switch do {
		case "put":
			out = append(out, w.pending)
		case "get":
			out = append(out, Get{Session: w.pending.Record.Session})
		case "pause":
			w.startBackoff(now)
		}
	}
	return out
}

// startBackoff starts the backoff. It doubles with each failure; the wait is
// shorter by a random part of up to half, so that daemons that failed together
// do not retry together.
func (w *RecordWriter) startBackoff(now mono.Time) {
	w.backoff = min(max(2*w.backoff, w.timing.RetryMin), w.timing.RetryMax)
	w.retryAt = now.Add(w.backoff - time.Duration(w.rng.Int64N(int64(w.backoff)/2)))
}
