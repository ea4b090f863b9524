package balance_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/result"
)

const (
	meanService    = 10 * time.Millisecond
	normalDeadline = 200 * time.Millisecond
	urgentDeadline = 100 * time.Millisecond
	simDuration    = 10 * time.Second
	urgentFraction = 0.2
)

// capacity is the throughput limit of one target in requests per second.
const capacity = simSlots * float64(time.Second) / float64(meanService)

type loadResult struct {
	goodput      float64 // requests per second done within their deadline
	urgentP99    time.Duration
	urgentInTime float64 // fraction of the urgent requests that succeeded
	normalInTime float64
}

func simulateLoad(factor float64) loadResult {
	s := newSim(7, []time.Duration{meanService})
	s.useBalancer()
	end := s.now.Add(simDuration)
	s.startArrivals(capacity*factor, urgentFraction, normalDeadline, urgentDeadline, end)
	s.run(end.Add(time.Second))
	return measure(s)
}

func measure(s *sim) loadResult {
	var urgent []time.Duration
	var in, all [2]float64
	for _, c := range s.all {
		class := 0
		if c.urgent {
			class = 1
		}
		all[class]++
		if c.code != result.OK {
			continue
		}
		in[class]++
		if c.urgent {
			urgent = append(urgent, c.took)
		}
	}
	slices.Sort(urgent)
	return loadResult{
		goodput:      float64(s.countGood()) / simDuration.Seconds(),
		urgentP99:    urgent[len(urgent)*99/100],
		urgentInTime: in[1] / all[1],
		normalInTime: in[0] / all[0],
	}
}

// fifoGoodput returns the goodput of a target without a gate, in requests per
// second.
func fifoGoodput(factor float64) float64 {
	rnd := rand.New(rand.NewPCG(7, 0))
	f := &fifoTarget{freeAt: make([]mono.Time, simSlots)}
	good := 0
	now := mono.Time(1)
	for end := now.Add(simDuration); now < end; {
		deadline := normalDeadline
		if rnd.Float64() < urgentFraction {
			deadline = urgentDeadline
		}
		done := f.serve(now, time.Duration(rnd.ExpFloat64()*float64(meanService)))
		if done.Sub(now) <= deadline {
			good++
		}
		now = now.Add(time.Duration(rnd.ExpFloat64() / (capacity * factor) * float64(time.Second)))
	}
	return float64(good) / simDuration.Seconds()
}

// At twice the capacity the goodput stays above nine tenths of its peak, and the
// urgent class is served within its deadline. Without a gate the goodput
// collapses.
func TestGoodputHoldsUnderOverload(t *testing.T) {
	peak := 0.0
	var last loadResult
	for _, factor := range []float64{0.5, 0.8, 1, 1.2, 1.5, 2} {
		last = simulateLoad(factor)
		peak = max(peak, last.goodput)
		t.Logf("load %.1f: goodput %.0f/s, urgent p99 %v, in time: urgent %.3f, normal %.3f; without a gate %.0f/s",
			factor, last.goodput, last.urgentP99, last.urgentInTime, last.normalInTime, fifoGoodput(factor))
	}
	must.GreaterEq(t, 0.9*peak, last.goodput)
	must.LessEq(t, urgentDeadline, last.urgentP99)
	must.GreaterEq(t, 0.99, last.urgentInTime)
	must.Greater(t, 0.2, last.normalInTime)
	must.Less(t, 0.2*peak, fifoGoodput(2))
}

const reportInterval = 500 * time.Millisecond

// simulateImbalance runs six targets, one of which is half as fast and always
// reports zero load, and returns the mean imbalance. All reports are up to
// reportInterval old.
func simulateImbalance(s *sim) float64 {
	var m imbalance
	s.servers[2].falseLoad = true
	s.onTick = func() { m.add(s) }
	var report func()
	report = func() {
		for _, v := range s.servers {
			load := float64(len(v.running)) / simSlots
			if v.falseLoad {
				load = 0
			}
			s.onLoadReport(v.self, load)
		}
		s.after(reportInterval, report)
	}
	report()
	end := s.now.Add(simDuration)
	s.startArrivals(0.6*5.5*capacity, urgentFraction, normalDeadline, urgentDeadline, end)
	s.run(end)
	return m.mean()
}

func sixServers() *sim {
	services := []time.Duration{meanService, meanService, 2 * meanService, meanService, meanService, meanService}
	return newSim(11, services)
}

// If one target reports a false load, the imbalance is lower than with round
// robin and lower than with a choice of the least reported load.
func TestImbalanceWithFalseLoadReport(t *testing.T) {
	s := sixServers()
	s.onLoadReport = s.useBalancer().SetReportedLoad
	ours := simulateImbalance(s)

	s = sixServers()
	s.useChooser(&roundRobin{gates: s.gates()})
	robin := simulateImbalance(s)

	s = sixServers()
	least := &leastReported{roundRobin: roundRobin{gates: s.gates()}, loads: map[host.Session]float64{}}
	s.useChooser(least)
	s.onLoadReport = func(h host.Session, load float64) { least.loads[h] = load }
	leastLoad := simulateImbalance(s)

	t.Logf("max over mean of busy slots: ours %.3f, round robin %.3f, least reported %.3f", ours, robin, leastLoad)
	must.Less(t, robin, ours)
	must.Less(t, leastLoad, ours)
}
