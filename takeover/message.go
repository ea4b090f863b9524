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

// Seals answers Asks with the seals that stand.
type Seals struct {
	_    struct{} `cbor:",toarray"`
	From host.Session
	To   host.Session
	Seq  uint64
	List []witness.Seal
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

func (Put) takeoverAction()   {}
func (Get) takeoverAction()   {}
func (Log) takeoverAction()   {}
func (Lost) takeoverAction()  {}
func (Asks) takeoverAction()  {}
func (Seals) takeoverAction() {}
