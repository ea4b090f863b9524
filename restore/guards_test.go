package restore_test

import (
	"flag"
	"testing"
)

var all = flag.Bool("restore.all", false, "go on with random runs after one that finds the loss of a rule")

// maxSteps bounds the searches for the loss of a rule.
const maxSteps = 8

// dropped lists the rules of docs/design/0008-restored-store.md by number, each
// with the switch that turns it off. The search of one slice with one restore finds
// the loss after steps steps; 0 means that it finds nothing in 9.
var dropped = []struct {
	name  string
	off   rules
	steps int
}{
	{"1 versions of an earlier era are forgotten", rules{keepViews: true}, 0},
	{"2 an answer of a later era is not done", rules{trustAnswer: true}, 8},
	{"3 an entry of an earlier era gives its owner nothing", rules{trustRestored: true}, 6},
	{"4 a session goes on only with its own record", rules{anyRecord: true}, 0},
	{"5 a loss recorded in an earlier era does not count", rules{trustLost: true}, 9},
	{"6 a hold of an earlier era is not prolonged", rules{prolongOld: true}, 7},
	{"7 a hold is prolonged only by its entry", rules{prolongUnshown: true}, 0},
	{"8 an entry of an earlier era waits", rules{noWait: true}, 3},
	{"8 it waits as long as a hold", rules{shortWait: true}, 4},
	{"8 it waits from the version seen", rules{waitFromRise: true}, 0},
	{"9 a daemon that starts waits", rules{noStartWait: true}, 4},
	{"10 an epoch is made of the revision replaced", rules{countEpochs: true}, 0},
	{"11 documents go by their own version", rules{takeStoredDoc: true}, 4},
}

func TestSearchFindsDroppedRules(t *testing.T) {
	for _, d := range dropped {
		if d.steps == 0 || d.steps > maxSteps+*deeper {
			continue
		}
		t.Run(d.name, func(t *testing.T) {
			s := newSearch(model{off: d.off, slices: 1, maxRestores: 1, maxRestarts: 1, objectRevisions: true, documents: d.off.takeStoredDoc})
			s.run(d.steps)
			if s.problem == "" {
				t.Fatalf("nothing found in %d steps", d.steps)
			}
			t.Logf("%s after %d steps:\n%s", s.problem, s.depth, s.trace())
		})
	}
}

func TestRandomRunsFindDroppedRules(t *testing.T) {
	for _, d := range dropped {
		t.Run(d.name, func(t *testing.T) {
			found, first := 0, ""
			for seed := range uint64(*runs) {
				r := newRandomRun(randomModel(d.off, seed), seed)
				if problem := r.run(runSteps); problem != "" {
					if found++; found == 1 {
						first = problem
					}
					if !*all {
						break
					}
				}
			}
			if found == 0 {
				t.Fatalf("nothing found in %d runs", *runs)
			}
			t.Logf("found in %d runs; the first at %s", found, first)
		})
	}
}
