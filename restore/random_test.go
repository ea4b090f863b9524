package restore_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
)

var runs = flag.Int("restore.runs", 300, "number of random runs")

const runSteps = 3000

// randomRun is a seeded run of a model. Now and then some hosts do nothing for a
// while, so that they miss restores and their leases lapse.
type randomRun struct {
	model  model
	rng    *rand.Rand
	world  world
	silent [hosts]bool
	given  map[givenKey]sessionID
	steps  []step
}

type givenKey struct {
	slice int
	epoch epoch
}

func newRandomRun(m model, seed uint64) *randomRun {
	r := &randomRun{model: m, rng: rand.New(rand.NewPCG(seed, 0)), given: make(map[givenKey]sessionID)}
	r.world = r.model.start()
	return r
}

// weights tells how often steps are chosen, in proportion, if they are possible.
var weights = [...]int{doTick: 40, doCopy: 20, doRestore: 4, doLand: 2, doSync: 30, doRestart: 1, doDeclareLost: 15, doMove: 15, doConfirm: 5, doTake: 30, doChangeDocument: 1, doRewriteDocument: 2}

// run performs up to n steps and returns what is wrong, if anything.
func (r *randomRun) run(n int) string {
	for k := range n {
		if k%20 == 0 {
			for i := range r.silent {
				r.silent[i] = r.rng.IntN(3) == 0
			}
		}
		if problem := r.perform(r.choose()); problem != "" {
			return fmt.Sprintf("step %d: %s", k, problem)
		}
	}
	return ""
}

// choose returns a random step of a host that is not silent.
func (r *randomRun) choose() step {
	r.steps = r.model.steps(&r.world, r.steps[:0])
	total := 0
	for _, s := range r.steps {
		total += r.weight(s)
	}
	at := r.rng.IntN(total)
	for _, s := range r.steps {
		if at -= r.weight(s); at < 0 {
			return s
		}
	}
	return step{}
}

func (r *randomRun) weight(s step) int {
	if s.do >= doSync && s.do <= doTake && r.silent[s.i] {
		return 0
	}
	x := r.world.late
	if s.do == doLand && x.era < r.world.era && r.model.revisionOf(&r.world, x) == x.ifRev {
		return 300
	}
	return weights[s.do]
}

// perform performs a step and checks that no epoch was ever given twice.
func (r *randomRun) perform(s step) string {
	w := &r.world
	if problem := r.model.apply(w, s); problem != "" {
		return problem
	}
	for i := range w.daemons {
		for n, h := range w.daemons[i].held {
			if h.ttl == 0 {
				continue
			}
			k, holder := givenKey{n, h.epoch}, sessionOf(i, h.life)
			if old, ok := r.given[k]; ok && old != holder {
				return fmt.Sprintf("epoch %v of slice %d is given twice", h.epoch.full(), n)
			}
			r.given[k] = holder
		}
	}
	return ""
}

// settle lets all daemons do what they can, without further faults, until every
// slice is held. It returns the number of ticks, or what is wrong.
func (r *randomRun) settle(limit int) (int, string) {
	for ticks := range limit {
		if problem := r.round(); problem != "" {
			return ticks, problem
		}
		if r.allHeld() {
			return ticks, ""
		}
		if problem := r.perform(step{do: doTick}); problem != "" {
			return ticks, problem
		}
	}
	return limit, "not every slice is held"
}

// round lets each daemon read the store and send what writes it may. It moves a
// slice only if it has released it already.
func (r *randomRun) round() string {
	for i := range hosts {
		if problem := r.perform(step{do: doSync, i: uint8(i)}); problem != "" {
			return problem
		}
		for r.world.daemons[i].era == r.world.era {
			s, ok := r.nextWrite(i)
			if !ok {
				break
			}
			if problem := r.perform(s); problem != "" {
				return problem
			}
		}
	}
	for i := range hosts {
		if problem := r.perform(step{do: doSync, i: uint8(i)}); problem != "" {
			return problem
		}
	}
	return ""
}

func (r *randomRun) nextWrite(i int) (step, bool) {
	d := &r.world.daemons[i]
	for _, s := range r.model.writeSteps(&r.world, i, nil) {
		if !s.late && (s.do != doMove || d.held[s.n].ttl == 0) {
			return s, true
		}
	}
	return step{}, false
}

func (r *randomRun) allHeld() bool {
	for s := range r.model.slices {
		holders := 0
		for i := range r.world.daemons {
			if r.world.daemons[i].held[s].ttl > 0 {
				holders++
			}
		}
		if holders != 1 {
			return false
		}
	}
	return true
}

// randomModel returns a model for random runs. Revisions are the store's in runs
// with an even seed, and each object's in the others.
func randomModel(off rules, seed uint64) model {
	return model{off: off, slices: maxSlices, maxRestores: 200, maxRestarts: 50, documents: true, objectRevisions: seed%2 == 1}
}

// settleTicks bounds how long it takes after the last fault until every slice is
// held: the waits of a daemon that starts, for a record and for an entry.
const settleTicks = 3 * holdTicks

func TestRandomRunsKeepTheRules(t *testing.T) {
	var sum counts
	slowest := 0
	for seed := range uint64(*runs) {
		r := newRandomRun(randomModel(rules{}, seed), seed)
		if problem := r.run(runSteps); problem != "" {
			t.Fatalf("seed %d: %s", seed, problem)
		}
		ticks, problem := r.settle(settleTicks)
		if problem != "" {
			t.Fatalf("seed %d, after the last fault: %s", seed, problem)
		}
		slowest = max(slowest, ticks)
		sum.add(r.model.seen)
	}
	t.Logf("%d runs of %d steps: %+v; all slices held after at most %d ticks, a hold is %d", *runs, runSteps, sum, slowest, holdTicks)
	if sum.restores == 0 || sum.stale == 0 || sum.overwrote == 0 || sum.confirmed == 0 || sum.reassigned == 0 {
		t.Error("the runs reach too little")
	}
	if sum.refused != 0 {
		t.Errorf("targets refused %d grants", sum.refused)
	}
}
