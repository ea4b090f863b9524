package gate

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/request"
	"github.com/rhubarbring/rhubarbring/result"
)

// Guards against runs that are lost when the daemon ends: a gate that drains refuses
// requests, new and queued ones, whose run would likely last longer.
func TestDrainingGateStartsNoRunThatOutlastsDaemon(t *testing.T) {
	minute := func(r *request.Request) { r.Budget = time.Minute }
	f := newWarmFixture(2)
	f.arrive(startTime, request.Normal, minute)
	f.gate.TargetAnswered(startTime+1000*ms, 1, TargetAnswer{Status: 200}, &f.out)
	for range 3 {
		f.arrive(startTime+1000*ms, request.Normal, minute)
	}
	must.Eq(t, 1, f.gate.queuedCount())
	f.gate.DrainBy(startTime+1000*ms, startTime+2600*ms, &f.out)
	f.arrive(startTime+1000*ms, request.Normal, minute)
	must.Eq(t, result.DeadlineTooShort, f.code(t), must.Sprint("it would wait for a second and run for another"))
	f.out.Reset()
	f.gate.TargetAnswered(startTime+2000*ms, 2, TargetAnswer{Status: 200}, &f.out)
	must.SliceEmpty(t, f.out.Starts)
	must.SliceLen(t, 2, f.out.Answers)
	must.Eq(t, result.DeadlineTooShort, f.out.Answers[1].Answer.Code)
}
