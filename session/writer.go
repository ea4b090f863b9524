package session

import (
	"math/rand/v2"
	"time"

	"github.com/rhubarbring/rhubarbring/chart"
	"github.com/rhubarbring/rhubarbring/charts"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/result"
)

// Outcome is the outcome of a write.
type Outcome uint8

// The outcomes of a write.
const (
	// Undecided: the write may have landed, or may still land.
	Undecided Outcome = iota
	// Landed: the write took effect, at Writer.Version.
	Landed
	// Moved: the write will never take effect, because another write did, whose
	// record is Writer.Found, or because the object was deleted
	// (Found.Version is 0).
	Moved
)

var writeChart = charts.MustLoad("record_write")

// Writer makes one conditional write at a time and repeats it until its outcome
// is known. A lost answer leaves the write in doubt: Writer reads the record
// back, compares the write's token, and sends the same write again as long as
// the version is unchanged. It never abandons a write because a read shows the
// old version, since a copy under way can land after the read.
type Writer struct {
	timing    Timing
	rng       *rand.Rand
	state     chart.State
	pending   Put
	firstSent mono.Time // When the first copy that may have reached the store was sent.
	retryAt   mono.Time // When the backoff ends.
	pause     time.Duration
	notSent   bool // No copy of the write has reached the store or still can.

	// Version is the version of a write that landed.
	Version uint64
	// Found is the record stored in place of a write with outcome Moved.
	Found Versioned
}

// NewWriter returns an idle writer.
func NewWriter(t Timing, rng *rand.Rand) *Writer {
	return &Writer{timing: t, rng: rng, state: writeChart.Initial}
}

// Idle reports whether no write is under way.
func (w *Writer) Idle() bool {
	return w.state == writeChart.Initial
}

// Pending returns the write under way, or the last one if the writer is idle.
func (w *Writer) Pending() Put {
	return w.pending
}

// FirstSent returns when the first copy of the write under way, or of the last
// one, that may have reached the store was sent.
func (w *Writer) FirstSent() mono.Time {
	return w.firstSent
}

// Unsent reports whether a write is under way of which no copy can land: the
// store was unavailable for all copies, and the next one has not been sent.
func (w *Writer) Unsent() bool {
	return w.notSent && w.state == "paused"
}

// Start starts a write. The writer must be idle, and the token unique.
func (w *Writer) Start(now mono.Time, put Put) []Action {
	w.pending = put
	w.firstSent = now
	w.notSent = true
	w.pause = 0
	return w.transition(now, "want")
}

// PutResult handles the result of a write call. Results of other writes are
// ignored.
func (w *Writer) PutResult(now mono.Time, r PutResult) (Outcome, []Action) {
	if w.Idle() || r.Token != w.pending.Record.Token {
		return Undecided, nil
	}
	switch r.Code {
	case result.OK:
		return w.finish(now, r.Version)
	case result.StoreConflict:
		return Undecided, w.transition(now, "conflict")
	case result.StoreUnavailable:
		return Undecided, w.transition(now, "unavailable")
	}
	w.notSent = false
	return Undecided, w.transition(now, "doubt")
}

// GetResult handles the result of a read of the record.
func (w *Writer) GetResult(now mono.Time, r GetResult) (Outcome, []Action) {
	if w.Idle() || r.Session != w.pending.Record.Session {
		return Undecided, nil
	}
	switch r.Code {
	case result.OK:
		return w.Seen(now, r.Found)
	case result.StoreNotFound:
		return w.handleAbsent(now)
	}
	return Undecided, w.transition(now, "unread")
}

// Seen handles a record that a read, a watch or a peer showed.
func (w *Writer) Seen(now mono.Time, v Versioned) (Outcome, []Action) {
	if w.Idle() || v.Record.Session != w.pending.Record.Session || v.Version < w.pending.IfVersion {
		return Undecided, nil
	}
	if v.Version == w.pending.IfVersion {
		return Undecided, w.transition(now, "same")
	}
	if v.Record.Token == w.pending.Record.Token {
		return w.finish(now, v.Version)
	}
	w.Found = v
	return Moved, w.transition(now, "moved")
}

// Tick sends the next call if the backoff has ended.
func (w *Writer) Tick(now mono.Time) []Action {
	if now.Before(w.retryAt) {
		return nil
	}
	if w.Unsent() {
		w.firstSent = now
	}
	return w.transition(now, "due")
}

// handleAbsent handles a read that found no record: the write can still land if
// it is to create one.
func (w *Writer) handleAbsent(now mono.Time) (Outcome, []Action) {
	if w.pending.IfVersion == 0 {
		return Undecided, w.transition(now, "same")
	}
	w.Found = Versioned{}
	return Moved, w.transition(now, "moved")
}

func (w *Writer) finish(now mono.Time, version uint64) (Outcome, []Action) {
	w.Version = version
	return Landed, w.transition(now, "landed")
}

// transition applies an event to the write chart and returns its actions.
func (w *Writer) transition(now mono.Time, e chart.Event) []Action {
	t, ok := writeChart.Next(w.state, e)
	if !ok {
		return nil
	}
	w.state = t.To
	var out []Action
	for _, do := range t.Do {
		switch do {
		case "put":
			out = append(out, w.pending)
		case "get":
			out = append(out, Get{Session: w.pending.Record.Session})
		case "pause":
			w.startPause(now)
		}
	}
	return out
}

// startPause starts the backoff. The pause doubles each time, less up to half of
// it at random, so that daemons that failed together do not retry together.
func (w *Writer) startPause(now mono.Time) {
	w.pause = min(max(2*w.pause, w.timing.RetryMin), w.timing.RetryMax)
	w.retryAt = now.Add(w.pause - time.Duration(w.rng.Int64N(int64(w.pause)/2)))
}
