package request_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/request"
	"github.com/rhubarbring/rhubarbring/result"
)

// keyQuarantine holds the requests of some keys for a minute.
type keyQuarantine map[string]bool

func (q keyQuarantine) Check(_ mono.Time, r *request.Request) (time.Duration, bool) {
	return time.Minute, q[r.Key]
}

func TestQuarantinedRequestIsNotSent(t *testing.T) {
	held := keyQuarantine{"k": true}
	f := newFixture(func(c *request.Config) { c.Quarantine = held })
	f.submit(1, newRequest(request.RepeatFirst))
	must.SliceEmpty(t, f.out.Sends)
	must.Eq(t, result.Quarantined, f.replyCode(t))
	must.Eq(t, time.Minute, f.out.Replies[0].Answer.RetryAfter)

	f.submit(2, newRequest(request.RepeatAgain))
	must.SliceLen(t, 1, f.out.Sends, must.Sprint("its gate may have the answer"))
}

func TestRequestThatEndsInQuarantineIsNotSentAgain(t *testing.T) {
	held := keyQuarantine{}
	f := newFixture(func(c *request.Config) { c.Quarantine = held })
	r := newRequest(request.RepeatFirst)
	r.Idempotent = true
	f.submit(1, r)
	f.answer(owner, result.AnswerLost, nil)
	must.SliceEmpty(t, f.out.Replies)
	held["k"] = true
	f.out.Reset()
	f.router.Tick(second/2, &f.out)
	must.SliceEmpty(t, f.out.Sends)
	must.Eq(t, result.AnswerLost, f.replyCode(t), must.Sprint("an attempt may have run"))
}
