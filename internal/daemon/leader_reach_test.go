package daemon

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/placement"
)

func TestALeaderLongOutOfReachIsReplaced(t *testing.T) {
	start := mono.Time(time.Second)
	old := start.Add(leaderTrial)
	var r leaderReach
	r.follow(start, placement.Leader{Session: host.Session{Host: "a", Incarnation: 1}, Term: 3})
	must.False(t, r.due(old))

	must.False(t, r.tried(old, false))
	must.False(t, r.due(old))
	must.True(t, r.due(old.Add(reachAgain)))
	must.False(t, r.tried(old.Add(unreachedFor-1), false))
	must.True(t, r.tried(old.Add(unreachedFor), false))
}

func TestALeaderThatIsReachedAgainStays(t *testing.T) {
	old := mono.Time(time.Second).Add(leaderTrial)
	var r leaderReach
	r.follow(mono.Time(time.Second), placement.Leader{Term: 3})
	r.tried(old, false)
	must.False(t, r.tried(old.Add(reachAgain), true))
	must.False(t, r.due(old.Add(time.Hour)))
	must.False(t, r.tried(old.Add(unreachedFor), false))
}

func TestANewLeaderIsLeftAlone(t *testing.T) {
	start := mono.Time(time.Second)
	var r leaderReach
	r.follow(start, placement.Leader{Term: 3})
	r.tried(start, false)
	must.False(t, r.tried(start.Add(leaderTrial-1), false))
	must.True(t, r.tried(start.Add(leaderTrial), false))
	r.follow(start.Add(leaderTrial), placement.Leader{Term: 4})
	must.False(t, r.due(start.Add(time.Hour)))
}
