// Package spread decides which versions of documents, assignments and session
// records a daemon has and passes on.
//
// In each availability zone one daemon, the relay, watches the store. The
// zone's daemons form a tree below it: each exchanges revisions with its
// parent at every heartbeat, and whoever is behind gets what it lacks. The
// store's versions rise across all objects, so one number for each kind, the
// revision up to which a daemon knows every change, says all there is to
// compare, and a lost message heals at the next heartbeat.
//
// An object never goes back: a version is taken only if it is higher than the
// one held, and a daemon that has restarted puts nothing in force before it
// has caught up with the store or with its peers.
package spread

import (
	"github.com/rhubarbring/rhubarbring/host"
)

// Kind names a kind of objects, as in the store.
type Kind string

// Key names an object.
type Key struct {
	Kind Kind
	Name string
}

// Object is one version of an object.
type Object struct {
	_    struct{} `cbor:",toarray"`
	Name string
	// Version is the store's revision of the write that made it.
	Version uint64
	// Deleted says that the write removed the object.
	Deleted bool
	// Base is 0 if Value is whole. Otherwise Value is the difference from
	// the object's version Base.
	Base  uint64
	Value []byte
}

// Message is what daemons send each other: *Have, *Ask or *Objects.
type Message interface{ message() }

// Have says how far a daemon knows each kind.
type Have struct {
	_ struct{} `cbor:",toarray"`
	// Revisions gives for each kind, in the order of Config.Kinds, the
	// revision up to which the sender knows every change.
	Revisions []uint64
	// Ready says that the sender has caught up since it started.
	Ready bool
	// Child says that the sender takes the receiver as its parent.
	Child bool
	// Answer says that the sender wants an answer.
	Answer bool
	// Relay says that the store answers the sender's own watches.
	Relay bool
	// StoreAge is how long ago the sender's information left the store, in
	// milliseconds.
	StoreAge uint32
	// Hosts counts the daemons at and below the sender, and InForce is the
	// revision of the first kind that all of them have in force.
	Hosts   uint32
	InForce uint64
}

// Ask wants the objects of a kind that changed after a revision.
type Ask struct {
	_ struct{} `cbor:",toarray"`
	// Kind is a position in Config.Kinds.
	Kind uint8
	// After is the revision up to which the sender knows every change.
	After uint64
	// Cursor is the last name of a snapshot that the sender has so far.
	Cursor string
	// Whole wants no differences: one did not fit.
	Whole bool
}

// Objects holds changes of one kind: all those after one revision up to
// another, or a part of a snapshot.
type Objects struct {
	_ struct{} `cbor:",toarray"`
	// Kind is a position in Config.Kinds.
	Kind uint8
	// After and UpTo bound the changes. A receiver that knows every change
	// up to After knows them up to UpTo afterwards.
	After uint64
	UpTo  uint64
	// Snapshot says that Items are all objects with names above First and
	// up to Last, the rest if Last is empty.
	Snapshot bool
	First    string
	Last     string
	Items    []Object
}

func (*Have) message()    {}
func (*Ask) message()     {}
func (*Objects) message() {}

// Member is a living daemon.
type Member struct {
	Session host.Session
	Zone    host.Zone
}
