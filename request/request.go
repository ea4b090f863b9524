// Package request describes a caller's request and the answer to it, and
// decides what becomes of a request between its arrival and its answer.
package request

import (
	"time"

	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/result"
)

// Class is the urgency of a request.
type Class uint8

// The classes.
const (
	Normal Class = iota
	Urgent
)

// Repeat says what the caller states about earlier sendings of the same id.
type Repeat uint8

// The statements about earlier sendings.
const (
	// RepeatUnsaid: the caller said nothing; an earlier sending is possible.
	RepeatUnsaid Repeat = iota
	// RepeatFirst: this is the first sending of the id.
	RepeatFirst
	// RepeatAgain: the id was sent before.
	RepeatAgain
)

// Request is a caller's request as it travels between daemons.
type Request struct {
	_ struct{} `cbor:",toarray"`
	// ID is the caller's id, or one that the entry daemon made.
	ID string
	// App names the app.
	App key.App
	// Key is the caller's key; empty for an app that is not divided by key.
	Key string
	// Slice is where the key belongs.
	Slice key.SliceID
	// Epoch is the owner's epoch by the sender's map: a hint.
	Epoch uint64
	// Attempt counts the sendings between daemons, from 1.
	Attempt uint32
	// Idempotent says that the request may be run more than once.
	Idempotent bool
	// Repeat is the caller's statement about earlier sendings.
	Repeat Repeat
	// Class is the urgency.
	Class Class
	// Budget is the time left until the deadline when the message was sent.
	Budget time.Duration
	// IDTimeMs is when the id was made, in milliseconds since 1970; 0 if
	// the id does not say.
	IDTimeMs int64
	// Method, Path, Type and Body are passed to the target unchanged.
	Method string
	Path   string
	Type   string
	Body   []byte
}

// Answer is the answer to one attempt of a request.
type Answer struct {
	_ struct{} `cbor:",toarray"`
	// ID and Attempt name the attempt that is answered.
	ID      string
	Attempt uint32
	// Code is the result.
	Code result.Code
	// Owner is the host that ran or refused the request.
	Owner string
	// Epoch is the newest epoch of the slice that the answerer knows.
	Epoch uint64
	// RetryAfter says when the caller should come back; 0 says nothing.
	RetryAfter time.Duration
	// Status, Type and Body are the target's answer.
	Status int
	Type   string
	Body   []byte
}
