package gate

import (
	"time"

	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/request"
	"github.com/rhubarbring/rhubarbring/result"
)

// RefuseFull refuses a request that the target has not seen, since something else
// on the way of its answer has no room.
func (g *Gate) RefuseFull(now mono.Time, from host.Session, r *request.Request, retryAfter time.Duration, out *Actions) {
	g.counters.Arrived++
	w := waiter{from: from, attempt: r.Attempt, seq: r.Seq}
	g.refuseRequest(now, w, r, result.QueueFull, Admission{}, max(retryAfter, g.cfg.MinRetryAfter), out)
}

// refuseRequest answers an attempt that is not admitted.
func (g *Gate) refuseRequest(now mono.Time, w waiter, r *request.Request, code result.Code, adm Admission, retryAfter time.Duration, out *Actions) {
	g.counters.Refused++
	a := &request.Answer{
		ID:         r.ID,
		Attempt:    w.attempt,
		Seq:        w.seq,
		Code:       code,
		Owner:      string(g.cfg.Self.Host),
		Epoch:      adm.Newest,
		OwnerEpoch: adm.Epoch,
		RetryAfter: retryAfter,
	}
	g.addLoad(now, a)
	out.Answers = append(out.Answers, Answer{To: w.from, Answer: a})
}

// OwnershipChanged refuses at once the queued requests whose slices this daemon
// no longer serves, so that they can be sent to the new owner.
func (g *Gate) OwnershipChanged(now mono.Time, out *Actions) {
	for _, j := range g.queuedJobs() {
		if code, adm := g.checkOwnership(now, j.req); code != result.OK {
			g.refuseJob(now, j, code, adm, out)
		}
	}
	g.startQueued(now, out)
}

// refuseQueued refuses all queued requests.
func (g *Gate) refuseQueued(now mono.Time, code result.Code, out *Actions) {
	for _, j := range g.queuedJobs() {
		g.refuseJob(now, j, code, Admission{}, out)
	}
}

// refuseJob refuses a queued job, which did not run and never will.
func (g *Gate) refuseJob(now mono.Time, j *job, code result.Code, adm Admission, out *Actions) {
	g.refuseJobFor(now, j, code, adm, g.retryAfter(code), out)
}

// refuseJobFor is refuseJob with the time after which the caller may come back.
func (g *Gate) refuseJobFor(now mono.Time, j *job, code result.Code, adm Admission, retryAfter time.Duration, out *Actions) {
	g.counters.Refused++
	a := g.newAnswer(j, code)
	a.Epoch = adm.Newest
	a.OwnerEpoch = adm.Epoch
	a.RetryAfter = retryAfter
	g.step(now, j, eventRefuse, a, out)
}

// retryAfter returns the retry delay for a refusal: RetryAfter if the request
// did not run for a reason that may pass, otherwise 0. Codes from NoOwner on
// are such reasons; lower ones are faults of the request.
func (g *Gate) retryAfter(code result.Code) time.Duration {
	if code.Outcome() != result.NotRun || code < result.NoOwner {
		return 0
	}
	return g.cfg.RetryAfter
}
