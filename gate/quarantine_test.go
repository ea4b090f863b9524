package gate

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/request"
	"github.com/rhubarbring/rhubarbring/result"
)

// pathQuarantine holds the requests of some paths for a minute.
type pathQuarantine map[string]bool

func (q pathQuarantine) Check(_ mono.Time, r *request.Request) (time.Duration, bool) {
	return time.Minute, q[r.Path]
}

func path(p string) func(*request.Request) {
	return func(r *request.Request) { r.Path = p }
}

func TestQuarantinedRequestIsRefusedWhenItArrivesAndWhereItWaits(t *testing.T) {
	f := newWarmFixture(1)
	held := pathQuarantine{}
	f.gate.cfg.Quarantine = held
	f.arrive(startTime, request.Normal, path("/harmless"))
	f.arrive(startTime, request.Normal, path("/poison"))
	f.arrive(startTime, request.Normal, path("/harmless"))
	must.SliceEmpty(t, f.out.Answers)

	held["/poison"] = true
	f.out.Reset()
	f.gate.QuarantineChanged(startTime, &f.out)
	must.Eq(t, result.Quarantined, f.code(t))
	must.Eq(t, time.Minute, f.out.Answers[0].Answer.RetryAfter)
	must.Eq(t, 1, f.gate.Load(startTime).Queued)

	f.arrive(startTime, request.Normal, path("/poison"))
	must.Eq(t, result.Quarantined, f.code(t))
	must.Eq(t, time.Minute, f.out.Answers[0].Answer.RetryAfter)
}

func TestRepeatOfAnsweredRequestGetsItsAnswerInQuarantine(t *testing.T) {
	f := newWarmFixture(1)
	held := pathQuarantine{}
	f.gate.cfg.Quarantine = held
	f.arrive(startTime, request.Normal, path("/once"))
	f.gate.TargetAnswered(startTime, 1, TargetAnswer{Status: 200}, &f.out)
	held["/once"] = true
	f.arrive(startTime, request.Normal, func(r *request.Request) {
		r.ID, r.Path, r.Repeat = "id1", "/once", request.RepeatAgain
	})
	must.Eq(t, result.OK, f.code(t))
}

func TestRunThatItsCallerGaveUpIsNotRunning(t *testing.T) {
	f := newWarmFixture(1)
	f.arrive(startTime, request.Normal, func(r *request.Request) { r.Idempotent = true })
	must.True(t, f.gate.IsRunning(1))
	f.gate.CancelReceived(startTime, host.Session{Host: "e", Incarnation: 1}, request.Cancel{ID: "id1", Attempt: 1, Seq: 1}, &f.out)
	must.False(t, f.gate.IsRunning(1))
	must.False(t, f.gate.IsRunning(7))
}
