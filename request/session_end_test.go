package request_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/request"
	"github.com/rhubarbring/rhubarbring/result"
)

// When the session ends, requests that wait for an owner are answered, an
// attempt that is lost afterwards is not retried, and new requests are refused.
func TestSessionEndRepliesToWaitingRequests(t *testing.T) {
	f := newFixture(nil)
	f.owners.route = request.SliceOwner{}
	f.submit(1, newRequest(request.RepeatFirst))
	must.SliceEmpty(t, f.out.Replies)
	f.out.Reset()
	f.router.SessionEnded(3, &f.out)
	must.Eq(t, result.Draining, f.replyCode(t))
	must.Zero(t, f.router.Live())

	f = newFixture(nil)
	req := newRequest(request.RepeatFirst)
	req.Idempotent = true
	f.submit(1, req)
	seq := f.out.Sends[0].Request.Seq
	f.out.Reset()
	f.router.SessionEnded(3, &f.out)
	must.SliceEmpty(t, f.out.Replies, must.Sprint("the gate's answer may still arrive"))
	f.router.SendFailed(4, seq, result.PeerUnreachable, &f.out)
	must.Eq(t, result.PeerUnreachable, f.replyCode(t))
	f.router.Tick(mono.Time(time.Second), &f.out)
	must.SliceEmpty(t, f.out.Sends)

	f.submit(2, newRequest(request.RepeatFirst))
	must.Eq(t, result.Draining, f.replyCode(t), must.Sprint("a request after the end is refused immediately"))
}

// A gate's refusal that arrives after the session has ended is passed to the
// caller. The request doesn't wait for another owner, since nothing can be sent
// any more. Such a refusal comes, for example, from the daemon's own gate, which
// knows that the session is over.
func TestGateRefusalAfterSessionEndIsNotRetried(t *testing.T) {
	f := newFixture(nil)
	f.submit(1, newRequest(request.RepeatFirst))
	sent := f.out.Sends[0].Request
	f.router.SessionEnded(3, &f.out)
	f.out.Reset()
	f.router.Answered(4, owner, &request.Answer{ID: sent.ID, Attempt: sent.Attempt, Seq: sent.Seq, Code: result.LeaseLapsed}, &f.out)
	must.Eq(t, result.LeaseLapsed, f.replyCode(t))
}
