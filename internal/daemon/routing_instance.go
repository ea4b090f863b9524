package daemon

import (
	"github.com/rhubarbring/rhubarbring/document"
	"github.com/rhubarbring/rhubarbring/event"
	"github.com/rhubarbring/rhubarbring/grant"
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/internal/control"
	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/session"
)

// startTargetInstance starts with a new instance of the target. What an earlier
// instance held is renounced, since another one may get it only at a higher epoch. It
// is released once the earlier one surely holds it no more.
func (r *routingLoop) startTargetInstance(now mono.Time, a control.Announcement, earlier *localTarget) {
	replaced := earlier.isReplacedBy(a)
	var earlierInstance uint64
	if earlier != nil {
		earlierInstance = earlier.instance
		r.applyHandovers(now)
		r.epochs.Replace()
		r.keepPrevious(now, earlier)
	}
	r.resetGrants(now, replaced && a.StartedMs >= earlier.startedMs)
	r.target.setInstance(r.targets(a), a)
	r.targetStatus.Begin(a.Instance)
	r.log.Event(event.TargetLife, "app", a.App, "address", a.Address, "target", a.InstanceName, "instance", a.Instance)
	r.grantHolder, _ = r.target.client.(GrantHolder)
	r.startGranting()
	if earlier != nil {
		r.executeHolder(now, r.holder.RenounceAll(now))
	}
	r.target.replaced = 0
	if replaced {
		r.target.replaced = earlierInstance
		r.endTicketsOfReplaced(now)
	}
	r.offerOwned(now)
}

// resetGrants begins anew with an instance that this daemon hears from for the first
// time. It is empty if it surely holds nothing of this daemon.
func (r *routingLoop) resetGrants(now mono.Time, empty bool) {
	r.grantState = grantState{
		instanceSeenAt: now,
		instanceEmpty:  empty,
		nextOwners:     make(map[key.Slice]host.Session),
		releasedEpochs: make(map[key.Slice]uint64),
	}
}

// startGranting starts to grant slices to a target that holds them for a time, in
// the way that the document in force says. Before there is a document, no slice
// is owned. A target keeps the way with which it started.
func (r *routingLoop) startGranting() {
	if r.grantHolder == nil || r.granter != nil {
		return
	}
	app, known := r.fleet.app(r.target.app)
	switch {
	case !known:
		return
	case app.GrantDelivery == document.GrantsByHeartbeat:
		r.heartbeatGrants = r.newHeartbeatCore()
		r.granter = r.heartbeatGrants
	default:
		r.callGrants = r.newCallCore()
		r.granter = r.callGrants
	}
}

// offerOwned offers the slices that the session owns to the target.
func (r *routingLoop) offerOwned(now mono.Time) {
	for _, h := range r.holder.Owned() {
		r.ownSlice(now, h.Slice, h.Epoch)
	}
}

// grantConfig returns the settings of the cores. No grant of any daemon outlasts a
// lease.
func grantConfig() grant.Config {
	cfg := grant.DefaultConfig()
	cfg.MaxHold = session.DefaultTiming().Lease
	return cfg
}

// newCallCore returns the core for a target that is granted its slices by calls.
func (r *routingLoop) newCallCore() *grant.Core {
	if r.instanceEmpty {
		return grant.NewForReplacingTarget(r.startedAt, r.instanceSeenAt, grantConfig())
	}
	return grant.NewForRunningTarget(r.instanceSeenAt, grantConfig())
}

// newHeartbeatCore returns the core for a target that gets its slices with
// heartbeats. An instance that replaced another one may hold what an earlier daemon
// granted all the same: the announcement of the other one may have been late.
func (r *routingLoop) newHeartbeatCore() *grant.HeartbeatCore {
	if r.instanceEmpty {
		return grant.NewHeartbeatCoreForRunningTarget(r.startedAt, grantConfig())
	}
	return grant.NewHeartbeatCoreForRunningTarget(r.instanceSeenAt, grantConfig())
}

// ownSlice starts granting a slice that the session now owns to the target, if it
// serves the slice's app, once no instance before it may hold the slice. The holder
// renounces what the target replaced, so that the permit is only refused if one of the
// two is wrong.
func (r *routingLoop) ownSlice(now mono.Time, s key.Slice, epoch uint64) {
	if r.granter == nil || s.App != r.target.app {
		return
	}
	if r.offerLater(now, s, epoch) {
		return
	}
	delete(r.nextOwners, s)
	r.previous.forgetSlice(s)
	permit, ok := r.epochs.Permit(s, epoch)
	if !ok {
		r.log.Event(event.EpochSpent, "slice", s.String(), "epoch", epoch, "instance", r.target.instance)
		r.executeHolder(now, r.holder.Renounce(now, s, epoch))
		return
	}
	r.granter.SetOwned(now, permit)
}
