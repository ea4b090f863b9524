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

// oneSlice is a map of one app with one slice.
type oneSlice struct{ route request.Route }

func (m *oneSlice) Divided(app key.App) (bool, bool)    { return true, app == "pay" }
func (m *oneSlice) Route(key.App, string) request.Route { return m.route }

// noChoice is the chooser of an app whose slices have owners.
type noChoice struct{ request.Chooser }

func (noChoice) Forwarded(host.Session, mono.Time, int) {}
func (noChoice) Returned(host.Session, mono.Time, int)  {}

type fixture struct {
	r   *request.Router
	m   *oneSlice
	out request.Actions
}

func newFixture(change func(*request.Config)) *fixture {
	f := &fixture{m: &oneSlice{route: request.Route{Owner: owner, Epoch: 1}}}
	cfg := request.DefaultConfig()
	cfg.Self = self
	cfg.Map = f.m
	cfg.Chooser = noChoice{}
	if change != nil {
		change(&cfg)
	}
	f.r = request.NewRouter(cfg)
	return f
}

const second = mono.Time(time.Second)

func (f *fixture) submit(caller request.Caller, r *request.Request) {
	f.out.Reset()
	f.r.Submit(1, r, second, caller, &f.out)
}

func deposit(rep request.Repeat) *request.Request {
	return &request.Request{ID: "id1", App: "pay", Key: "k", Repeat: rep}
}

func (f *fixture) answer(from host.Session, code result.Code, change func(*request.Answer)) {
	sent := f.out.Sends[len(f.out.Sends)-1].Request
	a := &request.Answer{ID: sent.ID, Attempt: sent.Attempt, Seq: sent.Seq, Code: code}
	if change != nil {
		change(a)
	}
	f.out.Reset()
	f.r.Answered(2, from, a, &f.out)
}

func (f *fixture) replied(t *testing.T) result.Code {
	t.Helper()
	must.SliceLen(t, 1, f.out.Replies)
	return f.out.Replies[0].Answer.Code
}

func TestBadRequestsAreRefusedAtOnce(t *testing.T) {
	f := newFixture(nil)
	f.submit(1, &request.Request{ID: "x", App: "nobody's", Key: "k", Repeat: request.RepeatFirst})
	must.Eq(t, result.UnknownApp, f.replied(t))
	f.submit(2, &request.Request{ID: "x", App: "pay", Repeat: request.RepeatFirst})
	must.Eq(t, result.MissingKey, f.replied(t))
	must.Zero(t, f.r.Live())
}

// An answer counts only from the session, and for the id, attempt and
// sequence, of the sending that is waited for.
func TestAnswersOfAnotherAreDropped(t *testing.T) {
	wrong := map[string]func(*request.Answer){
		"id":       func(a *request.Answer) { a.ID = "id2" },
		"attempt":  func(a *request.Answer) { a.Attempt = 2 },
		"sequence": func(a *request.Answer) { a.Seq = 9 },
	}
	for name, change := range wrong {
		t.Run(name, func(t *testing.T) {
			f := newFixture(nil)
			f.submit(1, deposit(request.RepeatFirst))
			f.answer(owner, result.OK, change)
			must.SliceEmpty(t, f.out.Replies)
			must.Eq(t, 1, f.r.Counters().Strays)
		})
	}
	f := newFixture(nil)
	f.submit(1, deposit(request.RepeatFirst))
	f.answer(other, result.OK, nil)
	must.SliceEmpty(t, f.out.Replies)
	must.Eq(t, 1, f.r.Live())
}

// The wait for an owner is bounded in number and time, and what is given up is
// answered at once with the advice when to come back.
func TestWaitForAnOwnerIsBounded(t *testing.T) {
	f := newFixture(func(c *request.Config) { c.MaxWaiting = 1; c.MaxWait = 100 * time.Millisecond })
	f.m.route.Owner = host.Nobody
	f.submit(1, deposit(request.RepeatFirst))
	must.SliceEmpty(t, f.out.Replies)
	f.submit(2, deposit(request.RepeatFirst))
	must.Eq(t, result.NoOwner, f.replied(t))
	must.Positive(t, f.out.Replies[0].Answer.RetryAfter)
	f.out.Reset()
	f.r.Tick(mono.Time(101*time.Millisecond), &f.out)
	must.Eq(t, result.NoOwner, f.replied(t))
	must.Positive(t, f.out.Replies[0].Answer.RetryAfter)
	f.submit(3, deposit(request.RepeatFirst))
	f.m.route.Owner = owner
	f.out.Reset()
	f.r.MapChanged(3, &f.out)
	must.SliceLen(t, 1, f.out.Sends)
}

// A gate that has not heard yet of the epoch it is asked at, or whose lease
// has lapsed, is asked again after a pause; the map need not change for that.
func TestAGateThatIsBehindIsAskedAgain(t *testing.T) {
	for _, code := range []result.Code{result.NotOwner, result.LeaseLapsed} {
		f := newFixture(nil)
		f.submit(1, deposit(request.RepeatFirst))
		f.answer(owner, code, func(a *request.Answer) { a.Epoch = 0 })
		must.SliceEmpty(t, f.out.Replies)
		f.out.Reset()
		f.r.Tick(mono.Time(100*time.Millisecond), &f.out)
		must.SliceLen(t, 1, f.out.Sends, must.Sprint(code))
		must.Eq(t, owner, f.out.Sends[0].To)
	}
}

// It is asked for no longer than requests wait for an owner.
func TestAGateThatStaysBehindIsGivenUp(t *testing.T) {
	f := newFixture(func(c *request.Config) { c.MaxWait = 300 * time.Millisecond })
	f.submit(1, deposit(request.RepeatFirst))
	now := mono.Time(2)
	for f.r.Live() == 1 {
		sent := f.out.Sends[0].Request
		f.out.Reset()
		f.r.Answered(now, owner, &request.Answer{ID: sent.ID, Attempt: sent.Attempt, Seq: sent.Seq, Code: result.NotOwner}, &f.out)
		for f.r.Live() == 1 && len(f.out.Sends) == 0 {
			now = now.Add(time.Millisecond)
			f.r.Tick(now, &f.out)
		}
	}
	must.Eq(t, result.NoOwner, f.replied(t))
	must.Between(t, 300*time.Millisecond, now.Sub(0), 500*time.Millisecond)
	must.Between(t, 4, f.r.Counters().Sent, 12)
}

// A refusal says "not run" to a first sending, and never to a repeat.
func TestARefusalOfARepeatIsUnknown(t *testing.T) {
	for rep, want := range map[request.Repeat]result.Code{
		request.RepeatFirst:  result.QueueFull,
		request.RepeatAgain:  result.RepeatRefused,
		request.RepeatUnsaid: result.RepeatRefused,
	} {
		f := newFixture(nil)
		f.submit(1, deposit(rep))
		f.answer(owner, result.QueueFull, nil)
		must.Eq(t, want, f.replied(t))
		must.Eq(t, want == result.RepeatRefused, len(f.out.Raises) == 1)
		must.Positive(t, f.out.Replies[0].Answer.RetryAfter)
	}
}

func TestRetryBudgetEndsTheRetries(t *testing.T) {
	f := newFixture(func(c *request.Config) { c.Retry.Burst = 1; c.Retry.Ratio = 0 })
	f.submit(1, deposit(request.RepeatFirst))
	f.m.route = request.Route{Owner: other, Epoch: 2}
	f.answer(owner, result.NotOwner, nil)
	must.SliceLen(t, 1, f.out.Sends)
	f.m.route = request.Route{Owner: owner, Epoch: 3}
	f.answer(other, result.NotOwner, nil)
	must.Eq(t, result.RetryBudgetSpent, f.replied(t))
}

// Hanging up cancels what is idempotent, and never makes another's outcome
// vanish.
func TestHangingUp(t *testing.T) {
	f := newFixture(nil)
	lookup := deposit(request.RepeatFirst)
	lookup.Idempotent = true
	f.submit(1, lookup)
	f.out.Reset()
	f.r.CallerGone(2, 1, &f.out)
	must.SliceLen(t, 1, f.out.Cancels)
	must.Zero(t, f.r.Live())

	f.submit(2, deposit(request.RepeatFirst))
	sent := f.out.Sends[0]
	f.r.CallerGone(2, 2, &f.out)
	must.SliceEmpty(t, f.out.Cancels)
	must.Eq(t, 1, f.r.Live())
	f.out.Reset()
	f.out.Sends = append(f.out.Sends, sent)
	f.answer(owner, result.OK, nil)
	must.SliceEmpty(t, f.out.Replies)
	must.Eq(t, result.Done, f.out.Raises[0].Outcome)
}

// BenchmarkSubmitToReply is the entry daemon's part of a request: Submit, the
// gate's answer, the reply.
func BenchmarkSubmitToReply(b *testing.B) {
	f := newFixture(nil)
	b.ReportAllocs()
	for i := range b.N {
		now := mono.Time(i) * 40_000
		r := &request.Request{ID: "018c2f5e-7c1a-7000-8000-000000000001", App: "pay", Key: "k", Idempotent: true, Repeat: request.RepeatFirst}
		f.out.Reset()
		f.r.Submit(now, r, now+second, request.Caller(i), &f.out)
		f.r.Answered(now, owner, &request.Answer{ID: r.ID, Attempt: r.Attempt, Seq: r.Seq}, &f.out)
		f.r.Tick(now, &f.out)
	}
}

// An idempotent request is sent again after a sending whose outcome is open.
// If that one is refused, the caller is not told "not run": the first may have
// run.
func TestARefusalAfterALostSendingIsUnknown(t *testing.T) {
	lose := map[string]func(f *fixture){
		"the target's answer": func(f *fixture) { f.answer(owner, result.AnswerLost, nil) },
		"the connection": func(f *fixture) {
			seq := f.out.Sends[0].Request.Seq
			f.out.Reset()
			f.r.ConnectionLost(2, seq, &f.out)
		},
	}
	for name, lost := range lose {
		t.Run(name, func(t *testing.T) {
			f := newFixture(nil)
			again := deposit(request.RepeatFirst)
			again.Idempotent = true
			f.submit(1, again)
			lost(f)
			for len(f.out.Sends) == 0 {
				at, ok := f.r.NextTick()
				must.True(t, ok)
				f.r.Tick(at, &f.out)
			}
			f.answer(owner, result.TargetUnavailable, nil)
			must.Eq(t, result.Unknown, f.replied(t).Outcome())
			must.SliceEmpty(t, f.out.Raises)
			must.Positive(t, f.out.Replies[0].Answer.RetryAfter)
		})
	}
}
