package daemon

import (
	"time"

	"github.com/rhubarbring/rhubarbring/gate"
	"github.com/rhubarbring/rhubarbring/internal/bootclock"
	"github.com/rhubarbring/rhubarbring/internal/settings"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/request"
)

// How long before the limit of a stop each of its last steps ends. Under a limit
// shorter than fullReserveLimit they are shorter in proportion.
const (
	answerReserve    = 500 * time.Millisecond
	closeReserve     = 450 * time.Millisecond
	recordReserve    = 200 * time.Millisecond
	exitReserve      = 150 * time.Millisecond
	fullReserveLimit = 5 * time.Second
)

// stopPlan holds the times of the steps of a planned stop, in their order. A stop
// without a limit has only the first three, and each step a timeout of its own.
type stopPlan struct {
	limited bool
	// handOverAt is when the slices begin to be handed over.
	handOverAt mono.Time
	// takeUntil is until when requests are taken whatever their deadline, and
	// listenUntil until when connections of callers are accepted.
	takeUntil   mono.Time
	listenUntil mono.Time
	// drainGateAt is when the gate begins to drain.
	drainGateAt mono.Time
	// answerBy is when all callers have been answered, and closeBy when their
	// connections begin to be closed.
	answerBy mono.Time
	closeBy  mono.Time
	// recordBy is when the end of the session and outcomes at risk are recorded.
	recordBy mono.Time
	// exitBy is when the process ends, whatever is left to close.
	exitBy mono.Time
}

// newStopPlan returns the plan of a stop that begins at now.
func newStopPlan(now mono.Time, s settings.PlannedStop) stopPlan {
	p := stopPlan{
		limited:     s.Limit > 0,
		handOverAt:  now.Add(s.ServeDuration.Std()),
		takeUntil:   now.Add(s.UnreadyGrace.Std()),
		listenUntil: now.Add(max(s.UnreadyGrace, s.ListenDuration).Std()),
	}
	if !p.limited {
		return p
	}
	limit := s.Limit.Std()
	before := func(reserve time.Duration) mono.Time {
		share := min(float64(limit)/float64(fullReserveLimit), 1)
		return now.Add(limit - time.Duration(share*float64(reserve)))
	}
	p.answerBy = before(answerReserve)
	p.closeBy = before(closeReserve)
	p.recordBy = before(recordReserve)
	p.exitBy = before(exitReserve)
	p.handOverAt = min(p.handOverAt, p.answerBy)
	p.takeUntil = min(p.takeUntil, p.answerBy)
	p.listenUntil = min(p.listenUntil, p.answerBy)
	// Other daemons may not learn of the stop from the store. Their requests are
	// refused early enough for the runs under way to end in time.
	p.drainGateAt = max(p.listenUntil.Add(-gate.DefaultConfig().DrainGrace), p.handOverAt)
	return p
}

// request returns the router's part of the plan.
func (p *stopPlan) request() request.Stop {
	return request.Stop{TakeUntil: p.takeUntil, AnswerBy: p.answerBy}
}

// timeout returns the time limit of a step that ends at by: what is left until then,
// but at most the step's own timeout.
func (p *stopPlan) timeout(by mono.Time, timeout time.Duration) time.Duration {
	if !p.limited {
		return timeout
	}
	return min(timeUntil(by), timeout)
}

// timeUntil returns the time until an instant, 0 if it has passed.
func timeUntil(at mono.Time) time.Duration {
	return max(at.Sub(bootclock.Now()), 0)
}
