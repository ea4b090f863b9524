package gate

import (
	"github.com/rhubarbring/rhubarbring/dedup"
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/request"
	"github.com/rhubarbring/rhubarbring/result"
)

// RequestReceived handles a request from an entry daemon, which may be this
// one; nowMs is the wall clock in milliseconds since 1970. The gate keeps the
// request and does not change it.
func (g *Gate) RequestReceived(now mono.Time, nowMs int64, from host.Session, r *request.Request, out *Actions) {
	g.counters.Arrived++
	g.pace.refresh(now)
	if !r.Idempotent && g.isStale(from, r.Seq) {
		g.counters.Stale++
		return
	}
	w := waiter{from: from, attempt: r.Attempt, seq: r.Seq}
	code, adm := g.checkOwnership(now, r)
	if code != result.OK {
		g.refuseRequest(now, w, r, code, adm, g.retryAfter(code), out)
		return
	}
	if needsDedup(r) && !g.disabled.dedup && g.handleRepeat(now, nowMs, w, r, adm, out) {
		return
	}
	if left, held := g.quarantined(now, r); held {
		g.refuseRequest(now, w, r, result.Quarantined, adm, left, out)
		return
	}
	f := g.flowOf(now, r.Route, from)
	g.flows.arrive(now, f)
	if code, retryAfter := g.checkCapacity(now, r, f); code != result.OK {
		g.refuseRequest(now, w, r, code, adm, retryAfter, out)
		return
	}
	g.accept(now, nowMs, w, r, f, adm, out)
}

// isStale reports whether an attempt is a duplicate or a leftover of an older
// connection or session: within a session sequence numbers rise.
// RequestReceived calls it only for non-idempotent requests.
func (g *Gate) isStale(from host.Session, seq uint64) bool {
	last := g.seen[from.Host]
	if from.Incarnation < last.incarnation {
		return !g.disabled.sequence
	}
	if from.Incarnation == last.incarnation && seq <= last.seq {
		return !g.disabled.sequence
	}
	g.seen[from.Host] = lastSeen{incarnation: from.Incarnation, seq: seq}
	return false
}

// checkOwnership returns whether this daemon may serve the request at now, as
// far as the ownership of its slice is concerned. A non-idempotent request is
// served only at the epoch that its sender addressed, so that an attempt delayed
// across changes of the owner never runs.
func (g *Gate) checkOwnership(now mono.Time, r *request.Request) (result.Code, Admission) {
	if r.App != g.cfg.App {
		return result.NotOwner, Admission{}
	}
	if r.Slice == request.NoSlice {
		if needsDedup(r) {
			return result.BadRequest, Admission{}
		}
		return result.OK, Admission{}
	}
	adm := g.cfg.Ownership.Admit(r.App, r.Key, r.Slice, now)
	if adm.Code != result.OK {
		return adm.Code, adm
	}
	if !now.Before(adm.Expires) {
		return result.LeaseLapsed, adm
	}
	if r.Epoch > adm.Epoch {
		return result.NotOwner, adm
	}
	if !r.Idempotent && r.Epoch != adm.Epoch && !g.disabled.epoch {
		return result.NotOwner, adm
	}
	return result.OK, adm
}

// accept admits a request: it is started or queued.
func (g *Gate) accept(now mono.Time, nowMs int64, w waiter, r *request.Request, f *flow, adm Admission, out *Actions) {
	var ref dedup.EntryRef
	if needsDedup(r) {
		var room bool
		ref, room = g.dedup.Begin(key.Slice{App: r.App, ID: r.Slice}, r, nowMs)
		if !room {
			g.refuseRequest(now, w, r, result.QueueFull, adm, g.cfg.RetryAfter, out)
			return
		}
	}
	j := g.newJob()
	j.req = r
	j.flow = f
	j.firstWaiter = w
	j.dedupRef = ref
	j.arrivedAt = now
	j.deadline = now.Add(r.Budget)
	j.softDeadline = g.softDeadline(now, r)
	j.expectedWait = g.expectedWait(now, r.Class, j.softDeadline, f)
	g.countCallingJob(j)
	g.step(now, j, eventQueue, nil, out)
	g.queueOf(r.Class).push(j)
	g.setTimer(j, g.queueCheck(now, j))
	g.startQueued(now, out)
}
