// Package spread replicates documents, assignments and session records from
// the store to every daemon. It decides which versions a daemon holds, puts in
// force and sends to others.
//
// In each availability zone one daemon, the relay, watches the store. The
// zone's daemons form a tree below it. Each exchanges revisions with its
// parent at every heartbeat, and the one that is behind receives the changes
// that it lacks. The store's versions rise across all objects, so one number
// for each kind, the revision up to which a daemon knows every change, is
// enough to compare two daemons, and a lost message is made up for at the next
// heartbeat.
//
// The version of an object never decreases: a version is accepted only if it
// is higher than the one held, and a restarted daemon puts nothing in force
// before it has caught up with the store or with its peers.
package spread

import (
	"github.com/rhubarbring/rhubarbring/host"
)

// Kind is the name of a kind of objects in the store.
type Kind string

// Key identifies an object.
type Key struct {
	Kind Kind
	Name string
}

// Object is one version of an object.
type Object struct {
	_    struct{} `cbor:",toarray"`
	Name string
	// Version is the store's revision at the write of this version.
	Version uint64
	// Deleted reports that the write removed the object.
	Deleted bool
	// Base is 0 if Value is the full value. Otherwise Value is the difference
	// from the object's version Base. If Base is Version, the object is a reference:
	// it names a version that the receiver holds, and has no Value.
	Base  uint64
	Value []byte
}

// reference returns a reference to the version.
func (o Object) reference() Object {
	return Object{Name: o.Name, Version: o.Version, Base: o.Version}
}

func (o Object) isReference() bool {
	return o.Base != 0 && o.Base == o.Version
}

// Message is a message between daemons: *Digest, *ChangesRequest or *Objects.
type Message interface{ message() }

// Digest holds the revisions up to which the sender knows each kind. Daemons
// exchange it at heartbeats to find out which of them is behind.
type Digest struct {
	_ struct{} `cbor:",toarray"`
	// Revisions holds for each kind, in the order of Config.Kinds, the
	// revision up to which the sender knows every change. Kinds that the
	// receiver is known to lack are left out.
	Revisions []uint64
	// CaughtUp reports that the sender has caught up since it started.
	CaughtUp bool
	// Child reports that the receiver is the sender's parent in the tree.
	Child bool
	// WantAnswer asks the receiver for an answer.
	WantAnswer bool
	// Relay reports that the store has answered a watch of the sender within
	// Config.RelayTimeout.
	Relay bool
	// StoreAge is the age in milliseconds of the sender's newest information
	// from the store, direct or through other daemons.
	StoreAge uint32
	// Hosts is the number of daemons at and below the sender, and InForce the
	// revision of the first kind up to which all of them have every version
	// in force.
	Hosts   uint32
	InForce uint64
}

// ChangesRequest requests the objects of a kind that changed after a revision.
type ChangesRequest struct {
	_ struct{} `cbor:",toarray"`
	// Kind is a position in Config.Kinds.
	Kind uint8
	// After is the revision up to which the sender knows every change.
	After uint64
	// Cursor is the last name that the sender has received of a snapshot in
	// progress.
	Cursor string
	// Whole asks for full values, because a difference could not be applied.
	Whole bool
}

// Objects carries changes of one kind: all changes after one revision up to
// another, a part of a snapshot or, if UpTo is 0, a version that a daemon wrote.
type Objects struct {
	_ struct{} `cbor:",toarray"`
	// Kind is a position in Config.Kinds.
	Kind uint8
	// After and UpTo delimit the changes. A receiver that knows every change
	// up to After knows every change up to UpTo once it has applied them.
	After uint64
	UpTo  uint64
	// Snapshot reports that Items are all objects with names above First and
	// up to Last, or all above First if Last is empty.
	Snapshot bool
	First    string
	Last     string
	Items    []Object
}

func (*Digest) message()         {}
func (*ChangesRequest) message() {}
func (*Objects) message()        {}

// Member is a live daemon.
type Member struct {
	Session host.Session
	Zone    host.Zone
}
