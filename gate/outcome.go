package gate

import (
	"math"

	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/request"
	"github.com/rhubarbring/rhubarbring/result"
)

// newAnswer returns an answer to a job's request.
func (g *Gate) newAnswer(j *job, code result.Code) *request.Answer {
	return &request.Answer{ID: j.req.ID, Code: code, Owner: string(g.cfg.Self.Host), Epoch: j.epoch}
}

// answerJob answers everyone who waits for a job and records its outcome in the
// memory of ids. For a non-idempotent request, LeaseLapsedAfter and
// AnswerTruncated are reported as outcomes at risk, and OK has to be
// acknowledged; other unknown outcomes are reported by an action of the chart.
func (g *Gate) answerJob(now mono.Time, j *job, a *request.Answer, out *Actions) {
	g.recordOutcome(j, a)
	g.answerWaiters(now, j, a, out)
	if j.req.Idempotent {
		return
	}
	switch a.Code {
	case result.LeaseLapsedAfter, result.AnswerTruncated:
		g.raiseUnknown(j, a, out)
	case result.OK:
		g.awaitAcks(j, out)
	}
}

// answerWaiters sends an answer to everyone who waits for a job.
func (g *Gate) answerWaiters(now mono.Time, j *job, a *request.Answer, out *Actions) {
	a.Wait = g.expectedWait(now, request.Normal, now, nil)
	g.addLoad(now, a)
	if !j.firstGone {
		g.answerWaiter(j.firstWaiter, a, out)
	}
	for _, w := range j.joinedWaiters {
		g.answerWaiter(w, a, out)
	}
}

// addLoad adds the target's load to an answer.
func (g *Gate) addLoad(now mono.Time, a *request.Answer) {
	load := g.statedLoad(now)
	a.Slots = uint16(load.slots)
	a.Jobs = uint16(min(load.jobs, math.MaxUint16))
	a.ServiceTime = load.serviceTime
}

// recordOutcome records a job's outcome in the memory of ids. An id is
// forgotten only if its request did not run and never will.
func (g *Gate) recordOutcome(j *job, a *request.Answer) {
	switch a.Code.Outcome() {
	case result.NotRun:
		g.dedup.Forget(j.dedupRef)
	case result.Done:
		g.dedup.Finish(j.dedupRef, a)
	default:
		if g.disabled.lostID {
			g.dedup.Forget(j.dedupRef)
			return
		}
		g.dedup.Finish(j.dedupRef, nil)
	}
}

// answerWaiter sends an answer to one attempt. Each attempt gets its own copy,
// since the answer itself is kept for repeats.
func (g *Gate) answerWaiter(w waiter, a *request.Answer, out *Actions) {
	g.counters.Answered++
	reply := *a
	reply.Attempt = w.attempt
	reply.Seq = w.seq
	out.Answers = append(out.Answers, Answer{To: w.from, Answer: &reply})
}

// settle passes on the outcome of a run that was answered before its end.
func (g *Gate) settle(now mono.Time, j *job, a *request.Answer, out *Actions) {
	if j.req.Idempotent {
		return
	}
	g.recordOutcome(j, a)
	g.answerWaiters(now, j, a, out)
	switch a.Code.Outcome() {
	case result.Done:
		out.Settlements = append(out.Settlements, settlement(j.req, result.Late))
	case result.NotRun:
		if request.CodeForCaller(j.req, a.Code) == a.Code {
			out.Settlements = append(out.Settlements, settlement(j.req, result.NotRun))
		}
	}
}

// raiseUnknown reports the unknown outcome of a job as a risk.
func (g *Gate) raiseUnknown(j *job, a *request.Answer, out *Actions) {
	g.raiseRisk(g.riskOf(j, a.Code, result.Unknown), out)
}

// raiseRisk reports an outcome at risk, to be recorded by the shell.
func (g *Gate) raiseRisk(r request.Risk, out *Actions) {
	if g.disabled.risks {
		return
	}
	g.counters.Raised++
	out.Risks = append(out.Risks, r)
}

// riskOf returns the outcome of a job as a risk.
func (g *Gate) riskOf(j *job, code result.Code, outcome result.Outcome) request.Risk {
	return request.Risk{
		ID:      j.req.ID,
		App:     j.req.App,
		Key:     j.req.Key,
		Slice:   j.req.Slice,
		Epoch:   j.epoch,
		Owner:   g.cfg.Self,
		Code:    code,
		Outcome: outcome,
	}
}

// settlement returns the settlement of a risk that was reported for a request.
func settlement(r *request.Request, o result.Outcome) request.Settlement {
	return request.Settlement{ID: r.ID, App: r.App, Key: r.Key, Outcome: o}
}
