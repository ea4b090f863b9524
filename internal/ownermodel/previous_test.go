package ownermodel

import (
	"cmp"
	"maps"
	"slices"

	"github.com/rhubarbring/rhubarbring/grant"
	"github.com/rhubarbring/rhubarbring/handover"
	"github.com/rhubarbring/rhubarbring/key"
)

// previousInstance is an instance that was replaced and may hold slices, as in
// routing_previous.go of package daemon.
type previousInstance struct {
	instance *instance
	calls    *grant.Core
	grants   *grant.Previous
}

func (d *daemon) keepPrevious(earlier *instance) {
	now := d.m.now
	p := &previousInstance{instance: earlier}
	if d.heartbeatGrants != nil {
		p.grants = grant.NewPreviousByHeartbeats(now, d.heartbeatGrants)
	} else {
		p.calls = d.callGrants
		p.grants = grant.NewPrevious(now, p.calls)
	}
	d.previous = append(d.previous, p)
}

func (d *daemon) awaitPrevious(r handover.Release) bool {
	s := key.Slice{App: r.App, ID: r.ID}
	waits := d.releaseByPrevious(s, r.Epoch)
	if waits {
		d.heldBack[s] = r
	}
	return waits
}

func (d *daemon) offerLater(s key.Slice, epoch uint64) bool {
	waits := d.releaseByPrevious(s, epoch-1)
	if waits {
		d.ownedLater[s] = epoch
	}
	return waits
}

func (d *daemon) releaseByPrevious(s key.Slice, epoch uint64) bool {
	held := false
	for _, p := range d.previous {
		if p.grants.MayHold(d.m.now, s) {
			p.grants.RequestRelease(d.m.now, s, epoch)
			held = true
		}
	}
	return held
}

func (d *daemon) tickPrevious() {
	for _, p := range slices.Clone(d.previous) {
		var out grant.Actions
		p.grants.Tick(d.m.now, d.seesEnd(p), &out)
		d.executePrevious(p, &out)
	}
}

func (d *daemon) executePrevious(p *previousInstance, out *grant.Actions) {
	if len(out.Grants) > 0 {
		d.m.fail("%s grants to %s, which was replaced", d.self, p.instance)
	}
	for _, r := range out.Releases {
		d.callRelease(p.calls, p.instance, r)
	}
	end := p.grants.End(d.m.now)
	if end != grant.StillHeld {
		d.forgetPrevious(p, end)
	}
	if end != grant.StillHeld || len(out.Released) > 0 {
		d.sendHeldBack()
		d.offerHeldBack()
	}
}

func (d *daemon) forgetPrevious(p *previousInstance, end grant.PreviousEnd) {
	i := slices.Index(d.previous, p)
	if i < 0 {
		return
	}
	d.previous = slices.Delete(d.previous, i, i+1)
	d.m.note("%s: %s holds nothing any more: %s", d.self, p.instance, end)
	if p.instance != d.target.instance && !d.m.opts.drops(ticketsRule) {
		d.endTicketsOf(p.instance)
	}
}

func (d *daemon) sendHeldBack() {
	waiting := d.heldBack
	d.heldBack = make(map[key.Slice]handover.Release)
	for _, s := range slices.SortedFunc(maps.Keys(waiting), func(a, b key.Slice) int { return cmp.Compare(a.ID, b.ID) }) {
		d.releaseSlice(waiting[s])
	}
}

func (d *daemon) offerHeldBack() {
	waiting := d.ownedLater
	if len(waiting) == 0 {
		return
	}
	d.ownedLater = make(map[key.Slice]uint64)
	for _, o := range d.holder.Owned() {
		if waiting[o.Slice] == o.Epoch {
			d.ownSlice(o.Slice, o.Epoch)
		}
	}
}

// seesEnd reports whether the connections of an instance's client, which have led to no
// other, show that its process has ended.
func (d *daemon) seesEnd(p *previousInstance) bool {
	return p.instance.seenToEnd && (p.calls == nil || d.clientOf(p.calls, p.instance).reached == p.instance)
}

// previousHaveEnded reports whether the instances that were replaced are seen to have
// ended.
func (d *daemon) previousHaveEnded() bool {
	return !slices.ContainsFunc(d.previous, func(p *previousInstance) bool { return !d.seesEnd(p) })
}

func (d *daemon) isPrevious(i *instance) bool {
	return slices.ContainsFunc(d.previous, func(p *previousInstance) bool { return p.instance == i })
}

func (d *daemon) previousOf(core *grant.Core) *previousInstance {
	for _, p := range d.previous {
		if p.calls == core {
			return p
		}
	}
	return nil
}

func (d *daemon) previousGrantAnswered(core *grant.Core, g grant.Grant, a grant.Answer) {
	if p := d.previousOf(core); p != nil {
		var out grant.Actions
		p.grants.GrantAnswered(d.m.now, g.Unit, a, &out)
		d.executePrevious(p, &out)
		d.tickGrants()
	}
}

func (d *daemon) previousReleaseAnswered(core *grant.Core, r grant.Release, a grant.Answer) {
	if p := d.previousOf(core); p != nil {
		d.m.note("%s: release of slices %d to %d at epoch %d by %s: %s", d.self, r.Range.First, r.Range.Last, r.Epoch, p.instance, a)
		var out grant.Actions
		p.grants.ReleaseAnswered(d.m.now, r, "", a, &out)
		d.executePrevious(p, &out)
		d.tickGrants()
	}
}
