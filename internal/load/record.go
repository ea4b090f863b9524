package load

import (
	"encoding/json"
	"io"
	"sync"
)

// Sending records that a request was sent once, and the daemon's answer. Outcome
// is the header Rhubarb-Outcome; it is empty if there was no answer or the answer
// did not come from the daemon.
type Sending struct {
	Daemon string `json:"daemon"`
	// SentNs and AnsweredNs are CLOCK_BOOTTIME nanoseconds. AnsweredNs is the
	// time of the answer, or the time at which the sending failed or timed out.
	SentNs     int64  `json:"sent_ns"`
	AnsweredNs int64  `json:"answered_ns"`
	Status     int    `json:"status"`
	Code       int    `json:"code"`
	Outcome    string `json:"outcome"`
	// Connected reports whether the sending had a connection. If not, nothing
	// was sent.
	Connected bool `json:"connected"`
	// Error is the error of a sending without an answer.
	Error string `json:"error,omitempty"`
	// BelongsToRequest reports, for a "done" answer, that it is complete and
	// belongs to this request.
	BelongsToRequest bool `json:"own"`
}

// Record is what one caller saw of its request. It is one line of the records
// file.
type Record struct {
	ID         string `json:"id"`
	App        string `json:"app"`
	Key        string `json:"key"`
	Idempotent bool   `json:"idempotent"`
	Urgent     bool   `json:"urgent"`
	DeadlineMs int64  `json:"deadline_ms"`
	// ArrivalNs is the planned arrival and EndedNs the time at which the caller
	// had its last answer or gave up, in CLOCK_BOOTTIME nanoseconds.
	ArrivalNs int64 `json:"asked_ns"`
	EndedNs   int64 `json:"ended_ns"`
	// Sendings holds all sendings of the request, in order.
	Sendings []Sending `json:"words"`
}

// LastAnswered returns the last sending that got an outcome, and whether there
// is one.
func (r Record) LastAnswered() (Sending, bool) {
	for i := len(r.Sendings) - 1; i >= 0; i-- {
		if r.Sendings[i].Outcome != "" {
			return r.Sendings[i], true
		}
	}
	return Sending{}, false
}

// recorder writes records as lines of JSON and keeps the first error. It is
// safe for concurrent use.
type recorder struct {
	mu  sync.Mutex
	out *json.Encoder
	err error
}

func newRecorder(w io.Writer) *recorder {
	return &recorder{out: json.NewEncoder(w)}
}

func (r *recorder) write(rec Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.out.Encode(rec); err != nil && r.err == nil {
		r.err = err
	}
}
