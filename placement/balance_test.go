package placement

import (
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/session"
)

// Under Zipf-distributed keys Balanced is more even than RoundRobin, with and
// without carve-outs, and a target that reports a false load changes little.
func TestImbalanceUnderZipfKeys(t *testing.T) {
	cases := []struct {
		name         string
		hosts, slots int
		app          App
		limit        float64
	}{
		{"rayuela", 6, 12, rayuelaApp(), 1.15},
		{"kalderimi", 5, 6, kalderimiApp(), 1.3},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			total := 0.6 * float64(c.hosts*c.slots)
			run := func(app App, p Policy, reported float32) (float64, int) {
				f := newSimFleet(c.hosts, c.slots, app, p)
				f.setZipfLoads(total)
				f.takeOwnerChanges()
				if reported >= 0 {
					f.reportedUtilization[simHost(2)] = reported
				}
				f.runRounds()
				return f.imbalance(), f.takeOwnerChanges()
			}
			withoutHotKeys := c.app
			withoutHotKeys.HotKeys = HotKeys{}
			roundRobin, _ := run(c.app, &RoundRobin{}, -1)
			withoutCarveOuts, movesWithoutCarveOuts := run(withoutHotKeys, &Balanced{}, -1)
			withCarveOuts, movesWithCarveOuts := run(c.app, &Balanced{}, -1)
			falseIdle, _ := run(c.app, &Balanced{}, 0)
			falseFull, _ := run(c.app, &Balanced{}, 1)
			roundRobinFalseIdle, _ := run(c.app, &RoundRobin{}, 0)
			t.Logf("max/mean: round robin %.3f, with a false report %.3f; balanced without carve-outs %.3f (%d moves), with %.3f (%d moves), target falsely reports idle %.3f, full %.3f",
				roundRobin, roundRobinFalseIdle, withoutCarveOuts, movesWithoutCarveOuts, withCarveOuts, movesWithCarveOuts, falseIdle, falseFull)
			must.Less(t, c.limit, withCarveOuts)
			must.LessEq(t, withoutCarveOuts+0.01, withCarveOuts)
			must.Less(t, roundRobin, withoutCarveOuts)
			must.Less(t, withCarveOuts*maxTargetCorrection+0.05, falseIdle)
			must.Less(t, withCarveOuts*maxTargetCorrection+0.05, falseFull)
		})
	}
}

// The loss of a host moves its slices and no others. A join moves at most the
// new host's share.
func TestLossAndJoinMoveFewestSlices(t *testing.T) {
	for name, policy := range policies() {
		t.Run(name, func(t *testing.T) {
			f := newSimFleet(15, 12, rayuelaApp(), policy())
			f.runRounds()
			f.takeOwnerChanges()
			lostSlices := f.ownedSlices(simHost(7))
			f.setState(simHost(7), session.Lost)
			f.tickUntilIdle()
			must.Eq(t, lostSlices, f.takeOwnerChanges())
			f.runRounds()
			must.Eq(t, 0, f.takeOwnerChanges())

			f.setState(simHost(15), session.Live)
			f.runRounds()
			moved, share := f.takeOwnerChanges(), int(rayuelaApp().Slices)/15+1
			t.Logf("loss of a host with %d slices: %d moves; join: %d moves, share %d", lostSlices, lostSlices, moved, share)
			must.LessEq(t, share, moved)
			if name == "balanced" {
				must.GreaterEq(t, share/2, f.ownedSlices(simHost(15)))
			}
			f.runRounds()
			must.Eq(t, 0, f.takeOwnerChanges())
		})
	}
}

// Loads that only fluctuate move few slices. Each report gives each slice's
// load with a random error of up to one half and, if run times are reported,
// the target's mean run time with an error of up to a quarter.
func TestNoiseMovesFewSlices(t *testing.T) {
	for _, reportRunTimes := range []bool{false, true} {
		testNoiseMovesFewSlices(t, reportRunTimes)
	}
}

func testNoiseMovesFewSlices(t *testing.T, reportRunTimes bool) {
	for _, app := range []App{rayuelaApp(), kalderimiApp()} {
		f := newSimFleet(6, 12, app, &Balanced{})
		f.reportRunTimes = reportRunTimes
		f.setZipfLoads(0.6 * 6 * 12)
		f.runRounds()
		f.takeOwnerChanges()
		rng := rand.New(rand.NewPCG(1, 2))
		f.noise = func() float64 { return 0.5 + rng.Float64() }
		for range 5 {
			f.runRounds()
		}
		moves := f.takeOwnerChanges()
		t.Logf("%s: %d moves in 100 rounds, max/mean %.3f", app.Name, moves, f.imbalance())
		must.LessEq(t, 100, moves)
	}
}

// When other keys become the hottest, the load is balanced again within two
// minutes, in spite of smoothing, the cost of moves and the limits on them.
func TestBalanceRecoversWhenHotKeysChange(t *testing.T) {
	const bound = 24 // Rounds of 5 s.
	f := newSimFleet(6, 12, rayuelaApp(), &Balanced{})
	f.setZipfLoads(0.6 * 6 * 12)
	f.runRounds()
	f.takeOwnerChanges()
	old := maps.Clone(f.keyLoads)
	for i, k := range f.keys {
		f.keyLoads[k] = old[f.keys[(i+zipfKeys/2)%zipfKeys]]
	}
	before, rounds := f.imbalance(), 0
	for ; rounds < bound && f.imbalance() > 1.15; rounds++ {
		f.runRound()
	}
	t.Logf("max/mean %.3f when the keys change, %.3f after %d rounds and %d moves", before, f.imbalance(), rounds, f.takeOwnerChanges())
	must.Greater(t, 1.15, before)
	must.LessEq(t, 1.15, f.imbalance())
}

// The load of a slice that its owner's reports no longer contain decays to
// almost nothing.
func TestLoadOfUnreportedSlicesDecays(t *testing.T) {
	f := newSimFleet(2, 12, rayuelaApp(), &Balanced{})
	f.setZipfLoads(12)
	f.runRound()
	a := f.core.apps[0]
	id := key.SliceOf(f.app.Name, f.keys[0], f.app.Slices).ID
	busy, ok := a.loads.slices.get(id)
	must.True(t, ok)
	must.Greater(t, 1.0, busy)
	f.keys = slices.DeleteFunc(f.keys, func(k string) bool { return key.SliceOf(f.app.Name, k, f.app.Slices).ID == id })
	f.runRounds()
	busy, _ = a.loads.slices.get(id)
	must.Less(t, 0.05, busy)
}

// An app that is not divided by key is balanced by the number of slices in
// proportion to slots, and a host that joins gets its share.
func TestSlicesAreProportionalToSlots(t *testing.T) {
	app := App{Name: "payments", Slices: 90, MaxDeadline: time.Second, MaxMoves: 9, Weights: Weights{Imbalance: 1, Churn: 1, Unavailable: 1}}
	f := newSimFleet(3, 6, app, &Balanced{})
	for i := range 3 {
		must.Between(t, 28, f.ownedSlices(simHost(i)), 32)
	}
	f.slots = 12
	f.setState(simHost(3), session.Live)
	f.runRounds()
	must.Between(t, 30, f.ownedSlices(simHost(3)), 38)
	f.takeOwnerChanges()
	f.runRounds()
	must.Eq(t, 0, f.takeOwnerChanges())
}
