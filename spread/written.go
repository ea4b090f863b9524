package spread

import (
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/mono"
)

// A daemon that has written an object to the store sends the new version to the
// relay of each zone, which passes it down its tree. The relays' watches need
// not be quick then: they only make up for what was lost. Such a message says
// nothing of other objects, so that it raises no revision. Objects of the first
// kind are not sent so: operators write them, and they are staged.

// written handles the version of an object that this daemon wrote to the store.
func (c *Core) written(now mono.Time, ev Written) {
	i := c.kindIndex(ev.Kind)
	if i <= 0 || c.states[i].put(ev.Object) != putApplied {
		return
	}
	c.adoptWritten(i, ev.Object.Name)
	to := c.tree.otherRelays
	if _, ranked := c.tree.rank(); len(ranked) > 0 {
		to = append(to[:len(to):len(to)], ranked[0])
	}
	c.sendWritten(i, ev.Object.Name, append(to, c.children(now)...), host.NoSession)
}

// handleWritten applies a version that another daemon wrote, and passes it on to
// the children. Should it be a difference from a version that is not held here,
// the next watch or heartbeat brings the object.
func (c *Core) handleWritten(now mono.Time, from host.Session, m *Objects) {
	i := int(m.Kind)
	if i == 0 {
		return
	}
	for _, o := range m.Items {
		if c.cfg.Accept != nil && !c.cfg.Accept(Key{Kind: c.cfg.Kinds[i], Name: o.Name}) {
			continue
		}
		switch c.states[i].put(o) {
		case putApplied:
			c.adoptWritten(i, o.Name)
			c.sendWritten(i, o.Name, c.children(now), from)
		case putBaseMismatch:
			c.needWhole[i] = true
			c.requestChanges(now, from, i)
		}
	}
}

// sendWritten sends the newest version of an object to some daemons, as a
// difference from the version before it if there is one, to each once and not to
// the one that it came from, nor to those that lack the kind.
func (c *Core) sendWritten(i int, name string, to []host.Session, from host.Session) {
	e := c.states[i].objects[name]
	m := &Objects{Kind: uint8(i), Items: []Object{e.objectSince(e.object.Version-1, false)}}
	sent := map[host.Session]bool{from: true}
	for _, s := range to {
		if !sent[s] && i < c.kindsOf(s) {
			sent[s] = true
			c.send(s, m)
		}
	}
}

// children returns the daemons below this one in the tree that are alive.
func (c *Core) children(now mono.Time) []host.Session {
	var out []host.Session
	for _, s := range c.neighborsByRank() {
		if n := c.neighbors[s]; n.child && c.heardRecently(now, n) {
			out = append(out, s)
		}
	}
	return out
}

// isWritten reports whether the message carries a version that a daemon wrote,
// rather than all changes of a span or a part of a snapshot.
func (m *Objects) isWritten() bool {
	return !m.Snapshot && m.UpTo == 0
}
