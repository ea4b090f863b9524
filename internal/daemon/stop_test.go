package daemon

import (
	"cmp"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/event"
	"github.com/rhubarbring/rhubarbring/grant"
	"github.com/rhubarbring/rhubarbring/internal/bootclock"
	"github.com/rhubarbring/rhubarbring/internal/control"
	"github.com/rhubarbring/rhubarbring/internal/targetclient"
	"github.com/rhubarbring/rhubarbring/mono"
)

// blockedTarget accepts every grant, and answers a release only when the test
// provides the answer.
type blockedTarget struct {
	address       string
	granted       chan bool
	releaseAsked  chan bool // receives when a release is requested
	releaseAnswer chan grant.Answer
	ended         bool // Its connections show that the process has ended.
	retired       bool
	closed        bool
}

func (h *blockedTarget) Address() string                         { return cmp.Or(h.address, "held") }
func (*blockedTarget) Do(targetclient.Call) targetclient.Reply   { return targetclient.Reply{} }
func (*blockedTarget) Cancel(string, uint64, time.Duration) bool { return false }
func (*blockedTarget) IsListening() bool                         { return true }
func (h *blockedTarget) Close()                                  { h.closed = true }
func (*blockedTarget) Announced()                                {}
func (h *blockedTarget) Retire()                                 { h.retired = true }
func (h *blockedTarget) HasEnded() bool                          { return h.ended }

func (h *blockedTarget) Grant(grant.Grant) grant.Reply {
	h.granted <- true
	return grant.Reply{Answer: grant.Accepted}
}

func (h *blockedTarget) Release(grant.Release) grant.Reply {
	h.releaseAsked <- true
	return grant.Reply{Token: "token", Answer: <-h.releaseAnswer}
}

// beginStop returns a daemon that has begun a planned stop while its target
// holds a slice and has not answered the release.
func beginStop(t *testing.T) (*routingPair, *blockedTarget) {
	target := &blockedTarget{granted: make(chan bool, 100), releaseAsked: make(chan bool), releaseAnswer: make(chan grant.Answer)}
	p := newRoutingPair(t, event.Info)
	_, err := queryRouting(p.owner, func(r *routingLoop, _ mono.Time) bool {
		r.targets = func(control.Announcement) Target { return target }
		return true
	})
	must.NoError(t, err)
	p.announceTarget("held")
	<-target.granted
	p.keepsReleases.Store(true)
	p.owner.routing.ring.Push(stopRequested{})
	return p, target
}

// A planned stop must not count as released, and so the session must not be
// recorded as left, while its target may hold a slice: other daemons would
// become owners of that slice at once.
func TestStopWaitsForTargetToReleaseSlices(t *testing.T) {
	p, target := beginStop(t)
	d := p.owner
	<-target.releaseAsked
	d.routing.sync()
	must.False(t, d.routing.allReleased.Load())
	target.releaseAnswer <- grant.Accepted
	d.await(5*time.Second, d.routing.allReleased.Load)
	must.True(t, d.routing.allReleased.Load())
}

// If the time for a stop ends before the target is known to hold no slice, the
// session must not be recorded as left.
func TestSessionDoesNotLeaveWhileTargetMayHoldSlices(t *testing.T) {
	p, target := beginStop(t)
	d := p.owner
	<-target.releaseAsked
	d.recordLeft(bootclock.Now(), &stopPlan{})
	d.log.Close()
	must.False(t, d.hasLeft())
	must.StrContains(t, p.logs[1].String(), "event=3042 name=planned_stop_cut")
	target.releaseAnswer <- grant.Accepted
}
