package request

import (
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/result"
)

// Caller numbers a caller's waiting call at the entry daemon. The shell
// chooses it, unique among the calls that are not yet answered.
type Caller uint64

// Send asks to send a request to the gate of another daemon.
type Send struct {
	To      host.Session
	Request *Request
}

// Cancel asks a gate to give up a sending.
type Cancel struct {
	_       struct{} `cbor:",toarray"`
	ID      string
	Attempt uint32
	Seq     uint64
}

// SendCancel asks to send a Cancel to a gate, which may be the local one.
type SendCancel struct {
	To     host.Session
	Cancel Cancel
}

// Ack tells a gate which of its answers were handed to their callers. Should
// the entry daemon be lost, the gate raises the ones that were not.
type Ack struct {
	_    struct{} `cbor:",toarray"`
	Seqs []uint64
}

// SendAck asks to send an Ack to a gate, which may be the local one.
type SendAck struct {
	To  host.Session
	Ack Ack
}

// Reply asks to answer a caller. It is the only answer of the call.
type Reply struct {
	Caller Caller
	Answer *Answer
}

// Risk describes an outcome at risk: a request that must not repeat and of
// which its caller was not told for certain whether it ran.
type Risk struct {
	_ struct{} `cbor:",toarray"`
	// ID, App, Key, Slice and Epoch say which request, at which owner's.
	ID    string
	App   key.App
	Key   string
	Slice key.SliceID
	Epoch uint64
	// Owner is the session that the request was sent to, or nobody.
	Owner host.Session
	// Code says why.
	Code result.Code
	// Outcome is what is known of the outcome: Unknown, or what became of a
	// request whose caller could not be told.
	Outcome result.Outcome
}

// Settlement says that the outcome of a Risk raised earlier became known.
type Settlement struct {
	_       struct{} `cbor:",toarray"`
	ID      string
	App     key.App
	Key     string
	Outcome result.Outcome
}

// Actions collects what the router asks of its shell. The shell empties it
// with Reset when all was done, so that the steady state allocates nothing.
type Actions struct {
	Sends []Send
	// Local are sendings to the gate of this daemon.
	Local   []*Request
	Cancels []SendCancel
	Acks    []SendAck
	Replies []Reply
	Raises  []Risk
	Settles []Settlement
}

// Reset empties the actions and keeps their memory.
func (a *Actions) Reset() {
	clear(a.Sends)
	clear(a.Local)
	clear(a.Acks)
	clear(a.Replies)
	a.Sends = a.Sends[:0]
	a.Local = a.Local[:0]
	a.Cancels = a.Cancels[:0]
	a.Acks = a.Acks[:0]
	a.Replies = a.Replies[:0]
	a.Raises = a.Raises[:0]
	a.Settles = a.Settles[:0]
}
