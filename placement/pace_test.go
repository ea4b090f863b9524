package placement

import (
	"fmt"
	"math"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/host"
)

// mixedFleet is a fleet whose targets work at different speeds, and in which
// one key has a good third of the load, on the slowest target.
func mixedFleet(t *testing.T, saysService bool) (f *trialFleet, hot string, slow host.Session) {
	app := rayuelaApp()
	app.HotKeys = HotKeys{}
	f = newTrialFleet(6, 12, app, &Balanced{})
	for i, p := range []float64{0.6, 0.6, 1, 1, 1.4, 1.4} {
		f.paces[trialHost(i)] = p
	}
	f.saysService = saysService
	f.zipf(0.4 * 6 * 12)
	f.rounds()
	slow = trialHost(0)
	m := f.view()
	for _, k := range f.keys {
		if _, owner := f.locate(m, k); owner == slow {
			hot = k
			break
		}
	}
	must.NotEq(t, "", hot)
	f.busy[hot] = 0.25 * 6 * 12
	f.ownerChanges()
	return f, hot, slow
}

// served is the share of the work that the targets have slots for.
func (f *trialFleet) served() float64 {
	m := f.view()
	work := map[host.Session]float64{}
	var all, done float64
	for _, k := range f.keys {
		_, owner := f.locate(m, k)
		work[owner] += f.busy[k]
		all += f.busy[k]
	}
	for s, w := range work {
		done += min(w, float64(f.slots)*f.paceOf(s))
	}
	return done / all
}

// A key that is too hot for a slow target moves to a fast one within a few
// rounds, although it makes that one busy too. A leader that takes all targets
// for equally fast leaves it where it is.
func TestAHotKeyMovesToAFastTarget(t *testing.T) {
	blind, _, _ := mixedFleet(t, false)
	f, hot, slow := mixedFleet(t, true)
	before := f.served()
	for range 3 {
		blind.round()
		f.round()
	}
	moves := f.ownerChanges()
	_, owner := f.locate(f.view(), hot)
	t.Logf("served %.3f when the key gets hot; after 3 rounds %.3f by speed (%d moves), %.3f without", before, f.served(), moves, blind.served())
	must.NotEq(t, slow, owner)
	must.Eq(t, 1.4, f.paceOf(owner))
	must.Greater(t, blind.served()+0.05, f.served())
	// It stays there: another move would not serve more.
	for range 5 {
		f.round()
	}
	_, last := f.locate(f.view(), hot)
	must.Eq(t, owner, last)
}

// Without load beyond the slots, speed spreads the work by what each target
// can do: the share of its slots that is busy is about the same everywhere.
func TestLoadFollowsSpeed(t *testing.T) {
	app := rayuelaApp()
	app.HotKeys = HotKeys{}
	f := newTrialFleet(4, 12, app, &Balanced{})
	f.saysService = true
	f.paces[trialHost(0)], f.paces[trialHost(1)] = 0.5, 2
	for i := range 960 {
		k := fmt.Sprint("even", i)
		f.keys = append(f.keys, k)
		f.busy[k] = 0.5 * 4 * 12 / 960
	}
	for range 4 {
		f.rounds()
	}
	m := f.view()
	work := map[host.Session]float64{}
	for _, k := range f.keys {
		_, owner := f.locate(m, k)
		work[owner] += f.busy[k]
	}
	var use []float64
	for i := range 4 {
		s := trialHost(i)
		use = append(use, work[s]/(float64(f.slots)*f.paceOf(s)))
	}
	t.Logf("busy shares of slots %.2f", use)
	for _, u := range use {
		must.Between(t, 0.35, u, 0.6)
	}
}

// A target whose runs are few, or that says nothing of them, counts as being
// as fast as the others; the bounds keep a wild report from ruling.
func TestPaceIsBounded(t *testing.T) {
	l := newLoads(8)
	a, b, c := trialHost(0), trialHost(1), trialHost(2)
	hosts := []HostLoad{{Session: a}, {Session: b}, {Session: c}}
	l.noteRuns(a, LoadReport{Runs: 1000, Service: 100})
	l.noteRuns(b, LoadReport{Runs: 1000, Service: 1e6})
	l.noteRuns(c, LoadReport{Runs: 2, Service: 1})
	l.comparePaces(hosts)
	must.Between(t, 1, l.paceOf(a), maxPace)
	must.Eq(t, minPace, l.paceOf(b))
	must.Eq(t, 1, l.paceOf(c))
	l.noteRuns(c, LoadReport{Runs: 1000, Service: float32(math.Inf(1))})
	l.comparePaces(hosts)
	must.Eq(t, 1, l.paceOf(c))
	l.noteRuns(b, LoadReport{Runs: 100_000, Service: 1e6})
	l.comparePaces(hosts)
	must.Eq(t, maxPace, l.paceOf(a))
	must.Eq(t, 1, l.paceOf(trialHost(3)))
}

// While hardly anything is asked for, slices stay where they are whatever the
// speed of the targets: nobody waits at a slow one.
func TestSpeedMovesNothingWhileAllIsIdle(t *testing.T) {
	app := rayuelaApp()
	f := newTrialFleet(6, 12, app, &Balanced{})
	f.saysService = true
	for i := range 240 {
		k := fmt.Sprint("even", i)
		f.keys = append(f.keys, k)
		f.busy[k] = 0.005 * 6 * 12 / 240
	}
	f.rounds()
	f.ownerChanges()
	for i := range 6 {
		f.paces[trialHost(i)] = []float64{0.5, 2}[i%2]
	}
	f.rounds()
	must.LessEq(t, 12, f.ownerChanges())
}

// A host that reports that it is full does not wait for the next round: two
// rounds, one to believe the report, are over in the time of one.
func TestAFullHostIsHelpedEarly(t *testing.T) {
	f, hot, slow := mixedFleet(t, true)
	since := f.now
	handedOver := func() bool {
		_, owner := f.locate(f.view(), hot)
		return owner != slow
	}
	for !handedOver() && f.now.Sub(since) < 5*DefaultBalanceInterval {
		f.report()
		f.now = f.now.Add(DefaultBalanceInterval / 10)
		f.settle()
	}
	t.Logf("moved after %s", f.now.Sub(since))
	must.LessEq(t, DefaultBalanceInterval, f.now.Sub(since))
}

// While all hosts are full, moves help nobody: rounds keep their time.
func TestNothingHurriesWhileAllAreFull(t *testing.T) {
	f := newTrialFleet(4, 12, rayuelaApp(), &Balanced{})
	f.zipf(1.2 * 4 * 12)
	f.rounds()
	a := f.core.apps[0]
	next := a.nextBalance
	f.now = f.now.Add(DefaultBalanceInterval / 2)
	f.report()
	must.Eq(t, next, a.nextBalance)
}
