package alarm

import (
	"time"

	"github.com/rhubarbring/rhubarbring/result"
)

// Event is what the alarm is told: Answered, Began, Ended, Parts, Seen,
// SetBounds, Restored, Delivered, Acknowledge or Tick.
type Event interface{ event() }

// Answered says how a request ended. The alarm itself decides whether that is
// an outcome at risk.
type Answered struct {
	ID         string
	Idempotent bool
	Code       result.Code
	Cause      string
}

// Began says that something has begun that puts a thing at risk once it lasts
// longer than its bound.
type Began struct {
	Condition Condition
	// For is how long it has lasted already.
	For time.Duration
}

// Ended says that it is over.
type Ended struct {
	Kind    Kind
	Subject string
}

// Parts names the parts of the fleet that the alarm is to see, such as
// availability zones. A part that is new counts as seen now.
type Parts struct{ Names []string }

// Seen says that there is news of a part.
type Seen struct{ Part string }

// SetBounds takes the bounds of a new document.
type SetBounds struct {
	Bounds   Bounds
	Receiver bool
}

// Restored gives an alarm that the store keeps, after a start.
type Restored struct{ Alarm Alarm }

// Delivered says how a Deliver ended.
type Delivered struct {
	ID    string
	Taken bool
}

// Acknowledge says that a person took notice of an alarm.
type Acknowledge struct{ ID string }

// Tick lets time pass; the shell sends one each second.
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

// Action is what the shell does: Rang, Deliver or Keep.
type Action interface{ action() }

// Rang says that an alarm has begun to ring: a log event and a metric.
type Rang struct{ Alarm Alarm }

// Deliver posts the alarm to the receiver and answers with Delivered.
type Deliver struct{ Alarm Alarm }

// Keep writes the alarm to the store.
type Keep struct{ Alarm Alarm }

func (Rang) action()    {}
func (Deliver) action() {}
func (Keep) action()    {}
