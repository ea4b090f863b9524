package daemon

import (
	"github.com/rhubarbring/rhubarbring/gate"
	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/request"
	"github.com/rhubarbring/rhubarbring/result"
)

// DividedByKey implements request.OwnerMap.
func (r *routingLoop) DividedByKey(app key.App) (divided, known bool) {
	a, ok := r.fleet.app(app)
	return a.DividedByKey, ok
}

// Lookup implements request.OwnerMap.
func (r *routingLoop) Lookup(app key.App, text string) request.SliceOwner {
	slice, assigned, ok := r.owners.Lookup(app, text)
	if !ok {
		return request.SliceOwner{}
	}
	return request.SliceOwner{Slice: slice.ID, Owner: assigned.Owner, Epoch: assigned.Epoch}
}

// Admit implements gate.OwnershipChecker. It checks against the daemon's own map
// of owners that the key still belongs to the slice, which is no longer so for a
// key that was carved out.
func (r *routingLoop) Admit(app key.App, k string, id key.SliceID, now mono.Time) gate.Admission {
	slice := key.Slice{App: app, ID: id}
	v := r.holder.Admits(now, slice)
	a := gate.Admission{
		Code:            v.Code,
		Epoch:           v.Epoch,
		Newest:          v.Newest,
		Expires:         r.leaseEnd(),
		CompleteSinceMs: r.completeSince(slice, now, v.Since),
	}
	if a.Code == result.OK && !r.targetHolds(now, slice) {
		a.Code = result.LeaseLapsed
	}
	if k == "" {
		return a
	}
	if at, ok := r.owners.Locate(app, k); !ok || at.ID != id {
		return gate.Admission{Code: result.NotOwner}
	}
	return a
}

// completeSince returns, in Unix milliseconds, when this session became the
// owner of the slice at its current epoch or, if that was later, when a
// carved-out key was last merged back into it.
func (r *routingLoop) completeSince(s key.Slice, now, since mono.Time) int64 {
	owned := wallMs() - now.Sub(since).Milliseconds()
	return max(owned, r.mergedAtMs[s])
}
