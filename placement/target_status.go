package placement

import (
	"time"

	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/targetstatus"
)

// TargetStatusReported holds what a daemon reports of the target beside it.
type TargetStatusReported struct {
	From   host.Session
	Report targetstatus.Report
}

func (TargetStatusReported) isEvent() {}

// leavingRetention is how long it is remembered that an instance of a target is
// about to end. It is longer than any instance goes on after it has said so.
const leavingRetention = 10 * time.Minute

// minUsableSlots is the least number of slots that a target counts for, so that its
// utilization is defined.
const minUsableSlots = 0.05

// slotLimit is the number of slots that a target can keep busy under its rate limit,
// or while it is cold.
type slotLimit struct {
	slots      float64
	reportedAt mono.Time
	// cold reports that the limit is that of a cold target, since coldSince.
	cold      bool
	coldSince mono.Time
}

// targetStatusReported records what a target says of itself: its host counts for
// fewer slots while it has a rate limit or is cold, and hands over its slices once it is about
// to end, also while the store does not take the host's session record.
func (c *Core) targetStatusReported(now mono.Time, ev TargetStatusReported) {
	if ev.From.Host != ev.Report.Host {
		return
	}
	if ev.Report.Leaving {
		c.fleet.markLeaving(now, ev.Report.Instance)
	}
	h := c.fleet.hosts[ev.From.Host]
	if h == nil || h.session != ev.From {
		return
	}
	if !(ev.Report.UsableSlots >= 0) {
		delete(c.slotLimits, ev.From)
	} else {
		l := slotLimit{slots: float64(ev.Report.UsableSlots), reportedAt: now}
		l.noteCold(now, c.slotLimits[ev.From], ev.Report.RateLimit > 0)
		c.slotLimits[ev.From] = l
	}
	if a := findApp(c.apps, h.app); a != nil {
		a.loadsStale = true
		if !c.slotLimits[ev.From].holdsSlices(now) {
			c.hastenIfFull(now, a, h)
		}
	}
}

// slotsOf returns the number of slots that a host's target counts for.
func (c *Core) slotsOf(now mono.Time, h *hostInfo) float64 {
	slots := float64(h.slots)
	l, ok := c.slotLimits[h.session]
	if !ok {
		return slots
	}
	if now.Sub(l.reportedAt) > c.cfg.MaxReportAge {
		delete(c.slotLimits, h.session)
		return slots
	}
	return min(slots, max(l.slots, minUsableSlots))
}

// hastenIfFull brings the next balance round of an app forward if a host's target is
// full under its limit and others have room.
func (c *Core) hastenIfFull(now mono.Time, a *app, h *hostInfo) {
	i := a.hostIndex(h.session)
	if i >= 0 && a.hosts[i].Load >= fullUtilization*c.slotsOf(now, h) && a.hasSpareCapacity() {
		a.hastenBalance(now, c.cfg.BalanceInterval)
	}
}

// markLeaving records that an instance of a target is about to end.
func (f *fleet) markLeaving(now mono.Time, instance uint64) {
	if instance == 0 {
		return
	}
	for other, at := range f.leaving {
		if now.Sub(at) > leavingRetention {
			delete(f.leaving, other)
		}
	}
	if _, known := f.leaving[instance]; !known {
		f.generation++
	}
	f.leaving[instance] = now
}

// isLeaving reports whether a session's target is about to end.
func (f *fleet) isLeaving(h *hostInfo) bool {
	_, leaving := f.leaving[h.instance]
	return leaving && h.instance != 0
}
