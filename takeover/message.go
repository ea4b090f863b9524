package takeover

import (
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/session"
	"github.com/rhubarbring/rhubarbring/witness"
)

// SealRequest requests the seal of one session, whose record as read from the store
// names the receiver as a witness.
type SealRequest struct {
	_          struct{} `cbor:",toarray"`
	Session    host.Session
	Generation uint64
	// Rank is the receiver's position in the witness set, from 0.
	Rank uint8
}

// SealRequests is the message that asks a witness to seal sessions. The witness
// seals only those that have stopped renewing with it too.
type SealRequests struct {
	_    struct{} `cbor:",toarray"`
	From host.Session
	To   host.Session
	Seq  uint64
	List []SealRequest
}

// SealResponse is the answer to SealRequests: the seals that the witness has
// made, and the sessions that it did not seal.
type SealResponse struct {
	_    struct{} `cbor:",toarray"`
	From host.Session
	To   host.Session
	Seq  uint64
	List []witness.Seal
	// Alive lists the requested sessions that the witness did not seal: they are
	// not silent, or it knows them as ended.
	Alive []host.Session
}

// Action is something that a Core asks its caller to perform.
type Action interface{ takeoverAction() }

// Put requests a conditional write of a record.
type Put struct{ session.Put }

// Get requests a read of a session's record from the store.
type Get struct{ session.Get }

// Log requests a log line.
type Log struct{ session.Log }

// Lost reports that this daemon has recorded a session as lost in the store.
type Lost struct {
	Session host.Session
	Version uint64
}

// Reason is what a takeover in progress waits for.
type Reason uint8

const (
	// StoreUnreachable means that the read or the write of the record has not
	// succeeded yet.
	StoreUnreachable Reason = iota + 1
	// NoWitnessMajority means that no majority of the session's witnesses has
	// answered, as when a region is cut off or lost together with its hosts.
	NoWitnessMajority
)

// String returns the text used in logs.
func (r Reason) String() string {
	if r == StoreUnreachable {
		return "the store does not answer"
	}
	return "no majority of the session's witnesses answers"
}

// Stuck reports that a silent session could not be taken over within
// stuckAfter, so its slices may have no owner. It is not raised while another
// witness hears the session. The takeover itself continues.
type Stuck struct {
	Session host.Session
	Place   host.Place // Location of the session's host; zero until the record was read.
	Reason  Reason
}

func (Put) takeoverAction()          {}
func (Get) takeoverAction()          {}
func (Log) takeoverAction()          {}
func (Lost) takeoverAction()         {}
func (SealRequests) takeoverAction() {}
func (SealResponse) takeoverAction() {}
func (Stuck) takeoverAction()        {}
