// Package judge evaluates a trial. The figures come from the records of callers
// and targets and from the fault timeline, and nothing that a daemon reports
// enters them, except for the outcomes at risk, which daemons save in the store.
// docs/TRIAL.md defines the figures.
package judge

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"

	"github.com/rhubarbring/rhubarbring/internal/faketarget"
	"github.com/rhubarbring/rhubarbring/internal/load"
)

// FaultKind is the kind of a fault that a trial injects.
type FaultKind string

// Fault kinds.
const (
	PlannedStop FaultKind = "planned_stop"
	Kill        FaultKind = "kill"
	StoreOutage FaultKind = "store_outage"
)

// Phase tells the beginning of a fault from its end.
type Phase string

// Phases of a fault.
const (
	Begin Phase = "begin"
	End   Phase = "end"
)

// FaultRecord is one line of the fault timeline file.
type FaultRecord struct {
	AtNs  int64     `json:"at_ns"` // CLOCK_BOOTTIME nanoseconds.
	Fault FaultKind `json:"fault"`
	Phase Phase     `json:"phase"`
	Host  string    `json:"host,omitempty"`
}

// Fault is an injected fault. Times are CLOCK_BOOTTIME nanoseconds. Host is
// empty for a fault that affects no single host.
type Fault struct {
	Kind    FaultKind
	Host    string
	BeginNs int64
	EndNs   int64
}

// Host describes a host of the trial. CallerAddress is the address on which its
// daemon accepts requests of callers; Slots is the number of requests that its
// target runs at a time.
type Host struct {
	Name          string `json:"name"`
	Zone          string `json:"zone"`
	App           string `json:"app"`
	Slots         int    `json:"slots"`
	CallerAddress string `json:"caller"`
}

// Input holds the records from which a trial is evaluated.
type Input struct {
	Hosts   []Host
	Records []load.Record
	Journal []faketarget.Record
	Faults  []Fault
	// KeptOutcomes holds the ids of the outcomes at risk that the store keeps.
	KeptOutcomes []string
}

// readJSONLines decodes one JSON value a line. It drops a last line without a
// newline, which a killed process may leave behind.
func readJSONLines[T any](r io.Reader) ([]T, error) {
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

// ReadRecords reads the records that the load tool writes, one JSON object a
// line.
func ReadRecords(r io.Reader) ([]load.Record, error) {
	return readJSONLines[load.Record](r)
}

// ReadJournal reads the journal of a target, one JSON object a line.
func ReadJournal(r io.Reader) ([]faketarget.Record, error) {
	return readJSONLines[faketarget.Record](r)
}

// ReadFaults reads a fault timeline. A fault without an end record ends when it
// begins.
func ReadFaults(r io.Reader) ([]Fault, error) {
	records, err := readJSONLines[FaultRecord](r)
	if err != nil {
		return nil, err
	}
	var faults []Fault
	for _, record := range records {
		if record.Phase == Begin {
			faults = append(faults, Fault{Kind: record.Fault, Host: record.Host, BeginNs: record.AtNs, EndNs: record.AtNs})
			continue
		}
		endFault(faults, record)
	}
	return faults, nil
}

// endFault sets the end of the newest fault with the kind and host of r. An end
// without a beginning is ignored.
func endFault(faults []Fault, r FaultRecord) {
	for i := len(faults) - 1; i >= 0; i-- {
		if faults[i].Kind == r.Fault && faults[i].Host == r.Host {
			faults[i].EndNs = r.AtNs
			return
		}
	}
}
