package request_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/request"
	"github.com/rhubarbring/rhubarbring/result"
)

var (
	self  = host.Session{Host: "entry", Incarnation: 1}
	owner = host.Session{Host: "owner", Incarnation: 1}
	other = host.Session{Host: "other", Incarnation: 1}
)

// singleSliceMap is a map of the app "pay", whose keys all have one route.
type singleSliceMap struct{ route request.SliceOwner }

func (m *singleSliceMap) DividedByKey(app key.App) (bool, bool)     { return true, app == "pay" }
func (m *singleSliceMap) Lookup(key.App, string) request.SliceOwner { return m.route }

// nopChooser is a chooser for apps whose slices have owners, where it has
// nothing to choose.
type nopChooser struct{ request.Chooser }

func (nopChooser) Forwarded(host.Session, mono.Time, int) {}
func (nopChooser) Returned(host.Session, mono.Time, int)  {}

type fixture struct {
	router *request.Router
	owners *singleSliceMap
	out    request.Actions
}

func newFixture(change func(*request.Config)) *fixture {
	f := &fixture{owners: &singleSliceMap{route: request.SliceOwner{Owner: owner, Epoch: 1}}}
	cfg := request.DefaultConfig()
	cfg.Self = self
	cfg.Map = f.owners
	cfg.Chooser = nopChooser{}
	if change != nil {
		change(&cfg)
	}
	f.router = request.NewRouter(cfg)
	return f
}

const second = mono.Time(time.Second)

func (f *fixture) submit(caller request.CallID, r *request.Request) {
	f.out.Reset()
	f.router.Submit(1, r, second, caller, &f.out)
}

func newRequest(repeat request.Repeat) *request.Request {
	return &request.Request{ID: "id1", App: "pay", Key: "k", Repeat: repeat}
}

func (f *fixture) answer(from host.Session, code result.Code, change func(*request.Answer)) {
	sent := f.out.Sends[len(f.out.Sends)-1].Request
	a := &request.Answer{ID: sent.ID, Attempt: sent.Attempt, Seq: sent.Seq, Code: code}
	if change != nil {
		change(a)
	}
	f.out.Reset()
	f.router.Answered(2, from, a, &f.out)
}

func (f *fixture) replyCode(t *testing.T) result.Code {
	t.Helper()
	must.SliceLen(t, 1, f.out.Replies)
	return f.out.Replies[0].Answer.Code
}

func TestInvalidRequestIsRefusedImmediately(t *testing.T) {
	f := newFixture(nil)
	f.submit(1, &request.Request{ID: "x", App: "unknown", Key: "k", Repeat: request.RepeatFirst})
	must.Eq(t, result.UnknownApp, f.replyCode(t))
	f.submit(2, &request.Request{ID: "x", App: "pay", Repeat: request.RepeatFirst})
	must.Eq(t, result.MissingKey, f.replyCode(t))
	must.Zero(t, f.router.Live())
}

// An answer is accepted only if its session, ID, attempt and sequence number
// are those of the pending attempt.
func TestAnswerNotMatchingTheAttemptIsDropped(t *testing.T) {
	wrong := map[string]func(*request.Answer){
		"id":       func(a *request.Answer) { a.ID = "id2" },
		"attempt":  func(a *request.Answer) { a.Attempt = 2 },
		"sequence": func(a *request.Answer) { a.Seq = 9 },
	}
	for name, change := range wrong {
		t.Run(name, func(t *testing.T) {
			f := newFixture(nil)
			f.submit(1, newRequest(request.RepeatFirst))
			f.answer(owner, result.OK, change)
			must.SliceEmpty(t, f.out.Replies)
			must.Eq(t, 1, f.router.Counters().UnmatchedAnswers)
		})
	}
	f := newFixture(nil)
	f.submit(1, newRequest(request.RepeatFirst))
	f.answer(other, result.OK, nil)
	must.SliceEmpty(t, f.out.Replies)
	must.Eq(t, 1, f.router.Live())
}

// The wait for an owner is bounded in the number of requests and in time. A
// request beyond a bound is refused immediately with a Retry-After advice.
func TestWaitForAnOwnerIsBounded(t *testing.T) {
	f := newFixture(func(c *request.Config) { c.MaxWaiting = 1; c.MaxWait = 100 * time.Millisecond })
	f.owners.route.Owner = host.NoSession
	f.submit(1, newRequest(request.RepeatFirst))
	must.SliceEmpty(t, f.out.Replies)
	f.submit(2, newRequest(request.RepeatFirst))
	must.Eq(t, result.NoOwner, f.replyCode(t))
	must.Positive(t, f.out.Replies[0].Answer.RetryAfter)
	f.out.Reset()
	f.router.Tick(mono.Time(101*time.Millisecond), &f.out)
	must.Eq(t, result.NoOwner, f.replyCode(t))
	must.Positive(t, f.out.Replies[0].Answer.RetryAfter)
	f.submit(3, newRequest(request.RepeatFirst))
	f.owners.route.Owner = owner
	f.out.Reset()
	f.router.MapChanged(3, &f.out)
	must.SliceLen(t, 1, f.out.Sends)
}

// A gate that does not know the request's epoch yet, or whose lease has lapsed,
// is sent the request again after a pause, without a change of the map.
func TestGateBehindTheMapIsRetried(t *testing.T) {
	for _, code := range []result.Code{result.NotOwner, result.LeaseLapsed} {
		f := newFixture(nil)
		f.submit(1, newRequest(request.RepeatFirst))
		f.answer(owner, code, func(a *request.Answer) { a.Epoch = 0 })
		must.SliceEmpty(t, f.out.Replies)
		f.out.Reset()
		f.router.Tick(mono.Time(100*time.Millisecond), &f.out)
		must.SliceLen(t, 1, f.out.Sends, must.Sprint(code))
		must.Eq(t, owner, f.out.Sends[0].To)
	}
}

// A gate that stays behind the map is retried no longer than requests wait for
// an owner.
func TestRetriesOfGateBehindTheMapEndAfterMaxWait(t *testing.T) {
	f := newFixture(func(c *request.Config) { c.MaxWait = 300 * time.Millisecond })
	f.submit(1, newRequest(request.RepeatFirst))
	now := mono.Time(2)
	for f.router.Live() == 1 {
		sent := f.out.Sends[0].Request
		f.out.Reset()
		f.router.Answered(now, owner, &request.Answer{ID: sent.ID, Attempt: sent.Attempt, Seq: sent.Seq, Code: result.NotOwner}, &f.out)
		for f.router.Live() == 1 && len(f.out.Sends) == 0 {
			now = now.Add(time.Millisecond)
			f.router.Tick(now, &f.out)
		}
	}
	must.Eq(t, result.NoOwner, f.replyCode(t))
	must.Between(t, 300*time.Millisecond, now.Sub(0), 500*time.Millisecond)
	must.Between(t, 4, f.router.Counters().Sent, 12)
}

// The refusal of a first submission is reported as "not run", that of a repeat
// never is: the earlier submission may have run.
func TestRefusalOfRepeatHasUnknownOutcome(t *testing.T) {
	for repeat, want := range map[request.Repeat]result.Code{
		request.RepeatFirst:       result.QueueFull,
		request.RepeatAgain:       result.RepeatRefused,
		request.RepeatUnspecified: result.RepeatRefused,
	} {
		f := newFixture(nil)
		f.submit(1, newRequest(repeat))
		f.answer(owner, result.QueueFull, nil)
		must.Eq(t, want, f.replyCode(t))
		must.Eq(t, want == result.RepeatRefused, len(f.out.Risks) == 1)
		must.Positive(t, f.out.Replies[0].Answer.RetryAfter)
	}
}

func TestSpentRetryBudgetEndsRetries(t *testing.T) {
	f := newFixture(func(c *request.Config) { c.Retry.Burst = 1; c.Retry.Ratio = 0 })
	f.submit(1, newRequest(request.RepeatFirst))
	f.owners.route = request.SliceOwner{Owner: other, Epoch: 2}
	f.answer(owner, result.NotOwner, nil)
	must.SliceLen(t, 1, f.out.Sends)
	f.owners.route = request.SliceOwner{Owner: owner, Epoch: 3}
	f.answer(other, result.NotOwner, nil)
	must.Eq(t, result.RetryBudgetSpent, f.replyCode(t))
}

// When its caller disconnects, an idempotent request is over. Any other goes on, and
// its outcome is recorded: the gate is told as well, and drops it if it has not been
// started. Guards against a request that reaches a target after its caller has left.
func TestCallerDisconnectEndsOnlyIdempotentRequests(t *testing.T) {
	f := newFixture(nil)
	lookup := newRequest(request.RepeatFirst)
	lookup.Idempotent = true
	f.submit(1, lookup)
	f.out.Reset()
	f.router.CallerGone(2, 1, &f.out)
	must.SliceLen(t, 1, f.out.Cancels)
	must.Zero(t, f.router.Live())

	for code, outcome := range map[result.Code]result.Outcome{result.OK: result.Done, result.Cancelled: result.NotRun} {
		f.submit(2, newRequest(request.RepeatFirst))
		sent := f.out.Sends[0]
		f.router.CallerGone(2, 2, &f.out)
		must.Eq(t, []request.SendCancel{{To: owner, Cancel: request.Cancel{ID: sent.Request.ID, Attempt: sent.Request.Attempt, Seq: sent.Request.Seq}}}, f.out.Cancels)
		must.Eq(t, 1, f.router.Live())
		f.out.Reset()
		f.out.Sends = append(f.out.Sends, sent)
		f.answer(owner, code, nil)
		must.SliceEmpty(t, f.out.Replies)
		must.SliceLen(t, 1, f.out.Risks)
		must.Eq(t, outcome, f.out.Risks[0].Outcome)
		must.Zero(t, f.router.Live())
	}
}

// BenchmarkSubmitToReply measures the router's part of a request: Submit, the
// gate's answer and the reply.
func BenchmarkSubmitToReply(b *testing.B) {
	f := newFixture(nil)
	b.ReportAllocs()
	for i := range b.N {
		now := mono.Time(i) * 40_000
		r := &request.Request{ID: "018c2f5e-7c1a-7000-8000-000000000001", App: "pay", Key: "k", Idempotent: true, Repeat: request.RepeatFirst}
		f.out.Reset()
		f.router.Submit(now, r, now+second, request.CallID(i), &f.out)
		f.router.Answered(now, owner, &request.Answer{ID: r.ID, Attempt: r.Attempt, Seq: r.Seq}, &f.out)
		f.router.Tick(now, &f.out)
	}
}

// An idempotent request is retried after an attempt with an unknown outcome. If
// the retry is refused, the caller is not told "not run", since the first
// attempt may have run.
func TestRefusalAfterLostAttemptHasUnknownOutcome(t *testing.T) {
	causes := map[string]func(f *fixture){
		"target's answer lost": func(f *fixture) { f.answer(owner, result.AnswerLost, nil) },
		"connection lost": func(f *fixture) {
			seq := f.out.Sends[0].Request.Seq
			f.out.Reset()
			f.router.ConnectionLost(2, seq, &f.out)
		},
	}
	for name, loseAttempt := range causes {
		t.Run(name, func(t *testing.T) {
			f := newFixture(nil)
			req := newRequest(request.RepeatFirst)
			req.Idempotent = true
			f.submit(1, req)
			loseAttempt(f)
			for len(f.out.Sends) == 0 {
				at, ok := f.router.NextTick()
				must.True(t, ok)
				f.router.Tick(at, &f.out)
			}
			f.answer(owner, result.TargetUnavailable, nil)
			must.Eq(t, result.Unknown, f.replyCode(t).Outcome())
			must.SliceEmpty(t, f.out.Risks)
			must.Positive(t, f.out.Replies[0].Answer.RetryAfter)
		})
	}
}
