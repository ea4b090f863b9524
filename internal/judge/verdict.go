package judge

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/rhubarbring/rhubarbring/result"
)

const (
	// minDoneShare is the least share of requests that must be done: without it,
	// a system that refuses every request would pass.
	minDoneShare = 0.9
	percentile99 = 0.99
	median       = 0.5
)

// Verdict is the result of evaluating a trial.
type Verdict struct {
	Requests int
	Done     int
	// Lost, Repeated, FalseNotRun and CutOff hold request ids.
	Lost         []string
	Repeated     []string
	TwoOwners    int // Runs that break sole ownership of a slice.
	FalseNotRun  []string
	CutOff       []string
	AtRisk       AtRisk
	P99          time.Duration // Latency of the requests done.
	Balances     []AppBalance
	OwnerChanges OwnerChanges
	// Gaps holds the longest gap after each fault, and Unavailable the longest
	// of these.
	Gaps        []FaultGap
	Unavailable Gap
	// Problems holds one sentence for each reason why the trial failed.
	Problems []string
}

// Judge evaluates a trial.
func Judge(in Input) Verdict {
	runs := runsFromJournals(in)
	byID := runsByID(runs)
	v := Verdict{
		Requests:     len(in.Records),
		Lost:         lostRequests(in),
		Repeated:     repeatedRequests(runs),
		TwoOwners:    len(ownershipViolations(runs)),
		FalseNotRun:  falseNotRunRequests(in, byID),
		CutOff:       cutOffRequests(in, byID),
		AtRisk:       outcomesAtRisk(in),
		Balances:     balances(in, runs),
		OwnerChanges: countOwnerChanges(in, runs),
		Gaps:         gapsByFault(in, runs),
	}
	v.Unavailable = longestGap(v.Gaps)
	v.addLatency(in)
	v.addProblems(in, byID)
	return v
}

func (v *Verdict) addLatency(in Input) {
	var latencies []time.Duration
	for _, r := range in.Records {
		if w, _ := r.LastAnswered(); w.Outcome == result.Done.String() {
			latencies = append(latencies, time.Duration(w.AnsweredNs-r.ArrivalNs))
		}
	}
	v.Done = len(latencies)
	v.P99 = percentile(latencies, percentile99)
}

// percentile returns the nearest-rank percentile: the smallest latency such
// that a share p of all latencies is not above it. It returns 0 for no
// latencies and sorts them in place.
func percentile(latencies []time.Duration, p float64) time.Duration {
	if len(latencies) == 0 {
		return 0
	}
	slices.Sort(latencies)
	i := int(math.Ceil(p*float64(len(latencies)))) - 1
	return latencies[i]
}

func (v *Verdict) addProblems(in Input, byID map[string][]run) {
	addProblem := func(n int, description string, ids []string) {
		if n > 0 {
			v.Problems = append(v.Problems, fmt.Sprintf("%d %s %v", n, description, ids[:min(len(ids), maxExamples)]))
		}
	}
	addProblem(len(v.Lost), "requests lost", v.Lost)
	addProblem(len(v.Repeated), "requests repeated", v.Repeated)
	addProblem(v.TwoOwners, "runs that violate sole ownership of a slice", nil)
	addProblem(len(v.FalseNotRun), "false answers \"not run\"", v.FalseNotRun)
	addProblem(len(v.CutOff), "requests cut off", v.CutOff)
	addProblem(len(v.AtRisk.Missing), "outcomes at risk are not kept in the store", v.AtRisk.Missing)
	unsent := unsentRequests(in, byID)
	addProblem(len(unsent), "requests ran that no caller sent", unsent)
	if float64(v.Done) < minDoneShare*float64(v.Requests) || v.Requests == 0 {
		v.Problems = append(v.Problems, fmt.Sprintf("only %d of %d requests were done", v.Done, v.Requests))
	}
}

// maxExamples bounds the request ids that a problem lists.
const maxExamples = 5

// unsentRequests returns the ids of requests that no caller sent and of which a
// run took effect or may have.
func unsentRequests(in Input, byID map[string][]run) []string {
	sent := map[string]bool{}
	for _, r := range in.Records {
		sent[r.ID] = true
	}
	var out []string
	for id := range byID {
		if !sent[id] {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// OK reports whether the trial succeeded.
func (v Verdict) OK() bool {
	return len(v.Problems) == 0
}

// Imbalance returns the highest imbalance of any app.
func (v Verdict) Imbalance() float64 {
	worst := 0.0
	for _, b := range v.Balances {
		worst = max(worst, b.Imbalance)
	}
	return worst
}

// String returns the summary that a trial prints as its last line.
func (v Verdict) String() string {
	status := "ok"
	if !v.OK() {
		status = "FAILED"
	}
	return fmt.Sprintf("trial: %s requests=%d lost=%d repeated=%d two_owners=%d false_not_run=%d cut_off=%d "+
		"p99_ms=%.1f imbalance=%.2f churn=%.2f unavailable_ms=%d",
		status, v.Requests, len(v.Lost), len(v.Repeated), v.TwoOwners, len(v.FalseNotRun), len(v.CutOff),
		float64(v.P99)/float64(time.Millisecond), v.Imbalance(), v.OwnerChanges.Churn(), v.Unavailable.Length().Milliseconds())
}
