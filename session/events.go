package session

import (
	"github.com/rhubarbring/rhubarbring/event"
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/result"
)

// Event is an input of a Core.
type Event interface{ sessionEvent() }

// Tick makes the Core do what has become due. It must come at least every
// 50 ms.
type Tick struct{}

// PutResult is the result of a Put, identified by its token. Code is OK,
// StoreConflict (another version is current), StoreDoubt (the write may have
// taken effect or may still take effect) or StoreUnavailable (it was not sent).
// A call that timed out has the code StoreDoubt.
type PutResult struct {
	Token   string
	Code    result.Code
	Version uint64 // The new version, if OK.
}

// GetResult is the result of a Get. Code is OK, StoreNotFound or
// StoreUnavailable.
type GetResult struct {
	Session host.Session
	Code    result.Code
	Found   VersionedRecord // If OK.
}

// RecordObserved reports a record as read from the store, received from a watch
// or a peer.
type RecordObserved struct {
	Record VersionedRecord
}

// RecordDeleted reports that the session's record is missing from the store, as a
// watch or a peer showed. The Core reads it before it ends the session.
type RecordDeleted struct{}

// Member is a session of the fleet, as its record shows it.
type Member struct {
	Session host.Session
	Place   host.Place
	State   State
	Group   string // As in Record.
}

// MembersChanged reports the sessions of the fleet as last known, with or
// without those of the daemon's own host. The Core retains the slice and does
// not modify it.
type MembersChanged struct {
	List []Member
}

// TargetAnnounced reports the target on the daemon's host; nil if there is none any
// more.
type TargetAnnounced struct {
	Target *Target
}

// Drain starts a planned stop: the record's state becomes Draining.
type Drain struct{}

// Leave ends the session as planned, after all slices have been released. The
// session holds no lease from this event on.
type Leave struct{}

func (Tick) sessionEvent()            {}
func (PutResult) sessionEvent()       {}
func (GetResult) sessionEvent()       {}
func (RecordObserved) sessionEvent()  {}
func (RecordDeleted) sessionEvent()   {}
func (MembersChanged) sessionEvent()  {}
func (TargetAnnounced) sessionEvent() {}
func (Drain) sessionEvent()           {}
func (Leave) sessionEvent()           {}
func (RenewResponse) sessionEvent()   {}

// Action is an output of a Core, which the daemon performs.
type Action interface{ sessionAction() }

// Put requests a conditional write of a record: kind "session", name
// ObjectName(Record.Session), If-Version IfVersion. The same Put may be requested
// again while its outcome is in doubt.
type Put struct {
	IfVersion uint64
	Record    Record
}

// Get requests a read of a session's record from the store.
type Get struct {
	Session host.Session
}

// Log requests a log line.
type Log struct {
	ID     event.ID
	Peer   host.Session // The other session concerned, or host.NoSession.
	Detail string
}

// Finished reports that the session has ended. The daemon can continue only
// under a new session, with new cores.
type Finished struct {
	State  State
	Detail string
}

func (Put) sessionAction()      {}
func (Get) sessionAction()      {}
func (Log) sessionAction()      {}
func (Finished) sessionAction() {}
func (Renew) sessionAction()    {}
