package ownermodel

import (
	"time"

	"github.com/rhubarbring/rhubarbring/grant"
	"github.com/rhubarbring/rhubarbring/mono"
)

const (
	// transitTime is the longest way of a call between a daemon and its target.
	transitTime = 20 * time.Millisecond
	// callTimeout is how long a daemon waits for the answer to a call.
	callTimeout = time.Second
	// lateTime is how much later than its arrival a grant takes effect at most.
	lateTime = 3 * time.Second
	// callsPerLateAnnouncement is the mean number of calls to a process that has ended
	// until a late announcement lets the daemon connect to the next one.
	callsPerLateAnnouncement = 3
	// callsPerRefusal is the mean number of calls between two that the target
	// refuses without a reason, if it does so at all.
	callsPerRefusal = 100
)

func transit(m *model) time.Duration {
	return m.between(0, transitTime)
}

// client holds the connections for the calls of a core. They lead to one process of the
// target at a time, which is known by a number.
type client struct {
	core    *grant.Core
	reached *instance
	process uint64
}

// clientOf returns the client of a core, which first leads to the given instance.
func (d *daemon) clientOf(core *grant.Core, announced *instance) *client {
	c, known := d.clients[core]
	if !known {
		c = &client{core: core, reached: announced, process: 1}
		d.clients[core] = c
	}
	return c
}

// connect opens connections to the next process under the same name once the ones to the
// process before are gone: a late announcement allows that, before the next process has
// announced itself.
func (d *daemon) connect(c *client) {
	next := d.host.target
	isNext := next != c.reached && next.listens() && next.address == c.reached.address && next.name == c.reached.name
	if !isNext || c.reached.listens() || c.core != d.callGrants || !d.m.chance(callsPerLateAnnouncement) {
		return
	}
	c.reached = next
	if !d.m.opts.drops(processRule) {
		c.process++
	}
	d.m.note("%s: a late announcement lets it connect to %s", d.self, next)
}

// grantCall is a grant on its way.
type grantCall struct {
	daemon  *daemon
	core    *grant.Core
	target  *instance
	process uint64
	grant   grant.Grant
	sentAt  mono.Time
	settled bool // The daemon has the answer, or waits no longer.
}

// callGrant sends a grant. It may be lost, take effect late or be answered late.
func (d *daemon) callGrant(core *grant.Core, announced *instance, g grant.Grant) {
	m := d.m
	to := d.clientOf(core, announced)
	d.connect(to)
	target := to.reached
	c := &grantCall{daemon: d, core: core, target: target, process: to.process, grant: g, sentAt: m.now}
	switch {
	case g.Process != 0 && g.Process != to.process:
		m.after(transit(m), func() { c.settle(grant.OtherProcess) })
		return
	case !target.alive || m.chance(30):
		m.after(m.between(0, callTimeout), func() { c.settle(grant.Unsent) })
		return
	case m.chance(30):
		m.after(m.between(0, callTimeout), func() { c.settle(grant.Unanswered) })
		return
	case m.chance(callsPerRefusal):
		m.after(transit(m), func() { c.settle(grant.Refused) })
		return
	}
	m.after(callTimeout, func() { c.settle(grant.Unanswered) })
	m.after(transit(m), c.arrive)
}

// arrive makes the grant take effect, at once or late.
func (c *grantCall) arrive() {
	m := c.daemon.m
	arrived := m.now
	if m.chance(12) {
		m.after(m.between(0, lateTime), func() { c.apply(arrived) })
		return
	}
	c.apply(arrived)
}

func (c *grantCall) apply(arrived mono.Time) {
	m := c.daemon.m
	if !c.target.alive {
		return
	}
	answer := grant.Refused
	if c.target.takeCall(c.grant, arrived) {
		answer = grant.Accepted
	}
	if c.settled {
		m.stats.lateGrants++
	}
	switch {
	case m.chance(15): // The answer is lost.
	case m.chance(10):
		m.after(m.between(0, callTimeout), func() { c.settle(answer) })
	default:
		m.after(transit(m), func() { c.settle(answer) })
	}
}

// settle tells the daemon the answer, unless it waits no longer.
func (c *grantCall) settle(a grant.Answer) {
	if !c.settled {
		c.settled = true
		if a != grant.Unsent && a != grant.OtherProcess {
			c.core.SentTo(c.grant.Unit, c.process)
		}
		c.daemon.grantAnswered(c.core, c.grant, a)
	}
}

// callRelease sends a release. It is answered when no request of the range is
// running, if that is soon enough.
func (d *daemon) callRelease(core *grant.Core, announced *instance, r grant.Release) {
	m := d.m
	to := d.clientOf(core, announced)
	d.connect(to)
	target := to.reached
	settled := false
	settle := func(a grant.Answer) {
		if !settled {
			settled = true
			d.releaseAnswered(core, r, a)
		}
	}
	if r.Process != 0 && r.Process != to.process && !m.opts.drops(releaseProcessRule) {
		m.after(transit(m), func() { settle(grant.OtherProcess) })
		return
	}
	m.after(callTimeout, func() { settle(grant.Unanswered) })
	if !target.alive || m.chance(20) {
		m.after(m.between(0, callTimeout), func() { settle(grant.Unanswered) })
		return
	}
	late := transit(m)
	if m.chance(20) {
		late = m.between(0, lateTime)
	}
	m.after(late, func() {
		target.release(r, func() {
			if !m.chance(10) {
				m.after(transit(m), func() { settle(grant.Accepted) })
			}
		})
	})
}
