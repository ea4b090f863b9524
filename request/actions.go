package request

import (
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/result"
)

// CallID identifies a caller's pending call at the entry daemon. The daemon
// chooses the number, unique among the calls that are not yet answered.
type CallID uint64

// Send is an order to send a request to the gate of another daemon.
type Send struct {
	To      host.Session
	Request *Request
}

// Cancel asks a gate to abandon an attempt.
type Cancel struct {
	_       struct{} `cbor:",toarray"`
	ID      string
	Attempt uint32
	Seq     uint64
}

// SendCancel is an order to send a Cancel to a gate, which may be the local
// one.
type SendCancel struct {
	To     host.Session
	Cancel Cancel
}

// Ack tells a gate which of its answers were passed to their callers. If the
// entry daemon is lost, the gate reports a Risk for each of the others.
type Ack struct {
	_    struct{} `cbor:",toarray"`
	Seqs []uint64
}

// SendAck is an order to send an Ack to a gate, which may be the local one.
type SendAck struct {
	To  host.Session
	Ack Ack
}

// Reply is an order to answer a caller. Each call gets at most one.
type Reply struct {
	Call   CallID
	Answer *Answer
}

// Risk is an outcome at risk: a request that is not idempotent and whose
// caller was not told reliably whether it ran.
type Risk struct {
	_ struct{} `cbor:",toarray"`
	// ID, App, Key and Slice identify the request; Epoch is the owner's epoch.
	ID    string
	App   key.App
	Key   string
	Slice key.SliceID
	Epoch uint64
	// Owner is the session that the request was sent to; the zero Session if
	// it was not sent.
	Owner host.Session
	// Code is the cause.
	Code result.Code
	// Outcome is Unknown, or the known outcome of a request whose caller could
	// not be told.
	Outcome result.Outcome
}

// Settlement reports that the outcome of a Risk that was reported earlier became
// known.
type Settlement struct {
	_       struct{} `cbor:",toarray"`
	ID      string
	App     key.App
	Key     string
	Outcome result.Outcome
}

// Actions collects the orders of the router to the daemon that runs it, since
// the router itself does no I/O. The daemon calls Reset once it has carried
// them out; reusing the memory keeps the steady state free of allocations.
type Actions struct {
	Sends []Send
	// Local are the requests for the gate of this daemon.
	Local       []*Request
	Cancels     []SendCancel
	Acks        []SendAck
	Replies     []Reply
	Risks       []Risk
	Settlements []Settlement
}

// Reset empties the actions and keeps their memory for reuse.
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
	a.Risks = a.Risks[:0]
	a.Settlements = a.Settlements[:0]
}
