package daemon

import (
	"testing"

	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"

	"github.com/rhubarbring/rhubarbring/event"
	"github.com/rhubarbring/rhubarbring/request"
	"github.com/rhubarbring/rhubarbring/result"
)

// A daemon's session ends while a request that it has sent is at work: the
// answer that comes soon is delivered.
func TestTheEndOfASessionWaitsAMomentForAnswers(t *testing.T) {
	p := newRoutingPair(t, event.Info)
	started := make(chan bool)
	free := make(chan bool)
	p.answerAtTarget(t, func(ctx *fasthttp.RequestCtx) {
		started <- true
		<-free
		ctx.SetBody(ctx.PostBody())
	})
	told := make(chan *request.Answer, 1)
	go func() { told <- p.call(t, p.entry, "order-1", []byte("body")) }()
	<-started
	p.entry.routing.ring.Push(sessionEnded{session: p.entry.self})
	p.entry.routing.reach()
	free <- true
	must.Eq(t, result.OK, (<-told).Code)
}

// Any other answer is not waited for.
func TestTheEndOfASessionEndsTheWaitForAnswers(t *testing.T) {
	p := newRoutingPair(t, event.Info)
	started := make(chan bool, 1)
	free := make(chan bool)
	p.answerAtTarget(t, func(*fasthttp.RequestCtx) {
		started <- true
		<-free
	})
	defer close(free)
	told := make(chan *request.Answer, 1)
	go func() { told <- p.call(t, p.entry, "order-1", nil) }()
	<-started
	p.entry.routing.ring.Push(sessionEnded{session: p.entry.self})
	p.entry.routing.ring.Push(sentGivenUp{})
	must.Eq(t, result.PeerLost, (<-told).Code)
}
