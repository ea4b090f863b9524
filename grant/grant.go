// Package grant decides which time-limited grants and releases of slices a
// daemon sends to a target that checks grants itself.
//
// Such a target runs a request only while it holds a grant of the request's
// slice. Only the daemon on its host can reach it, and grants it the slices that
// the session owns according to package handover. A grant expires by itself, no
// later than the session's lease, so that a target never holds a slice that
// another session may own.
//
// Neighbouring slices that are granted together at one epoch form a unit, which
// is renewed by one call. A call whose answer is lost may take effect late. Its
// slices count as possibly held for the grant's full duration, allowing for
// clock drift, from when the daemon saw the call end.
package grant

import (
	"time"

	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/targetstatus"
)

// Range is a range of consecutive slices of one app, both ends included.
type Range struct {
	App   key.App
	First key.SliceID
	Last  key.SliceID
}

// Has reports whether the range contains a slice.
func (r Range) Has(s key.Slice) bool {
	return r.App == s.App && r.First <= s.ID && s.ID <= r.Last
}

// Grant is a call that grants a range of slices to a target for a limited time.
type Grant struct {
	// Unit identifies the unit; Core.GrantAnswered takes it with the answer.
	Unit  uint64
	Range Range
	Epoch uint64
	// Hold is the longest duration of the grant, counted from the arrival of the
	// call. A call that leaves later than it was decided lasts for HoldAt.
	Hold time.Duration
	// Until is when the grant must have ended if it arrives as soon as Config.Slack
	// allows for, and LatestEnd whenever it arrives, by a target with an exact clock.
	// Then it ends by a slow one within the lease under which it was decided.
	Until     mono.Time
	LatestEnd mono.Time
	// Renewal is set if the target has accepted an earlier grant of the unit.
	Renewal bool
	// Process is the Reply.Process of the first call with the unit's epoch, or of the
	// process that may still hold a slice of the range at an earlier one; 0 if there
	// was none. Only that process may get the epoch.
	Process uint64
	// Token is the token that the previous owner's target returned on its
	// release; empty if it is not known.
	Token string
}

// Release is a call that ends a target's grant of a range. The target answers
// once no request of the range is running.
type Release struct {
	Range Range
	Epoch uint64
	// Process is the process that got the grant; 0 if none did. Another one's answer
	// would not say what that process holds.
	Process uint64
}

// Answer is the outcome of a call to a target.
type Answer uint8

const (
	// Accepted means that the target accepted the call.
	Accepted Answer = iota + 1
	// Refused means that the target knows a higher epoch, or cannot decode the
	// call.
	Refused
	// Unanswered means that the call may have taken effect or may do so later.
	Unanswered
	// Unsent means that the call was not sent.
	Unsent
	// Withdrawn means that the call left so late that it may outlast the lease, and
	// that a release followed it on the same connection. Until the target has handled
	// both it may hold the range.
	Withdrawn
	// OtherProcess means that the call was not sent, since the connections to the
	// process that had the epoch are gone and the next ones may lead to another.
	OtherProcess
)

// String returns the name used in logs.
func (a Answer) String() string {
	switch a {
	case Accepted:
		return "taken"
	case Refused:
		return "refused"
	case Unanswered:
		return "unanswered"
	case Unsent:
		return "unsent"
	case Withdrawn:
		return "withdrawn"
	case OtherProcess:
		return "other_process"
	}
	return "unknown"
}

// Config holds the settings of a Core.
type Config struct {
	// MaxHold is the longest duration of a grant.
	MaxHold time.Duration
	// Drift is the fraction by which a target's clock may run slow.
	Drift float64
	// Slack is subtracted from a grant for the transit time of the call.
	Slack time.Duration
	// MinHold is the shortest grant that is sent; a shorter one is not worth a
	// call.
	MinHold time.Duration
	// Retry is the delay before a failed call is repeated.
	Retry time.Duration
	// TokenWait is how long the grant of a slice that had another owner before
	// waits for the token of that owner's release.
	TokenWait time.Duration
	// MaxAnswerBytes bounds the encoded rows of the answer to a heartbeat.
	MaxAnswerBytes int
}

// DefaultConfig returns the default settings.
func DefaultConfig() Config {
	return Config{
		MaxHold:   10 * time.Second,
		Drift:     0.02,
		Slack:     20 * time.Millisecond,
		MinHold:   MinHold,
		Retry:     100 * time.Millisecond,
		TokenWait: 50 * time.Millisecond,

		MaxAnswerBytes: 4000, // A target takes answers of up to 4 KiB with all their fields.
	}
}

// holdTime returns the duration of a grant sent now under a lease. It is short
// enough that a target whose clock runs slow by Drift ends it before the lease
// expires.
func (c Config) holdTime(now, leaseEnd mono.Time) time.Duration {
	left := leaseEnd.Sub(now) - c.Slack
	safe := time.Duration(float64(left) / (1 + c.Drift))
	return min(safe.Truncate(time.Millisecond), c.MaxHold)
}

// LongestHold returns how long any grant may last at a target whose clock runs
// slow by Drift.
func (c Config) LongestHold() time.Duration {
	return c.longestHold(c.MaxHold)
}

// longestHold returns how long a grant may last at a target whose clock runs
// slow by Drift.
func (c Config) longestHold(hold time.Duration) time.Duration {
	return time.Duration(float64(hold) * (1 + c.Drift))
}

// Actions holds the calls that the daemon must make, and the slices that were
// released, whose grant was refused, or that the target holds unexpectedly. Calls for one unit are sequential: none
// is requested before the previous one was answered.
type Actions struct {
	Grants   []Grant
	Releases []Release
	// Released lists slices that the target certainly no longer holds.
	Released []ReleasedSlice
	// Refused lists slices of grants that the target refused. The session must
	// own them at another epoch before they can be granted.
	Refused []SliceEpoch
	// Unexpected lists slices that the target reports to hold at epochs at which
	// they were not granted to it. Each is listed for the first heartbeat that
	// shows it.
	Unexpected []SliceEpoch
}

// Reset empties the actions and keeps their allocated memory.
func (a *Actions) Reset() {
	a.Grants = a.Grants[:0]
	a.Releases = a.Releases[:0]
	a.Released = a.Released[:0]
	a.Refused = a.Refused[:0]
	a.Unexpected = a.Unexpected[:0]
}

// ReleasedSlice is a released slice, with the epoch of the release and the
// token that the target returned, if any.
type ReleasedSlice struct {
	Slice key.Slice
	Epoch uint64
	Token string
}

// SliceEpoch is a slice at one of its epochs.
type SliceEpoch struct {
	Slice key.Slice
	Epoch uint64
}

// compareSlices orders slices by app and number.
func compareSlices(a, b SliceEpoch) int {
	if a.Slice.App != b.Slice.App {
		if a.Slice.App < b.Slice.App {
			return -1
		}
		return 1
	}
	return int(int64(a.Slice.ID) - int64(b.Slice.ID))
}

func latest(a, b mono.Time) mono.Time {
	return max(a, b)
}

// Reply is a target's reply to a grant or a release.
type Reply struct {
	Answer Answer
	// Token is the token that the target returned with a release, also one that
	// withdrew a grant; empty if none.
	Token string
	// Statement is what the answer says of the target itself.
	Statement targetstatus.Statement
	// Process numbers the process of the target to which a grant was sent, as far as
	// open connections prove that it is the same; 0 if the grant was not sent.
	Process uint64
}
