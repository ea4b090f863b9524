package gate

import (
	"time"

	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/request"
)

// Start asks to send a request to the target.
type Start struct {
	// Run numbers the sending to the target. The target echoes it as the
	// attempt; answers are matched by it.
	Run uint64
	// Connection is the connection to use, from 0 to the target's number of
	// connections less one. It is not in use by another run; the shell opens
	// it if it is not open.
	Connection int
	Request    *request.Request
	// Owner, Epoch and Expires are the grant. Expires is 0 for a request
	// that needs none.
	Owner   host.Session
	Epoch   uint64
	Expires mono.Time
	// Waited is how long the request waited here for a slot.
	Waited time.Duration
	// Deadline is the end of the request's time. For a target that does not
	// check grants it is not after Expires.
	Deadline mono.Time
}

// CancelRun asks the target to stop a run.
type CancelRun struct {
	ID  string
	Run uint64
}

// Answer asks to send an answer to an entry daemon, which may be this one.
type Answer struct {
	To     host.Session
	Answer *request.Answer
}

// Actions collects what the gate asks of its shell. The shell empties it with
// Reset when all was done.
type Actions struct {
	Starts []Start
	// Ends are the runs that hold their slice no longer: over, or past their
	// deadline with the outcome raised as unknown. Each start ends once. A
	// handover waits for the ends of what was started.
	Ends    []uint64
	Cancels []CancelRun
	Answers []Answer
	Raises  []request.Risk
	Settles []request.Settlement
}

// Reset empties the actions and keeps their memory.
func (a *Actions) Reset() {
	clear(a.Starts)
	clear(a.Answers)
	a.Starts = a.Starts[:0]
	a.Ends = a.Ends[:0]
	a.Cancels = a.Cancels[:0]
	a.Answers = a.Answers[:0]
	a.Raises = a.Raises[:0]
	a.Settles = a.Settles[:0]
}
