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

func runModel(src choiceSource, steps int, d missingChecks, g disabledChecks) *world {
	w := newWorld(src, d, g)
	for range steps {
		w.step()
	}
	w.runToEnd()
	w.checkInvariants()
	return w
}

// Whatever is lost, late, doubled or taken over: at most once, "not run" is
// true, nobody gets another's answer, every call gets one reply, what is
// unknown is raised, slots and connections are kept.
func TestInvariantsHoldOnRandomInterleavings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := runModel(rapidSource{t}, rapid.IntRange(1, modelSteps).Draw(t, "steps"), missingChecks{}, disabledChecks{})
		for _, bad := range w.violations {
			t.Error(bad)
		}
	})
}

// seededRuns is how many runs a broken guard gets to be found in, and how many
// whole ones are played.
const seededRuns = 2000

func firstViolation(d missingChecks, g disabledChecks) string {
	for seed := range uint64(seededRuns) {
		w := runModel(rand.New(rand.NewPCG(seed, 1)), modelSteps, d, g)
		if len(w.violations) > 0 {
			return fmt.Sprintf("seed %d: %s", seed, w.violations[0])
		}
	}
	return ""
}

// The runs are worth judging: each kind of trouble happens in some of them.
func TestModelCoversEachKindOfFault(t *testing.T) {
	var c Counters
	var strays, waited, retried, done uint64
	for seed := range uint64(200) {
		w := runModel(rand.New(rand.NewPCG(seed, 1)), modelSteps, missingChecks{}, disabledChecks{})
		for _, s := range w.nodes {
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

func TestInvariantsHoldOnSeededRuns(t *testing.T) {
	must.Eq(t, "", firstViolation(missingChecks{}, disabledChecks{}))
}

// Each guard, dropped on purpose, is missed by the properties.
func TestEachMissingCheckIsDetected(t *testing.T) {
	cases := []struct {
		name string
		d    missingChecks
		g    disabledChecks
	}{
		{name: "a lost connection counts as not sent", d: missingChecks{lossCountsAsNotSent: true}},
		{name: "answers are matched by id alone", d: missingChecks{matchByIDOnly: true}},
		{name: "not run is told to repeats", d: missingChecks{notRunToRepeats: true}},
		{name: "the router raises nothing", d: missingChecks{noRisks: true}},
		{name: "answers are not acknowledged", d: missingChecks{noAcks: true}},
		{name: "duplicates and leftovers are taken", g: disabledChecks{sequence: true}},
		{name: "ids are not remembered", g: disabledChecks{memory: true}},
		{name: "ids that can't be known run", g: disabledChecks{horizon: true}},
		{name: "the lease is checked at admission only", g: disabledChecks{leaseAtStart: true}},
		{name: "the lease is not checked after the answer", g: disabledChecks{leaseAfterAnswer: true}},
		{name: "slots are freed while a run may go on", g: disabledChecks{slotHold: true}},
		{name: "a lost run's id is forgotten", g: disabledChecks{lostID: true}},
		{name: "an id's answer goes to another content", g: disabledChecks{content: true}},
		{name: "the gate raises nothing", g: disabledChecks{risks: true}},
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
type lastChoice struct{}

func (lastChoice) IntN(n int) int { return n - 1 }

// A sending is delayed while its slice goes to another owner, where the
// caller's repeat runs, and comes back at a newer epoch. The first owner knows
// nothing of the id; only the epoch tells that the sending is old.
func runDelayedAttempt(g disabledChecks) *world {
	w := newWorld(lastChoice{}, missingChecks{}, g)
	w.advance(time.Millisecond)
	o := &op{body: "deposit", key: "k", runsByID: map[string]int{}}
	w.ops = append(w.ops, o)
	w.assignFreshID(o)
	s := int(key.SliceOf(modelApp, o.id, modelSlices).ID)
	first := w.nodeOf(w.owners[s].Owner)
	w.grant(s, 1-first, 2)
	w.updateMap(1)
	w.advance(100 * time.Millisecond)
	o.idMs = w.wallMs()
	w.submit(o, 0, request.RepeatFirst)
	delayed := w.network[0]
	w.network = nil
	w.callerLeaves()
	w.submit(o, 1, request.RepeatAgain)
	w.runToEnd()
	w.handover(s)
	w.finishHandover(s)
	w.deliver(delayed)
	w.runToEnd()
	w.checkInvariants()
	return w
}

func TestAttemptDelayedAcrossTwoOwnerChangesNeverRuns(t *testing.T) {
	must.SliceEmpty(t, runDelayedAttempt(disabledChecks{}).violations)
	must.SliceNotEmpty(t, runDelayedAttempt(disabledChecks{epoch: true}).violations)
}
