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

// rapidChoices draws a model's choices from rapid, so that rapid can shrink a
// failing run.
type rapidChoices struct{ t *rapid.T }

func (s rapidChoices) IntN(n int) int {
	return rapid.IntRange(0, n-1).Draw(s.t, "n")
}

// modelSteps is the number of random events in a seeded run.
const modelSteps = 150

// runModel runs a model with random events to its end and checks its
// invariants.
func runModel(src choices, steps int, missing missingChecks, disabled disabledChecks) *world {
	w := newWorld(src, missing, disabled)
	for range steps {
		w.step()
	}
	w.runToEnd()
	w.checkInvariants()
	return w
}

// Whatever is lost, late, duplicated or taken over: a non-idempotent request
// runs at most once, "not run" is true, no caller gets the answer of another,
// every call gets one reply, unknown outcomes are reported as risks, and the
// bounds on slots and connections hold.
func TestInvariantsHoldOnRandomInterleavings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := runModel(rapidChoices{t}, rapid.IntRange(1, modelSteps).Draw(t, "steps"), missingChecks{}, disabledChecks{})
		for _, violation := range w.violations {
			t.Error(violation)
		}
	})
}

// seededRuns is the number of runs in which a missing check has to be detected,
// and in which gates with all checks have to keep the invariants.
const seededRuns = 2000

// firstViolation returns the first violation in the seeded runs, or an empty
// string.
func firstViolation(missing missingChecks, disabled disabledChecks) string {
	for seed := range uint64(seededRuns) {
		w := runModel(rand.New(rand.NewPCG(seed, 1)), modelSteps, missing, disabled)
		if len(w.violations) > 0 {
			return fmt.Sprintf("seed %d: %s", seed, w.violations[0])
		}
	}
	return ""
}

// The invariants mean something only if the faults occur: each kind has to
// occur in some run.
func TestModelCoversEachKindOfFault(t *testing.T) {
	var c Counters
	var unmatched, waited, retried, done uint64
	for seed := range uint64(200) {
		w := runModel(rand.New(rand.NewPCG(seed, 1)), modelSteps, missingChecks{}, disabledChecks{})
		for _, node := range w.nodes {
			c.Stale += node.gate.counters.Stale
			c.Joined += node.gate.counters.Joined
			c.Replayed += node.gate.counters.Replayed
			c.Shed += node.gate.counters.Shed
			c.Lost += node.gate.counters.Lost
		}
		for _, e := range w.entries {
			unmatched += e.router.Counters().UnmatchedAnswers
			waited += e.router.Counters().WaitedForOwner
			retried += e.router.Counters().Retried
		}
		for _, o := range w.ops {
			if o.done {
				done++
			}
		}
	}
	for _, n := range []uint64{c.Stale, c.Joined, c.Replayed, c.Shed, c.Lost, unmatched, waited, retried, done} {
		must.Positive(t, n)
	}
}

func TestInvariantsHoldOnSeededRuns(t *testing.T) {
	must.Eq(t, "", firstViolation(missingChecks{}, disabledChecks{}))
}

// Each check of the gate, the router and the shells is left out in turn. The
// invariants have to detect it; otherwise they would not protect the check.
func TestEachMissingCheckIsDetected(t *testing.T) {
	cases := []struct {
		name     string
		missing  missingChecks
		disabled disabledChecks
	}{
		{name: "a lost connection counts as not sent", missing: missingChecks{lossCountsAsNotSent: true}},
		{name: "answers are matched by id alone", missing: missingChecks{matchByIDOnly: true}},
		{name: "repeats are answered as not run", missing: missingChecks{notRunToRepeats: true}},
		{name: "the router reports no risks", missing: missingChecks{noRisks: true}},
		{name: "gates do not wait for acknowledgements", missing: missingChecks{noAcks: true}},
		{name: "duplicates and leftovers are accepted", disabled: disabledChecks{sequence: true}},
		{name: "ids are not remembered", disabled: disabledChecks{dedup: true}},
		{name: "ids that may have been dropped run", disabled: disabledChecks{horizon: true}},
		{name: "the lease is checked at admission only", disabled: disabledChecks{leaseAtStart: true}},
		{name: "the lease is not checked after the answer", disabled: disabledChecks{leaseAfterAnswer: true}},
		{name: "slots are freed while a run may still execute", disabled: disabledChecks{slotHold: true}},
		{name: "the id of a run with a lost connection is forgotten", disabled: disabledChecks{lostID: true}},
		{name: "an id with another content gets the kept answer", disabled: disabledChecks{content: true}},
		{name: "the gate reports no risks", disabled: disabledChecks{risks: true}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			found := firstViolation(c.missing, c.disabled)
			must.NotEq(t, "", found)
			t.Log(found)
		})
	}
}

// lastChoice always takes the last choice, with which no random fault occurs.
type lastChoice struct{}

func (lastChoice) IntN(n int) int { return n - 1 }

// runDelayedAttempt delays an attempt while its slice moves to another owner,
// where the caller's repeat runs, and back at a newer epoch. The first owner
// has never seen the id, so only the epoch shows that the attempt is old.
func runDelayedAttempt(disabled disabledChecks) *world {
	w := newWorld(lastChoice{}, missingChecks{}, disabled)
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
