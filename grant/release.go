package grant

import (
	"slices"

	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/mono"
)

// requestReleases requests the releases that are due, neighbouring slices in one
// call, and reports slices that need no call, or no answer to it, as released.
func (c *Core) requestReleases(now mono.Time, out *Actions) {
	var due []SliceEpoch
	for s, p := range c.releasing {
		until, _ := c.mayHold(s)
		callDue := !p.calling && !now.Before(p.due)
		if callDue || !now.Before(until) {
			due = append(due, SliceEpoch{Slice: s, Epoch: p.epoch})
		}
	}
	slices.SortFunc(due, compareSlices)
	for _, d := range due {
		u := c.unitOf(d.Slice)
		until, _ := c.mayHold(d.Slice)
		switch {
		case u != nil && u.call != 0:
			// Wait for the answer to the grant.
		case !now.Before(until):
			c.finishRelease(d.Slice, c.releasing[d.Slice].token, out)
		case u == nil:
			c.addRelease(d.Slice, d.Epoch, c.dropped[d.Slice].process, out)
		default:
			c.detach(u, d.Slice)
			c.addRelease(d.Slice, u.grant.Epoch, u.grant.Process, out)
		}
	}
}

// detach moves a slice that is to be released into a unit of its own, so that
// its neighbours continue to be renewed.
func (c *Core) detach(u *unit, s key.Slice) {
	if u.grant.Range.First == u.grant.Range.Last {
		return
	}
	own := *u
	c.removeSlice(u, s)
	c.lastUnit++
	own.grant.Unit = c.lastUnit
	own.grant.Range.First, own.grant.Range.Last = s.ID, s.ID
	c.units[c.lastUnit] = &own
	c.unitBy[s] = &own
}

// addRelease adds a slice to the last requested release if it follows that
// release's range at the same epoch and process, else it adds another release.
func (c *Core) addRelease(s key.Slice, epoch, process uint64, out *Actions) {
	c.markCalling(s, epoch)
	if n := len(out.Releases); n > 0 {
		last := &out.Releases[n-1]
		if last.Epoch == epoch && last.Process == process && last.Range.App == s.App && last.Range.Last+1 == s.ID {
			last.Range.Last = s.ID
			return
		}
	}
	out.Releases = append(out.Releases, Release{Range: Range{App: s.App, First: s.ID, Last: s.ID}, Epoch: epoch, Process: process})
}

func (c *Core) markCalling(s key.Slice, epoch uint64) {
	p := c.releasing[s]
	p.calling = true
	p.callEpoch = epoch
	c.releasing[s] = p
}

// ReleaseAnswered handles the answer to a release. A grant whose answer was lost
// may still arrive after the release, so its slices count as held until that
// grant would have expired. That holds also for grants of an earlier daemon, unless
// the target has accepted a higher epoch since, at which it refuses them. No call
// reaches a process again to which no connection leads any more.
func (c *Core) ReleaseAnswered(now mono.Time, r Release, token string, a Answer, out *Actions) {
	c.heard(a)
	for id := r.Range.First; id <= r.Range.Last; id++ {
		s := key.Slice{App: r.Range.App, ID: id}
		p, ok := c.releasing[s]
		if !ok || !p.calling || p.callEpoch != r.Epoch {
			continue
		}
		until, unanswered := c.mayHold(s)
		lateGrant := unanswered || now.Before(c.unknownUntil) && !c.hasAccepted(s)
		if a == Accepted && !lateGrant || !now.Before(until) {
			c.finishRelease(s, token, out)
			continue
		}
		p.calling = false
		p.due = now.Add(c.cfg.Retry)
		switch a {
		case Accepted:
			p.due, p.token = until, token
		case OtherProcess:
			p.due = until
		}
		c.releasing[s] = p
	}
}

// hasAccepted reports whether the target has accepted a grant of a slice from this
// Core.
func (c *Core) hasAccepted(s key.Slice) bool {
	u := c.unitOf(s)
	return u != nil && u.grant.Renewal
}

// finishRelease reports a slice as released and removes it from its unit. It must
// be called only when the target certainly does not hold the slice.
func (c *Core) finishRelease(s key.Slice, token string, out *Actions) {
	p := c.releasing[s]
	delete(c.releasing, s)
	delete(c.dropped, s)
	if u := c.unitOf(s); u != nil {
		c.removeSlice(u, s)
	}
	out.Released = append(out.Released, ReleasedSlice{Slice: s, Epoch: p.epoch, Token: token})
}
