// Package alarm decides when to raise alarms. An alarm is raised only for what is
// at risk: the unknown or late outcome of a request that may not be repeated,
// at once; and a slice without an owner, a document not in force or an
// assignment at risk, once it has lasted for its bound. A condition that ends
// within its bound never raises one.
//
// Conditions with the same cause share one alarm. An alarm is delivered until
// the receiver has accepted it, and kept in the store until a person acknowledges
// it. A notice is raised when nothing has been received about a part of the
// fleet for Bounds.CannotSee, because the absence of alarms about that part then
// means nothing.
package alarm

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/rhubarbring/rhubarbring/mono"
)

// StoreKind is the kind of the stored Records. A Record's name in the store is
// the ID of its Alarm.
const StoreKind = "alarm"

const idDigits = 16

// IDOf returns the ID of the alarms for a cause in an environment: a prefix of
// the hexadecimal SHA-256 of both. It is the same on all daemons.
func IDOf(environment, cause string) string {
	sum := sha256.Sum256([]byte(environment + "\n" + cause))
	return hex.EncodeToString(sum[:])[:idDigits]
}

// Kind is the kind of a condition.
type Kind string

// The kinds of conditions. CannotSee, nothing received about a part of the
// fleet, is only a notice; the others raise alarms.
const (
	OutcomeAtRisk      Kind = "outcome_at_risk"
	UnownedKey         Kind = "unowned_key"
	DocumentNotInForce Kind = "document_not_in_force"
	AssignmentAtRisk   Kind = "assignment_at_risk"
	CannotSee          Kind = "cannot_see"
)

// kinds lists the kinds in the order in which alarms count them.
var kinds = []Kind{OutcomeAtRisk, UnownedKey, DocumentNotInForce, AssignmentAtRisk, CannotSee}

// Condition is one condition that puts something at risk, at once or once it
// has lasted for its bound.
type Condition struct {
	// Kind is the kind of the condition.
	Kind Kind
	// Subject names what is affected: a request's id, a slice or a host.
	Subject string
	// Cause names the fault, such as "session h1/3", or is empty if it is not
	// known. Conditions of one fault have the same cause.
	Cause string
}

// Severity tells whether an alarm needs a person at once.
type Severity string

// The severities.
const (
	// Ring: something is at risk.
	Ring Severity = "ring"
	// Notice: nothing has been received about a part of the fleet.
	Notice Severity = "notice"
)

// Count counts the conditions of one kind in an alarm.
type Count struct {
	Kind Kind `json:"kind"`
	// AtRisk counts the conditions that have come to be at risk, and Now those
	// of them that have not ended. Outcomes stay at risk until the alarm is
	// acknowledged.
	AtRisk int `json:"at_risk"`
	Now    int `json:"now"`
}

// Alarm is an alarm in the form that is posted to the receiver, stored and
// shown to operators.
type Alarm struct {
	// ID is the IDOf the cause. It is the same for each delivery of the
	// alarm, and for the alarms of all daemons for one cause.
	ID string `json:"id"`
	// Reporter is the daemon that raised it.
	Reporter string `json:"reporter"`
	// Environment is the environment of the reporter.
	Environment string `json:"environment"`
	// Cause is the cause that all conditions of the alarm share.
	Cause string `json:"cause"`
	// Severity is Ring if any condition is of another kind than CannotSee.
	Severity Severity `json:"severity"`
	// Counts holds the counts of the kinds that have been at risk.
	Counts []Count `json:"counts"`
	// Subjects lists the kinds and subjects of the first conditions at risk,
	// up to Config.MaxSubjects.
	Subjects []string `json:"subjects"`
	// RaisedMs is the time at which the alarm was raised, and UpdatedMs that
	// of its last delivery, in milliseconds since 1970.
	RaisedMs  int64 `json:"raised_ms"`
	UpdatedMs int64 `json:"updated_ms"`
	// Deliveries counts the attempts at delivery, including those without a
	// receiver, which post nothing.
	Deliveries int `json:"deliveries"`
	// Taken reports that the receiver has accepted the alarm.
	Taken bool `json:"taken"`
	// Number orders the reports of this alarm to the daemon that writes its
	// record (package alarmrecord). It is not part of the posted form.
	Number uint64 `json:"-"`
	// Acknowledged is nil until a person acknowledges the alarm.
	Acknowledged *Acknowledgement `json:"acknowledged,omitempty"`
}

// Acknowledgement records who acknowledged an alarm, and why.
type Acknowledgement struct {
	Who    string `json:"who"`
	Why    string `json:"why"`
	UnixMs int64  `json:"unix_ms"`
}

// Instant is the time of an event on the host's monotonic clock, which all
// decisions use, and in milliseconds since 1970, for display.
type Instant struct {
	Mono   mono.Time
	UnixMs int64
}

// Bounds holds, for each kind except OutcomeAtRisk, how long a condition may
// last before it is at risk. The document in force sets them.
type Bounds struct {
	UnownedKey         time.Duration
	DocumentNotInForce time.Duration
	AssignmentAtRisk   time.Duration
	CannotSee          time.Duration
}

// of returns the bound of a kind. It is 0 for outcomes, which raise an alarm at
// once, and for CannotSee, whose condition begins only after its bound.
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

// Config holds the settings of a Core.
type Config struct {
	// Environment is copied into each alarm.
	Environment string
	// Reporter identifies this daemon in its alarms.
	Reporter string
	// Bounds are those of the document in force.
	Bounds Bounds
	// HasReceiver reports that the document names a receiver. Without one,
	// alarms are not posted and move to the state told at once; Alarm.Taken stays
	// false.
	HasReceiver bool
	// Retry is the pause after a delivery that was not accepted. It doubles with
	// each failure, up to MaxRetry.
	Retry    time.Duration
	MaxRetry time.Duration
	// UpdateInterval is the shortest time from a delivery of an alarm to the
	// delivery of its later changes.
	UpdateInterval time.Duration
	// MaxSubjects bounds the number of subjects in an alarm.
	MaxSubjects int
}

// DefaultConfig returns the default settings, without Environment, Reporter,
// Bounds and HasReceiver.
func DefaultConfig() Config {
	return Config{
		Retry:          time.Second,
		MaxRetry:       30 * time.Second,
		UpdateInterval: 30 * time.Second,
		MaxSubjects:    20,
	}
}
