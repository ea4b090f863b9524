package request_test

import (
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/request"
	"github.com/rhubarbring/rhubarbring/result"
)

// anyGate is an app without slices.
type anyGate struct{}

func (anyGate) Divided(key.App) (bool, bool)        { return false, true }
func (anyGate) Route(key.App, string) request.Route { return request.Route{} }

// inOrder chooses the first gate that was not tried, else the last that was.
type inOrder struct {
	noChoice
	gates []host.Session
}

func (o inOrder) Choose(_ key.App, _ mono.Time, _ time.Duration, _ int, tried []host.Session) (host.Session, result.Code) {
	for _, g := range o.gates {
		if !slices.Contains(tried, g) {
			return g, result.OK
		}
	}
	return tried[len(tried)-1], result.OK
}
func (inOrder) Sent(host.Session, mono.Time)                 {}
func (inOrder) Ended(host.Session, mono.Time, request.Ended) {}

// pause lets the pause before the next sending pass.
func (f *fixture) pause() {
	for i := 1; i < 50 && len(f.out.Sends)+len(f.out.Replies) == 0; i++ {
		f.r.Tick(mono.Time(i)*mono.Time(10*time.Millisecond), &f.out)
	}
}

// A request goes to each gate once. When all of them had no room, its caller is
// told at once, with the advice of the last.
func TestAGateThatHadNoRoomIsNotAskedAgain(t *testing.T) {
	f := newFixture(func(c *request.Config) {
		c.Map = anyGate{}
		c.Chooser = inOrder{gates: []host.Session{owner, other}}
	})
	req := deposit(request.RepeatFirst)
	req.FreshID = true
	f.submit(1, req)
	must.Eq(t, owner, f.out.Sends[0].To)
	f.answer(owner, result.QueueFull, nil)
	f.pause()
	must.SliceLen(t, 1, f.out.Sends)
	must.Eq(t, other, f.out.Sends[0].To)
	f.answer(other, result.QueueFull, func(a *request.Answer) { a.RetryAfter = 70 * time.Millisecond })
	f.pause()
	must.SliceEmpty(t, f.out.Sends)
	must.Eq(t, result.QueueFull, f.replied(t))
	must.Eq(t, 70*time.Millisecond, f.out.Replies[0].Answer.RetryAfter)
}

// A gate whose answer was lost may be asked again if it is the only one: it
// did not say that it has no room.
func TestTheOnlyGateIsAskedAgainAfterALoss(t *testing.T) {
	f := newFixture(func(c *request.Config) {
		c.Map = anyGate{}
		c.Chooser = inOrder{gates: []host.Session{owner}}
	})
	req := deposit(request.RepeatFirst)
	req.Idempotent = true
	f.submit(1, req)
	f.answer(owner, result.AnswerLost, nil)
	f.pause()
	must.SliceLen(t, 1, f.out.Sends)
	must.Eq(t, owner, f.out.Sends[0].To)
}
