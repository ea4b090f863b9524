package daemon

import (
	"github.com/rhubarbring/rhubarbring/event"
	"github.com/rhubarbring/rhubarbring/grant"
	"github.com/rhubarbring/rhubarbring/handover"
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/internal/control"
	"github.com/rhubarbring/rhubarbring/internal/wire"
	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/mono"
)

// granting is the part of the routing duty that keeps a target informed of the
// slices that it holds. Its fields are nil if the target does not hold its keys
// itself.
type granting struct {
	granter Granter
	core    *grant.Core
	out     grant.Actions
	// gaveTo is who gets a slice that this session gives up, as far as known.
	gaveTo map[key.Slice]host.Session
	// gaveUp is the epoch at which the target surely gave a slice up.
	gaveUp map[key.Slice]uint64
}

// What the routing duty is handed about grants.
type (
	grantAnswered struct {
		core   *grant.Core
		grant  grant.Grant
		answer grant.Answer
	}
	releaseAnswered struct {
		core    *grant.Core
		release grant.Release
		token   string
		answer  grant.Answer
	}
	tokenReceived struct{ token handover.Token }
)

// newLife begins with a life of the target: it holds nothing yet. What an
// earlier life held is given up, since another life may get it only at a higher
// epoch.
func (r *routingDuty) newLife(now mono.Time, a control.Announcement) {
	earlier := r.core != nil
	if r.target.client != nil {
		r.target.client.Close()
	}
	r.target.client = r.targets(a)
	r.target.instance = a.Instance
	r.log.Event(event.TargetLife, "app", a.App, "address", a.Address, "target", a.Name, "instance", a.Instance)
	r.granting = granting{}
	granter, ok := r.target.client.(Granter)
	if !ok {
		return
	}
	r.granting = granting{
		granter: granter,
		core:    grant.New(grant.DefaultConfig()),
		gaveTo:  make(map[key.Slice]host.Session),
		gaveUp:  make(map[key.Slice]uint64),
	}
	if earlier {
		r.doHolder(now, r.holder.Renounce(now))
		return
	}
	for _, h := range r.holder.Owned() {
		r.core.Own(now, h.Slice, h.Epoch)
	}
}

// targetHolds reports whether the target runs requests for a slice that the
// session owns.
func (r *routingDuty) targetHolds(now mono.Time, s key.Slice) bool {
	return r.core == nil || r.core.Holds(now, s)
}

func (r *routingDuty) own(now mono.Time, s key.Slice, epoch uint64) {
	if r.core != nil {
		delete(r.gaveTo, s)
		r.core.Own(now, s, epoch)
	}
}

func (r *routingDuty) givesTo(s key.Slice, next host.Session) {
	if r.core != nil {
		r.gaveTo[s] = next
	}
}

func (r *routingDuty) dropped(s key.Slice) {
	if r.core != nil {
		r.core.Drop(s)
	}
}

// giveUp takes a slice from the target before the leader is told that the
// session released it.
func (r *routingDuty) giveUp(now mono.Time, release handover.Release) {
	s := key.Slice{App: release.App, ID: release.ID}
	if r.core == nil || r.gaveUp[s] == release.Epoch {
		r.log.Event(event.SliceReleased, "slice", s.String(), "epoch", release.Epoch)
		r.released(release)
		return
	}
	r.core.Leave(now, s, release.Epoch)
}

// tickGrants asks for the grants and releases that are due.
func (r *routingDuty) tickGrants(now mono.Time) {
	if r.core == nil {
		return
	}
	r.core.SetLease(r.lease())
	r.core.Tick(now, &r.granting.out)
	r.doGrants(now)
}

func (r *routingDuty) doGrants(now mono.Time) {
	out := r.granting.out
	r.granting.out = grant.Actions{}
	for _, g := range out.Grants {
		go r.callGrant(r.core, r.granter, g)
	}
	for _, release := range out.Releases {
		go r.callRelease(r.core, r.granter, release)
	}
	r.ended(out.Released)
	for _, refused := range out.Refused {
		r.log.Event(event.GrantRefused, "slice", refused.Slice.String(), "epoch", refused.Epoch)
		r.doHolder(now, r.holder.RenounceSlice(now, refused.Slice, refused.Epoch))
	}
}

func (r *routingDuty) callGrant(core *grant.Core, granter Granter, g grant.Grant) {
	r.ring.Wait(grantAnswered{core: core, grant: g, answer: granter.Grant(g)}, r.stop)
}

func (r *routingDuty) callRelease(core *grant.Core, granter Granter, release grant.Release) {
	token, answer := granter.Release(release)
	r.ring.Wait(releaseAnswered{core: core, release: release, token: token, answer: answer}, r.stop)
}

func (w grantAnswered) routingWork(r *routingDuty, now mono.Time) {
	g := w.grant
	if w.core != r.core {
		return
	}
	id := event.GrantAnswered
	if w.answer == grant.Taken && g.Renewal {
		id = event.GrantRenewed
	}
	r.log.Event(id, "app", string(g.Range.App), "first", uint32(g.Range.First), "last", uint32(g.Range.Last),
		"epoch", g.Epoch, "hold_ms", g.Hold.Milliseconds(), "token", g.Token != "", "answer", w.answer.String())
	r.core.Answered(now, g.Unit, w.answer, &r.granting.out)
	r.doGrants(now)
}

func (w releaseAnswered) routingWork(r *routingDuty, now mono.Time) {
	if w.core != r.core {
		return
	}
	rel := w.release
	r.log.Event(event.ReleaseAnswered, "app", string(rel.Range.App), "first", uint32(rel.Range.First), "last", uint32(rel.Range.Last),
		"epoch", rel.Epoch, "answer", w.answer.String())
	r.core.ReleaseAnswered(now, rel, w.token, w.answer, &r.granting.out)
	r.doGrants(now)
}

func (w tokenReceived) routingWork(r *routingDuty, now mono.Time) {
	if r.core == nil {
		return
	}
	for id := w.token.First; id <= w.token.Last; id++ {
		r.core.Token(key.Slice{App: w.token.App, ID: id}, w.token.Epoch+1, w.token.Token)
	}
	r.tickGrants(now)
}

// ended tells the leader of slices that the target gave up, and their next
// owners of the tokens.
func (r *routingDuty) ended(list []grant.Ended) {
	for _, e := range list {
		r.gaveUp[e.Slice] = e.Epoch
		r.log.Event(event.SliceReleased, "slice", e.Slice.String(), "epoch", e.Epoch)
	}
	for _, t := range r.tokensOf(list) {
		r.sendToken(t.to, t.token)
	}
	for _, e := range list {
		r.released(handover.Release{From: r.self, App: e.Slice.App, ID: e.Slice.ID, Epoch: e.Epoch})
	}
}

// tokenTo is a token on its way to a next owner.
type tokenTo struct {
	to    host.Session
	token handover.Token
}

// tokensOf joins neighbouring slices that go to one session with one token.
func (r *routingDuty) tokensOf(list []grant.Ended) []tokenTo {
	var out []tokenTo
	for _, e := range list {
		to := r.gaveTo[e.Slice]
		delete(r.gaveTo, e.Slice)
		if to.IsNobody() || e.Token == "" {
			continue
		}
		if n := len(out); n > 0 && out[n-1].to == to && follows(out[n-1].token, e) {
			out[n-1].token.Last = e.Slice.ID
			continue
		}
		out = append(out, tokenTo{to: to, token: handover.Token{
			App: e.Slice.App, First: e.Slice.ID, Last: e.Slice.ID, Epoch: e.Epoch, Token: e.Token,
		}})
	}
	return out
}

func follows(t handover.Token, e grant.Ended) bool {
	return t.App == e.Slice.App && t.Last+1 == e.Slice.ID && t.Epoch == e.Epoch && t.Token == e.Token
}

func (r *routingDuty) sendToken(to host.Session, t handover.Token) {
	address := r.fleet.peerAddress(to)
	if address == "" {
		return
	}
	frame, err := wire.Encode(wire.KindToken, t)
	if err != nil {
		r.log.Event(event.BadFrame, "peer", to.String(), "cause", err.Error())
		return
	}
	_, _ = r.peers.Send(address, frame, 0) // A lost token costs only a slow start.
}
