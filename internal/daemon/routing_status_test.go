package daemon

import (
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"

	"github.com/rhubarbring/rhubarbring/event"
	"github.com/rhubarbring/rhubarbring/grant"
	"github.com/rhubarbring/rhubarbring/internal/bootclock"
	"github.com/rhubarbring/rhubarbring/internal/control"
	"github.com/rhubarbring/rhubarbring/internal/entry"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/request"
	"github.com/rhubarbring/rhubarbring/result"
	"github.com/rhubarbring/rhubarbring/status"
	"github.com/rhubarbring/rhubarbring/targetinstance"
)

// statingTarget is a target whose answers have the given header fields.
type statingTarget struct {
	limit, leaving atomic.Value // string; empty for no field
	requests       atomic.Int64
}

func (s *statingTarget) handle(ctx *fasthttp.RequestCtx) {
	s.requests.Add(1)
	for name, value := range map[string]*atomic.Value{"Rhubarb-Rate-Limit": &s.limit, "Rhubarb-Leaving": &s.leaving} {
		if text, _ := value.Load().(string); text != "" {
			ctx.Response.Header.Set(name, text)
		}
	}
}

// announceNumbered announces a target at an address as the owner's, under an
// instance number.
func (p *routingPair) announceNumbered(t *testing.T, address string, sequence uint64) {
	_, err := p.owner.HandleAnnouncement(control.Announcement{
		App: pairApp, Address: address, Slots: 12, Connections: 130, ChecksGrants: true, State: control.StateWarm, InstanceName: "i-1", StartedMs: 1, Sequence: sequence,
	}, grant.Report{})
	must.NoError(t, err)
}

// callWithin submits a request that has to be answered within the budget.
func (p *routingPair) callWithin(t *testing.T, d *Daemon, budget time.Duration) *request.Answer {
	p.calls++
	s := entry.Submission{
		Call: p.calls,
		Request: &request.Request{
			ID: strconv.Itoa(int(p.calls)), App: pairApp, Key: "k", Repeat: request.RepeatFirst, Budget: budget, Method: "POST", Path: "/items",
		},
		Deadline: bootclock.Now().Add(budget),
		Reply:    make(chan *request.Answer, 1),
	}
	must.True(t, d.Submit(s))
	return <-s.Reply
}

// The requests of all daemons together stay within what the target named.
func TestTargetGetsNoMoreRequestsThanItsLimit(t *testing.T) {
	p := newRoutingPair(t, event.Warn)
	target := &statingTarget{}
	target.limit.Store("2")
	p.announceNumbered(t, startTarget(t, target.handle), 1)
	must.Eq(t, 200, p.call(t, p.entry, "first", nil).Status)
	begin := bootclock.Now()
	for i := range 60 {
		p.callWithin(t, []*Daemon{p.entry, p.owner}[i%2], 100*time.Millisecond)
	}
	seconds := bootclock.Now().Sub(begin).Seconds()
	must.LessEq(t, 1.5*2*seconds+5, float64(target.requests.Load()))
}

// restartOwner makes the next daemon of the owner's host, beside the same instance of
// the target, the owner.
func (p *routingPair) restartOwner(t *testing.T, address string) {
	p.owner = p.routingDaemon(t, "second", 1, event.Warn)
	for _, d := range []*Daemon{p.entry, p.owner} {
		p.loadFleet(t, d)
	}
	p.assign()
	p.announceNumbered(t, address, 9)
}

func TestRestartedDaemonKnowsOfDeregistration(t *testing.T) {
	p := newRoutingPair(t, event.Warn)
	target := &statingTarget{}
	address := startTarget(t, target.handle)
	p.announceNumbered(t, address, 1)
	must.Eq(t, 200, p.call(t, p.entry, "first", nil).Status)
	must.NoError(t, p.owner.TargetLeaving(targetinstance.Departure{ID: "i-1"}))
	must.Eq(t, 200, p.call(t, p.entry, "within the grace", nil).Status)
	p.restartOwner(t, address)
	must.NotNil(t, p.owner.announcedTarget.Load())
	p.call(t, p.entry, "second", nil)
	must.Nil(t, p.owner.announcedTarget.Load())
}

// The next daemon beside a target knows its limit before it passes on the first
// request.
func TestRestartedDaemonKnowsLimit(t *testing.T) {
	p := newRoutingPair(t, event.Warn)
	target := &statingTarget{}
	target.limit.Store("0.5")
	address := startTarget(t, target.handle)
	p.announceNumbered(t, address, 1)
	must.Eq(t, 200, p.call(t, p.entry, "first", nil).Status)
	p.restartOwner(t, address)
	must.Eq(t, result.DeadlineTooShort, p.callWithin(t, p.entry, 100*time.Millisecond).Code)
	must.Eq(t, 1, target.requests.Load())
}

func TestStatusShowsWhatTargetSays(t *testing.T) {
	p := newRoutingPair(t, event.Warn)
	target := &statingTarget{}
	target.limit.Store("7.5")
	target.leaving.Store("1")
	p.announceNumbered(t, startTarget(t, target.handle), 1)
	must.Eq(t, 200, p.call(t, p.entry, "first", nil).Status)
	var s status.Daemon
	_, err := queryRouting(p.owner, func(r *routingLoop, now mono.Time) bool { r.fillStatus(now, &s); r.updateGauges(now); return true })
	must.NoError(t, err)
	must.Eq(t, 7.5, s.Target.RateLimit)
	must.True(t, s.Target.Leaving)
	must.Eq(t, 7.5, p.owner.routing.metrics.rateLimit.Value())
	must.Eq(t, 1, p.owner.routing.metrics.leaving.Value())
}

// The next daemon beside a leaving target knows that before it passes on the first
// request, and the grace of the drain does not begin anew.
func TestRestartedDaemonGivesLeavingTargetNothing(t *testing.T) {
	p := newRoutingPair(t, event.Warn)
	target := &statingTarget{}
	target.leaving.Store("1")
	address := startTarget(t, target.handle)
	p.announceNumbered(t, address, 1)
	must.Eq(t, 200, p.call(t, p.entry, "first", nil).Status)
	p.restartOwner(t, address)
	must.NotNil(t, p.owner.announcedTarget.Load())
	must.Eq(t, result.NoOwner, p.callWithin(t, p.entry, time.Second).Code)
	must.Eq(t, 1, target.requests.Load())
	must.Nil(t, p.owner.announcedTarget.Load())
}

func TestLeavingTargetIsDrainedWhateverItAnnounces(t *testing.T) {
	p := newRoutingPair(t, event.Warn)
	target := &statingTarget{}
	address := startTarget(t, target.handle)
	p.announceNumbered(t, address, 1)
	must.Eq(t, 200, p.call(t, p.entry, "before", nil).Status)
	must.NotNil(t, p.owner.announcedTarget.Load())
	target.leaving.Store("1")
	must.Eq(t, 200, p.call(t, p.entry, "last", nil).Status)
	must.Nil(t, p.owner.announcedTarget.Load())
	p.announceNumbered(t, address, 2)
	must.Nil(t, p.owner.announcedTarget.Load(), must.Sprint("a heartbeat revokes nothing"))
}
