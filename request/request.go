// Package request defines the request and answer messages that daemons
// exchange, and the Router, which drives each caller's request at its entry
// daemon: choosing a gate, retrying, waiting for an owner and answering.
package request

import (
	"time"

	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/result"
)

// Repeat is what the caller states about earlier submissions of the same ID.
type Repeat uint8

// The statements about earlier submissions.
const (
	// RepeatUnspecified: the caller stated nothing; an earlier submission may
	// exist.
	RepeatUnspecified Repeat = iota
	// RepeatFirst: no earlier submission of the ID can have run: this is the
	// first one, or every earlier one was refused as not run.
	RepeatFirst
	// RepeatAgain: an earlier submission of the ID may have run.
	RepeatAgain
)

// NoSlice is the slice ID of a request that any gate of its app may run. That
// holds if the app is not divided by key and the request is idempotent or has
// a fresh ID.
const NoSlice key.SliceID = 1<<32 - 1

// Request is a caller's request as it is sent between daemons. It is not
// modified once it was handed to a gate: each attempt has its own copy.
type Request struct {
	_ struct{} `cbor:",toarray"`
	// ID is the caller's request ID, or one that the entry daemon generated.
	ID string
	// App is the application that the request is for.
	App key.App
	// Key is the caller's key; empty for an app that is not divided by key.
	Key string
	// Slice is the slice of the key. In an app that is not divided by key it
	// is the slice of the ID, so that every repeat reaches the gate that
	// remembers the ID, or NoSlice if the request is idempotent or its ID is
	// fresh.
	Slice key.SliceID
	// Epoch is the owner's epoch according to the sender's map. For a request
	// that is not idempotent the gate accepts only its own epoch, so that an
	// attempt delayed across a change of owner never runs.
	Epoch uint64
	// Attempt numbers the attempts of the entry daemon, from 1.
	Attempt uint32
	// Seq numbers all attempts of the entry daemon's session in ascending
	// order. For requests that are not idempotent a gate drops an attempt
	// whose number is not higher than the last one from that session: it is a
	// duplicate, or was delayed on an older connection.
	Seq uint64
	// Idempotent reports whether the request may be run more than once.
	Idempotent bool
	// Repeat is the caller's statement about earlier submissions.
	Repeat Repeat
	// Class is the priority class.
	Class Class
	// Budget is the time that the gate has for the request, counted from the
	// sending of the message.
	Budget time.Duration
	// IDTimeMs is when the ID was generated, in milliseconds since 1970; 0 if
	// that is not known.
	IDTimeMs int64
	// AcceptedMs is when the entry daemon received the request from the
	// caller, in milliseconds since 1970 by the entry daemon's clock.
	AcceptedMs int64
	// Method, Path, ContentType and Body are passed to the target
	// unchanged.
	Method      string
	Path        string
	ContentType string
	Body        []byte
	// Header holds the caller's header fields that are forwarded unchanged,
	// each as "Name: value" followed by CR LF; empty in the native
	// protocol.
	Header []byte
	// FreshID reports that the ID was never used before and never will be
	// again, so that no gate needs to remember it.
	FreshID bool
	// MaxAttempts bounds the attempts that may reach a target; 0 means no
	// bound.
	MaxAttempts int
	// Route is the name of the route that matched in the environment's document;
	// empty if the caller named the app. Requests of one route are assumed to
	// take about the same time.
	Route string
	// LatencyTarget is the time within which an answer has its full value to
	// the caller. A later one is still passed on until the deadline. 0 means
	// that none is set.
	LatencyTarget time.Duration
	// Regions are the regions in which targets may run the request; empty for
	// all. Only the entry daemon uses them.
	Regions []host.Region `cbor:"-"`
	// Long refers to a body that is too long to be in Body; nil for others. A message
	// carries it as a LongRequest.
	Long *LongBody `cbor:"-"`
	// ParentIDs are the IDs of runs of the caller's own target that may have made
	// the request, by its ID, the most likely first; empty if the ID tells of none.
	// Only the entry daemon uses them.
	ParentIDs []string `cbor:"-"`
}

// LongBody tells where a gate's daemon reads the body of a request, once.
type LongBody struct {
	_ struct{} `cbor:",toarray"`
	// Address is the control address of the entry daemon, and Token names the body
	// there.
	Address string
	Token   string
	// Length is the number of bytes, or -1 if it is not known.
	Length int64
}

// LongRequest is the message for a Request with a LongBody.
type LongRequest struct {
	_       struct{} `cbor:",toarray"`
	Request Request
	Body    LongBody
}

// BulkBytes returns how many bytes the request's body, header and path take.
func (r *Request) BulkBytes() int {
	return len(r.Body) + len(r.Header) + len(r.Path)
}

// Answer is the answer to one attempt of a request.
type Answer struct {
	_ struct{} `cbor:",toarray"`
	// ID, Attempt and Seq identify the attempt that is answered.
	ID      string
	Attempt uint32
	Seq     uint64
	// Code is the result code.
	Code result.Code
	// Owner is the host that ran or refused the request.
	Owner string
	// Epoch is the newest epoch of the slice that the answering daemon knows.
	Epoch uint64
	// OwnerEpoch is the epoch at which the answering daemon itself owns the
	// slice; 0 if it does not.
	OwnerEpoch uint64
	// RetryAfter is how long the caller should wait before it retries; 0 gives
	// no advice.
	RetryAfter time.Duration
	// Wait is the gate's estimate of how long a new request would wait there
	// for a slot.
	Wait time.Duration
	// Status, ContentType and Body are the target's answer.
	Status      int
	ContentType string
	Body        []byte
	// Header holds the target's header fields that are forwarded unchanged,
	// in the format of Request.Header.
	Header []byte
	// Slots is the number of the target's slots that could be used when the
	// gate answered, Jobs the number of requests that ran or waited there, and
	// ServiceTime the mean service time. They are 0 if the gate does not report
	// them.
	Slots       uint16
	Jobs        uint16
	ServiceTime time.Duration
}

// BulkBytes returns how many bytes the answer's body and header take.
func (a *Answer) BulkBytes() int {
	return len(a.Body) + len(a.Header)
}

// CodeForCaller returns the code that the caller may be given for code c. That
// this submission did not run says nothing about earlier submissions of the
// same ID, which the refusing daemon can't know of. A caller that is told "not
// run" may send the request under a new ID, which could then run it twice.
func CodeForCaller(r *Request, c result.Code) result.Code {
	if r.Idempotent || r.Repeat == RepeatFirst {
		return c
	}
	if c.Outcome() != result.NotRun {
		return c
	}
	return result.RepeatRefused
}
