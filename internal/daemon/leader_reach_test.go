package daemon

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/placement"
)

func TestLeaderUnreachableBeyondTimeoutIsReplaced(t *testing.T) {
	start := mono.Time(time.Second)
	graceOver := start.Add(newLeaderGrace)
	var r leaderReach
	r.reset(start, placement.Leader{Session: host.Session{Host: "a", Incarnation: 1}, Term: 3})
	must.False(t, r.retryDue(graceOver))

	must.False(t, r.recordAttempt(graceOver, false))
	must.False(t, r.retryDue(graceOver))
	must.True(t, r.retryDue(graceOver.Add(reachRetryInterval)))
	must.False(t, r.recordAttempt(graceOver.Add(unreachableTimeout-1), false))
	must.True(t, r.recordAttempt(graceOver.Add(unreachableTimeout), false))
}

func TestLeaderReachedAgainIsKept(t *testing.T) {
	graceOver := mono.Time(time.Second).Add(newLeaderGrace)
	var r leaderReach
	r.reset(mono.Time(time.Second), placement.Leader{Term: 3})
	r.recordAttempt(graceOver, false)
	must.False(t, r.recordAttempt(graceOver.Add(reachRetryInterval), true))
	must.False(t, r.retryDue(graceOver.Add(time.Hour)))
	must.False(t, r.recordAttempt(graceOver.Add(unreachableTimeout), false))
}

func TestNewLeaderIsKeptForItsGracePeriod(t *testing.T) {
	start := mono.Time(time.Second)
	var r leaderReach
	r.reset(start, placement.Leader{Term: 3})
	r.recordAttempt(start, false)
	must.False(t, r.recordAttempt(start.Add(newLeaderGrace-1), false))
	must.True(t, r.recordAttempt(start.Add(newLeaderGrace), false))
	r.reset(start.Add(newLeaderGrace), placement.Leader{Term: 4})
	must.False(t, r.retryDue(start.Add(time.Hour)))
}
