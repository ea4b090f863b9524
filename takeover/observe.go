package takeover

import (
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/session"
)

// observation is the last known record of a session that can be taken over
// without seals: its lease is in the store, it has no majority of witnesses
// left, or it is an earlier session of this daemon.
type observation struct {
	record  session.VersionedRecord
	since   mono.Time // When the wait for the lease to expire begins.
	earlier bool      // Whether it is an earlier session of this daemon.
}

// startTakeoversWithoutSeals starts the takeovers of observed sessions whose leases
// have expired: unrenewed leases in the store, sessions without a majority of
// witnesses, and earlier sessions of this daemon.
func (c *Core) startTakeoversWithoutSeals(now mono.Time) {
	for _, s := range sorted(c.observed) {
		o := c.observed[s]
		if c.attempts[s] != nil || !c.leaseExpired(now, o) {
			continue
		}
		a := c.startAttempt(now, s)
		a.withoutSeals = true
		a.record = o.record
		if o.earlier {
			a.superseded = c.cfg.SupersedeEarly
			c.fire(now, a, "succeeded")
			continue
		}
		c.fire(now, a, "unchanged")
	}
}

// leaseExpired reports whether an observed session may be recorded as lost: its
// lease and, except with Config.SupersedeEarly, the grants made under it have
// expired. An earlier session of this daemon ended before this one started, but
// its grants to the target last up to a lease longer; with
// Config.SupersedeEarly it is recorded without this wait. For other sessions a
// random delay is added to the wait.
func (c *Core) leaseExpired(now mono.Time, o *observation) bool {
	wait := c.cfg.Timing.Lease + c.cfg.Timing.Margin
	if o.earlier && c.cfg.SupersedeEarly {
		return true
	}
	if o.earlier {
		return now.Sub(c.started) > wait
	}
	return now.Sub(o.since) > wait+c.jitter(turnDelay)
}

// observe starts, updates or ends the observation of a record's session. A
// later version restarts the wait.
func (c *Core) observe(now mono.Time, v session.VersionedRecord) {
	s := v.Record.Session
	o := c.observed[s]
	if o != nil && v.Version <= o.record.Version {
		return
	}
	own := session.Record{Session: c.cfg.Self, MachineID: c.cfg.Machine, PeerAddress: c.cfg.Peer}
	earlier := own.IsSuccessorOf(&v.Record)
	if s == c.cfg.Self || v.Record.State.Final() || !v.Record.StoreLeased() && !earlier {
		delete(c.observed, s)
		return
	}
	c.observed[s] = &observation{record: v, since: now, earlier: earlier}
}
