package balance_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/balance"
	"github.com/rhubarbring/rhubarbring/gate"
	"github.com/rhubarbring/rhubarbring/result"
)

// simEntries is the number of entry daemons, each of which hears of a gate only with
// its own answers.
const simEntries = 15

// simulateLimits plays four targets of which two name a limit of a sixth of their
// capacity, under 0.85 of what all of them can take, and returns how many
// refusals of gates there are for each request, and which share of them is served.
func simulateLimits(useChooser func(*sim, uint64)) (refusals, served float64) {
	s := newSim(3, []time.Duration{meanService, meanService, meanService, meanService})
	s.latencyTarget = normalDeadline / 4
	for i := range simEntries {
		useChooser(s, uint64(i))
	}
	for _, v := range s.servers[:2] {
		var out gate.Actions
		v.gate.SetRateLimit(s.now, capacity/6, &out)
	}
	end := s.now.Add(simDuration)
	s.startArrivals(0.85*(2+2.0/6)*capacity, 0, normalDeadline, normalDeadline, end)
	s.run(end.Add(time.Second))
	all := len(s.all)
	for _, v := range s.servers {
		refusals += float64(v.gate.Counters().Refused) / float64(all)
	}
	for _, c := range s.all {
		if c.code == result.OK {
			served += 1 / float64(all)
		}
	}
	return refusals, served
}

// Requests that limited targets can't take go to the free ones, which have room for
// all of them, and with few refusals on the way. Round robin asks each gate alike.
func TestRequestsBeyondLimitsGoToFreeTargets(t *testing.T) {
	robin, _ := simulateLimits(func(s *sim, _ uint64) { s.useChooser(&roundRobin{gates: s.gates()}) })
	ours, served := simulateLimits(func(s *sim, seed uint64) {
		cfg := balance.DefaultConfig()
		cfg.Seed = seed
		s.useBalancerWith(cfg)
	})
	t.Logf("refusals of gates for each request: %.4f, with round robin %.4f", ours, robin)
	must.Less(t, robin/5, ours)
	must.GreaterEq(t, 0.999, served)
}
