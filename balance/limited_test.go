package balance_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/balance"
	"github.com/rhubarbring/rhubarbring/gate"
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/request"
	"github.com/rhubarbring/rhubarbring/result"
)

// simEntries is the number of entry daemons, each of which hears of a gate only with
// its own answers.
const simEntries = 15

// simulateLimits plays four targets of which two name a limit of a sixth of their
// capacity, under 0.85 of what all of them can take, and returns how many
// refusals of gates there are for each request, all of which are served in the end.
func simulateLimits(t *testing.T, cfg balance.Config) float64 {
	s := newSim(3, []time.Duration{meanService, meanService, meanService, meanService})
	s.latencyTarget = normalDeadline / 4
	for i := range simEntries {
		cfg.Seed = uint64(i)
		s.useBalancerWith(cfg)
	}
	for _, v := range s.servers[:2] {
		var out gate.Actions
		v.gate.SetRateLimit(s.now, capacity/6, &out)
	}
	end := s.now.Add(simDuration)
	s.startArrivals(0.85*(2+2.0/6)*capacity, 0, normalDeadline, normalDeadline, end)
	s.run(end.Add(time.Second))
	for _, c := range s.all {
		must.Eq(t, result.OK, c.code)
	}
	refusals := uint64(0)
	for _, v := range s.servers {
		refusals += v.gate.Counters().Refused
	}
	return float64(refusals) / float64(len(s.all))
}

// Requests that limited targets can't take go to the free ones, which have room for
// all of them. A balancer that goes on asking gates which have just refused spends
// its retries on them.
func TestRequestsBeyondLimitsGoToFreeTargets(t *testing.T) {
	naive := balance.DefaultConfig()
	naive.MaxFullTime = 0
	before, after := simulateLimits(t, naive), simulateLimits(t, balance.DefaultConfig())
	t.Logf("refusals of gates for each request: %.4f, and %.4f if gates that refuse are not avoided", after, before)
	must.Less(t, before/2, after)
}

// A gate that refused for lack of room comes after all others, also those of another
// region, for the time that it advised, and is still chosen if it is the only one.
func TestGateThatRefusedIsChosenLast(t *testing.T) {
	const advice = 150 * time.Millisecond
	refuse := func(b *balance.Balancer, g balance.GateInfo, now mono.Time, after time.Duration) {
		b.Sent(g.Session, now)
		b.AttemptEnded(g.Session, now, request.AttemptResult{Code: result.QueueFull, RetryAfter: after})
	}
	chosen := func(b *balance.Balancer, now mono.Time) host.Session {
		to, code := choose(b, now)
		must.Eq(t, result.OK, code)
		return to
	}
	b := twoRegions(wideLink, ownZone, otherZone, otherRegion)
	for range 20 {
		refuse(b, ownZone, 1, advice)
		must.Eq(t, otherZone.Session, chosen(b, 2))
	}
	refuse(b, otherZone, 2, time.Minute)
	must.Eq(t, otherRegion.Session, chosen(b, 3))
	refuse(b, otherRegion, 3, advice)
	must.NotEq(t, otherRegion.Session, chosen(b, 4))
	must.Eq(t, ownZone.Session, chosen(b, mono.Time(1).Add(advice)))
	must.NotEq(t, otherRegion.Session, chosen(b, mono.Time(3).Add(balance.DefaultConfig().MaxFullTime)))
}
