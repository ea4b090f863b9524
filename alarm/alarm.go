// Package alarm decides when the alarm rings. It rings for what is truly at
// risk and for nothing else: an outcome of a request that may not be repeated
// and is unknown or late; a slice without an owner, a document not in force or
// an assignment at risk, each past its bound. What heals within its bound
// never rings. Everything of one cause is one alarm. An alarm is delivered
// until it is taken, and kept until a person acknowledges it. When the alarm
// has no news of a part of the fleet it says so, since its silence then means
// nothing.
package alarm

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/rhubarbring/rhubarbring/mono"
)

// StoreKind is the kind of the Records in the store, each named by its ID.
const StoreKind = "alarm"

const idDigits = 16

// IDOf returns the ID of the alarms for a cause in an environment.
func IDOf(environment, cause string) string {
	sum := sha256.Sum256([]byte(environment + "\n" + cause))
	return hex.EncodeToString(sum[:])[:idDigits]
}

// Kind says what is at risk.
type Kind string

// The kinds. CannotSee is a notice; the others ring.
const (
	OutcomeAtRisk      Kind = "outcome_at_risk"
	UnownedKey         Kind = "unowned_key"
	DocumentNotInForce Kind = "document_not_in_force"
	AssignmentAtRisk   Kind = "assignment_at_risk"
	CannotSee          Kind = "cannot_see"
)

// kinds lists the kinds in the order in which alarms show them.
var kinds = []Kind{OutcomeAtRisk, UnownedKey, DocumentNotInForce, AssignmentAtRisk, CannotSee}

// Condition is one thing at risk.
type Condition struct {
	// Kind says what sort of thing.
	Kind Kind
	// Subject names it: a request's id, a slice, a host.
	Subject string
	// Cause is the same for everything of one fault, such as "session
	// h1/3"; empty if it isn't known.
	Cause string
}

// Severity says whether an alarm asks for a person at once.
type Severity string

// The severities.
const (
	// Ring: something is at risk.
	Ring Severity = "ring"
	// Notice: the alarm can't see a part of the fleet.
	Notice Severity = "notice"
)

// Count says how much of a kind an alarm concerns.
type Count struct {
	Kind Kind `json:"kind"`
	// AtRisk counts what came to be at risk since the alarm rang, and Now
	// what still is. Outcomes stay at risk until the alarm is acknowledged.
	AtRisk int `json:"at_risk"`
	Now    int `json:"now"`
}

// Alarm is an alarm as it is posted to the receiver, stored and shown.
type Alarm struct {
	// ID names the alarm: the same for each delivery of it, and for the
	// alarms of all daemons for one cause.
	ID string `json:"id"`
	// Reporter is the daemon that raised it.
	Reporter string `json:"reporter"`
	// Environment is where it rang.
	Environment string `json:"environment"`
	// Cause is what everything in the alarm has in common.
	Cause string `json:"cause"`
	// Severity says whether it rings.
	Severity Severity `json:"severity"`
	// Counts says how much is at risk, by kind.
	Counts []Count `json:"counts"`
	// Subjects names the first of what is at risk.
	Subjects []string `json:"subjects"`
	// RaisedMs and UpdatedMs are milliseconds since 1970.
	RaisedMs  int64 `json:"raised_ms"`
	UpdatedMs int64 `json:"updated_ms"`
	// Deliveries counts the deliveries that were tried.
	Deliveries int `json:"deliveries"`
	// Taken says that the receiver has taken the alarm.
	Taken bool `json:"taken"`
	// Acknowledged says who acknowledged it; nil until then.
	Acknowledged *Acknowledgement `json:"acknowledged,omitempty"`
}

// Acknowledgement says who took notice of an alarm.
type Acknowledgement struct {
	Who    string `json:"who"`
	Why    string `json:"why"`
	UnixMs int64  `json:"unix_ms"`
}

// Clock is the time of an event: on the host's monotonic clock, and in
// milliseconds since 1970 for people.
type Clock struct {
	Mono   mono.Time
	UnixMs int64
}

// Bounds are the bounds of the document in force.
type Bounds struct {
	UnownedKey         time.Duration
	DocumentNotInForce time.Duration
	AssignmentAtRisk   time.Duration
	CannotSee          time.Duration
}

// of returns the bound of a kind; outcomes ring at once, and what can't be
// seen has waited for its bound already.
func (b Bounds) of(k Kind) time.Duration {
	switch k {
	case UnownedKey:
		return b.UnownedKey
	case DocumentNotInForce:
		return b.DocumentNotInForce
	case AssignmentAtRisk:
		return b.AssignmentAtRisk
	}
	return 0
}

// Config sets up a Core.
type Config struct {
	// Environment stands in each alarm.
	Environment string
	// Reporter names this daemon in its alarms.
	Reporter string
	// Bounds are those of the document in force.
	Bounds Bounds
	// Receiver says that the document names a receiver to call.
	Receiver bool
	// Retry is the pause after a delivery that wasn't taken; it doubles up
	// to MaxRetry.
	Retry    time.Duration
	MaxRetry time.Duration
	// Update is the least time between deliveries of one alarm that has
	// changed.
	Update time.Duration
	// Subjects bounds the names in an alarm.
	Subjects int
}

// DefaultConfig returns the usual settings but for Environment, Reporter,
// Bounds and Receiver.
func DefaultConfig() Config {
	return Config{
		Retry:    time.Second,
		MaxRetry: 30 * time.Second,
		Update:   30 * time.Second,
		Subjects: 20,
	}
}
