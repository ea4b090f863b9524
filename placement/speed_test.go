package placement

import (
	"fmt"
	"math"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/host"
)

// newMixedSpeedFleet is a fleet whose targets work at different speeds, and in
// which one key has a good third of the load, on the slowest target.
func newMixedSpeedFleet(t *testing.T, reportRunTimes bool) (f *simFleet, hot string, slow host.Session) {
	app := rayuelaApp()
	app.HotKeys = HotKeys{}
	f = newSimFleet(6, 12, app, &Balanced{})
	for i, p := range []float64{0.6, 0.6, 1, 1, 1.4, 1.4} {
		f.speeds[simHost(i)] = p
	}
	f.reportRunTimes = reportRunTimes
	f.setZipfLoads(0.4 * 6 * 12)
	f.runRounds()
	slow = simHost(0)
	m := f.buildMap()
	for _, k := range f.keys {
		if _, owner := f.locate(m, k); owner == slow {
			hot = k
			break
		}
	}
	must.NotEq(t, "", hot)
	f.keyLoads[hot] = 0.25 * 6 * 12
	f.takeOwnerChanges()
	return f, hot, slow
}

// servedShare is the share of the work that the targets have slots for.
func (f *simFleet) servedShare() float64 {
	m := f.buildMap()
	work := map[host.Session]float64{}
	var all, done float64
	for _, k := range f.keys {
		_, owner := f.locate(m, k)
		work[owner] += f.keyLoads[k]
		all += f.keyLoads[k]
	}
	for s, w := range work {
		done += min(w, float64(f.slots)*f.speedOf(s))
	}
	return done / all
}

// A key that is too hot for a slow target moves to a fast one within a few
// rounds, although it makes that one busy too. A leader that takes all targets
// for equally fast leaves it where it is.
func TestHotKeyMovesToFasterTarget(t *testing.T) {
	blind, _, _ := newMixedSpeedFleet(t, false)
	f, hot, slow := newMixedSpeedFleet(t, true)
	before := f.servedShare()
	for range 3 {
		blind.runRound()
		f.runRound()
	}
	moves := f.takeOwnerChanges()
	_, owner := f.locate(f.buildMap(), hot)
	t.Logf("served %.3f when the key gets hot; after 3 rounds %.3f by speed (%d moves), %.3f without", before, f.servedShare(), moves, blind.servedShare())
	must.NotEq(t, slow, owner)
	must.Eq(t, 1.4, f.speedOf(owner))
	must.Greater(t, blind.servedShare()+0.05, f.servedShare())
	// It stays there: another move would not serve more.
	for range 5 {
		f.runRound()
	}
	_, last := f.locate(f.buildMap(), hot)
	must.Eq(t, owner, last)
}

// Without load beyond the slots, speed spreads the work by what each target
// can do: the share of its slots that is busy is about the same everywhere.
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
	m := f.buildMap()
	work := map[host.Session]float64{}
	for _, k := range f.keys {
		_, owner := f.locate(m, k)
		work[owner] += f.keyLoads[k]
	}
	var use []float64
	for i := range 4 {
		s := simHost(i)
		use = append(use, work[s]/(float64(f.slots)*f.speedOf(s)))
	}
	t.Logf("busy shares of slots %.2f", use)
	for _, u := range use {
		must.Between(t, 0.35, u, 0.6)
	}
}

// A target whose runs are few, or that says nothing of them, counts as being
// as fast as the others; the bounds keep a wild report from ruling.
func TestTargetSpeedIsBounded(t *testing.T) {
	l := newAppLoads(8)
	a, b, c := simHost(0), simHost(1), simHost(2)
	hosts := []HostLoad{{Session: a}, {Session: b}, {Session: c}}
	l.addRuns(a, LoadReport{Runs: 1000, Service: 100})
	l.addRuns(b, LoadReport{Runs: 1000, Service: 1e6})
	l.addRuns(c, LoadReport{Runs: 2, Service: 1})
	l.updateSpeeds(hosts)
	must.Between(t, 1, l.speedOf(a), maxSpeed)
	must.Eq(t, minSpeed, l.speedOf(b))
	must.Eq(t, 1, l.speedOf(c))
	l.addRuns(c, LoadReport{Runs: 1000, Service: float32(math.Inf(1))})
	l.updateSpeeds(hosts)
	must.Eq(t, 1, l.speedOf(c))
	l.addRuns(b, LoadReport{Runs: 100_000, Service: 1e6})
	l.updateSpeeds(hosts)
	must.Eq(t, maxSpeed, l.speedOf(a))
	must.Eq(t, 1, l.speedOf(simHost(3)))
}

// While hardly anything is asked for, slices stay where they are whatever the
// speed of the targets: nobody waits at a slow one.
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

// A host that reports that it is full does not wait for the next round: two
// rounds, one to believe the report, are over in the time of one.
func TestFullHostIsRelievedBeforeNextBalanceRound(t *testing.T) {
	f, hot, slow := newMixedSpeedFleet(t, true)
	since := f.now
	handedOver := func() bool {
		_, owner := f.locate(f.buildMap(), hot)
		return owner != slow
	}
	for !handedOver() && f.now.Sub(since) < 5*DefaultBalanceInterval {
		f.sendReports()
		f.now = f.now.Add(DefaultBalanceInterval / 10)
		f.settle()
	}
	t.Logf("moved after %s", f.now.Sub(since))
	must.LessEq(t, DefaultBalanceInterval, f.now.Sub(since))
}

// While all hosts are full, moves help nobody: rounds keep their time.
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
