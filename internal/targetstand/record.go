// Package targetstand is a small stand-in for a target: a server with slots,
// a connection limit and grants to check. It announces itself to the daemon
// beside it and keeps a journal of what it ran.
package targetstand

import (
	"encoding/json"
	"io"
	"sync"
)

// Phase says which part of a run a record tells of.
type Phase string

// The phases. A run without an end was cut off by the target's death, and may
// have taken effect.
const (
	PhaseStart Phase = "start"
	PhaseEnd   Phase = "end"
)

// Record is one line of the journal. Times are CLOCK_BOOTTIME nanoseconds.
type Record struct {
	Seq        uint64 `json:"seq"`
	Phase      Phase  `json:"phase"`
	Target     string `json:"target"`
	App        string `json:"app"`
	ID         string `json:"id"`
	Attempt    string `json:"attempt"`
	Key        string `json:"key"`
	Slice      string `json:"slice"`
	Owner      string `json:"owner"`
	Epoch      uint64 `json:"epoch"`
	Idempotent bool   `json:"idempotent"`
	StartNs    int64  `json:"start_ns"`
	EndNs      int64  `json:"end_ns,omitempty"`
	BodySum    string `json:"body_sum"`
	// Stopped says that a cancellation stopped the run before its effect.
	Stopped bool `json:"stopped,omitempty"`
}

// journal keeps the newest records in memory and writes each to a file before
// the answer is sent, so that the file of a killed target is whole.
type journal struct {
	mu      sync.Mutex
	next    uint64
	records []Record
	limit   int
	out     io.Writer
}

func (j *journal) add(r Record) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.next++
	r.Seq = j.next
	j.records = append(j.records, r)
	if len(j.records) > j.limit {
		j.records = append([]Record(nil), j.records[j.limit/2:]...)
	}
	if j.out == nil {
		return nil
	}
	line, err := json.Marshal(r)
	if err != nil {
		return err
	}
	_, err = j.out.Write(append(line, '\n'))
	return err
}

func (j *journal) after(seq uint64, limit int) []Record {
	j.mu.Lock()
	defer j.mu.Unlock()
	out := []Record{}
	for _, r := range j.records {
		if r.Seq <= seq {
			continue
		}
		if len(out) == limit {
			break
		}
		out = append(out, r)
	}
	return out
}
