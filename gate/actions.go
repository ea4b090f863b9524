package gate

import (
	"time"

	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/request"
)

// Start asks the shell to send a request to the target.
type Start struct {
	// Run identifies the run. The target gets it as the attempt number and
	// echoes it; its answers are matched by it.
	Run uint64
	// Connection is the number of the connection to use, at least 0 and less
	// than the target's number of connections. No other run uses it; the shell
	// opens it if it is not open.
	Connection int
	Request    *request.Request
	// Owner, Epoch and Expires are the grant. Expires is 0 for a request that
	// needs none.
	Owner   host.Session
	Epoch   uint64
	Expires mono.Time
	// Waited is how long the request was queued.
	Waited time.Duration
	// Deadline is the time by which the target has to finish the run. For a
	// target that does not check grants it is not after Expires.
	Deadline mono.Time
}

// CancelRun asks the shell to have the target stop a run.
type CancelRun struct {
	ID  string
	Run uint64
}

// Answer asks the shell to send an answer to an entry daemon, which may be this
// one.
type Answer struct {
	To     host.Session
	Answer *request.Answer
}

// Actions collects what the gate asks its shell to do. The shell performs all
// of it and then calls Reset.
type Actions struct {
	Starts []Start
	// Ends are the runs that no longer hold their slice: those that are over or
	// count as stopped, and those past their deadline whose callers were told
	// that the outcome is unknown. Each run is listed once. A slice may be
	// handed over only when everything that was started in it has ended.
	Ends        []uint64
	Cancels     []CancelRun
	Answers     []Answer
	Risks       []request.Risk
	Settlements []request.Settlement
}

// Reset empties the actions and keeps their memory for reuse.
func (a *Actions) Reset() {
	clear(a.Starts)
	clear(a.Answers)
	a.Starts = a.Starts[:0]
	a.Ends = a.Ends[:0]
	a.Cancels = a.Cancels[:0]
	a.Answers = a.Answers[:0]
	a.Risks = a.Risks[:0]
	a.Settlements = a.Settlements[:0]
}
