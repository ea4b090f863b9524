package placement

import (
	"fmt"
	"math"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/host"
)

// newMixedSpeedFleet returns a fleet whose targets have different speeds, a key
// that has over a third of the load, and the owner of that key, which is one of
// the two slowest targets.
func newMixedSpeedFleet(t *testing.T, reportRunTimes bool) (f *simFleet, hot string, slowest host.Session) {
	app := rayuelaApp()
	app.HotKeys = HotKeys{}
	f = newSimFleet(6, 12, app, &Balanced{})
	for i, speed := range []float64{0.6, 0.6, 1, 1, 1.4, 1.4} {
		f.speeds[simHost(i)] = speed
	}
	f.reportRunTimes = reportRunTimes
	f.setZipfLoads(0.4 * 6 * 12)
	f.runRounds()
	slowest = simHost(0)
	assignments := f.buildMap()
	for _, k := range f.keys {
		if _, owner := f.locate(assignments, k); owner == slowest {
			hot = k
			break
		}
	}
	must.NotEq(t, "", hot)
	f.keyLoads[hot] = 0.25 * 6 * 12
	f.takeOwnerChanges()
	return f, hot, slowest
}

// servedShare returns the share of the load that the targets have slots for.
func (f *simFleet) servedShare() float64 {
	assignments := f.buildMap()
	loads := map[host.Session]float64{}
	var total, served float64
	for _, k := range f.keys {
		_, owner := f.locate(assignments, k)
		loads[owner] += f.keyLoads[k]
		total += f.keyLoads[k]
	}
	for s, load := range loads {
		served += min(load, float64(f.slots)*f.speedOf(s))
	}
	return served / total
}

// A key that is too hot for a slow target moves to a fast one within a few
// rounds, although it keeps that one busy too. A leader without run times
// counts all targets as equally fast and serves less of the load.
func TestHotKeyMovesToFasterTarget(t *testing.T) {
	withoutRunTimes, _, _ := newMixedSpeedFleet(t, false)
	f, hot, slowest := newMixedSpeedFleet(t, true)
	servedBefore := f.servedShare()
	for range 3 {
		withoutRunTimes.runRound()
		f.runRound()
	}
	moves := f.takeOwnerChanges()
	_, owner := f.locate(f.buildMap(), hot)
	t.Logf("served %.3f when the key gets hot; after 3 rounds %.3f with run times (%d moves), %.3f without", servedBefore, f.servedShare(), moves, withoutRunTimes.servedShare())
	must.NotEq(t, slowest, owner)
	must.Eq(t, 1.4, f.speedOf(owner))
	must.Greater(t, withoutRunTimes.servedShare()+0.05, f.servedShare())
	// The key stays there, because another move would not serve more.
	for range 5 {
		f.runRound()
	}
	_, lastOwner := f.locate(f.buildMap(), hot)
	must.Eq(t, owner, lastOwner)
}

// While no target is overloaded, load is spread in proportion to the targets'
// speeds: the share of busy slots is about the same at every target.
func TestLoadIsProportionalToTargetSpeed(t *testing.T) {
	app := rayuelaApp()
	app.HotKeys = HotKeys{}
	f := newSimFleet(4, 12, app, &Balanced{})
	f.reportRunTimes = true
	f.speeds[simHost(0)], f.speeds[simHost(1)] = 0.5, 2
	for i := range 960 {
		k := fmt.Sprint("even", i)
		f.keys = append(f.keys, k)
		f.keyLoads[k] = 0.5 * 4 * 12 / 960
	}
	for range 4 {
		f.runRounds()
	}
	assignments := f.buildMap()
	loads := map[host.Session]float64{}
	for _, k := range f.keys {
		_, owner := f.locate(assignments, k)
		loads[owner] += f.keyLoads[k]
	}
	var utilizations []float64
	for i := range 4 {
		s := simHost(i)
		utilizations = append(utilizations, loads[s]/(float64(f.slots)*f.speedOf(s)))
	}
	t.Logf("utilizations %.2f", utilizations)
	for _, utilization := range utilizations {
		must.Between(t, 0.35, utilization, 0.6)
	}
}

// A target that has few runs, or reports none, counts as having mean speed, and
// an implausible report can't give a target a speed outside the bounds.
func TestTargetSpeedIsBounded(t *testing.T) {
	l := newAppLoads(8)
	a, b, c := simHost(0), simHost(1), simHost(2)
	hosts := []HostLoad{{Session: a}, {Session: b}, {Session: c}}
	l.addRuns(a, LoadReport{CompletedRuns: 1000, MeanServiceMs: 100})
	l.addRuns(b, LoadReport{CompletedRuns: 1000, MeanServiceMs: 1e6})
	l.addRuns(c, LoadReport{CompletedRuns: 2, MeanServiceMs: 1})
	l.updateSpeeds(hosts)
	must.Between(t, 1, l.speedOf(a), maxSpeed)
	must.Eq(t, minSpeed, l.speedOf(b))
	must.Eq(t, 1, l.speedOf(c))
	l.addRuns(c, LoadReport{CompletedRuns: 1000, MeanServiceMs: float32(math.Inf(1))})
	l.updateSpeeds(hosts)
	must.Eq(t, 1, l.speedOf(c))
	l.addRuns(b, LoadReport{CompletedRuns: 100_000, MeanServiceMs: 1e6})
	l.updateSpeeds(hosts)
	must.Eq(t, maxSpeed, l.speedOf(a))
	must.Eq(t, 1, l.speedOf(simHost(3)))
}

// While an app is almost idle, differences in speed move few slices: no caller
// waits even at a slow target.
func TestSpeedDifferencesMoveFewSlicesOfIdleApp(t *testing.T) {
	app := rayuelaApp()
	f := newSimFleet(6, 12, app, &Balanced{})
	f.reportRunTimes = true
	for i := range 240 {
		k := fmt.Sprint("even", i)
		f.keys = append(f.keys, k)
		f.keyLoads[k] = 0.005 * 6 * 12 / 240
	}
	f.runRounds()
	f.takeOwnerChanges()
	for i := range 6 {
		f.speeds[simHost(i)] = []float64{0.5, 2}[i%2]
	}
	f.runRounds()
	must.LessEq(t, 12, f.takeOwnerChanges())
}

// When a host reports that it is full, balance rounds are brought forward: two
// of them, the first to raise the smoothed load and the second to move the
// slice, take no longer than one interval.
func TestFullHostIsRelievedBeforeNextBalanceRound(t *testing.T) {
	f, hot, slowest := newMixedSpeedFleet(t, true)
	since := f.now
	moved := func() bool {
		_, owner := f.locate(f.buildMap(), hot)
		return owner != slowest
	}
	for !moved() && f.now.Sub(since) < 5*DefaultBalanceInterval {
		f.sendReports()
		f.now = f.now.Add(DefaultBalanceInterval / 10)
		f.tickUntilIdle()
	}
	t.Logf("moved after %s", f.now.Sub(since))
	must.LessEq(t, DefaultBalanceInterval, f.now.Sub(since))
}

// While all hosts are full, moves don't help, and balance rounds are not
// brought forward.
func TestBalanceIsNotHastenedWhenAllHostsAreFull(t *testing.T) {
	f := newSimFleet(4, 12, rayuelaApp(), &Balanced{})
	f.setZipfLoads(1.2 * 4 * 12)
	f.runRounds()
	a := f.core.apps[0]
	next := a.nextBalance
	f.now = f.now.Add(DefaultBalanceInterval / 2)
	f.sendReports()
	must.Eq(t, next, a.nextBalance)
}
