package takeover

import (
	"slices"

	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/session"
)

// A session whose witnesses were lost together with it has no majority left
// that could seal it. A witness renews others while its own lease holds and for
// Timing.WitnessOn after that (session.Core.MayWitness); a session that is
// recorded as lost or left holds no lease. So it renews nobody from a known
// time on, even if it was paused and wakes, and one that its host's next
// session superseded is gone already. Once so many of a record's witnesses are
// over, the others are no majority, and what they granted has run out after a
// lease and the margin. A session that lives writes another set of witnesses
// before that, and the write of the loss, conditional on the version, then
// fails.

// witnessed is what is kept of a record: who renews its lease.
type witnessed struct {
	version   uint64
	witnesses []host.Session
}

// followWitnesses takes a record into what is known of witnesses.
func (c *Core) followWitnesses(now mono.Time, v session.Versioned) {
	r := &v.Record
	if known, ok := c.witnessed[r.Session]; ok && v.Version < known.version {
		return
	}
	if r.State.Final() {
		delete(c.witnessed, r.Session)
		c.end(now, r)
		return
	}
	c.witnessed[r.Session] = witnessed{version: v.Version, witnesses: r.Witnesses}
	if since, ok := c.orphanedFrom(r.Witnesses); ok {
		c.orphan(max(now, since), v)
	}
}

// end notes a witness that ended, and reads the records of the sessions that
// have no majority of witnesses left with it.
func (c *Core) end(now mono.Time, r *session.Record) {
	if _, known := c.over[r.Session]; known {
		return
	}
	c.over[r.Session] = c.renewsUntil(now, r)
	for _, s := range sorted(c.witnessed) {
		if s == c.cfg.Self || !names(c.witnessed[s].witnesses, r.Session) {
			continue
		}
		if _, ok := c.orphanedFrom(c.witnessed[s].witnesses); ok {
			c.out.store([]session.Action{session.Get{Session: s}})
		}
	}
}

// renewsUntil returns from when on a session that ended renews no other.
func (c *Core) renewsUntil(now mono.Time, r *session.Record) mono.Time {
	if r.Superseded {
		return now
	}
	return now.Add(c.cfg.Timing.Covered(c.cfg.Timing.WitnessOn))
}

// orphanedFrom returns from when on the witnesses that are not over are no
// majority, and false if they are one.
func (c *Core) orphanedFrom(witnesses []host.Session) (mono.Time, bool) {
	var over []mono.Time
	for _, w := range witnesses {
		if from, ok := c.over[w]; ok {
			over = append(over, from)
		}
	}
	needed := len(witnesses) - session.Majority(len(witnesses)) + 1
	if len(witnesses) == 0 || len(over) < needed {
		return 0, false
	}
	slices.Sort(over)
	return over[needed-1], true
}

// orphan begins to observe a session that has no majority of witnesses from
// the instant since on.
func (c *Core) orphan(since mono.Time, v session.Versioned) {
	s := v.Record.Session
	o := c.observed[s]
	if s == c.cfg.Self || o != nil && v.Version <= o.found.Version {
		return
	}
	c.observed[s] = &observation{found: v, since: since}
}

func names(list []host.Session, s host.Session) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}
