// Package assignment holds the record of which session owns which slice. The
// records of many slices are packed into one object of the store, so that a
// round of moves is one conditional write for each pack.
package assignment

import (
	"github.com/fxamacker/cbor/v2"

	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/key"
)

// Slice is the assignment of one slice.
type Slice struct {
	_ struct{} `cbor:",toarray"`
	// Owner is the session that may serve the slice; nobody if it has none.
	Owner host.Session
	// Epoch rises with each new owner. It is 0 before the first.
	Epoch uint64
	// Next is the session that a handover under way leads to, or nobody.
	Next host.Session
}

// Pack is the assignment of a run of slices of one app: kind "assignment" in
// the store, named "app.first".
type Pack struct {
	_      struct{} `cbor:",toarray"`
	Token  string
	App    key.App
	First  key.SliceID
	Slices []Slice
}

// Encode returns the pack as it is stored.
func (p *Pack) Encode() ([]byte, error) {
	return cbor.Marshal(p)
}

// Decode reads a stored pack.
func Decode(raw []byte) (*Pack, error) {
	var p Pack
	if err := cbor.Unmarshal(raw, &p); err != nil {
		return nil, err
	}
	return &p, nil
}
