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
	put    Put
	first  mono.Time // When the write was first sent.
	due    mono.Time // When the pause is over.
	pause  time.Duration
	unsent bool // No copy of the write has reached the store, nor can.

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
	return w.put
}

// FirstSent returns when the write under way, or the last one, was first sent
// to a store that may have taken it.
func (w *Writer) FirstSent() mono.Time {
	return w.first
}

// Unsent reports whether a write is under way of which no copy can land: the
// store was unavailable each time, and the pause before the next is not over.
func (w *Writer) Unsent() bool {
	return w.unsent && w.state == "paused"
}

// Start begins a write. The writer must be idle, and the token unique.
func (w *Writer) Start(now mono.Time, put Put) []Action {
	w.put = put
	w.first = now
	w.unsent = true
	w.pause = 0
	return w.take(now, "want")
}

// PutResult takes the outcome of a call. Outcomes of other writes are ignored.
func (w *Writer) PutResult(now mono.Time, r PutResult) (Outcome, []Action) {
	if w.Idle() || r.Token != w.put.Record.Token {
		return Undecided, nil
	}
	switch r.Code {
	case result.OK:
		return w.landed(now, r.Version)
	case result.StoreConflict:
		return Undecided, w.take(now, "conflict")
	case result.StoreUnavailable:
		return Undecided, w.take(now, "unavailable")
	}
	w.unsent = false
	return Undecided, w.take(now, "doubt")
}

// GetResult takes the outcome of a read of the record.
func (w *Writer) GetResult(now mono.Time, r GetResult) (Outcome, []Action) {
	if w.Idle() || r.Session != w.put.Record.Session {
		return Undecided, nil
	}
	switch r.Code {
	case result.OK:
		return w.Seen(now, r.Found)
	case result.StoreNotFound:
		return w.absent(now)
	}
	return Undecided, w.take(now, "unread")
}

// Seen takes a record that a read or a watch showed.
func (w *Writer) Seen(now mono.Time, v Versioned) (Outcome, []Action) {
	if w.Idle() || v.Record.Session != w.put.Record.Session || v.Version < w.put.IfVersion {
		return Undecided, nil
	}
	if v.Version == w.put.IfVersion {
		return Undecided, w.take(now, "same")
	}
	if v.Record.Token == w.put.Record.Token {
		return w.landed(now, v.Version)
	}
	w.Found = v
	return Moved, w.take(now, "moved")
}

// Tick ends a pause that is over.
func (w *Writer) Tick(now mono.Time) []Action {
	if now.Before(w.due) {
		return nil
	}
	if w.Unsent() {
		w.first = now
	}
	return w.take(now, "due")
}

func (w *Writer) absent(now mono.Time) (Outcome, []Action) {
	if w.put.IfVersion == 0 {
		return Undecided, w.take(now, "same")
	}
	w.Found = Versioned{}
	return Moved, w.take(now, "moved")
}

func (w *Writer) landed(now mono.Time, version uint64) (Outcome, []Action) {
	w.Version = version
	return Landed, w.take(now, "landed")
}

func (w *Writer) take(now mono.Time, e chart.Event) []Action {
	t, ok := writeChart.Next(w.state, e)
	if !ok {
		return nil
	}
	w.state = t.To
	var out []Action
	for _, do := range t.Do {
		switch do {
		case "put":
			out = append(out, w.put)
		case "get":
			out = append(out, Get{Session: w.put.Record.Session})
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
	w.due = now.Add(w.pause - time.Duration(w.rng.Int64N(int64(w.pause)/2)))
}
