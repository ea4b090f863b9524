package gate

import (
	"github.com/rhubarbring/rhubarbring/dedup"
	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/request"
	"github.com/rhubarbring/rhubarbring/result"
)

// needsDedup reports whether the gate remembers the request's id because the
// request may be repeated and must not run twice.
func needsDedup(r *request.Request) bool {
	return !r.Idempotent && !r.FreshID
}

// handleRepeat answers a request whose id was admitted before, or may have
// been. It returns false if the id is new.
func (g *Gate) handleRepeat(now mono.Time, nowMs int64, w waiter, r *request.Request, adm Admission, out *Actions) bool {
	slice := key.Slice{App: r.App, ID: r.Slice}
	found := g.dedup.Find(slice, r)
	if found.State == dedup.Unseen {
		if g.provablyNew(nowMs, slice, r, adm) || g.disabled.horizon {
			return false
		}
		g.refuseRequest(now, w, r, result.IDTooOld, adm, 0, out)
		return true
	}
	if !found.SameContent && !g.disabled.content {
		g.refuseRequest(now, w, r, result.IDReused, adm, 0, out)
		return true
	}
	if found.State == dedup.InFlight {
		g.join(now, w, r, found.Ref, adm, out)
		return true
	}
	g.replay(now, w, r, found.Answer, adm, out)
	return true
}

// provablyNew reports whether a request under an id that is not recorded
// certainly never ran. For RepeatFirst the caller guarantees that, and a
// duplicate of the same attempt was already dropped by its sequence number.
// Otherwise the id must have been generated later, by more than the clock skew,
// than both the slice's horizon and the time since when only this daemon admits
// the slice's requests, and not later than now plus the skew. A request that was
// accepted later than this host's clock shows, by more than the skew, proves
// that the clock is behind. The recorded grant times may then be too early, so
// that they prove nothing.
func (g *Gate) provablyNew(nowMs int64, s key.Slice, r *request.Request, adm Admission) bool {
	if r.Repeat == request.RepeatFirst {
		return true
	}
	skew := g.cfg.Dedup.Skew.Milliseconds()
	if r.IDTimeMs == 0 || r.AcceptedMs > nowMs+skew {
		return false
	}
	horizon := max(g.dedup.HorizonMs(s), adm.CompleteSinceMs)
	return within(r.IDTimeMs, horizon+skew, nowMs+skew)
}

// within reports whether t is after one time and not after the other.
func within(t, after, upTo int64) bool {
	return t > after && t <= upTo
}

// join lets a repeat wait for the answer of the request in flight.
func (g *Gate) join(now mono.Time, w waiter, r *request.Request, ref dedup.EntryRef, adm Admission, out *Actions) {
	j := g.inFlightJob(ref)
	if j == nil || len(j.joinedWaiters) >= g.cfg.MaxJoined {
		g.refuseRequest(now, w, r, result.DuplicateInFlight, adm, g.cfg.RetryAfter, out)
		return
	}
	g.counters.Joined++
	j.joinedWaiters = append(j.joinedWaiters, w)
}

// inFlightJob returns the job whose id is recorded in the given dedup entry, or
// nil. It searches the jobs, since repeats are rare and the jobs few.
func (g *Gate) inFlightJob(ref dedup.EntryRef) *job {
	return g.findJob(func(j *job) bool { return j.dedupRef == ref })
}

// replay answers a repeat with the kept answer or, if there is none, with
// AlreadyRan.
func (g *Gate) replay(now mono.Time, w waiter, r *request.Request, kept *request.Answer, adm Admission, out *Actions) {
	if kept == nil {
		g.refuseRequest(now, w, r, result.AlreadyRan, adm, 0, out)
		return
	}
	g.counters.Replayed++
	g.answerWaiter(w, kept, out)
}
