package gate

import (
	"math"

	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/request"
	"github.com/rhubarbring/rhubarbring/result"
)

// outcome makes an answer to a job's request.
func (g *Gate) outcome(j *job, code result.Code) *request.Answer {
	return &request.Answer{ID: j.req.ID, Code: code, Owner: string(g.cfg.Self.Host), Epoch: j.epoch}
}

// answer tells everyone who waits for a job, and remembers what became of it.
func (g *Gate) answer(now mono.Time, j *job, a *request.Answer, out *Actions) {
	g.remember(j, a)
	g.tell(now, j, a, out)
	if j.req.Idempotent {
		return
	}
	switch a.Code {
	case result.LeaseLapsedAfter, result.AnswerTruncated:
		g.raise(j, a, out)
	case result.OK:
		g.expectAcks(j, out)
	}
}

func (g *Gate) tell(now mono.Time, j *job, a *request.Answer, out *Actions) {
	a.Wait = g.expectedWait(now, request.Normal, now)
	g.report(now, a)
	if !j.abandoned {
		g.send(j.first, a, out)
	}
	for _, o := range j.joined {
		g.send(o, a, out)
	}
}

// report says in an answer how busy the target is.
func (g *Gate) report(now mono.Time, a *request.Answer) {
	a.Slots = uint16(g.usableSlots(now))
	a.Jobs = uint16(min(g.slots+g.urgent.len()+g.normal.len(), math.MaxUint16))
	a.Service = g.service.mean()
}

// remember notes in the memory of ids what became of a job.
func (g *Gate) remember(j *job, a *request.Answer) {
	switch a.Code.Outcome() {
	case result.NotRun:
		g.memory.Forget(j.slot)
	case result.Done:
		g.memory.Finish(j.slot, a)
	default:
		if g.guards.forgetLost {
			g.memory.Forget(j.slot)
			return
		}
		g.memory.Finish(j.slot, nil)
	}
}

// send answers one sending. Each gets its own copy, since the answer is kept.
func (g *Gate) send(o origin, a *request.Answer, out *Actions) {
	g.counters.Answered++
	own := *a
	own.Attempt = o.attempt
	own.Seq = o.seq
	out.Answers = append(out.Answers, Answer{To: o.from, Answer: &own})
}

// settle passes on what became of a run that was answered before its end.
func (g *Gate) settle(now mono.Time, j *job, a *request.Answer, out *Actions) {
	if j.req.Idempotent {
		return
	}
	g.remember(j, a)
	g.tell(now, j, a, out)
	switch a.Code.Outcome() {
	case result.Done:
		out.Settles = append(out.Settles, settlement(j.req, result.Late))
	case result.NotRun:
		if request.FinalCode(j.req, a.Code) == a.Code {
			out.Settles = append(out.Settles, settlement(j.req, result.NotRun))
		}
	}
}

func (g *Gate) raise(j *job, a *request.Answer, out *Actions) {
	g.raiseRisk(g.riskOf(j, a.Code, result.Unknown), out)
}

func (g *Gate) raiseRisk(r request.Risk, out *Actions) {
	if g.guards.silent {
		return
	}
	g.counters.Raised++
	out.Raises = append(out.Raises, r)
}

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

func settlement(r *request.Request, o result.Outcome) request.Settlement {
	return request.Settlement{ID: r.ID, App: r.App, Key: r.Key, Outcome: o}
}
