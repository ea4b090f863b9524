// Package targetstatus holds what targets say of themselves in their answers: the
// rate of requests that they take, and that they are about to end. Local keeps the
// status of the target beside a daemon, Directory what other daemons reported of
// theirs.
//
// A status belongs to one instance of a target, that is, to one run of its
// process: the next one owes nothing. What is known of an instance reaches the
// next daemon beside it with Reports of the daemons that were told.
package targetstatus

import (
	"cmp"
	"math"

	"github.com/rhubarbring/rhubarbring/host"
)

// Status is what an instance of a target has said of itself.
type Status struct {
	// RateLimit is the number of requests a second that the target takes from all
	// daemons together; 0 if it names none.
	RateLimit float64
	// Leaving reports that the target is about to end. It never ends before the
	// instance does.
	Leaving bool
}

// IsZero reports whether there is neither a limit nor an end ahead.
func (s Status) IsZero() bool {
	return s == Status{}
}

// MinRateLimit is the lowest rate, in requests a second, that a limit counts as. A
// target that names less, or 0, still gets a request now and then, since only its
// answers can say that the limit has ended.
const MinRateLimit = 0.25

// Statement is what one answer of a target says.
type Statement struct {
	// LimitNamed reports whether the answer names a limit, and Limit is that limit
	// in requests a second, or NaN if it can't be read.
	LimitNamed bool
	Limit      float64
	// Leaving reports whether the answer says that the target is about to end.
	Leaving bool
	// Conclusive reports that the target names a limit in such an answer if it has
	// one, so that a limit which is missing has ended.
	Conclusive bool
	// WorkTime is how long work takes at the target at this moment, as a multiple
	// of the usual time; 0 if the answer doesn't say. It changes many times a
	// second and is no part of Status.
	WorkTime float64
	// HasFreeSlot reports whether the target states that a slot is free and no
	// request waits.
	HasFreeSlot bool
}

// Merge returns the statement of this answer and of a later one of the same
// connection.
func (s Statement) Merge(later Statement) Statement {
	if !later.LimitNamed && !later.Conclusive {
		later.LimitNamed, later.Limit, later.Conclusive = s.LimitNamed, s.Limit, s.Conclusive
	}
	later.Leaving = later.Leaving || s.Leaving
	later.WorkTime = cmp.Or(later.WorkTime, s.WorkTime)
	return later
}

// limit returns the rate limit that the statement sets, 0 for none, given the
// present one. A limit that can't be read or is negative leaves the present one in
// force; one without bound is none.
func (s Statement) limit(present float64) float64 {
	switch {
	case !s.LimitNamed && s.Conclusive:
		return 0
	case !s.LimitNamed, math.IsNaN(s.Limit), s.Limit < 0:
		return present
	case math.IsInf(s.Limit, 1):
		return 0
	}
	return max(s.Limit, MinRateLimit)
}

// Report is the message in which daemons pass on the status of a target: the
// daemon beside it to those that get its answers and to the placement leader, and
// these to the next daemon beside the same target.
type Report struct {
	_ struct{} `cbor:",toarray"`
	// Host is the target's host, Instance the instance that the status is of.
	Host     host.ID
	Instance uint64
	// RateLimit and Leaving are as in Status.
	RateLimit float64
	Leaving   bool
	// UsableSlots is the mean number of slots that the target can keep busy under
	// its limit, or while it is cold; negative if neither holds.
	UsableSlots float32
}

// status returns the reported status. A value that no daemon sends counts as no
// limit.
func (r Report) status() Status {
	s := Status{RateLimit: r.RateLimit, Leaving: r.Leaving}
	if !(s.RateLimit >= MinRateLimit) || math.IsInf(s.RateLimit, 1) {
		s.RateLimit = 0
	}
	return s
}
