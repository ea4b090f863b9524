// Package faketarget is a fake of a target: a server with slots, a
// connection limit and optional checks of grants. It announces itself to its
// daemon and keeps a journal of its runs.
package faketarget

import (
	"encoding/json"
	"io"
	"sync"
)

// Phase is the event of a run that a record describes.
type Phase string

// Phases of a run. A run that has a start but no end was interrupted by the end
// of the target's process and may have taken effect.
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
	// Stopped reports that a cancellation stopped the run before its effect.
	Stopped bool `json:"stopped,omitempty"`
}

// journal keeps the newest records in memory and writes each record to a file
// before the answer is sent, so that the file has all records of answered
// requests even if the target is killed.
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

// after returns up to limit of the records in memory with numbers above seq.
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
