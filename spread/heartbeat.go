package spread

import (
	"sort"
	"time"

	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/mono"
)

// gossipTicks is the number of heartbeats between two exchanges with a random
// daemon of the zone. These exchanges repair what the tree can't: a zone whose
// daemons disagree about its members.
const gossipTicks = 4

func (c *Core) tick(now mono.Time) {
	c.ticks++
	c.tree.expireSuspicions(now)
	c.dropSilentNeighbors(now)
	c.suspectParent(now)
	c.adoptStaged(now)
	c.updateRelayRole(now)
	c.retryStore(now)
	c.exchangeWithParent(now)
	c.exchangeWithOthers(now)
	if now.Before(c.announceUntil) {
		c.announceDocuments(now)
	}
	c.finishJoin(now)
}

// suspectParent passes over a parent that has been silent for
// Config.SuspectAfter.
func (c *Core) suspectParent(now mono.Time) {
	parent := c.tree.parent()
	if parent != c.awaitedParent {
		c.awaitedParent = parent
		c.awaitedSince = now
		return
	}
	if parent.IsZero() || now.Sub(c.awaitedSince) < c.cfg.SuspectAfter {
		return
	}
	if n := c.neighbors[parent]; n != nil && c.heardRecently(now, n) {
		return
	}
	c.tree.suspect(parent, now.Add(c.cfg.SuspectFor))
	c.awaitedParent = c.tree.parent()
	c.awaitedSince = now
}

func (c *Core) exchangeWithParent(now mono.Time) {
	parent := c.tree.parent()
	if parent.IsZero() {
		return
	}
	c.sendDigest(now, parent, true)
}

// exchangeWithOthers exchanges revisions with daemons other than the parent:
// every daemon with a random one of its zone every gossipTicks heartbeats, a
// joining daemon with Config.JoinPeers of them at each heartbeat, and a relay
// or joining daemon with one of another zone.
func (c *Core) exchangeWithOthers(now mono.Time) {
	if c.asksParentAlone(now) {
		return
	}
	count := 0
	if c.ticks%gossipTicks == 0 {
		count = 1
	}
	if !c.caughtUp {
		count = c.cfg.JoinPeers
	}
	for range count {
		c.exchangeWithRandom(now, c.tree.ranked())
	}
	if c.IsRelay() || !c.caughtUp {
		c.exchangeWithRandom(now, c.tree.otherZones)
	}
}

// exchangeWithRandom sends a Digest that asks for an answer to one of the daemons,
// chosen at random. It sends nothing if it draws this daemon itself.
func (c *Core) exchangeWithRandom(now mono.Time, among []host.Session) {
	if len(among) == 0 {
		return
	}
	c.sendDigest(now, among[c.rand.IntN(len(among))], true)
}

// sendDigest sends the revisions up to which this daemon knows each kind that the
// receiver has. A daemon not heard from yet is sent all.
func (c *Core) sendDigest(now mono.Time, to host.Session, answer bool) {
	view := c.View(now)
	revisions := c.revisions()
	if n := c.neighbors[to]; n != nil {
		copy(n.told, revisions)
	}
	c.send(to, &Digest{
		Revisions:  revisions[:c.kindsOf(to)],
		CaughtUp:   c.caughtUp,
		Child:      to == c.tree.parent(),
		WantAnswer: answer,
		Relay:      c.storeAnswered != mono.Never && now.Sub(c.storeAnswered) <= c.cfg.RelayTimeout,
		StoreAge:   c.storeAge(now),
		Hosts:      uint32(view.Hosts),
		InForce:    view.InForce,
	})
}

// kindsOf returns how many of this daemon's kinds another one has: all if it has
// not reported yet.
func (c *Core) kindsOf(s host.Session) int {
	n := c.neighbors[s]
	if n == nil || n.kinds == 0 {
		return len(c.states)
	}
	return min(n.kinds, len(c.states))
}

func (c *Core) revisions() []uint64 {
	revisions := make([]uint64, len(c.states))
	for i, s := range c.states {
		revisions[i] = s.revision
	}
	return revisions
}

// storeAge returns the age of the newest information from the store in
// milliseconds, or unknownStoreAge.
func (c *Core) storeAge(now mono.Time) uint32 {
	if c.storeSeen == mono.Never {
		return unknownStoreAge
	}
	return uint32(min(now.Sub(c.storeSeen)/time.Millisecond, unknownStoreAge-1))
}

// noteStoreAge records the age of another daemon's information from the store
// if it is newer than this daemon's.
func (c *Core) noteStoreAge(now mono.Time, age uint32) {
	if age == unknownStoreAge {
		return
	}
	seen := now.Add(-time.Duration(age) * time.Millisecond)
	if seen.After(c.storeSeen) {
		c.storeSeen = seen
	}
}

// dropSilentNeighbors forgets daemons that have been silent for longer than
// Config.SuspectFor.
func (c *Core) dropSilentNeighbors(now mono.Time) {
	for s, n := range c.neighbors {
		if now.Sub(n.heard) > c.cfg.SuspectFor {
			delete(c.neighbors, s)
		}
	}
}

// neighborsByRank returns the daemons heard from, in the order of their rank.
func (c *Core) neighborsByRank() []host.Session {
	sessions := make([]host.Session, 0, len(c.neighbors))
	for s := range c.neighbors {
		sessions = append(sessions, s)
	}
	sort.Slice(sessions, func(i, j int) bool { return ranksBefore(sessions[i], sessions[j]) })
	return sessions
}
