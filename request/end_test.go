package request_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/request"
	"github.com/rhubarbring/rhubarbring/result"
)

// The end of the session answers what waits for an owner or for its next
// sending, and what is lost later is not sent again.
func TestTheEndOfTheSessionAnswersWhatWaits(t *testing.T) {
	f := newFixture(nil)
	f.m.route = request.Route{}
	f.submit(1, deposit(request.RepeatFirst))
	must.SliceEmpty(t, f.out.Replies)
	f.out.Reset()
	f.r.End(3, &f.out)
	must.Eq(t, result.Draining, f.replied(t))
	must.Zero(t, f.r.Live())

	f = newFixture(nil)
	req := deposit(request.RepeatFirst)
	req.Idempotent = true
	f.submit(1, req)
	seq := f.out.Sends[0].Request.Seq
	f.out.Reset()
	f.r.End(3, &f.out)
	must.SliceEmpty(t, f.out.Replies, must.Sprint("its answer may still come"))
	f.r.SendFailed(4, seq, result.PeerUnreachable, &f.out)
	must.Eq(t, result.PeerUnreachable, f.replied(t))
	f.r.Tick(mono.Time(time.Second), &f.out)
	must.SliceEmpty(t, f.out.Sends)

	f.submit(2, deposit(request.RepeatFirst))
	must.Eq(t, result.Draining, f.replied(t), must.Sprint("what comes later is refused at once"))
}

// A refusal by the own gate, which knows that the session is over, is not
// waited out.
func TestARefusalAfterTheEndIsPassedOn(t *testing.T) {
	f := newFixture(nil)
	f.submit(1, deposit(request.RepeatFirst))
	seq := f.out.Sends[0].Request
	f.r.End(3, &f.out)
	f.out.Reset()
	f.r.Answered(4, owner, &request.Answer{ID: seq.ID, Attempt: seq.Attempt, Seq: seq.Seq, Code: result.LeaseLapsed}, &f.out)
	must.Eq(t, result.LeaseLapsed, f.replied(t))
}
