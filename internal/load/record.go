package load

import (
	"encoding/json"
	"io"
	"sync"
)

// Word is what a caller was told about one sending; Outcome is the header
// Rhubarb-Outcome. A sending that got no answer has an empty Outcome.
type Word struct {
	Daemon string `json:"daemon"`
	// SentNs and AnsweredNs are CLOCK_BOOTTIME nanoseconds. AnsweredNs is
	// also when a sending was given up.
	SentNs     int64  `json:"sent_ns"`
	AnsweredNs int64  `json:"answered_ns"`
	Status     int    `json:"status"`
	Code       int    `json:"code"`
	Outcome    string `json:"outcome"`
	// Connected says whether the sending reached a connection: without one,
	// nothing was sent.
	Connected bool `json:"connected"`
	// Error is what broke the connection.
	Error string `json:"error,omitempty"`
	// Own says of a "done" answer that it is whole and this request's.
	Own bool `json:"own"`
}

// Record is what one caller saw of its request, one line of the records file.
type Record struct {
	ID         string `json:"id"`
	App        string `json:"app"`
	Key        string `json:"key"`
	Idempotent bool   `json:"idempotent"`
	Urgent     bool   `json:"urgent"`
	DeadlineMs int64  `json:"deadline_ms"`
	// AskedNs and EndedNs are when the caller wanted to send and when it
	// had its last word, in CLOCK_BOOTTIME nanoseconds.
	AskedNs int64 `json:"asked_ns"`
	EndedNs int64 `json:"ended_ns"`
	// Words are the sendings, in order.
	Words []Word `json:"words"`
}

// Last returns the word of the last sending that was answered, and whether
// there is one.
func (r Record) Last() (Word, bool) {
	for i := len(r.Words) - 1; i >= 0; i-- {
		if r.Words[i].Outcome != "" {
			return r.Words[i], true
		}
	}
	return Word{}, false
}

// recorder writes records as lines of JSON.
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
