package daemon

import (
	"time"

	"github.com/rhubarbring/rhubarbring/assignment"
	"github.com/rhubarbring/rhubarbring/event"
	"github.com/rhubarbring/rhubarbring/grant"
	"github.com/rhubarbring/rhubarbring/handover"
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/internal/bootclock"
	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/mono"
)

// grantState is the part of the routing loop that grants slices to a target
// which tracks them itself (a GrantHolder). For other targets grantHolder and the
// cores are nil.
type grantState struct {
	grantHolder GrantHolder
	// instanceSeenAt is when this daemon first heard from the instance.
	// instanceEmpty is set if by its announcement it held nothing of this daemon then:
	// it had taken the address of an instance that this daemon knew, and started later.
	instanceSeenAt mono.Time
	instanceEmpty  bool
	// granter is callGrants or heartbeatGrants, whichever is set.
	granter         sliceGranter
	callGrants      *grant.Core
	heartbeatGrants *grant.HeartbeatCore
	grantActions    grant.Actions
	// heartbeatAt is when the target's last heartbeat was answered, and
	// awaitingHeartbeat lists the handovers that begin with the next one.
	heartbeatAt       mono.Time
	heartbeatInterval time.Duration // Between the last two that were not early.
	awaitingHeartbeat []assignment.Change
	// nextOwners holds the next owner of each slice that this session is
	// releasing, if known.
	nextOwners map[key.Slice]host.Session
	// releasedEpochs holds the epoch at which the target is known to have
	// released a slice.
	releasedEpochs map[key.Slice]uint64
}

// sliceGranter decides which slices the target holds: a *grant.Core or a
// *grant.HeartbeatCore.
type sliceGranter interface {
	SetLease(until mono.Time)
	SetOwned(now mono.Time, p grant.Permit)
	SetToken(now mono.Time, s key.Slice, epoch uint64, token string)
	Revoke(s key.Slice)
	RequestRelease(now mono.Time, s key.Slice, epoch uint64)
	Holds(now mono.Time, s key.Slice) bool
	HoldsNothing(now mono.Time) bool
	Units() int
	Tick(now mono.Time, out *grant.Actions)
}

// Tasks of the routing loop that concern grants.
type (
	grantAnswered struct {
		core   *grant.Core
		grant  grant.Grant
		reply  grant.Reply
		sentAt mono.Time
	}
	releaseAnswered struct {
		core    *grant.Core
		release grant.Release
		reply   grant.Reply
		sentAt  mono.Time
	}
	tokenReceived struct{ token handover.ReleaseToken }
)

// targetHolds reports whether the target can run requests for a slice that the
// session owns. A target that does not track its slices always can.
func (r *routingLoop) targetHolds(now mono.Time, s key.Slice) bool {
	return r.granter == nil || r.granter.Holds(now, s)
}

// setNextOwner records which session gets a slice that is draining.
func (r *routingLoop) setNextOwner(s key.Slice, next host.Session) {
	if r.granter != nil {
		r.nextOwners[s] = next
	}
}

// dropSlice stops granting a slice that is assigned elsewhere at a newer epoch.
func (r *routingLoop) dropSlice(s key.Slice) {
	r.previous.forgetSlice(s)
	if r.granter != nil {
		r.granter.Revoke(s)
	}
}

// slicesHeldUnseen reports whether slices may be held of which no core knows: by a
// target that ran before this daemon and for which there is no core before there is a
// document.
func (r *routingLoop) slicesHeldUnseen(now mono.Time) bool {
	noCore := r.grantHolder != nil && r.granter == nil
	return noCore && now.Before(r.instanceSeenAt.Add(grantConfig().LongestHold()))
}

// targetHoldsNothing reports whether neither the target nor an instance that it has
// replaced may hold a slice.
func (r *routingLoop) targetHoldsNothing(now mono.Time) bool {
	coreHoldsNothing := r.granter == nil || r.granter.HoldsNothing(now)
	return coreHoldsNothing && len(r.previous.list) == 0 && !r.slicesHeldUnseen(now)
}

// releaseSlice makes the target release a slice before the leader is told that
// the session released it; instances that it has replaced come first. While slices
// may be held unseen, nothing is released: the holder repeats the release. A target
// holds no slice of an app that it does not serve.
func (r *routingLoop) releaseSlice(now mono.Time, release handover.Release) {
	if r.slicesHeldUnseen(now) || r.awaitPrevious(now, release) {
		return
	}
	s := key.Slice{App: release.App, ID: release.ID}
	if r.granter == nil || s.App != r.target.app || r.releasedEpochs[s] == release.Epoch {
		r.log.Event(event.SliceReleased, "slice", s.String(), "epoch", release.Epoch)
		r.onReleased(release)
		return
	}
	r.granter.RequestRelease(now, s, release.Epoch)
}

// tickGrants requests the grants and releases that are due.
func (r *routingLoop) tickGrants(now mono.Time) {
	r.tickPrevious(now)
	if r.granter == nil {
		return
	}
	r.granter.SetLease(r.leaseEnd())
	r.granter.Tick(now, &r.grantActions)
	r.executeGrants(now)
}

func (r *routingLoop) executeGrants(now mono.Time) {
	out := r.grantActions
	r.grantActions = grant.Actions{}
	for _, g := range out.Grants {
		go r.callGrant(r.callGrants, r.grantHolder, g)
	}
	for _, release := range out.Releases {
		go r.callRelease(r.callGrants, r.grantHolder, release)
	}
	r.finishReleases(now, out.Released)
	for _, held := range out.Unexpected {
		r.log.Event(event.HoldingUnexpected, "slice", held.Slice.String(), "epoch", held.Epoch, "instance", r.target.instance)
	}
	for _, refused := range out.Refused {
		r.log.Event(event.GrantRefused, "slice", refused.Slice.String(), "epoch", refused.Epoch)
		r.executeHolder(now, r.holder.Renounce(now, refused.Slice, refused.Epoch))
	}
}

func (r *routingLoop) callGrant(core *grant.Core, granter GrantHolder, g grant.Grant) {
	sentAt := bootclock.Now()
	r.ring.PushWait(grantAnswered{core: core, grant: g, reply: granter.Grant(g), sentAt: sentAt}, r.stop)
}

func (r *routingLoop) callRelease(core *grant.Core, granter GrantHolder, release grant.Release) {
	sentAt := bootclock.Now()
	r.ring.PushWait(releaseAnswered{core: core, release: release, reply: granter.Release(release), sentAt: sentAt}, r.stop)
}

func (w grantAnswered) handle(r *routingLoop, now mono.Time) {
	g := w.grant
	if w.core != r.callGrants {
		r.previousGrantAnswered(now, w)
		return
	}
	r.heardTarget(now, w.sentAt, r.target.instance, w.reply.Statement)
	id := event.GrantAnswered
	if w.reply.Answer == grant.Accepted && g.Renewal {
		id = event.GrantRenewed
	}
	r.log.Event(id, "app", string(g.Range.App), "instance", r.target.instance, "first", uint32(g.Range.First), "last", uint32(g.Range.Last),
		"epoch", g.Epoch, "hold_ms", g.Hold.Milliseconds(), "token", g.Token != "", "answer", w.reply.Answer.String())
	r.callGrants.SentTo(g.Unit, w.reply.Process)
	r.callGrants.TokenReturned(g.Unit, w.reply.Token)
	r.callGrants.GrantAnswered(now, g.Unit, w.reply.Answer, &r.grantActions)
	r.executeGrants(now)
}

func (w releaseAnswered) handle(r *routingLoop, now mono.Time) {
	if w.core != r.callGrants {
		r.previousReleaseAnswered(now, w)
		return
	}
	r.heardTarget(now, w.sentAt, r.target.instance, w.reply.Statement)
	rel := w.release
	r.log.Event(event.ReleaseAnswered, "app", string(rel.Range.App), "instance", r.target.instance, "first", uint32(rel.Range.First), "last", uint32(rel.Range.Last),
		"epoch", rel.Epoch, "answer", w.reply.Answer.String())
	r.callGrants.ReleaseAnswered(now, rel, w.reply.Token, w.reply.Answer, &r.grantActions)
	r.executeGrants(now)
}

func (w tokenReceived) handle(r *routingLoop, now mono.Time) {
	if r.granter == nil {
		return
	}
	for id := w.token.First; id <= w.token.Last; id++ {
		r.granter.SetToken(now, key.Slice{App: w.token.App, ID: id}, w.token.Epoch+1, w.token.Token)
	}
	r.tickGrants(now)
}

// finishReleases reports to the leader the slices that the target has released.
// Before that it sends the release tokens to the next owners.
func (r *routingLoop) finishReleases(now mono.Time, list []grant.ReleasedSlice) {
	r.previous.useTokens(list)
	for _, e := range list {
		r.releasedEpochs[e.Slice] = e.Epoch
		r.log.Event(event.SliceReleased, "slice", e.Slice.String(), "epoch", e.Epoch)
	}
	for _, t := range r.collectTokens(now, list) {
		r.sendToken(t.to, t.token)
	}
	for _, e := range list {
		r.onReleased(handover.Release{From: r.self, App: e.Slice.App, ID: e.Slice.ID, Epoch: e.Epoch})
	}
}
