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
	simLength      = 10 * time.Second
	urgentPart     = 0.2
)

// capacity is what one target can do at best, requests a second.
const capacity = simSlots * float64(time.Second) / float64(meanService)

type loadResult struct {
	goodput   float64 // done in time, requests a second
	urgentP99 time.Duration
	urgentIn  float64 // part of the urgent requests that was done in time
	normalIn  float64
}

func underLoad(factor float64) loadResult {
	s := newSim(7, []time.Duration{meanService})
	s.useBalancer()
	end := s.now.Add(simLength)
	s.arrivals(capacity*factor, urgentPart, normalDeadline, urgentDeadline, end)
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
		goodput:   float64(s.good()) / simLength.Seconds(),
		urgentP99: urgent[len(urgent)*99/100],
		urgentIn:  in[1] / all[1],
		normalIn:  in[0] / all[0],
	}
}

// fifoGoodput is what a target without a gate does in time.
func fifoGoodput(factor float64) float64 {
	rnd := rand.New(rand.NewPCG(7, 0))
	f := &fifo{free: make([]mono.Time, simSlots)}
	good := 0
	now := mono.Time(1)
	for end := now.Add(simLength); now < end; {
		deadline := normalDeadline
		if rnd.Float64() < urgentPart {
			deadline = urgentDeadline
		}
		done := f.serve(now, time.Duration(rnd.ExpFloat64()*float64(meanService)))
		if done.Sub(now) <= deadline {
			good++
		}
		now = now.Add(time.Duration(rnd.ExpFloat64() / (capacity * factor) * float64(time.Second)))
	}
	return float64(good) / simLength.Seconds()
}

// At twice the capacity nearly all of the peak's goodput is left, and the
// urgent class is served within its deadline. Without a gate it collapses.
func TestGoodputHoldsUnderOverload(t *testing.T) {
	peak := 0.0
	var last loadResult
	for _, factor := range []float64{0.5, 0.8, 1, 1.2, 1.5, 2} {
		last = underLoad(factor)
		peak = max(peak, last.goodput)
		t.Logf("load %.1f: goodput %.0f/s, urgent p99 %v, in time: urgent %.3f, normal %.3f; without a gate %.0f/s",
			factor, last.goodput, last.urgentP99, last.urgentIn, last.normalIn, fifoGoodput(factor))
	}
	must.GreaterEq(t, 0.9*peak, last.goodput)
	must.LessEq(t, urgentDeadline, last.urgentP99)
	must.GreaterEq(t, 0.99, last.urgentIn)
	must.Greater(t, 0.2, last.normalIn)
	must.Less(t, 0.2*peak, fifoGoodput(2))
}

const reportEvery = 500 * time.Millisecond

// imbalanceOf plays six targets, one of which is half as fast and reports no
// load at all. The others' reports lag.
func imbalanceOf(s *sim) float64 {
	var m imbalance
	s.servers[2].lies = true
	s.sample = func() { m.add(s) }
	var report func()
	report = func() {
		for _, v := range s.servers {
			load := float64(len(v.live)) / simSlots
			if v.lies {
				load = 0
			}
			s.report(v.self, load)
		}
		s.after(reportEvery, report)
	}
	report()
	end := s.now.Add(simLength)
	s.arrivals(0.6*5.5*capacity, urgentPart, normalDeadline, urgentDeadline, end)
	s.run(end)
	return m.mean()
}

func sixServers() *sim {
	services := []time.Duration{meanService, meanService, 2 * meanService, meanService, meanService, meanService}
	return newSim(11, services)
}

// With one target that lies, the imbalance is below round robin's and below
// that of believing the reports.
func TestImbalanceWithALyingReport(t *testing.T) {
	s := sixServers()
	s.report = s.useBalancer().Reported
	ours := imbalanceOf(s)

	s = sixServers()
	s.use(&roundRobin{gates: s.gates()})
	robin := imbalanceOf(s)

	s = sixServers()
	l := &leastReported{roundRobin: roundRobin{gates: s.gates()}, loads: map[host.Session]float64{}}
	s.use(l)
	s.report = func(h host.Session, load float64) { l.loads[h] = load }
	believed := imbalanceOf(s)

	t.Logf("max over mean of busy slots: ours %.3f, round robin %.3f, least reported %.3f", ours, robin, believed)
	must.Less(t, robin, ours)
	must.Less(t, believed, ours)
}
