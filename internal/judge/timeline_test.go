package judge_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/internal/judge"
)

func TestTimelineAssignsFiguresToSteps(t *testing.T) {
	x := trialWithoutViolations()
	x.record("x", sending("h3:1", "not_run", 420, 880))
	line := judge.NewTimeline(x.Input, 500*time.Millisecond, 200*time.Millisecond)
	must.Len(t, 13, line.Steps)
	must.Eq(t, []string{"booking"}, line.Apps)
	first, second := line.Steps[0], line.Steps[1]
	must.Eq(t, 4, first.Requests)
	must.Eq(t, 1, first.Failed)
	must.Eq(t, 10*time.Millisecond, first.P99)
	must.Eq(t, 1, first.Changes)
	must.Eq(t, 1, first.Forced)
	must.Eq(t, 1, second.Requests)
	must.Eq(t, 1, second.Changes)
	must.Eq(t, 0, line.Steps[3].Requests)
	must.Eq(t, judge.FaultWindow{Kind: judge.PlannedStop, Begin: 200 * time.Millisecond, End: 300 * time.Millisecond}, line.Faults[0])
	must.Eq(t, []judge.GapWindow{{Slice: "booking/1", Begin: 420 * time.Millisecond, End: 880 * time.Millisecond}}, line.Gaps)
	must.Eq(t, 1, line.GapCount(0))
	must.Eq(t, 1, line.GapCount(1))
	must.Eq(t, 0, line.GapCount(2))
}
