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
	// RepeatFirst: no earlier sending of the id can have run: this is the
	// first, or each one before was refused as not run.
	RepeatFirst
	// RepeatAgain: an earlier sending of the id may have run.
	RepeatAgain
)

// NoSlice stands for the slice of a request that any gate of its app may run:
// one of an app that is not divided by key, if it is idempotent or its id is
// fresh.
const NoSlice key.SliceID = 1<<32 - 1

// Request is a caller's request as it travels between daemons. It is not
// changed once it was given to a gate: each sending has its own copy.
type Request struct {
	_ struct{} `cbor:",toarray"`
	// ID is the caller's id, or one that the entry daemon made.
	ID string
	// App names the app.
	App key.App
	// Key is the caller's key; empty for an app that is not divided by key.
	Key string
	// Slice is where the key belongs. In an app that is not divided by key
	// it is where the id belongs, so that each repeat meets the same gate's
	// memory; NoSlice if the request is idempotent.
	Slice key.SliceID
	// Epoch is the owner's epoch by the sender's map. The gate refuses an
	// epoch that is not its own for a request that is not idempotent, so
	// that a sending delayed across a change of owner never runs.
	Epoch uint64
	// Attempt counts the sendings between daemons, from 1.
	Attempt uint32
	// Seq numbers all sendings of the entry daemon's session, rising. A gate
	// drops what does not rise: a duplicate, or a leftover of an older
	// connection.
	Seq uint64
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
	// AcceptedMs is when the entry daemon took the request from the caller,
	// in milliseconds since 1970 by the entry daemon's clock.
	AcceptedMs int64
	// Method, Path, Type and Body are passed to the target unchanged.
	Method string
	Path   string
	Type   string
	Body   []byte
	// Header holds the caller's header fields that are passed on unchanged,
	// each as "Name: value" and CR LF; empty in the project's own protocol.
	Header []byte
	// FreshID says that the id was never used before and never will be again,
	// so that no gate needs to remember it.
	FreshID bool
	// MaxAttempts bounds the sendings to targets; 0 sets no bound.
	MaxAttempts int
	// Route names the document's route; empty if the caller named the app.
	// Requests of one route take about the same time.
	Route string
	// Target is the time within which an answer is of full worth; 0 if none is
	// named.
	Target time.Duration
}

// Answer is the answer to one attempt of a request.
type Answer struct {
	_ struct{} `cbor:",toarray"`
	// ID, Attempt and Seq name the sending that is answered.
	ID      string
	Attempt uint32
	Seq     uint64
	// Code is the result.
	Code result.Code
	// Owner is the host that ran or refused the request.
	Owner string
	// Epoch is the newest epoch of the slice that the answerer knows.
	Epoch uint64
	// OwnEpoch is the epoch at which the answerer itself owns the slice; 0
	// if it does not.
	OwnEpoch uint64
	// RetryAfter says when the caller should come back; 0 says nothing.
	RetryAfter time.Duration
	// Wait is how long a new request would wait at the gate for a slot, by
	// the gate's own count.
	Wait time.Duration
	// Status, Type and Body are the target's answer.
	Status int
	Type   string
	Body   []byte
	// Header holds the target's header fields that are passed on unchanged,
	// in the form of Request.Header.
	Header []byte
	// Slots are the target's slots and Jobs the requests that run or wait
	// there, by the gate's own count when it answered; Service is how long one
	// takes on average. They are 0 if the gate does not say.
	Slots   uint16
	Jobs    uint16
	Service time.Duration
}

// FinalCode returns what a caller may be told of code c. That this sending did
// not run says nothing of earlier sendings of the same id, of which the daemon
// that refuses can't know: a caller who were told "not run" then would make a
// new id and run the request twice.
func FinalCode(r *Request, c result.Code) result.Code {
	if r.Idempotent || r.Repeat == RepeatFirst {
		return c
	}
	if c.Outcome() != result.NotRun {
		return c
	}
	return result.RepeatRefused
}
