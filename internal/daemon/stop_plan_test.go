package daemon

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/document"
	"github.com/rhubarbring/rhubarbring/internal/settings"
	"github.com/rhubarbring/rhubarbring/mono"
)

// Guards against a stop that outlasts its limit, so that its process is killed, and
// against steps that leave no time for the ones behind them.
func TestStopPlanEndsBeforeItsLimit(t *testing.T) {
	const began = mono.Time(time.Hour)
	for _, limit := range []time.Duration{time.Millisecond, time.Second, 3 * time.Second, 6 * time.Second, 10 * time.Second, time.Minute} {
		s := settings.PlannedStop{
			Limit:          document.Duration(limit),
			ServeDuration:  document.Duration(2400 * time.Millisecond),
			UnreadyGrace:   document.Duration(2800 * time.Millisecond),
			ListenDuration: document.Duration(4100 * time.Millisecond),
		}
		p := newStopPlan(began, s)
		must.True(t, p.limited)
		steps := []mono.Time{p.handOverAt, p.drainGateAt, p.listenUntil, p.answerBy, p.closeBy, p.recordBy, p.exitBy}
		must.AscendingCmp(t, steps, func(a, b mono.Time) int { return int(a - b) }, must.Sprint(limit))
		must.LessEq(t, p.listenUntil, p.takeUntil)
		must.Less(t, began.Add(limit), p.exitBy)
		must.GreaterEq(t, began.Add(limit*9/10), p.answerBy, must.Sprint("callers are answered until the last tenth"))
	}
}

// A stop without a limit takes as long as its steps do.
func TestStopPlanWithoutLimitHasTimeoutsOfItsSteps(t *testing.T) {
	p := newStopPlan(mono.Time(time.Hour), settings.PlannedStop{UnreadyGrace: document.Duration(time.Second)})
	must.False(t, p.limited)
	must.Eq(t, mono.Time(time.Hour+time.Second), p.listenUntil)
	must.Eq(t, saveTimeout, p.timeout(p.recordBy, saveTimeout))
}
