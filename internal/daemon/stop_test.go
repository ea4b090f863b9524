package daemon

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/event"
	"github.com/rhubarbring/rhubarbring/grant"
	"github.com/rhubarbring/rhubarbring/internal/control"
	"github.com/rhubarbring/rhubarbring/internal/targetclient"
)

// heldTarget holds what it is granted, and answers a release only when the test
// lets it.
type heldTarget struct {
	granted chan bool
	asked   chan bool // a release
	release chan grant.Answer
}

func (*heldTarget) Address() string                           { return "held" }
func (*heldTarget) Do(targetclient.Call) targetclient.Reply   { return targetclient.Reply{} }
func (*heldTarget) Cancel(string, uint64, time.Duration) bool { return false }
func (*heldTarget) Close()                                    {}
func (*heldTarget) Announced()                                {}

func (h *heldTarget) Grant(grant.Grant) grant.Answer {
	h.granted <- true
	return grant.Taken
}

func (h *heldTarget) Release(grant.Release) (string, grant.Answer) {
	h.asked <- true
	return "token", <-h.release
}

// stopping returns a daemon that has begun a planned stop while its target
// holds a slice and has not answered the release.
func stopping(t *testing.T) (*routingPair, *heldTarget) {
	held := &heldTarget{granted: make(chan bool, 100), asked: make(chan bool), release: make(chan grant.Answer)}
	p := newRoutingPair(t, event.Info)
	r := p.owner.routing
	r.targets = func(control.Announcement) Target { return held }
	p.targetAt("held")
	<-held.granted
	r.ring.Push(stopRequested{})
	return p, held
}

// A session is not recorded as left while its target may hold a slice: others
// would be granted it at once.
func TestNothingIsReleasedBeforeTheTargetSaysSo(t *testing.T) {
	p, held := stopping(t)
	d := p.owner
	<-held.asked
	d.routing.reach()
	must.False(t, d.routing.allReleased.Load())
	held.release <- grant.Taken
	d.await(5*time.Second, d.routing.allReleased.Load)
	must.True(t, d.routing.allReleased.Load())
}

// If the time for a stop is over before the target surely holds nothing, the
// session is not recorded as left.
func TestASessionThatMayHoldSlicesDoesNotLeave(t *testing.T) {
	p, held := stopping(t)
	d := p.owner
	<-held.asked
	d.leave(time.Now())
	d.log.Close()
	must.False(t, d.left())
	must.StrContains(t, p.logs[1].String(), "event=3042 name=planned_stop_cut")
	held.release <- grant.Taken
}
