package request

import (
	"time"

	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/result"
	"github.com/rhubarbring/rhubarbring/retry"
)

// Map is the entry daemon's map of owners: a hint, never an authority.
type Map interface {
	// Divided reports whether the app is divided by key, and whether the
	// app is known at all.
	Divided(app key.App) (divided, known bool)
	// Route returns where text, a key or an id, belongs in the app.
	Route(app key.App, text string) Route
}

// Chooser chooses gates for requests that any gate of the app may run.
type Chooser interface {
	// Choose returns a gate, or the code of the refusal: budget is the time
	// left, size the bytes of the request. It returns one of those that were
	// tried only if the app has no other that can be had.
	Choose(app key.App, now mono.Time, budget time.Duration, size int, tried []host.Session) (host.Session, result.Code)
	// Sent counts a sending to a gate.
	Sent(to host.Session, now mono.Time)
	// Ended counts its end.
	Ended(to host.Session, now mono.Time, e Ended)
	// Forwarded and Returned count the bytes of a request that goes to the
	// owner of its slice, which is no choice, and of its answer.
	Forwarded(to host.Session, now mono.Time, size int)
	Returned(from host.Session, now mono.Time, size int)
}

// Ended is how a sending ended.
type Ended struct {
	// Took is the time since the sending.
	Took time.Duration
	// Code is the gate's answer, or the failure.
	Code result.Code
	// Bytes is the size of the answer's body.
	Bytes int
	// Slots, Jobs and Service are what the gate said of its load, as in Answer.
	Slots   int
	Jobs    int
	Service time.Duration
}

// Config sets a Router up.
type Config struct {
	// Self is the session of this daemon.
	Self host.Session
	// Map is the map of owners.
	Map Map
	// Chooser balances apps that are not divided by key.
	Chooser Chooser
	// Retry bounds the sendings beyond the first.
	Retry retry.Config
	// Redirect bounds the sendings that follow a gate's refusal, of which no
	// target knows; nil counts them with Retry.
	Redirect *retry.Config
	// MaxRedirects bounds the gates that one request is sent to because others
	// had no room for it; 0 sets no bound.
	MaxRedirects int
	// MaxCalls bounds the calls that are not yet answered.
	MaxCalls int
	// MaxWaiting bounds the requests that wait for an owner.
	MaxWaiting int
	// MaxWait is how long a request waits for an owner.
	MaxWait time.Duration
	// ReplyMargin is the time kept for the way back of an answer: a gate is
	// given that much less than the caller's time, at most a quarter of it.
	ReplyMargin time.Duration
	// MaxDoubtful bounds the requests whose outcome is unknown and whose
	// late answer is still waited for.
	MaxDoubtful int
	// DoubtKept is how long a late answer is waited for.
	DoubtKept time.Duration
	// AckEvery is the time between two acknowledgements to a gate.
	AckEvery time.Duration
	// RetryAfter is the advice to a caller who is refused for want of an
	// owner or a reachable gate.
	RetryAfter time.Duration
	// Seed fixes the jitter.
	Seed uint64
}

// Counters counts what a router did. They only rise.
type Counters struct {
	Submitted uint64
	Replied   uint64
	Sent      uint64
	Retried   uint64
	// Strays counts answers that match no sending: late, doubled or foreign.
	Strays uint64
	// Waited counts requests that waited for an owner.
	Waited uint64
	Raised uint64
}

// DefaultConfig returns the settings of a daemon that has none of its own;
// Self, Map and Chooser are left to the caller.
func DefaultConfig() Config {
	return Config{
		Retry:       retry.DefaultConfig(),
		MaxCalls:    16384,
		MaxWaiting:  4096,
		MaxWait:     2 * time.Second,
		ReplyMargin: 10 * time.Millisecond,
		MaxDoubtful: 4096,
		DoubtKept:   30 * time.Second,
		AckEvery:    50 * time.Millisecond,
		RetryAfter:  500 * time.Millisecond,
	}
}
