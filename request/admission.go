package request

import (
	"time"

	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/result"
)

// Admission decides which new requests are sent to a gate.
type Admission interface {
	// Admit reports whether a request is sent, or after which time its caller should
	// come back.
	Admit(now mono.Time, q AdmissionQuery) (retryAfter time.Duration, admitted bool)
	// Answered records the answer of a gate to an attempt.
	Answered(now mono.Time, e AdmissionEvent)
	// Ended records the end of a request that was sent.
	Ended(now mono.Time, r *Request, code result.Code)
	// RetryAfter returns when the caller of a request that gates refused for lack of
	// room should come back, given their advice.
	RetryAfter(now mono.Time, q AdmissionQuery, advice time.Duration) time.Duration
}

// AdmissionQuery describes a request that is to be admitted.
type AdmissionQuery struct {
	Request *Request
	// Owner is the only session that may run the request; the zero Session if any
	// gate of the app may.
	Owner host.Session
	// Left is the time until the caller gives up.
	Left time.Duration
}

// AdmissionEvent is the answer of a gate to an attempt.
type AdmissionEvent struct {
	From       host.Session
	Request    *Request
	SentAt     mono.Time
	Code       result.Code
	RetryAfter time.Duration
}

// refusedAtEntry reports whether a new request is not to be sent, and sets the time
// after which its caller should come back. A repeat that must not run twice goes
// to its gate, which may have its answer.
func (r *Router) refusedAtEntry(now mono.Time, c *call, owner host.Session) bool {
	if r.cfg.Admission == nil || c.attempt > 0 || !c.req.Idempotent && c.req.Repeat != RepeatFirst {
		return false
	}
	after, admitted := r.cfg.Admission.Admit(now, r.admissionQuery(now, c, owner))
	if !admitted {
		c.lastAfter = after
		r.counters.RefusedAtEntry++
	}
	return !admitted
}

func (r *Router) admissionQuery(now mono.Time, c *call, owner host.Session) AdmissionQuery {
	return AdmissionQuery{Request: c.req, Owner: owner, Left: c.deadline.Sub(now)}
}

// tellAdmission passes a gate's answer on.
func (r *Router) tellAdmission(now mono.Time, c *call, from host.Session, a *Answer) {
	if r.cfg.Admission != nil {
		r.cfg.Admission.Answered(now, AdmissionEvent{From: from, Request: c.req, SentAt: c.sentAt, Code: a.Code, RetryAfter: a.RetryAfter})
	}
}

// endAdmission records the end of a request that was sent, and spreads the return
// of its caller if gates had no room for it.
func (r *Router) endAdmission(now mono.Time, c *call, a *Answer) {
	if r.cfg.Admission == nil || c.attempt == 0 {
		return
	}
	r.cfg.Admission.Ended(now, c.req, a.Code)
	switch a.Code {
	case result.QueueFull, result.DeadlineTooShort, result.RetryBudgetSpent:
		owner := host.NoSession
		if c.req.Slice != NoSlice {
			owner = c.to
		}
		a.RetryAfter = r.cfg.Admission.RetryAfter(now, r.admissionQuery(now, c, owner), a.RetryAfter)
	}
}
