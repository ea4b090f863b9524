package spread

import (
	"sort"
	"time"

	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/mono"
)

// gossipTicks is how many heartbeats pass between two messages to a daemon
// of the zone chosen at random. They heal what the tree can't: a zone whose
// daemons disagree about its members.
const gossipTicks = 4

func (c *Core) tick(now mono.Time) {
	c.ticks++
	c.tree.expire(now)
	c.forgetSilent(now)
	c.suspectParent(now)
	c.release(now)
	c.lead(now)
	c.retryStore(now)
	c.greetParent(now)
	c.greetOthers(now)
	c.join(now)
}

// suspectParent passes over a parent that hasn't answered.
func (c *Core) suspectParent(now mono.Time) {
	parent := c.tree.parent()
	if parent != c.waiting {
		c.waiting = parent
		c.waitSince = now
		return
	}
	if parent.IsNobody() || now.Sub(c.waitSince) < c.cfg.SuspectAfter {
		return
	}
	if n := c.neighbors[parent]; n != nil && c.recent(now, n) {
		return
	}
	c.tree.suspect(parent, now.Add(c.cfg.SuspectFor))
	c.waiting = c.tree.parent()
	c.waitSince = now
}

func (c *Core) greetParent(now mono.Time) {
	parent := c.tree.parent()
	if parent.IsNobody() {
		return
	}
	c.sendHave(now, parent, true)
}

// greetOthers compares with daemons beside the tree: a relay with one of
// another zone, everyone with one of its own now and then, and a daemon that
// is joining with as many as it needs.
func (c *Core) greetOthers(now mono.Time) {
	count := 0
	if c.ticks%gossipTicks == 0 {
		count = 1
	}
	if !c.ready {
		count = c.cfg.JoinPeers
	}
	for range count {
		c.greet(now, c.tree.ranked())
	}
	if c.IsRelay() || !c.ready {
		c.greet(now, c.tree.others)
	}
}

func (c *Core) greet(now mono.Time, among []host.Session) {
	if len(among) == 0 {
		return
	}
	c.sendHave(now, among[c.rand.IntN(len(among))], true)
}

// sendHave tells another daemon what this one knows.
func (c *Core) sendHave(now mono.Time, to host.Session, answer bool) {
	view := c.View(now)
	c.send(to, &Have{
		Revisions: c.revisions(),
		Ready:     c.ready,
		Child:     to == c.tree.parent(),
		Answer:    answer,
		Relay:     c.answered != mono.Never && now.Sub(c.answered) <= c.cfg.RelayFor,
		StoreAge:  c.storeAge(now),
		Hosts:     uint32(view.Hosts),
		InForce:   view.InForce,
	})
}

func (c *Core) revisions() []uint64 {
	revisions := make([]uint64, len(c.shelves))
	for i, s := range c.shelves {
		revisions[i] = s.revision
	}
	return revisions
}

func (c *Core) storeAge(now mono.Time) uint32 {
	if c.storeSeen == mono.Never {
		return neverAge
	}
	return uint32(min(now.Sub(c.storeSeen)/time.Millisecond, neverAge-1))
}

// hearStoreAge takes news of the store from another daemon.
func (c *Core) hearStoreAge(now mono.Time, age uint32) {
	if age == neverAge {
		return
	}
	seen := now.Add(-time.Duration(age) * time.Millisecond)
	if seen.After(c.storeSeen) {
		c.storeSeen = seen
	}
}

// forgetSilent drops daemons that haven't been heard for long.
func (c *Core) forgetSilent(now mono.Time) {
	for s, n := range c.neighbors {
		if now.Sub(n.heard) > c.cfg.SuspectFor {
			delete(c.neighbors, s)
		}
	}
}

// known returns the daemons heard from, in the order of their rank.
func (c *Core) known() []host.Session {
	sessions := make([]host.Session, 0, len(c.neighbors))
	for s := range c.neighbors {
		sessions = append(sessions, s)
	}
	sort.Slice(sessions, func(i, j int) bool { return before(sessions[i], sessions[j]) })
	return sessions
}
