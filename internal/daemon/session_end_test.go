package daemon

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"

	"github.com/rhubarbring/rhubarbring/event"
	"github.com/rhubarbring/rhubarbring/request"
	"github.com/rhubarbring/rhubarbring/result"
)

// A daemon's session ends while a request that it has sent is at work: the
// answer that comes soon is delivered, and the wait for any other ends then.
func TestTheEndOfASessionWaitsAMomentForAnswers(t *testing.T) {
	p := newRoutingPair(t, event.Info)
	started := make(chan bool)
	free := make(chan bool)
	p.answerAtTarget(t, func(ctx *fasthttp.RequestCtx) {
		started <- true
		<-free
		ctx.SetBody(ctx.PostBody())
	})
	ask := func(id string) <-chan *request.Answer {
		told := make(chan *request.Answer, 1)
		go func() { told <- p.call(t, p.entry, id, []byte("body")) }()
		<-started
		return told
	}
	soon := ask("order-1")
	p.entry.routing.ring.Push(sessionEnded{session: p.entry.self})
	time.Sleep(20 * time.Millisecond)
	free <- true
	must.Eq(t, result.OK, (<-soon).Code)
}

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
