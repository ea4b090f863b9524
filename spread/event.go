package spread

import (
	"time"

	"github.com/rhubarbring/rhubarbring/host"
)

// Event is what happens to a daemon: Tick, Members, Received, Watched, Listed
// or StoreFailed.
type Event interface{ event() }

// Tick is a heartbeat; the shell sends one each Config.Interval.
type Tick struct{}

// Members gives the living daemons of all zones, this one among them.
type Members struct{ All []Member }

// Received is a message of another daemon.
type Received struct {
	From    host.Session
	Message Message
}

// Watched answers a Watch.
type Watched struct {
	Kind Kind
	// Revision is that up to which the answer holds every change.
	Revision uint64
	// TooOld says that the store no longer knows the changes.
	TooOld  bool
	Objects []Object
}

// Listed answers a List.
type Listed struct {
	Kind Kind
	// After is that of the List.
	After string
	// Revision is the store's revision when the page was made.
	Revision uint64
	Objects  []Object
	// Next is the After of the next page; empty after the last.
	Next string
}

// StoreFailed answers a Watch or List that told nothing.
type StoreFailed struct{ Kind Kind }

func (Tick) event()        {}
func (Members) event()     {}
func (Received) event()    {}
func (Watched) event()     {}
func (Listed) event()      {}
func (StoreFailed) event() {}

// Action is what a daemon does: Send, Watch, Unwatch, List, Adopt or Ready.
type Action interface{ action() }

// Send sends a message to another daemon; it may be lost.
type Send struct {
	To      host.Session
	Message Message
}

// Watch waits in the store for changes of a kind after a revision, at most
// for Wait, and answers with one event.
type Watch struct {
	Kind     Kind
	Revision uint64
	Wait     time.Duration
}

// Unwatch ends the Watch of a kind; its answer, if any, is ignored.
type Unwatch struct{ Kind Kind }

// List reads a page of a kind from the store and answers with one event.
type List struct {
	Kind  Kind
	After string
}

// Adopt puts a version of an object in force. Its Value is whole.
type Adopt struct {
	Key    Key
	Object Object
}

// Ready says that the daemon has caught up since it started. All objects
// known until then were adopted just before.
type Ready struct{}

func (Send) action()    {}
func (Watch) action()   {}
func (Unwatch) action() {}
func (List) action()    {}
func (Adopt) action()   {}
func (Ready) action()   {}
