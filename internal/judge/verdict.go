package judge

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/rhubarbring/rhubarbring/result"
)

const (
	// leastDoneShare is the share of requests that must be done: a system
	// that refuses everything breaks no promise, but is no success.
	leastDoneShare = 0.9
	percentile99   = 0.99
	median         = 0.5
)

// Verdict is the outcome of a trial.
type Verdict struct {
	Requests    int
	Done        int
	Lost        []string
	Repeated    []string
	TwoOwners   int
	FalseNotRun []string
	CutOff      []string
	AtRisk      AtRisk
	P99         time.Duration
	Balances    []AppBalance
	Moves       Moves
	// Gaps are the longest gaps after each fault, and Unavailable the longest
	// of them.
	Gaps        []FaultGap
	Unavailable Gap
	// Problems are what failed the trial, one sentence each.
	Problems []string
}

// Judge works out the verdict.
func Judge(in Input) Verdict {
	runs := runsOf(in)
	byID := runsByID(runs)
	v := Verdict{
		Requests:    len(in.Records),
		Lost:        lost(in),
		Repeated:    repeated(runs),
		TwoOwners:   len(twoOwners(runs)),
		FalseNotRun: falseNotRun(in, byID),
		CutOff:      cutOff(in, byID),
		AtRisk:      atRisk(in),
		Balances:    balances(in, runs),
		Moves:       moves(in, runs),
		Gaps:        gapsByFault(in, runs),
	}
	v.Unavailable = worstGap(v.Gaps)
	v.addLatency(in)
	v.addProblems(in, byID)
	return v
}

func (v *Verdict) addLatency(in Input) {
	var latencies []time.Duration
	for _, r := range in.Records {
		if w, _ := r.Last(); w.Outcome == result.Done.String() {
			latencies = append(latencies, time.Duration(w.AnsweredNs-r.AskedNs))
		}
	}
	v.Done = len(latencies)
	v.P99 = percentile(latencies, percentile99)
}

// percentile returns the smallest latency that a share p does not exceed.
func percentile(latencies []time.Duration, p float64) time.Duration {
	if len(latencies) == 0 {
		return 0
	}
	slices.Sort(latencies)
	i := int(math.Ceil(p*float64(len(latencies)))) - 1
	return latencies[i]
}

func (v *Verdict) addProblems(in Input, byID map[string][]run) {
	problem := func(n int, what string, examples []string) {
		if n > 0 {
			v.Problems = append(v.Problems, fmt.Sprintf("%d %s %v", n, what, examples[:min(len(examples), maxExamples)]))
		}
	}
	problem(len(v.Lost), "requests lost", v.Lost)
	problem(len(v.Repeated), "requests repeated", v.Repeated)
	problem(v.TwoOwners, "runs under a second owner", nil)
	problem(len(v.FalseNotRun), "false answers \"not run\"", v.FalseNotRun)
	problem(len(v.CutOff), "requests cut off", v.CutOff)
	problem(len(v.AtRisk.Missing), "outcomes at risk are not kept in the store", v.AtRisk.Missing)
	strays := strayRuns(in, byID)
	problem(len(strays), "requests ran that no caller sent", strays)
	if float64(v.Done) < leastDoneShare*float64(v.Requests) || v.Requests == 0 {
		v.Problems = append(v.Problems, fmt.Sprintf("only %d of %d requests were done", v.Done, v.Requests))
	}
}

const maxExamples = 5

func strayRuns(in Input, byID map[string][]run) []string {
	known := map[string]bool{}
	for _, r := range in.Records {
		known[r.ID] = true
	}
	var out []string
	for id := range byID {
		if !known[id] {
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

// Imbalance returns the imbalance of the app where it is worst.
func (v Verdict) Imbalance() float64 {
	worst := 0.0
	for _, b := range v.Balances {
		worst = max(worst, b.Imbalance)
	}
	return worst
}

// String returns the last line of a trial.
func (v Verdict) String() string {
	word := "ok"
	if !v.OK() {
		word = "FAILED"
	}
	return fmt.Sprintf("trial: %s requests=%d lost=%d repeated=%d two_owners=%d false_not_run=%d cut_off=%d "+
		"p99_ms=%.1f imbalance=%.2f churn=%.2f unavailable_ms=%d",
		word, v.Requests, len(v.Lost), len(v.Repeated), v.TwoOwners, len(v.FalseNotRun), len(v.CutOff),
		float64(v.P99)/float64(time.Millisecond), v.Imbalance(), v.Moves.Churn(), v.Unavailable.Length().Milliseconds())
}
