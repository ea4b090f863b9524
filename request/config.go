package request

import (
	"time"

	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/result"
	"github.com/rhubarbring/rhubarbring/retry"
)

// OwnerMap is the entry daemon's view of which session owns which slice. It may
// be out of date: the gates decide on ownership.
type OwnerMap interface {
	// DividedByKey reports whether the app is divided by key, and whether the app
	// is known.
	DividedByKey(app key.App) (divided, known bool)
	// Lookup returns the slice of text, which is a key or a request ID, and
	// the slice's owner.
	Lookup(app key.App, text string) SliceOwner
}

// Chooser balances the requests that any gate of the app may run.
type Chooser interface {
	// Choose returns a gate, or the code to refuse the request with.
	Choose(now mono.Time, q GateQuery) (host.Session, result.Code)
	// Sent records that an attempt was sent to a chosen gate.
	Sent(to host.Session, now mono.Time)
	// AttemptEnded records how an attempt to a chosen gate ended.
	AttemptEnded(to host.Session, now mono.Time, e AttemptResult)
	// Forwarded and Returned record the body bytes of a request that went to
	// the owner of its slice rather than to a chosen gate, and of its answer.
	Forwarded(to host.Session, now mono.Time, size int)
	Returned(from host.Session, now mono.Time, size int)
}

// GateQuery describes the gate that a request needs.
type GateQuery struct {
	App key.App
	// Budget is the time within which an answer is wanted.
	Budget time.Duration
	// LatencyTarget is the time within which an answer has its full value; 0 if
	// there is none.
	LatencyTarget time.Duration
	// Bytes is the size of the request's body.
	Bytes int
	// Regions are the regions in which targets may run the request; empty for
	// all.
	Regions []host.Region
	// Tried are the gates that the request was sent to before. One of them is
	// chosen only if no other is available.
	Tried []host.Session
}

// AttemptResult describes how an attempt ended.
type AttemptResult struct {
	// Took is the time since the attempt was sent.
	Took time.Duration
	// Code is the code of the gate's answer or of the failure.
	Code result.Code
	// Bytes is the size of the answer's body.
	Bytes int
	// Slots, Jobs and ServiceTime are the gate's load as in Answer; 0 without an
	// answer.
	Slots       int
	Jobs        int
	ServiceTime time.Duration
}

// Config configures a Router.
type Config struct {
	// Self is the session of this daemon.
	Self host.Session
	// Map gives the owners of slices.
	Map OwnerMap
	// Quarantine names the requests that are not to be run; nil if there are none.
	Quarantine Quarantine
	// Places knows the regions of owners. If it is nil, requests that have a slice
	// and allowed regions are refused.
	Places Places
	// Chooser chooses the gates of requests that have no slice.
	Chooser Chooser
	// Hedger decides on second attempts; nil if there are none.
	Hedger Hedger
	// Retry limits the retries and sets the delays before them.
	Retry retry.Config
	// Redirect limits the retries after attempts that did not reach a target,
	// such as those that a gate refused; if it is nil, they count against
	// Retry's budget.
	Redirect *retry.Config
	// Admission decides which new requests are sent; nil if all are.
	Admission Admission
	// MaxRedirects bounds the retries of one request after gates refused it
	// for lack of capacity; 0 means no bound.
	MaxRedirects int
	// MaxCalls bounds the requests that are not yet answered.
	MaxCalls int
	// MaxWaiting bounds the requests that wait for an owner.
	MaxWaiting int
	// MaxWait is how long a request waits at most for an owner.
	MaxWait time.Duration
	// ReplyMargin is reserved for the answer's way back to the caller: a gate
	// gets the time left until the deadline less ReplyMargin, or less a
	// quarter of it if that is shorter.
	ReplyMargin time.Duration
	// MaxUnknown bounds the requests whose caller was told that the outcome is
	// unknown and whose late answer is still awaited.
	MaxUnknown int
	// LateAnswerWait is how long a late answer is awaited.
	LateAnswerWait time.Duration
	// AckInterval is the least time between two rounds of acknowledgements to
	// gates.
	AckInterval time.Duration
	// RetryAfter is the least Retry-After advice for refusals that may pass
	// with time, such as a missing owner or an unreachable gate, and for
	// unknown outcomes. Only a gate's own advice with QueueFull may be shorter.
	RetryAfter time.Duration
	// Seed seeds the jitter of retry delays.
	Seed uint64
}

// Quarantine knows requests that are not to be run, because targets that ran
// requests of their content ended.
type Quarantine interface {
	// Check reports whether a request is in quarantine, and for how much longer.
	Check(now mono.Time, r *Request) (left time.Duration, held bool)
}

// Counters are the router's event counts. They never decrease.
type Counters struct {
	Submitted uint64
	Replied   uint64
	Sent      uint64
	Retried   uint64
	// Hedged counts the second attempts that were sent while the first one was under
	// way, and HedgesWon those that answered the request.
	Hedged    uint64
	HedgesWon uint64
	// UnmatchedAnswers counts answers that are not the first answer to a pending
	// attempt: late ones, also those that settle an unknown outcome, duplicates
	// and those from another session.
	UnmatchedAnswers uint64
	// WaitedForOwner counts the times that a request began to wait for an owner.
	WaitedForOwner uint64
	// Raised counts the risks that were reported.
	Raised uint64
	// RefusedAtEntry counts the requests that Config.Admission did not admit.
	RefusedAtEntry uint64
}

// DefaultConfig returns the settings that apply unless a daemon overrides
// them. Self, Map and Chooser must still be set.
func DefaultConfig() Config {
	return Config{
		Retry:          retry.DefaultConfig(),
		MaxCalls:       16384,
		MaxWaiting:     4096,
		MaxWait:        2 * time.Second,
		ReplyMargin:    10 * time.Millisecond,
		MaxUnknown:     4096,
		LateAnswerWait: 30 * time.Second,
		AckInterval:    50 * time.Millisecond,
		RetryAfter:     500 * time.Millisecond,
	}
}
