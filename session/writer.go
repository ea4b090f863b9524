package session

import (
	"math/rand/v2"
	"time"

	"github.com/rhubarbring/rhubarbring/chart"
	"github.com/rhubarbring/rhubarbring/charts"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/result"
)

// Outcome is what became of a write.
type Outcome uint8

// The outcomes of a write.
const (
	// Undecided: the write may have landed, or may still land.
	Undecided Outcome = iota
	// Landed: the write took effect, at Writer.Version.
	Landed
	// Moved: another write took effect instead, shown by Writer.Found, or
	// the object is gone (Found.Version is 0). This one never will.
	Moved
)

var writeChart = charts.MustLoad("record_write")

// Writer takes one conditional write at a time to a known outcome. An answer
// that was lost leaves the write in doubt: Writer reads the record back,
// compares the writer token, and sends the same write again as long as the
// version has not moved. It never gives a write up on a read, because a copy
// under way can land after the read.
type Writer struct {
	timing Timing
	rng    *rand.Rand
	state  chart.State
	pending    Put
	firstSent  mono.Time // When the write was first sent.
	retryAt    mono.Time // When the pause is over.
	pause  time.Duration
	notSent bool // No copy of the write has reached the store, nor can.

	// Version is the version of a write that landed.
	Version uint64
	// Found is the record that stands in place of a write that did not land.
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

// Pending returns the write under way, or the last one.
func (w *Writer) Pending() Put {
	return w.pending
}

// FirstSent returns when the write under way, or the last one, was first sent
// to a store that may have taken it.
func (w *Writer) FirstSent() mono.Time {
	return w.firstSent
}

// Unsent reports whether a write is under way of which no copy can land: the
// store was unavailable each time, and the pause before the next is not over.
func (w *Writer) Unsent() bool {
	return w.notSent && w.state == "paused"
}

// Start begins a write. The writer must be idle, and the token unique.
func (w *Writer) Start(now mono.Time, put Put) []Action {
	w.pending = put
	w.firstSent = now
	w.notSent = true
	w.pause = 0
	return w.transition(now, "want")
}

// PutResult takes the outcome of a call. Outcomes of other writes are ignored.
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

// GetResult takes the outcome of a read of the record.
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

// Seen takes a record that a read or a watch showed.
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

// Tick ends a pause that is over.
func (w *Writer) Tick(now mono.Time) []Action {
	if now.Before(w.retryAt) {
		return nil
	}
	if w.Unsent() {
		w.firstSent = now
	}
	return w.transition(now, "due")
}

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

// startPause doubles the pause and takes off up to half of it at random, so
// that daemons that failed together do not come back together.
func (w *Writer) startPause(now mono.Time) {
	w.pause = min(max(2*w.pause, w.timing.RetryMin), w.timing.RetryMax)
	w.retryAt = now.Add(w.pause - time.Duration(w.rng.Int64N(int64(w.pause)/2)))
}
