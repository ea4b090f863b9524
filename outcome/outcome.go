// Package outcome records outcomes at risk: the outcomes of requests that may
// not be repeated and of which it is not known in time whether they ran. Each
// is written to the store, in batches, so that operators find it before anyone
// relies on it, and can settle it. While the store can't be reached, the
// batches stay in the memory of two daemons in different availability zones.
package outcome

import (
	"encoding/json"
	"fmt"

	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/result"
)

// Kind is the kind of the stored batches.
const Kind = "outcome"

// Outcome is one outcome at risk.
type Outcome struct {
	_ struct{} `cbor:",toarray"`
	// ID is the request's id.
	ID string `json:"id"`
	// App, Key and Slice are those of the request. Key is empty if the app
	// is not divided by key.
	App   key.App     `json:"app"`
	Key   string      `json:"key,omitempty"`
	Slice key.SliceID `json:"slice"`
	// Owner is the session that the request was sent to and that may have run
	// it, and Epoch the epoch of the slice.
	Owner host.Session `json:"owner"`
	Epoch uint64       `json:"epoch"`
	// Entry is the host that received the request from the caller.
	Entry host.ID `json:"entry"`
	// Code is the result that the caller received.
	Code result.Code `json:"code"`
	// UnixMs is the time of the outcome in milliseconds since 1970, by the
	// clock of the entry host.
	UnixMs int64 `json:"unix_ms"`
	// Why describes in a sentence what happened.
	Why string `json:"why"`
	// Cause names the fault, such as "session h1/3". Outcomes of one fault
	// have the same cause.
	Cause string `json:"cause"`
	// Settled is nil while the outcome is at risk.
	Settled *Settlement `json:"settled,omitempty"`
}

// Verdict is what a person has found out about an outcome.
type Verdict string

// The verdicts.
const (
	Ran         Verdict = "ran"
	DidNotRun   Verdict = "did_not_run"
	Compensated Verdict = "compensated"
)

// Settlement records who settled an outcome, how and why.
type Settlement struct {
	_       struct{} `cbor:",toarray"`
	Verdict Verdict  `json:"verdict"`
	Who     string   `json:"who"`
	Why     string   `json:"why"`
	// UnixMs is the time of the settlement in milliseconds since 1970.
	UnixMs int64 `json:"unix_ms"`
}

// AtRisk reports whether a result makes the request's outcome one at risk: the
// request may not be repeated, and the outcome is unknown or late. A refused
// repeat is never at risk, because the earlier sending, in flight or ended, has
// an outcome of its own.
func AtRisk(idempotent bool, code result.Code) bool {
	if idempotent || code == result.DuplicateInFlight || code == result.RepeatRefused {
		return false
	}
	o := code.Outcome()
	return o == result.Unknown || o == result.Late
}

// Batch is a stored object with the outcomes that one daemon recorded in short
// succession.
type Batch struct {
	_ struct{} `cbor:",toarray"`
	// Name is the object's name, unique to the batch.
	Name string `json:"name"`
	// Outcomes lists the outcomes in the order in which they were recorded.
	Outcomes []Outcome `json:"outcomes"`
	// Overflowed counts the outcomes that did not fit into the daemon's memory.
	// The daemon has written each of them to its log.
	Overflowed uint64 `json:"beyond,omitempty"`
}

// Encode returns the batch in its stored form, as JSON.
func (b *Batch) Encode() ([]byte, error) {
	return json.Marshal(b)
}

// Decode decodes a stored batch. It returns a result.Error with the code
// StoreNotFound if that fails.
func Decode(raw []byte) (*Batch, error) {
	var b Batch
	if err := json.Unmarshal(raw, &b); err != nil {
		return nil, &result.Error{Code: result.StoreNotFound, Field: Kind, Detail: "the stored batch does not decode", Cause: err}
	}
	return &b, nil
}

// Open returns the number of outcomes that are not settled.
func (b *Batch) Open() int {
	open := 0
	for _, o := range b.Outcomes {
		if o.Settled == nil {
			open++
		}
	}
	return open
}

// Settle records the settlement of the outcome with the given id. It returns a
// result.Error with the code StoreConflict if the outcome is settled already,
// StoreNotFound if the batch has no such outcome, and BadRequest if the verdict
// is invalid or Who or Why is empty.
func (b *Batch) Settle(id string, s Settlement) error {
	if err := s.check(); err != nil {
		return err
	}
	for i := range b.Outcomes {
		o := &b.Outcomes[i]
		if o.ID != id {
			continue
		}
		if o.Settled != nil {
			return &result.Error{Code: result.StoreConflict, Field: id, Detail: fmt.Sprintf("%s settled it as %s: %s", o.Settled.Who, o.Settled.Verdict, o.Settled.Why), Remedy: "ask them; a settled outcome stays as it is"}
		}
		o.Settled = &s
		return nil
	}
	return &result.Error{Code: result.StoreNotFound, Field: id, Detail: "the batch " + b.Name + " has no outcome of this id", Remedy: "list them: rhubarb outcomes list"}
}

func (s Settlement) check() error {
	if s.Verdict != Ran && s.Verdict != DidNotRun && s.Verdict != Compensated {
		return &result.Error{Code: result.BadRequest, Field: "verdict", Detail: fmt.Sprintf("%q is no verdict", s.Verdict), Remedy: "write ran, did_not_run or compensated"}
	}
	if s.Who == "" || s.Why == "" {
		return &result.Error{Code: result.BadRequest, Field: "who, why", Detail: "a settlement without who or why", Remedy: "say who settles it and why"}
	}
	return nil
}
