package session

import (
	"slices"
	"time"

	"github.com/rhubarbring/rhubarbring/event"
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/mono"
)

// maxJoinProbes is how many witness sets a starting session probes before it
// continues with a lease in the store.
const maxJoinProbes = 2

// cutOffThreshold is how many avoided members of another region make the whole
// region count as unreachable.
const cutOffThreshold = 2

// probe tests a set of witnesses before it is recorded. They are asked to renew
// the lease like recorded ones; only once all of them do is the set written.
type probe struct {
	witnesses  []host.Session // Empty if no probe is active.
	since      mono.Time
	attempts   int
	avoidUntil map[host.Session]mono.Time // Until when a witness is not selected.
	notBefore  mono.Time                  // When the next set may be probed.
	nextReview mono.Time                  // When a working set is next compared with the best.
}

func (p *probe) active() bool {
	return len(p.witnesses) > 0
}

func (p *probe) stop() {
	p.witnesses = nil
}

// join probes witnesses until a set answers, and creates the record. With too
// few members, or after maxJoinProbes probes, the session starts with a lease in
// the store.
func (c *Core) join(now mono.Time) []Action {
	if c.members == nil {
		return nil
	}
	if c.probe.active() {
		return c.checkProbe(now)
	}
	if c.cfg.StartWithStoreLease {
		return c.writeWitnessSet(now, nil)
	}
	next := c.selector(now, nil).Select()
	if next == nil || c.probe.attempts >= maxJoinProbes {
		return c.writeWitnessSet(now, nil)
	}
	return c.startProbe(now, next)
}

// replaceWitnesses replaces witnesses that have ended, are silent, or have
// sealed the session, and from time to time those for which better placed ones
// exist. It reports whether a replacement is under way.
func (c *Core) replaceWitnesses(now mono.Time) ([]Action, bool) {
	if c.probe.active() {
		return c.checkProbe(now), true
	}
	if now.Before(c.probe.notBefore) {
		return nil, false
	}
	if !c.setDegraded() {
		return c.reviewPlacement(now)
	}
	c.probe.notBefore = now.Add(c.cfg.Timing.ProbeTimeout)
	selector := c.selector(now, c.recorded.Record.Witnesses)
	next := selector.Select()
	if next == nil {
		return c.fallBackToStore(now)
	}
	if sameSet(next, c.recorded.Record.Witnesses) && !c.setSealed() {
		return nil, false
	}
	return c.startProbe(now, next), true
}

// reviewPlacement looks for a better placed set, which can exist for example
// after a partition between regions. The interval is random, between
// AvoidPeriod and twice AvoidPeriod.
func (c *Core) reviewPlacement(now mono.Time) ([]Action, bool) {
	if now.Before(c.probe.nextReview) {
		return nil, false
	}
	every := c.cfg.Timing.AvoidPeriod
	c.probe.nextReview = now.Add(every + time.Duration(c.rng.Int64N(int64(every))))
	selector := c.selector(now, c.recorded.Record.Witnesses)
	next := selector.Select()
	if next == nil || selector.Penalty(next) >= selector.Penalty(c.recorded.Record.Witnesses) {
		return nil, false
	}
	return c.startProbe(now, next), true
}

// fallBackToStore changes to a lease in the store if the recorded set has no
// working majority. It is called only if no other set can be selected.
func (c *Core) fallBackToStore(now mono.Time) ([]Action, bool) {
	if c.recorded.Record.StoreLeased() || c.workingWitnesses() >= Majority(len(c.recorded.Record.Witnesses)) {
		return nil, false
	}
	return c.writeWitnessSet(now, nil), true
}

// workingWitnesses returns how many recorded witnesses are live members and need
// no replacement.
func (c *Core) workingWitnesses() int {
	n := 0
	for _, w := range c.recorded.Record.Witnesses {
		if !c.lease.needsReplacement(w, c.recorded.Record.Generation, c.cfg.Timing.MaxSilentRounds) && c.isLiveMember(w) {
			n++
		}
	}
	return n
}

// setDegraded reports whether there is no recorded set or a witness of it does
// not work.
func (c *Core) setDegraded() bool {
	return c.recorded.Record.StoreLeased() || c.workingWitnesses() < len(c.recorded.Record.Witnesses)
}

// setSealed reports whether a witness of the recorded set has sealed it, so that
// the same witnesses can serve only under a new generation.
func (c *Core) setSealed() bool {
	for _, w := range c.recorded.Record.Witnesses {
		if g := c.lease.grants[w]; g != nil && g.sealed >= c.recorded.Record.Generation {
			return true
		}
	}
	return false
}

func (c *Core) isLiveMember(s host.Session) bool {
	for i := range c.members {
		if c.members[i].Session == s {
			return c.members[i].State == Live
		}
	}
	return false
}

func (c *Core) selector(now mono.Time, current []host.Session) *WitnessSelector {
	avoided := c.avoidedByRegion(now)
	return &WitnessSelector{
		Self:    c.cfg.Session,
		Place:   c.cfg.Place,
		Group:   c.cfg.Group,
		Members: c.members,
		Current: current,
		Exclude: func(m *Member) bool {
			return avoided[m.Place.Region] >= cutOffThreshold || c.avoided(now, m.Session)
		},
	}
}

// avoidedByRegion returns the number of avoided members in each region other
// than the holder's.
func (c *Core) avoidedByRegion(now mono.Time) map[host.Region]int {
	if len(c.probe.avoidUntil) < cutOffThreshold {
		return nil
	}
	avoided := make(map[host.Region]int)
	for i := range c.members {
		m := &c.members[i]
		if m.Place.Region != c.cfg.Place.Region && c.avoided(now, m.Session) {
			avoided[m.Place.Region]++
		}
	}
	return avoided
}

func (c *Core) avoided(now mono.Time, s host.Session) bool {
	if until, ok := c.probe.avoidUntil[s]; ok && now.Before(until) {
		return true
	}
	return c.lease.unusable(s, c.cfg.Timing.MaxSilentRounds)
}

// startProbe starts to probe a set; the next round of renewals is due at once.
func (c *Core) startProbe(now mono.Time, next []host.Session) []Action {
	c.probe.witnesses = next
	c.probe.since = now
	c.probe.attempts++
	c.nextRenewal = now
	return nil
}

// checkProbe writes the probed set once all of its witnesses renew the lease.
// After ProbeTimeout it ends the probe and avoids those that have not.
func (c *Core) checkProbe(now mono.Time) []Action {
	missing := c.unconfirmed(now)
	if len(missing) == 0 {
		return c.writeWitnessSet(now, c.probe.witnesses)
	}
	if now.Sub(c.probe.since) < c.cfg.Timing.ProbeTimeout {
		return nil
	}
	for _, w := range missing {
		c.probe.avoidUntil[w] = now.Add(c.cfg.Timing.AvoidPeriod)
	}
	c.pruneAvoided(now)
	c.probe.stop()
	return nil
}

// unconfirmed returns the probed witnesses whose grant does not reach beyond
// probeThreshold or is not valid for the next generation.
func (c *Core) unconfirmed(now mono.Time) []host.Session {
	var out []host.Session
	for _, w := range c.probe.witnesses {
		if !c.lease.untilByWitness(w, c.recorded.Record.Generation+1).After(c.probeThreshold(now)) {
			out = append(out, w)
		}
	}
	return out
}

// probeThreshold returns the instant that the end of a witness's grant must
// exceed to count as an answer: more than half of the lease must remain.
func (c *Core) probeThreshold(now mono.Time) mono.Time {
	return now.Add(c.cfg.Timing.Lease / 2)
}

// writeWitnessSet writes a new witness set as the next generation; nil changes
// to a lease in the store.
func (c *Core) writeWitnessSet(now mono.Time, witnesses []host.Session) []Action {
	c.probe.stop()
	out := c.transition("create")
	out = append(out, Log{ID: event.WitnessesChanged, Detail: formatSessions(witnesses)})
	return append(out, c.startWrite(now, c.recorded.Record.Generation+1, witnesses)...)
}

// pruneAvoided deletes entries of avoidUntil that have expired.
func (c *Core) pruneAvoided(now mono.Time) {
	for s, until := range c.probe.avoidUntil {
		if !now.Before(until) {
			delete(c.probe.avoidUntil, s)
		}
	}
}

func formatSessions(list []host.Session) string {
	text := ""
	for i, s := range list {
		if i > 0 {
			text += " "
		}
		text += s.String()
	}
	return text
}

func sameSet(a, b []host.Session) bool {
	if len(a) != len(b) {
		return false
	}
	return !slices.ContainsFunc(a, func(s host.Session) bool { return !contains(b, s) })
}
