package request_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/request"
	"github.com/rhubarbring/rhubarbring/result"
)

const (
	stopTakeUntil = 2 * second
	stopAnswerBy  = 5 * second
)

var plannedStop = request.Stop{TakeUntil: stopTakeUntil, AnswerBy: stopAnswerBy}

func (f *fixture) submitAt(now, deadline mono.Time, r *request.Request) {
	f.out.Reset()
	f.router.Submit(now, r, deadline, 1, &f.out)
}

// Guards against a request that is taken late in a planned stop and given up while a
// target runs it, because the process ends before its deadline.
func TestStopRefusesLateRequestsThatMayOutlastIt(t *testing.T) {
	cases := map[string]struct {
		now, deadline mono.Time
		isTaken       bool
	}{
		"early, ends in time":   {stopTakeUntil - 1, stopAnswerBy, true},
		"early, may outlast it": {stopTakeUntil - 1, stopAnswerBy + second, true},
		"late, ends in time":    {stopTakeUntil, stopAnswerBy, true},
		"late, may outlast it":  {stopTakeUntil, stopAnswerBy + 1, false},
	}
	for name, c := range cases {
		f := newFixture(nil)
		f.router.BeginStop(plannedStop)
		f.submitAt(c.now, c.deadline, newRequest(request.RepeatFirst))
		if c.isTaken {
			must.SliceLen(t, 1, f.out.Sends, must.Sprint(name))
			must.LessEq(t, stopAnswerBy.Sub(c.now), f.out.Sends[0].Request.Budget, must.Sprint(name))
			continue
		}
		must.Eq(t, result.Draining, f.replyCode(t), must.Sprint(name))
		must.Positive(t, f.out.Replies[0].Answer.RetryAfter)
		must.SliceEmpty(t, f.out.Sends)
		must.SliceEmpty(t, f.out.Risks)
	}
}

// Guards against callers that are left without an answer when the process ends: those
// whose requests were open when the stop began are answered in time, too, and an
// outcome that is at risk is reported, also if its caller is gone.
func TestStopAnswersOpenRequestsInTime(t *testing.T) {
	cases := map[string]struct {
		idempotent bool
		open       func(f *fixture)
		code       result.Code
		risks      int
	}{
		"sent, idempotent":     {idempotent: true, code: result.OutcomeUnknown},
		"sent, not idempotent": {code: result.OutcomeUnknown, risks: 1},
		"waits for an owner":   {open: func(f *fixture) { f.owners.route = request.SliceOwner{} }, code: result.NoOwner},
	}
	for name, c := range cases {
		f := newFixture(func(cfg *request.Config) { cfg.MaxWait = 60 * 1e9 })
		if c.open != nil {
			c.open(f)
		}
		r := newRequest(request.RepeatFirst)
		r.Idempotent = c.idempotent
		f.submitAt(1, 30*second, r)
		f.out.Reset()
		f.router.BeginStop(plannedStop)
		f.router.Tick(stopAnswerBy-1, &f.out)
		must.SliceEmpty(t, f.out.Replies, must.Sprint(name))
		f.router.Tick(stopAnswerBy, &f.out)
		must.Eq(t, c.code, f.replyCode(t), must.Sprint(name))
		must.SliceLen(t, c.risks, f.out.Risks, must.Sprint(name))
	}
	f := newFixture(nil)
	f.submitAt(1, 30*second, newRequest(request.RepeatFirst))
	f.router.CallerGone(2, 1, &f.out)
	f.router.BeginStop(plannedStop)
	f.router.Tick(stopAnswerBy, &f.out)
	must.SliceLen(t, 1, f.out.Risks)
}

// Guards against a stop that gives requests more time than they had.
func TestStopKeepsEarlierDeadlines(t *testing.T) {
	f := newFixture(nil)
	f.submitAt(1, second, newRequest(request.RepeatFirst))
	f.out.Reset()
	f.router.BeginStop(plannedStop)
	f.router.Tick(second, &f.out)
	must.Eq(t, result.OutcomeUnknown, f.replyCode(t))
}
