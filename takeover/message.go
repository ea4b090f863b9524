package takeover

import (
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/session"
	"github.com/rhubarbring/rhubarbring/witness"
)

// Ask names a session whose record, as read from the store, names the asked
// daemon as a witness.
type Ask struct {
	_          struct{} `cbor:",toarray"`
	Session    host.Session
	Generation uint64
	// Rank is the asked witness's place in the set, from 0.
	Rank uint8
}

// Asks asks a witness to seal sessions, if they are silent to it too.
type Asks struct {
	_    struct{} `cbor:",toarray"`
	From host.Session
	To   host.Session
	Seq  uint64
	List []Ask
}

// Seals answers Asks with the seals that stand, and the sessions that the
// witness hears.
type Seals struct {
	_    struct{} `cbor:",toarray"`
	From host.Session
	To   host.Session
	Seq  uint64
	List []witness.Seal
	// Heard are the sessions asked about that the witness does not find silent.
	Heard []host.Session
}

// Action is what a Core asks its shell to do.
type Action interface{ takeoverAction() }

// Put asks for a conditional write of a record.
type Put struct{ session.Put }

// Get asks for a session's record as it stands in the store.
type Get struct{ session.Get }

// Log asks for a log line.
type Log struct{ session.Log }

// Lost says that a session stands in the store as lost, written here.
type Lost struct {
	Session host.Session
	Version uint64
}

// Reason says what keeps a takeover from its end.
type Reason uint8

// The reasons.
const (
	// StoreSilent: the store does not answer.
	StoreSilent Reason = iota + 1
	// WitnessesSilent: no majority of the session's witnesses answers, as
	// when a region is cut off, or was lost together with its hosts.
	WitnessesSilent
)

// String returns the reason as it stands in logs.
func (r Reason) String() string {
	if r == StoreSilent {
		return "the store does not answer"
	}
	return "no majority of the session's witnesses answers"
}

// Stuck says that a silent session could not be taken over for a while. Its
// slices may be without an owner. It is not raised while another witness
// hears the session. The takeover goes on by itself.
type Stuck struct {
	Session host.Session
	Place   host.Place // Where the session stands, if its record was read.
	Reason  Reason
}

func (Put) takeoverAction()   {}
func (Get) takeoverAction()   {}
func (Log) takeoverAction()   {}
func (Lost) takeoverAction()  {}
func (Asks) takeoverAction()  {}
func (Seals) takeoverAction() {}
func (Stuck) takeoverAction() {}
