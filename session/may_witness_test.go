package session_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/session"
)

// A session may be recorded as lost once its lease has ended. A takeover relies
// on this: once Timing.WitnessGrace has passed since that end, the session renews
// no other, even if its process was suspended meanwhile.
func TestSessionRenewsOthersUntilWitnessGraceEnds(t *testing.T) {
	timing := session.DefaultTiming()
	start := mono.Time(0)
	members := largeFleet(20)
	c := leasedHolder(members, start)
	must.True(t, c.HoldsLease(start))
	must.True(t, c.MayWitness(start))

	ended := start.Add(timing.WitnessGrace)
	must.False(t, c.HoldsLease(ended-1))
	must.True(t, c.MayWitness(ended-1))
	c.Step(ended-1, session.Tick{}) // A step without a lease does not extend the time.
	must.False(t, c.MayWitness(ended))
}

func TestSessionThatNeverHeldALeaseRenewsNobody(t *testing.T) {
	c := session.New(session.Config{Session: largeFleet(1)[0].Session, Timing: session.DefaultTiming()})
	must.False(t, c.MayWitness(0))
}

func TestWithDriftMarginAddsTheDriftMargin(t *testing.T) {
	timing := session.DefaultTiming()
	must.Eq(t, timing.Lease+timing.Margin, timing.WithDriftMargin(timing.Lease))
}
