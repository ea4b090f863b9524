// Package judge works out what a trial was worth from what callers and
// targets saw: nothing that a daemon says enters its figures. docs/TRIAL.md
// gives the definitions.
package judge

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"

	"github.com/rhubarbring/rhubarbring/internal/load"
	"github.com/rhubarbring/rhubarbring/internal/targetstand"
)

// FaultKind names what was done to the system.
type FaultKind string

// The faults of a trial.
const (
	PlannedStop FaultKind = "planned_stop"
	Kill        FaultKind = "kill"
	StoreOutage FaultKind = "store_outage"
)

// Phase is the beginning or the end of a fault.
type Phase string

// The phases.
const (
	Begin Phase = "begin"
	End   Phase = "end"
)

// Mark is one line of the fault timeline.
type Mark struct {
	AtNs  int64     `json:"at_ns"` // CLOCK_BOOTTIME
	Fault FaultKind `json:"fault"`
	Phase Phase     `json:"phase"`
	Host  string    `json:"host,omitempty"`
}

// Fault is a fault with its beginning and end, in CLOCK_BOOTTIME nanoseconds.
type Fault struct {
	Kind    FaultKind
	Host    string
	BeginNs int64
	EndNs   int64
}

// Host is a host of the trial: the daemon's address for callers and its target.
type Host struct {
	Name   string `json:"name"`
	Zone   string `json:"zone"`
	App    string `json:"app"`
	Slots  int    `json:"slots"`
	Caller string `json:"caller"`
}

// Input is what the judge is given.
type Input struct {
	Hosts   []Host
	Records []load.Record
	Journal []targetstand.Record
	Faults  []Fault
	// Kept are the ids of the outcomes at risk that the store keeps.
	Kept []string
}

// readLines decodes a line of JSON after the other. A last line that is cut
// short, as a killed process leaves it, is dropped.
func readLines[T any](r io.Reader) ([]T, error) {
	reader := bufio.NewReader(r)
	var out []T
	for n := 1; ; n++ {
		line, err := reader.ReadBytes('\n')
		if err == io.EOF {
			return out, nil
		}
		if err != nil {
			return nil, err
		}
		var v T
		if err := json.Unmarshal(line, &v); err != nil {
			return nil, fmt.Errorf("line %d: %w", n, err)
		}
		out = append(out, v)
	}
}

// ReadRecords reads a load tool's records.
func ReadRecords(r io.Reader) ([]load.Record, error) {
	return readLines[load.Record](r)
}

// ReadJournal reads a target's journal.
func ReadJournal(r io.Reader) ([]targetstand.Record, error) {
	return readLines[targetstand.Record](r)
}

// ReadFaults reads a fault timeline. A fault that has no end ends when it
// begins.
func ReadFaults(r io.Reader) ([]Fault, error) {
	marks, err := readLines[Mark](r)
	if err != nil {
		return nil, err
	}
	var faults []Fault
	for _, m := range marks {
		if m.Phase == Begin {
			faults = append(faults, Fault{Kind: m.Fault, Host: m.Host, BeginNs: m.AtNs, EndNs: m.AtNs})
			continue
		}
		endFault(faults, m)
	}
	return faults, nil
}

func endFault(faults []Fault, m Mark) {
	for i := len(faults) - 1; i >= 0; i-- {
		if faults[i].Kind == m.Fault && faults[i].Host == m.Host {
			faults[i].EndNs = m.AtNs
			return
		}
	}
}
