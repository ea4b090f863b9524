package daemon

import (
	"testing"

	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"

	"github.com/rhubarbring/rhubarbring/event"
	"github.com/rhubarbring/rhubarbring/request"
	"github.com/rhubarbring/rhubarbring/result"
)

// If a session ends while a request that its daemon has sent is running, an
// answer that arrives soon after must be delivered.
func TestAnswerAfterSessionEndIsDelivered(t *testing.T) {
	p := newRoutingPair(t, event.Info)
	started := make(chan bool)
	unblock := make(chan bool)
	p.replaceTarget(t, func(ctx *fasthttp.RequestCtx) {
		started <- true
		<-unblock
		ctx.SetBody(ctx.PostBody())
	})
	answered := make(chan *request.Answer, 1)
	go func() { answered <- p.call(t, p.entry, "order-1", []byte("body")) }()
	<-started
	p.entry.routing.ring.Push(sessionEnded{session: p.entry.self})
	p.entry.routing.sync()
	unblock <- true
	must.Eq(t, result.OK, (<-answered).Code)
}

// After abandonSent, callers must not wait for answers that are still missing.
func TestAbandonedRequestIsAnsweredPeerLost(t *testing.T) {
	p := newRoutingPair(t, event.Info)
	started := make(chan bool, 1)
	unblock := make(chan bool)
	p.replaceTarget(t, func(*fasthttp.RequestCtx) {
		started <- true
		<-unblock
	})
	defer close(unblock)
	answered := make(chan *request.Answer, 1)
	go func() { answered <- p.call(t, p.entry, "order-1", nil) }()
	<-started
	p.entry.routing.ring.Push(sessionEnded{session: p.entry.self})
	p.entry.routing.ring.Push(abandonSent{})
	must.Eq(t, result.PeerLost, (<-answered).Code)
}
