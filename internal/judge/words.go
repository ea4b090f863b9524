package judge

import (
	"math"
	"slices"

	"github.com/rhubarbring/rhubarbring/internal/load"
	"github.com/rhubarbring/rhubarbring/result"
)

// lost returns the requests that got no whole answer of their own: no answer
// at all, unless the request is kept as an outcome, or a foreign or cut one.
func lost(in Input) []string {
	var out []string
	for _, r := range in.Records {
		w, answered := r.Last()
		if answered && (w.Outcome != result.Done.String() || w.Own) {
			continue
		}
		if !answered && !r.Idempotent && slices.Contains(in.Kept, r.ID) {
			continue
		}
		out = append(out, r.ID)
	}
	return out
}

// AtRisk counts the outcomes at risk that callers were told of.
type AtRisk struct {
	// Told counts requests, not idempotent, whose last word was "unknown" or
	// "late"; Kept counts those of them that the store keeps.
	// The refusal of a repeat whose first sending still runs is none.
	Told int
	Kept int
	// Missing are those told and not kept: nobody would find them later.
	Missing []string
}

func atRisk(in Input) AtRisk {
	var out AtRisk
	for _, r := range in.Records {
		w, _ := r.Last()
		open := w.Outcome == result.Unknown.String() || w.Outcome == result.Late.String()
		if r.Idempotent || !open || result.Code(w.Code) == result.DuplicateInFlight {
			continue
		}
		out.Told++
		if slices.Contains(in.Kept, r.ID) {
			out.Kept++
			continue
		}
		out.Missing = append(out.Missing, r.ID)
	}
	return out
}

// runsByID groups the runs that took effect, or may have.
func runsByID(runs []run) map[string][]run {
	out := map[string][]run{}
	for _, r := range runs {
		if r.effective() {
			out[r.ID] = append(out[r.ID], r)
		}
	}
	return out
}

// falseNotRun returns the requests that a caller was told did not run while a
// target ran them. What counts is each answer "not run", not just the last
// one: no run may have started before the caller sent the request again.
func falseNotRun(in Input, byID map[string][]run) []string {
	var out []string
	for _, r := range in.Records {
		if hasFalseWord(r, byID[r.ID]) {
			out = append(out, r.ID)
		}
	}
	return out
}

func hasFalseWord(r load.Record, runs []run) bool {
	doubt := false
	for i, w := range r.Words {
		if w.Connected && w.Outcome != result.NotRun.String() {
			doubt = true
		}
		if w.Outcome != result.NotRun.String() {
			continue
		}
		// An idempotent request with an earlier sending in doubt was told
		// only that this sending did not run.
		if r.Idempotent && doubt {
			continue
		}
		if startedBefore(runs, nextSent(r, i)) {
			return true
		}
	}
	return false
}

// nextSent returns when the sending after the i-th was made.
func nextSent(r load.Record, i int) int64 {
	if i+1 < len(r.Words) {
		return r.Words[i+1].SentNs
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

// cutOff returns the requests in flight at a planned stop that got no whole
// answer because of it.
func cutOff(in Input, byID map[string][]run) []string {
	callers := map[string]string{}
	for _, h := range in.Hosts {
		callers[h.Name] = h.Caller
	}
	var out []string
	for _, r := range in.Records {
		for _, f := range in.Faults {
			if f.Kind != PlannedStop {
				continue
			}
			if brokeAt(r, callers[f.Host], f) || endedAt(r, byID[r.ID], f) {
				out = append(out, r.ID)
				break
			}
		}
	}
	return out
}

// brokeAt reports whether a sending to the stopped daemon was in flight during
// the stop and got no answer.
func brokeAt(r load.Record, daemon string, f Fault) bool {
	for _, w := range r.Words {
		if w.Daemon == daemon && w.Connected && w.Outcome == "" && w.SentNs <= f.EndNs && w.AnsweredNs >= f.BeginNs {
			return true
		}
	}
	return false
}

// endedAt reports whether the stopped target had the request in hand during
// the stop, and the caller did not get its answer.
func endedAt(r load.Record, runs []run, f Fault) bool {
	w, _ := r.Last()
	done := w.Outcome == result.Done.String() && w.Own
	for _, u := range runs {
		inHand := u.Target == f.Host && u.StartNs <= f.EndNs && u.endNs >= f.BeginNs
		if inHand && (u.cut || !done) {
			return true
		}
	}
	return false
}
