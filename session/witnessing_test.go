package session_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/session"
)

// A session may be recorded as lost once its lease ended. Takers count on it to
// renew nobody from Timing.WitnessOn after that, even if it slept meanwhile.
func TestASessionRenewsOthersWhileItsLeaseHoldsAndShortlyAfter(t *testing.T) {
	timing := session.DefaultTiming()
	start := mono.Time(0)
	members := bigFleet(20)
	c := settledHolder(members, start)
	must.True(t, c.HoldsLease(start))
	must.True(t, c.MayWitness(start))

	ended := start.Add(timing.WitnessOn)
	must.False(t, c.HoldsLease(ended-1))
	must.True(t, c.MayWitness(ended-1))
	c.Step(ended-1, session.Tick{}) // A step without a lease extends nothing.
	must.False(t, c.MayWitness(ended))
}

func TestASessionThatNeverHeldRenewsNobody(t *testing.T) {
	c := session.New(session.Config{Session: bigFleet(1)[0].Session, Timing: session.DefaultTiming()})
	must.False(t, c.MayWitness(0))
}

func TestCoveredDurationsGrowAsTheMargin(t *testing.T) {
	timing := session.DefaultTiming()
	must.Eq(t, timing.Lease+timing.Margin, timing.Covered(timing.Lease))
}
