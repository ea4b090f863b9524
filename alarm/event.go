package alarm

import (
	"time"

	"github.com/rhubarbring/rhubarbring/result"
)

// Event is an input to Core.Step: Answered, Began, Ended, Parts, Seen, SetBounds,
// Restored, Delivered, Acknowledge or Tick.
type Event interface{ event() }

// Answered reports the result of a request. The Core decides whether its outcome
// is at risk.
type Answered struct {
	ID         string
	Idempotent bool
	Code       result.Code
	Cause      string
}

// Began reports that a condition has begun. It is at risk once it has lasted for
// the bound of its kind.
type Began struct {
	Condition Condition
	// For is how long the condition has lasted already.
	For time.Duration
}

// Ended reports that a condition has ended.
type Ended struct {
	Kind    Kind
	Subject string
}

// Parts lists the parts of the fleet, such as availability zones, from which news
// is expected. A part that is new counts as seen now.
type Parts struct{ Names []string }

// Seen reports that there is news of a part of the fleet.
type Seen struct{ Part string }

// SetBounds sets the bounds of a new document, and whether it names a receiver.
type SetBounds struct {
	Bounds   Bounds
	Receiver bool
}

// Restored hands over a stored alarm after a start.
type Restored struct{ Alarm Alarm }

// Delivered reports how a Deliver ended: Taken is false if it failed.
type Delivered struct {
	ID    string
	Taken bool
}

// Acknowledge reports that a person has acknowledged an alarm.
type Acknowledge struct{ ID string }

// Tick lets bounds and pauses run out. The code around the Core sends one every
// second.
type Tick struct{}

func (Answered) event()    {}
func (Began) event()       {}
func (Ended) event()       {}
func (Parts) event()       {}
func (Seen) event()        {}
func (SetBounds) event()   {}
func (Restored) event()    {}
func (Delivered) event()   {}
func (Acknowledge) event() {}
func (Tick) event()        {}

// Action is an output of Core.Step: Rang, Deliver or Keep.
type Action interface{ action() }

// Rang reports that an alarm or notice was raised, to be logged and counted.
type Rang struct{ Alarm Alarm }

// Deliver posts the alarm to the receiver. It is answered by a Delivered.
type Deliver struct{ Alarm Alarm }

// Keep writes the alarm to the store.
type Keep struct{ Alarm Alarm }

func (Rang) action()    {}
func (Deliver) action() {}
func (Keep) action()    {}
