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

// Under Zipf keys the balanced policy is better than the naive one, with and
// without carve-outs, and a target that lies about its load changes little.
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
			run := func(app App, p Policy, lie float32) (float64, int) {
				f := newTrialFleet(c.hosts, c.slots, app, p)
				f.zipf(total)
				f.ownerChanges()
				if lie >= 0 {
					f.targets[trialHost(2)] = lie
				}
				f.rounds()
				return f.imbalance(), f.ownerChanges()
			}
			cold := c.app
			cold.HotKeys = HotKeys{}
			naive, _ := run(c.app, &RoundRobin{}, -1)
			plain, plainMoves := run(cold, &Balanced{}, -1)
			carved, moves := run(c.app, &Balanced{}, -1)
			idleLie, _ := run(c.app, &Balanced{}, 0)
			fullLie, _ := run(c.app, &Balanced{}, 1)
			naiveLie, _ := run(c.app, &RoundRobin{}, 0)
			t.Logf("max/mean: round robin %.3f, with a lie %.3f; balanced without carve-outs %.3f (%d moves), with %.3f (%d moves), target says idle %.3f, says full %.3f",
				naive, naiveLie, plain, plainMoves, carved, moves, idleLie, fullLie)
			must.Less(t, c.limit, carved)
			must.LessEq(t, plain+0.01, carved)
			must.Less(t, naive, plain)
			must.Less(t, carved*maxTargetSway+0.05, idleLie)
			must.Less(t, carved*maxTargetSway+0.05, fullLie)
		})
	}
}

// A loss moves the lost host's slices and no other; a join moves at most the
// new host's share, and never more at a time than the app allows.
func TestChurnIsTheLeastPossible(t *testing.T) {
	for name, policy := range policies() {
		t.Run(name, func(t *testing.T) {
			f := newTrialFleet(15, 12, rayuelaApp(), policy())
			f.rounds()
			f.ownerChanges()
			had := f.owned(trialHost(7))
			f.state(trialHost(7), session.Lost)
			f.settle()
			must.Eq(t, had, f.ownerChanges())
			f.rounds()
			must.Eq(t, 0, f.ownerChanges())

			f.state(trialHost(15), session.Live)
			f.rounds()
			moved, share := f.ownerChanges(), int(rayuelaApp().Slices)/15+1
			t.Logf("loss of a host with %d slices: %d moves; join: %d moves, share %d", had, had, moved, share)
			must.LessEq(t, share, moved)
			if name == "balanced" {
				must.GreaterEq(t, share/2, f.owned(trialHost(15)))
			}
			f.rounds()
			must.Eq(t, 0, f.ownerChanges())
		})
	}
}

// Loads that only fluctuate move few slices: each slice's load is reported
// with an error of up to a half, anew each round, and each target's time of a
// run, if it is told, with one of up to a quarter.
func TestNoiseMovesFewSlices(t *testing.T) {
	for _, saysService := range []bool{false, true} {
		noiseMovesFewSlices(t, saysService)
	}
}

func noiseMovesFewSlices(t *testing.T, saysService bool) {
	for _, app := range []App{rayuelaApp(), kalderimiApp()} {
		f := newTrialFleet(6, 12, app, &Balanced{})
		f.saysService = saysService
		f.zipf(0.6 * 6 * 12)
		f.rounds()
		f.ownerChanges()
		rng := rand.New(rand.NewPCG(1, 2))
		f.noise = func() float64 { return 0.5 + rng.Float64() }
		for range 5 {
			f.rounds()
		}
		moves := f.ownerChanges()
		t.Logf("%s: %d moves in 100 rounds, max/mean %.3f", app.Name, moves, f.imbalance())
		must.LessEq(t, 100, moves)
	}
}

// When other keys become the hottest, balance is back within two minutes, in
// spite of smoothing, prices and bounds.
func TestBalanceFollowsHotKeys(t *testing.T) {
	const bound = 24 // Rounds of 5 s.
	f := newTrialFleet(6, 12, rayuelaApp(), &Balanced{})
	f.zipf(0.6 * 6 * 12)
	f.rounds()
	f.ownerChanges()
	old := maps.Clone(f.busy)
	for i, k := range f.keys {
		f.busy[k] = old[f.keys[(i+zipfKeys/2)%zipfKeys]]
	}
	before, rounds := f.imbalance(), 0
	for ; rounds < bound && f.imbalance() > 1.15; rounds++ {
		f.round()
	}
	t.Logf("max/mean %.3f when the keys change, %.3f after %d rounds and %d moves", before, f.imbalance(), rounds, f.ownerChanges())
	must.Greater(t, 1.15, before)
	must.LessEq(t, 1.15, f.imbalance())
}

// A slice that its owner's reports leave out counts for nothing after a while.
func TestLoadOfIdleSlicesFades(t *testing.T) {
	f := newTrialFleet(2, 12, rayuelaApp(), &Balanced{})
	f.zipf(12)
	f.round()
	a := f.core.apps[0]
	id := key.SliceOf(f.app.Name, f.keys[0], f.app.Slices).ID
	busy, ok := a.loads.slices.get(id)
	must.True(t, ok)
	must.Greater(t, 1.0, busy)
	f.keys = slices.DeleteFunc(f.keys, func(k string) bool { return key.SliceOf(f.app.Name, k, f.app.Slices).ID == id })
	f.rounds()
	busy, _ = a.loads.slices.get(id)
	must.Less(t, 0.05, busy)
}

// An app that is not divided by key is balanced by the number of slices, in
// proportion to the slots, and a host that joins gets its share.
func TestSlicesFollowSlots(t *testing.T) {
	app := App{Name: "payments", Slices: 90, MaxDeadline: time.Second, MaxMoves: 9, Weights: Weights{Imbalance: 1, Churn: 1, Unavailable: 1}}
	f := newTrialFleet(3, 6, app, &Balanced{})
	for i := range 3 {
		must.Between(t, 28, f.owned(trialHost(i)), 32)
	}
	f.slots = 12
	f.state(trialHost(3), session.Live)
	f.rounds()
	must.Between(t, 30, f.owned(trialHost(3)), 38)
	f.ownerChanges()
	f.rounds()
	must.Eq(t, 0, f.ownerChanges())
}
