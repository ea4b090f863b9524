// Package outcome keeps outcomes at risk: requests that may not be repeated,
// and of which nobody can say in time whether they ran. Each is recorded in
// the store, batched, so that it is found before anyone relies on it. While
// the store can't be reached, the batches stay in the memory of two daemons
// in different availability zones.
package outcome

import (
	"encoding/json"
	"fmt"

	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/result"
)

// Kind is the kind of the batches in the store.
const Kind = "outcome"

// Outcome is one outcome at risk.
type Outcome struct {
	_ struct{} `cbor:",toarray"`
	// ID is the request's id.
	ID string `json:"id"`
	// App, Key and Slice say what the request was for; Key is empty if the
	// app is not divided by key.
	App   key.App     `json:"app"`
	Key   string      `json:"key,omitempty"`
	Slice key.SliceID `json:"slice"`
	// Owner and Epoch say who may have run it.
	Owner host.Session `json:"owner"`
	Epoch uint64       `json:"epoch"`
	// Entry is the host that took the request from the caller.
	Entry host.ID `json:"entry"`
	// Code is the result that the caller was told.
	Code result.Code `json:"code"`
	// UnixMs is when, in milliseconds since 1970, by the entry's clock.
	UnixMs int64 `json:"unix_ms"`
	// Why says in a sentence what happened.
	Why string `json:"why"`
	// Cause is the same for outcomes of one fault, such as "session h1/3".
	Cause string `json:"cause"`
	// Settled says how it was settled; nil while it is at risk.
	Settled *Settlement `json:"settled,omitempty"`
}

// Verdict is what a person found out about an outcome.
type Verdict string

// The verdicts.
const (
	Ran         Verdict = "ran"
	DidNotRun   Verdict = "did_not_run"
	Compensated Verdict = "compensated"
)

// Settlement says who settled an outcome, how and why.
type Settlement struct {
	_       struct{} `cbor:",toarray"`
	Verdict Verdict  `json:"verdict"`
	Who     string   `json:"who"`
	Why     string   `json:"why"`
	// UnixMs is when, in milliseconds since 1970.
	UnixMs int64 `json:"unix_ms"`
}

// AtRisk reports whether a request's result is an outcome at risk: it may not
// be repeated, and it is unknown or late. The refusal of a repeat is not: the
// earlier sending, in flight or over, has an outcome of its own.
func AtRisk(idempotent bool, code result.Code) bool {
	if idempotent || code == result.DuplicateInFlight || code == result.RepeatRefused {
		return false
	}
	o := code.Outcome()
	return o == result.Unknown || o == result.Late
}

// Batch is an object of the store: outcomes that one daemon met in short
// succession.
type Batch struct {
	_ struct{} `cbor:",toarray"`
	// Name is the object's name, unique to the batch.
	Name string `json:"name"`
	// Outcomes lists them in the order in which they were met.
	Outcomes []Outcome `json:"outcomes"`
	// Beyond counts outcomes that were met while the daemon's memory for
	// them was full. Each stands in the daemon's log.
	Beyond uint64 `json:"beyond,omitempty"`
}

// Encode returns the batch as it is stored.
func (b *Batch) Encode() ([]byte, error) {
	return json.Marshal(b)
}

// Decode reads a stored batch.
func Decode(raw []byte) (*Batch, error) {
	var b Batch
	if err := json.Unmarshal(raw, &b); err != nil {
		return nil, &result.Error{Code: result.StoreNotFound, Field: Kind, Detail: "the stored batch does not decode", Cause: err}
	}
	return &b, nil
}

// Open counts the outcomes that are not settled.
func (b *Batch) Open() int {
	open := 0
	for _, o := range b.Outcomes {
		if o.Settled == nil {
			open++
		}
	}
	return open
}

// Settle notes how an outcome was settled. It refuses a second settlement, a
// verdict that there isn't, and one without who or why.
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
