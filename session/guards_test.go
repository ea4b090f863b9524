package session_test

import (
	"flag"
	"testing"
)

// checkRuns makes the test run this many seeds for each disabled check and
// count those that detect it. By default it stops at the first.
var checkRuns = flag.Int("guard.runs", 0, "runs to count for each disabled guard")

// checkLimit is how many runs may pass before a disabled check must be
// detected.
const checkLimit = 3000

// checks lists each check with a seed whose run is known to detect that it is
// disabled. If a change of the cores makes that seed miss it, the test tries
// other seeds.
var checks = []struct {
	disabled check
	seed     uint64
}{
	{sendTimeCheck, 70}, {leaseMargin, 22}, {expiryWait, 62}, {sealEnforcement, 6}, {conditionalWrite, 1}, {jointMajorities, 1},
	{unconfirmedWriteRetry, 730}, {writerToken, 5}, {witnessSessionCheck, 222}, {endedMemory, 21}, {sealGeneration, 201}, {machineCheck, 3},
}

// Each check is needed: without it, the model finds a session that holds its
// lease although it is recorded as ended.
func TestModelDetectsEachDisabledCheck(t *testing.T) {
	for _, g := range checks {
		t.Run(string(g.disabled), func(t *testing.T) {
			if *checkRuns > 0 {
				countFinds(t, g.disabled)
				return
			}
			if modelFleet(g.seed, g.disabled).runModel().violation != "" {
				return
			}
			for i, v := range runMany(checkLimit, g.disabled, func(v runResult) bool { return v.violation != "" }) {
				if v.violation != "" {
					t.Logf("found by seed %d, no longer by seed %d", i+1, g.seed)
					return
				}
			}
			t.Errorf("no run of %d shows that the guard is missing", checkLimit)
		})
	}
}

func countFinds(t *testing.T, disabled check) {
	found, first := 0, 0
	var byMix [3]int
	for i, v := range runMany(*checkRuns, disabled, nil) {
		if v.violation == "" {
			continue
		}
		found++
		byMix[(i+1)%3]++
		if first == 0 {
			first = i + 1
		}
	}
	t.Logf("found in %d of %d runs, first by seed %d, by mix of faults %v", found, *checkRuns, first, byMix)
}
