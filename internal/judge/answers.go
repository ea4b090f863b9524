package judge

import (
	"math"
	"slices"

	"github.com/rhubarbring/rhubarbring/internal/load"
	"github.com/rhubarbring/rhubarbring/result"
)

// lostRequests returns the ids of requests that got no complete answer of their
// own. Either the last answer is "done" but belongs to another request or is
// truncated, or there is no answer at all; the latter is allowed only for a
// non-idempotent request whose outcome the store keeps.
func lostRequests(in Input) []string {
	var out []string
	for _, r := range in.Records {
		w, answered := r.LastAnswered()
		if answered && (w.Outcome != result.Done.String() || w.BelongsToRequest) {
			continue
		}
		if !answered && !r.Idempotent && slices.Contains(in.KeptOutcomes, r.ID) {
			continue
		}
		out = append(out, r.ID)
	}
	return out
}

// AtRisk counts the outcomes at risk that were reported to callers.
type AtRisk struct {
	// Reported counts the non-idempotent requests whose last answer was
	// "unknown" or "late", and Kept those of them that the store keeps. The
	// refusal of a repeat while the first sending still runs does not count.
	Reported int
	Kept     int
	// Missing holds the ids of those reported but not kept: an operator could
	// not find these outcomes later.
	Missing []string
}

func outcomesAtRisk(in Input) AtRisk {
	var out AtRisk
	for _, r := range in.Records {
		w, _ := r.LastAnswered()
		open := w.Outcome == result.Unknown.String() || w.Outcome == result.Late.String()
		if r.Idempotent || !open || result.Code(w.Code) == result.DuplicateInFlight {
			continue
		}
		out.Reported++
		if slices.Contains(in.KeptOutcomes, r.ID) {
			out.Kept++
			continue
		}
		out.Missing = append(out.Missing, r.ID)
	}
	return out
}

// runsByID groups the runs that took effect, or may have, by request id.
func runsByID(runs []run) map[string][]run {
	out := map[string][]run{}
	for _, r := range runs {
		if r.mayHaveTakenEffect() {
			out[r.ID] = append(out[r.ID], r)
		}
	}
	return out
}

// falseNotRunRequests returns the ids of requests that a target ran although a
// caller was told that they did not run. Each answer "not run" counts, not just
// the last: no run may start before the caller sends the request again, or ever
// if it does not.
func falseNotRunRequests(in Input, byID map[string][]run) []string {
	var out []string
	for _, r := range in.Records {
		if hasFalseNotRun(r, byID[r.ID]) {
			out = append(out, r.ID)
		}
	}
	return out
}

// hasFalseNotRun reports whether an answer "not run" to the request was false,
// given its runs.
func hasFalseNotRun(r load.Record, runs []run) bool {
	mayHaveRun := false
	for i, w := range r.Sendings {
		if w.Connected && w.Outcome != result.NotRun.String() {
			mayHaveRun = true
		}
		if w.Outcome != result.NotRun.String() {
			continue
		}
		// If an earlier sending of an idempotent request may have run, the
		// answer "not run" applies only to this sending.
		if r.Idempotent && mayHaveRun {
			continue
		}
		if startedBefore(runs, nextSentNs(r, i)) {
			return true
		}
	}
	return false
}

// nextSentNs returns when the caller sent the request after sending i, or the
// largest time if it did not.
func nextSentNs(r load.Record, i int) int64 {
	if i+1 < len(r.Sendings) {
		return r.Sendings[i+1].SentNs
	}
	return math.MaxInt64
}

func startedBefore(runs []run, ns int64) bool {
	for _, r := range runs {
		if r.StartNs < ns {
			return true
		}
	}
	return false
}

// cutOffRequests returns the ids of requests in flight during a planned stop
// that got no complete answer because of it.
func cutOffRequests(in Input, byID map[string][]run) []string {
	callers := map[string]string{}
	for _, h := range in.Hosts {
		callers[h.Name] = h.CallerAddress
	}
	var out []string
	for _, r := range in.Records {
		for _, f := range in.Faults {
			if f.Kind != PlannedStop {
				continue
			}
			if unansweredDuring(r, callers[f.Host], f) || answerLostDuring(r, byID[r.ID], f) {
				out = append(out, r.ID)
				break
			}
		}
	}
	return out
}

// unansweredDuring reports whether a sending to the stopped daemon was in
// flight during f and got no answer.
func unansweredDuring(r load.Record, daemon string, f Fault) bool {
	for _, w := range r.Sendings {
		if w.Daemon == daemon && w.Connected && w.Outcome == "" && w.SentNs <= f.EndNs && w.AnsweredNs >= f.BeginNs {
			return true
		}
	}
	return false
}

// answerLostDuring reports whether the target of the stopped host ran the
// request during f, and the run did not finish or the caller did not get its
// answer.
func answerLostDuring(r load.Record, runs []run, f Fault) bool {
	w, _ := r.LastAnswered()
	done := w.Outcome == result.Done.String() && w.BelongsToRequest
	for _, run := range runs {
		overlaps := run.Target == f.Host && run.StartNs <= f.EndNs && run.endNs >= f.BeginNs
		if overlaps && (run.unfinished || !done) {
			return true
		}
	}
	return false
}
