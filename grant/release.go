package grant

import (
	"slices"

	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/mono"
)

// release asks for the releases that are due, neighbours by one call, and
// reports slices that need no call.
func (c *Core) release(now mono.Time, out *Actions) {
	var due []Held
	for s, l := range c.leaving {
		if !l.calling && !now.Before(l.due) {
			due = append(due, Held{Slice: s, Epoch: l.epoch})
		}
	}
	slices.SortFunc(due, compare)
	for _, h := range due {
		u := c.unitOf(h.Slice)
		switch {
		case u != nil && u.calling:
			// The grant's answer comes first.
		case u == nil || !now.Before(u.bound):
			c.end(h.Slice, "", out)
		default:
			c.detach(u, h.Slice)
			c.ask(h.Slice, u.grant.Epoch, out)
		}
	}
}

// detach makes a slice that leaves a unit of its own, so that its neighbours
// go on being renewed.
func (c *Core) detach(u *unit, s key.Slice) {
	if u.grant.Range.First == u.grant.Range.Last {
		return
	}
	own := *u
	c.split(u, s)
	c.last++
	own.grant.Unit = c.last
	own.grant.Range.First, own.grant.Range.Last = s.ID, s.ID
	c.units[c.last] = &own
}

// ask adds a slice to the last release if it follows it at the same epoch,
// else begins another.
func (c *Core) ask(s key.Slice, epoch uint64, out *Actions) {
	c.call(s)
	if n := len(out.Releases); n > 0 {
		last := &out.Releases[n-1]
		if last.Epoch == epoch && last.Range.App == s.App && last.Range.Last+1 == s.ID {
			last.Range.Last = s.ID
			return
		}
	}
	out.Releases = append(out.Releases, Release{Range: Range{App: s.App, First: s.ID, Last: s.ID}, Epoch: epoch})
}

func (c *Core) call(s key.Slice) {
	l := c.leaving[s]
	l.calling = true
	c.leaving[s] = l
}

// ReleaseAnswered takes the answer to a release. A grant whose answer was lost
// may still arrive behind it, so the slices count as held until that one's
// time is over.
func (c *Core) ReleaseAnswered(now mono.Time, r Release, token string, a Answer, out *Actions) {
	for id := r.Range.First; id <= r.Range.Last; id++ {
		s := key.Slice{App: r.Range.App, ID: id}
		l, ok := c.leaving[s]
		if !ok {
			continue
		}
		u := c.unitOf(s)
		gone := u == nil || !now.Before(u.bound)
		if gone || a == Taken && !u.unanswered {
			c.end(s, token, out)
			continue
		}
		l.calling = false
		l.due = now.Add(c.cfg.Retry)
		if a == Taken {
			l.due = u.bound
		}
		c.leaving[s] = l
	}
}

// end takes a slice out: the target does not hold it.
func (c *Core) end(s key.Slice, token string, out *Actions) {
	l := c.leaving[s]
	delete(c.leaving, s)
	if u := c.unitOf(s); u != nil {
		c.split(u, s)
	}
	out.Released = append(out.Released, Ended{Slice: s, Epoch: l.epoch, Token: token})
}
