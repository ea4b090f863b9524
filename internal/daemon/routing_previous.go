package daemon

import (
	"cmp"
	"maps"
	"slices"

	"github.com/rhubarbring/rhubarbring/event"
	"github.com/rhubarbring/rhubarbring/grant"
	"github.com/rhubarbring/rhubarbring/handover"
	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/mono"
)

// previousInstances is the part of the routing loop that concerns instances of the
// target that another one has replaced, as long as they may hold slices. It outlasts
// grantState.
type previousInstances struct {
	list []*previousInstance
	// heldBack holds the releases that wait until no previous instance may hold the
	// slice, and ownedLater the epochs of slices that the session owns and that the
	// present instance is offered then.
	heldBack   map[key.Slice]handover.Release
	ownedLater map[key.Slice]uint64
	// tokens holds what previous instances returned with their releases.
	tokens map[key.Slice]grant.ReleasedSlice
}

// previousInstance is an instance of the target that another one has replaced.
type previousInstance struct {
	instance   uint64
	client     Target
	holder     GrantHolder
	calls      *grant.Core // nil if it was granted slices with heartbeats.
	grants     *grant.Previous
	replacedAt mono.Time
}

func newPreviousInstances() previousInstances {
	return previousInstances{
		heldBack:   make(map[key.Slice]handover.Release),
		ownedLater: make(map[key.Slice]uint64),
		tokens:     make(map[key.Slice]grant.ReleasedSlice),
	}
}

// keepPrevious keeps an instance that was replaced, with its connections, until it
// surely holds nothing. It must be called before the grants begin anew. The instance
// of a target that does not track its slices holds none.
func (r *routingLoop) keepPrevious(now mono.Time, earlier *localTarget) {
	if r.grantHolder == nil {
		earlier.client.Close()
		return
	}
	r.grantHolder.Retire()
	p := &previousInstance{instance: earlier.instance, client: earlier.client, holder: r.grantHolder, replacedAt: now}
	switch {
	case r.heartbeatGrants != nil:
		p.grants = grant.NewPreviousByHeartbeats(now, r.heartbeatGrants)
	case r.callGrants != nil:
		p.calls = r.callGrants
		p.grants = grant.NewPrevious(now, p.calls)
	default:
		p.calls = grant.NewForRunningTarget(r.instanceSeenAt, grantConfig())
		p.grants = grant.NewPrevious(now, p.calls)
	}
	r.previous.list = append(r.previous.list, p)
	r.log.Event(event.PreviousKept, "instance", p.instance, "may_hold_ms", p.grants.HeldFor(now).Milliseconds())
}

// awaitPrevious reports whether a release waits until the previous instances surely do
// not hold its slice, and makes them release it.
func (r *routingLoop) awaitPrevious(now mono.Time, release handover.Release) bool {
	s := key.Slice{App: release.App, ID: release.ID}
	waits := r.previous.release(now, s, release.Epoch)
	if waits {
		r.previous.heldBack[s] = release
	}
	return waits
}

// offerLater reports whether a slice that the session owns is offered to the present
// instance only once the previous ones surely do not hold it at an earlier epoch, and
// makes them release it.
func (r *routingLoop) offerLater(now mono.Time, s key.Slice, epoch uint64) bool {
	waits := r.previous.release(now, s, epoch-1)
	if waits {
		r.previous.ownedLater[s] = epoch
	}
	return waits
}

// release makes the instances release a slice that may hold it, and reports whether
// there is one.
func (p *previousInstances) release(now mono.Time, s key.Slice, epoch uint64) bool {
	held := false
	for _, i := range p.list {
		if i.grants.MayHold(now, s) {
			i.grants.RequestRelease(now, s, epoch)
			held = true
		}
	}
	return held
}

// tickPrevious requests the releases of the previous instances that are due, and
// forgets the instances that surely hold nothing.
func (r *routingLoop) tickPrevious(now mono.Time) {
	for _, p := range slices.Clone(r.previous.list) {
		var out grant.Actions
		p.grants.Tick(now, p.holder.HasEnded(), &out)
		r.executePrevious(now, p, &out)
	}
}

// executePrevious makes the calls that release the slices of a previous instance. It
// continues the releases that waited for it.
func (r *routingLoop) executePrevious(now mono.Time, p *previousInstance, out *grant.Actions) {
	for _, release := range out.Releases {
		go r.callRelease(p.calls, p.holder, release)
	}
	for _, e := range out.Released {
		if e.Token != "" {
			r.previous.tokens[e.Slice] = e
		}
	}
	end := p.grants.End(now)
	if end != grant.StillHeld {
		r.forgetPrevious(now, p, end)
		r.sendHeldBack(now, slices.Collect(maps.Keys(r.previous.heldBack)))
		r.offerHeldBack(now, slices.Collect(maps.Keys(r.previous.ownedLater)))
		return
	}
	released := slicesOf(out.Released)
	r.sendHeldBack(now, released)
	r.offerHeldBack(now, released)
}

func slicesOf(list []grant.ReleasedSlice) []key.Slice {
	out := make([]key.Slice, len(list))
	for i, e := range list {
		out[i] = e.Slice
	}
	return out
}

// forgetPrevious ends the watch over a previous instance. None of its runs goes on:
// its process has ended, or its hold of the slice, which they can't outlast. An instance
// that is the present one again has runs that do.
func (r *routingLoop) forgetPrevious(now mono.Time, p *previousInstance, end grant.PreviousEnd) {
	i := slices.Index(r.previous.list, p)
	if i < 0 {
		return
	}
	r.previous.list = slices.Delete(r.previous.list, i, i+1)
	p.client.Close()
	r.log.Event(event.PreviousEnded, "instance", p.instance, "cause", end.String(), "after_ms", now.Sub(p.replacedAt).Milliseconds())
	if p.instance != r.target.instance {
		r.endTicketsOf(now, p.instance)
	}
}

// closeTargets releases the connections to the target and to those that it has
// replaced. Calls that are pending keep theirs until they end.
func (r *routingLoop) closeTargets() {
	for _, p := range r.previous.list {
		p.client.Close()
	}
	if r.target != nil && r.target.client != nil {
		r.target.client.Close()
	}
}

// sendHeldBack continues the releases of the given slices that have waited for previous
// instances.
func (r *routingLoop) sendHeldBack(now mono.Time, list []key.Slice) {
	slices.SortFunc(list, compareSlices)
	for _, s := range list {
		release, waits := r.previous.heldBack[s]
		delete(r.previous.heldBack, s)
		if waits {
			r.releaseSlice(now, release)
		}
	}
}

// offerHeldBack offers those of the given slices that have waited for previous
// instances, as far as the session still owns them.
func (r *routingLoop) offerHeldBack(now mono.Time, list []key.Slice) {
	waiting := make(map[key.Slice]uint64)
	for _, s := range list {
		if epoch, ok := r.previous.ownedLater[s]; ok {
			waiting[s] = epoch
			delete(r.previous.ownedLater, s)
		}
	}
	if len(waiting) == 0 {
		return
	}
	for _, h := range r.holder.Owned() {
		if waiting[h.Slice] == h.Epoch {
			r.ownSlice(now, h.Slice, h.Epoch)
		}
	}
}

func compareSlices(a, b key.Slice) int {
	return cmp.Or(cmp.Compare(a.App, b.App), cmp.Compare(a.ID, b.ID))
}

// previousOf returns the previous instance that has a core, or nil.
func (r *routingLoop) previousOf(core *grant.Core) *previousInstance {
	for _, p := range r.previous.list {
		if p.calls == core {
			return p
		}
	}
	return nil
}

// previousGrantAnswered handles the answer to a grant that was sent to an instance
// before it was replaced.
func (r *routingLoop) previousGrantAnswered(now mono.Time, w grantAnswered) {
	p := r.previousOf(w.core)
	if p == nil {
		return
	}
	p.calls.SentTo(w.grant.Unit, w.reply.Process)
	p.calls.TokenReturned(w.grant.Unit, w.reply.Token)
	var out grant.Actions
	p.grants.GrantAnswered(now, w.grant.Unit, w.reply.Answer, &out)
	r.executePrevious(now, p, &out)
	r.tickGrants(now)
}

// previousReleaseAnswered handles a previous instance's answer to a release.
func (r *routingLoop) previousReleaseAnswered(now mono.Time, w releaseAnswered) {
	p := r.previousOf(w.core)
	if p == nil {
		return
	}
	rel := w.release
	r.log.Event(event.ReleaseAnswered, "app", string(rel.Range.App), "instance", p.instance, "first", uint32(rel.Range.First), "last", uint32(rel.Range.Last),
		"epoch", rel.Epoch, "answer", w.reply.Answer.String())
	var out grant.Actions
	p.grants.ReleaseAnswered(now, rel, w.reply.Token, w.reply.Answer, &out)
	r.executePrevious(now, p, &out)
	r.tickGrants(now)
}

// isPrevious reports whether an instance was replaced and may hold slices.
func (r *routingLoop) isPrevious(instance uint64) bool {
	return slices.ContainsFunc(r.previous.list, func(p *previousInstance) bool { return p.instance == instance })
}

// endTicketsOfReplaced ends the tickets of the lost runs of the instance that the
// present one has replaced at its address, unless that instance may hold slices.
func (r *routingLoop) endTicketsOfReplaced(now mono.Time) {
	if r.target != nil && r.target.replaced != 0 && !r.isPrevious(r.target.replaced) {
		r.endLostTicketsOf(now, r.target.replaced)
	}
}

// forgetSlice drops what waits for a slice that the session does not release any more.
func (p *previousInstances) forgetSlice(s key.Slice) {
	delete(p.heldBack, s)
	delete(p.tokens, s)
}

// useTokens puts the tokens of previous instances, which had the slices last, in place
// of those of an instance that has had none of them.
func (p *previousInstances) useTokens(list []grant.ReleasedSlice) {
	for i, e := range list {
		if earlier, ok := p.tokens[e.Slice]; ok && earlier.Epoch == e.Epoch {
			list[i].Token = earlier.Token
		}
		delete(p.tokens, e.Slice)
	}
}
