package spread

import (
	"github.com/rhubarbring/rhubarbring/mono"
)

// A daemon that starts knows no other. Where Config.MembersKind is set, it reads
// that kind and the first one, the documents, with one call each. Most daemons of a
// fleet find one of their zone that ranks before them; they get the other kinds
// from it, which takes no calls. Documents may have megabytes, which would keep the
// link of a relay busy whose whole zone starts.

// readsAtStart reports whether a daemon that leads its zone, as far as it knows,
// watches a kind: before it has read the members, only their kind and the first.
func (c *Core) readsAtStart(now mono.Time, i int) bool {
	first := i == 0 || c.cfg.Kinds[i] == c.cfg.MembersKind
	return first || c.caughtUp || c.membersRead || c.cfg.MembersKind == "" || now.Sub(c.started) >= peerHeadStart
}

// joinsByStore reports whether a daemon that is to catch up from peers has waited
// for them long enough, and reads all kinds itself.
func (c *Core) joinsByStore(now mono.Time) bool {
	return c.membersRead && !c.caughtUp && now.Sub(c.started) >= c.cfg.JoinReadAfter
}

// passMembers hands over the members once their kind and the first have been read.
func (c *Core) passMembers() {
	i := c.kindIndex(c.cfg.MembersKind)
	if i < 0 || c.caughtUp || c.membersPassed || !c.watches[i].caughtUp || !c.watches[0].caughtUp {
		return
	}
	c.membersPassed = true
	s := c.states[i]
	var objects []Object
	for _, name := range s.names() {
		objects = append(objects, s.objects[name].object)
	}
	c.emit(MembersRead{Objects: objects})
}

// joinMembers begins to catch up from the members that have been read, without
// waiting for the next heartbeat.
func (c *Core) joinMembers(now mono.Time, read bool) {
	if !read || c.caughtUp {
		return
	}
	c.membersRead = true
	c.exchangeWithParent(now)
}

// asksParentAlone reports whether a joining daemon leaves out the other peers for
// now: each would send it all objects, some of them from another region. If neither
// its parent nor the store answers, it asks them at the heartbeats after that.
func (c *Core) asksParentAlone(now mono.Time) bool {
	return c.membersRead && !c.caughtUp && now.Sub(c.started) < 2*c.cfg.JoinReadAfter
}

// tellJoining sends a Digest to the daemons that asked this one while it had not
// caught up itself. When a fleet starts, they wait for it.
func (c *Core) tellJoining(now mono.Time) {
	if c.cfg.MembersKind == "" {
		return
	}
	for _, s := range c.neighborsByRank() {
		if !c.neighbors[s].caughtUp {
			c.sendDigest(now, s, true)
		}
	}
}
