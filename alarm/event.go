package alarm

import (
	"time"

	"github.com/rhubarbring/rhubarbring/result"
)

// Event is an input to Core.Step: RequestAnswered, ConditionBegan,
// ConditionEnded, SetParts, PartSeen, SetBounds, Restored, DeliveryDone,
// Acknowledge or Tick.
type Event interface{ event() }

// RequestAnswered reports the result of a request. The Core decides whether its
// outcome is at risk.
type RequestAnswered struct {
	ID         string
	Idempotent bool
	Code       result.Code
	Cause      string
}

// ConditionBegan reports that a condition has begun. It is at risk once it has
// lasted for the bound of its kind.
type ConditionBegan struct {
	Condition Condition
	// For is how long the condition has lasted already.
	For time.Duration
}

// ConditionEnded reports that a condition has ended.
type ConditionEnded struct {
	Kind    Kind
	Subject string
}

// SetParts lists the parts of the fleet, such as availability zones, about which
// information is expected. A part that is new counts as seen now.
type SetParts struct{ Names []string }

// PartSeen reports that this daemon has received current information about a
// part of the fleet.
type PartSeen struct{ Part string }

// SetBounds sets the bounds of a new document, and whether it names a receiver.
type SetBounds struct {
	Bounds      Bounds
	HasReceiver bool
}

// Restored hands over a stored alarm after a start.
type Restored struct{ Alarm Alarm }

// DeliveryDone reports how a Deliver ended: Taken is false if it failed.
type DeliveryDone struct {
	ID    string
	Taken bool
}

// Acknowledge reports that a person has acknowledged an alarm.
type Acknowledge struct{ ID string }

// Tick makes the Core act on the bounds and pauses that have ended. The code
// around the Core sends one every second.
type Tick struct{}

func (RequestAnswered) event() {}
func (ConditionBegan) event()  {}
func (ConditionEnded) event()  {}
func (SetParts) event()        {}
func (PartSeen) event()        {}
func (SetBounds) event()       {}
func (Restored) event()        {}
func (DeliveryDone) event()    {}
func (Acknowledge) event()     {}
func (Tick) event()            {}

// Action is an output of Core.Step: Raised, Deliver or StoreAlarm.
type Action interface{ action() }

// Raised reports that an alarm or notice was raised, to be logged and counted.
type Raised struct{ Alarm Alarm }

// Deliver posts the alarm to the receiver. It is answered by a DeliveryDone.
type Deliver struct{ Alarm Alarm }

// StoreAlarm writes the alarm to the store.
type StoreAlarm struct{ Alarm Alarm }

func (Raised) action()     {}
func (Deliver) action()    {}
func (StoreAlarm) action() {}
