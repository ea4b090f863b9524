package placement

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/assignment"
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/session"
)

// The first host of an app that starts is not given every slice: slices that
// never had an owner wait until hosts have stopped joining.
func TestFirstAssignmentWaitsForHosts(t *testing.T) {
	app := App{Name: "a", Slices: 40, MaxMoves: 4}
	f := &simFleet{
		core: New(Config{Self: simHost(0), Seed: 1}), now: 1, app: app, slots: 4,
		packs: map[string]*assignment.Pack{}, keyLoads: map[string]float64{}, reportedUtilization: map[host.Session]float32{},
	}
	f.step(AppsChanged{Apps: []App{app}})
	f.setState(simHost(0), session.Live)
	f.step(ListingComplete{})
	f.step(LeaderObserved{Leader: Leader{Session: simHost(0), Term: 1}, Version: 1})
	f.tickUntilIdle()
	must.Zero(t, f.writes)
	for i := 1; i < 4; i++ {
		f.now = f.now.Add(DefaultStartWait / 2)
		f.setState(simHost(i), session.Live)
		f.tickUntilIdle()
		must.Zero(t, f.writes)
	}
	f.now = f.now.Add(DefaultStartWait)
	f.tickUntilIdle()
	owned := map[host.Session]int{}
	for _, m := range f.moves {
		owned[m.To]++
	}
	must.MapLen(t, 4, owned)
	must.Eq(t, 10, owned[simHost(3)])
}

// A newer session of a host does not end the earlier one, which may be paused
// and still hold its lease. Its slices stay until its own record says that it
// has ended.
func TestNewerSessionDoesNotEndEarlierSession(t *testing.T) {
	app := App{Name: "a", Slices: 8, MaxMoves: 4}
	f := newSimFleet(2, 4, app, nil)
	earlier := simHost(1)
	newer := host.Session{Host: earlier.Host, Incarnation: earlier.Incarnation + 1}
	f.moves = nil
	f.noRelease = true
	f.setState(newer, session.Live)
	f.tickUntilIdle()
	f.now = f.now.Add(DefaultBalanceInterval)
	f.tickUntilIdle()
	for _, m := range f.moves {
		must.False(t, m.From == earlier && m.ChangesOwner())
	}
	f.setState(earlier, session.Lost)
	f.tickUntilIdle()
	granted := 0
	for _, m := range f.moves {
		if m.From == earlier && m.ChangesOwner() {
			granted++
		}
	}
	must.Eq(t, 4, granted)
}

// Adjacent slices of an app whose slices are ranges are placed in few runs.
func TestRangeSlicesArePlacedInRuns(t *testing.T) {
	app := rayuelaApp()
	app.DividedByRange = true
	f := newSimFleet(6, 12, app, &Balanced{})
	view := f.buildMap()
	runs := 0
	var last host.Session
	for id := range app.Slices {
		s, _ := view.At(key.Slice{App: app.Name, ID: key.SliceID(id)})
		must.False(t, s.Owner.IsZero())
		if s.Owner != last {
			runs++
		}
		last = s.Owner
	}
	must.LessEq(t, 2*runsPerHost*6, runs)
	for i := range 6 {
		must.Between(t, int(app.Slices)/6*8/10, f.ownedSlices(simHost(i)), int(app.Slices)/6*12/10)
	}
}
