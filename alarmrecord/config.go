// Package alarmrecord decides which daemon writes the stored records of alarms,
// and when. Many daemons see the effects of one fault and raise an alarm for the
// same cause. They report it to one daemon, the collector, which merges the
// reports into the record of the cause, and reads it to learn that an operator
// has acknowledged the alarm.
//
// No daemon has that role by appointment: each reports to the first daemon of its
// own list of candidates that answers, and the last candidate is the daemon
// itself. Two collectors of one record do no harm, because writes are conditional
// and a record holds the reports of all daemons.
package alarmrecord

import (
	"time"

	"github.com/rhubarbring/rhubarbring/host"
)

// Config holds the settings of a Recorder.
type Config struct {
	// Self is this daemon's session.
	Self host.Session
	// Gather is how long a collector waits for the reports of other daemons
	// before it writes a cause's first record.
	Gather time.Duration
	// UpdateInterval is the shortest time from a write of a record to one that
	// only changes its counts. It doubles with each write, up to
	// MaxUpdateInterval.
	UpdateInterval    time.Duration
	MaxUpdateInterval time.Duration
	// Retry is the pause after a call that the store did not answer or a write
	// that met another version twice. It doubles with each failure, up to
	// MaxRetry, and is drawn from its upper half.
	Retry    time.Duration
	MaxRetry time.Duration
	// Resend is the interval at which a daemon repeats a report until it is in
	// the record. Keepalive is the interval of its short reports after that, by
	// which a new collector learns of the alarm.
	Resend    time.Duration
	Keepalive time.Duration
	// AnswerTimeout is how long a collector may leave reports unanswered, and
	// StoreTimeout how long it may take to have the cause's record in the store,
	// before it is passed over for SuspectFor.
	AnswerTimeout time.Duration
	StoreTimeout  time.Duration
	SuspectFor    time.Duration
	// Poll is the interval at which a collector lists the records to find
	// acknowledgements.
	Poll time.Duration
	// ForgetAfter is how long a collector keeps a report that its daemon no
	// longer repeats, and how old its last write of a record must be before a
	// list without the record means that the store has lost it. A list may be
	// seconds old.
	ForgetAfter time.Duration
	// Seed seeds the random part of the pauses.
	Seed uint64
}

// DefaultConfig returns the default settings, without Self and Seed. A lost
// collector is replaced within AnswerTimeout and two Resends, and an
// acknowledgement reaches the daemons within about a Poll.
func DefaultConfig() Config {
	return Config{
		Gather:            500 * time.Millisecond,
		UpdateInterval:    10 * time.Second,
		MaxUpdateInterval: 30 * time.Second,
		Retry:             time.Second,
		MaxRetry:          10 * time.Second,
		Resend:            2 * time.Second,
		Keepalive:         10 * time.Second,
		AnswerTimeout:     3 * time.Second,
		StoreTimeout:      5 * time.Second,
		SuspectFor:        30 * time.Second,
		Poll:              10 * time.Second,
		ForgetAfter:       time.Minute,
	}
}
