package takeover

import (
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/session"
)

// observation is a record, as last seen, of a session that can be taken over
// without seals: its lease is in the store, or it is an earlier life of this
// daemon.
type observation struct {
	found   session.Versioned
	since   mono.Time // When this version was first seen here.
	earlier bool      // Whether it is an earlier life.
}

// watchRecords begins to take over leases in the store that were not renewed,
// and earlier lives of this daemon.
func (c *Core) watchRecords(now mono.Time) {
	for _, s := range sorted(c.observed) {
		o := c.observed[s]
		if c.attempts[s] != nil || !c.ranOut(now, o) {
			continue
		}
		a := c.begin(now, s)
		a.byStore = true
		a.record = o.found
		if o.earlier {
			a.superseded = c.cfg.Early
			c.take(now, a, "succeeded")
			continue
		}
		c.take(now, a, "unchanged")
	}
}

// ranOut reports whether no lease of an observed session can run any more. An
// earlier life of this daemon was over when this one started, but what it
// granted to its target runs on for the time of a lease.
func (c *Core) ranOut(now mono.Time, o *observation) bool {
	patience := c.cfg.Timing.Lease + c.cfg.Timing.Margin
	if o.earlier && c.cfg.Early {
		return true
	}
	if o.earlier {
		return now.Sub(c.started) > patience
	}
	return now.Sub(o.since) > patience+c.jitter(turnDelay)
}

func (c *Core) observe(now mono.Time, v session.Versioned) {
	s := v.Record.Session
	o := c.observed[s]
	if o != nil && v.Version <= o.found.Version {
		return
	}
	own := session.Record{Session: c.cfg.Self, Machine: c.cfg.Machine, Peer: c.cfg.Peer}
	earlier := own.Succeeds(&v.Record)
	if s == c.cfg.Self || v.Record.State.Final() || !v.Record.StoreLeased() && !earlier {
		delete(c.observed, s)
		return
	}
	c.observed[s] = &observation{found: v, since: now, earlier: earlier}
}
