package gate

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/request"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}

// rapidSource draws a model's choices so that rapid can shrink them.
type rapidSource struct{ t *rapid.T }

func (s rapidSource) IntN(n int) int {
	return rapid.IntRange(0, n-1).Draw(s.t, "n")
}

const modelSteps = 150

func play(src source, steps int, d dropped, g guards) *world {
	w := newWorld(src, d, g)
	for range steps {
		w.step()
	}
	w.settle()
	w.judge()
	return w
}

// Whatever is lost, late, doubled or taken over: at most once, "not run" is
// true, nobody gets another's answer, every call gets one reply, what is
// unknown is raised, slots and connections are kept.
func TestPromisesHoldOnRandomInterleavings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := play(rapidSource{t}, rapid.IntRange(1, modelSteps).Draw(t, "steps"), dropped{}, guards{})
		for _, bad := range w.bad {
			t.Error(bad)
		}
	})
}

// seededRuns is how many runs a broken guard gets to be found in, and how many
// whole ones are played.
const seededRuns = 2000

func firstViolation(d dropped, g guards) string {
	for seed := range uint64(seededRuns) {
		w := play(rand.New(rand.NewPCG(seed, 1)), modelSteps, d, g)
		if len(w.bad) > 0 {
			return fmt.Sprintf("seed %d: %s", seed, w.bad[0])
		}
	}
	return ""
}

// The runs are worth judging: each kind of trouble happens in some of them.
func TestTheModelMeetsEveryTrouble(t *testing.T) {
	var c Counters
	var strays, waited, retried, done uint64
	for seed := range uint64(200) {
		w := play(rand.New(rand.NewPCG(seed, 1)), modelSteps, dropped{}, guards{})
		for _, s := range w.sites {
			c.Stale += s.gate.counters.Stale
			c.Joined += s.gate.counters.Joined
			c.Replayed += s.gate.counters.Replayed
			c.Shed += s.gate.counters.Shed
			c.Lost += s.gate.counters.Lost
		}
		for _, e := range w.entries {
			strays += e.router.Counters().Strays
			waited += e.router.Counters().Waited
			retried += e.router.Counters().Retried
		}
		for _, o := range w.ops {
			if o.done {
				done++
			}
		}
	}
	for _, n := range []uint64{c.Stale, c.Joined, c.Replayed, c.Shed, c.Lost, strays, waited, retried, done} {
		must.Positive(t, n)
	}
}

func TestPromisesHoldOnSeededRuns(t *testing.T) {
	must.Eq(t, "", firstViolation(dropped{}, guards{}))
}

// Each guard, dropped on purpose, is missed by the properties.
func TestEachGuardIsNeeded(t *testing.T) {
	cases := []struct {
		name string
		d    dropped
		g    guards
	}{
		{name: "a lost connection counts as not sent", d: dropped{lossIsNotRun: true}},
		{name: "answers are matched by id alone", d: dropped{byIDOnly: true}},
		{name: "not run is told to repeats", d: dropped{plainNotRun: true}},
		{name: "the router raises nothing", d: dropped{noRaises: true}},
		{name: "answers are not acknowledged", d: dropped{noAcks: true}},
		{name: "duplicates and leftovers are taken", g: guards{anySeq: true}},
		{name: "ids are not remembered", g: guards{noMemory: true}},
		{name: "ids that can't be known run", g: guards{noHorizon: true}},
		{name: "the lease is checked at admission only", g: guards{leaseOnce: true}},
		{name: "the lease is not checked after the answer", g: guards{noAfterCheck: true}},
		{name: "slots are freed while a run may go on", g: guards{freeAtOnce: true}},
		{name: "a lost run's id is forgotten", g: guards{forgetLost: true}},
		{name: "an id's answer goes to another content", g: guards{anyContent: true}},
		{name: "the gate raises nothing", g: guards{silent: true}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			found := firstViolation(c.d, c.g)
			must.NotEq(t, "", found)
			t.Log(found)
		})
	}
}

// lastOption always takes the last choice: no accidents.
type lastOption struct{}

func (lastOption) IntN(n int) int { return n - 1 }

// A sending is delayed while its slice goes to another owner, where the
// caller's repeat runs, and comes back at a newer epoch. The first owner knows
// nothing of the id; only the epoch tells that the sending is old.
func delayedAcrossTwoMoves(g guards) *world {
	w := newWorld(lastOption{}, dropped{}, g)
	w.advance(time.Millisecond)
	o := &op{body: "deposit", key: "k", ranByID: map[string]int{}}
	w.ops = append(w.ops, o)
	w.freshID(o)
	s := int(key.SliceOf(modelApp, o.id, modelSlices).ID)
	first := w.siteOf(w.truth[s].Owner)
	w.grant(s, 1-first, 2)
	w.updateMap(1)
	w.advance(100 * time.Millisecond)
	o.idMs = w.wallMs()
	w.submit(o, 0, request.RepeatFirst)
	delayed := w.net[0]
	w.net = nil
	w.hangUp()
	w.submit(o, 1, request.RepeatAgain)
	w.settle()
	w.handover(s)
	w.finishHandover(s)
	w.deliver(delayed)
	w.settle()
	w.judge()
	return w
}

func TestASendingDelayedAcrossTwoMovesNeverRuns(t *testing.T) {
	must.SliceEmpty(t, delayedAcrossTwoMoves(guards{}).bad)
	must.SliceNotEmpty(t, delayedAcrossTwoMoves(guards{anyEpoch: true}).bad)
}
