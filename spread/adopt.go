package spread

import (
	"sort"
	"time"

	"github.com/rhubarbring/rhubarbring/mono"
)

// heldObject is a version from the store that is not put in force until
// another daemon holds it too. Otherwise, if this daemon failed at once, no
// other daemon of the zone would know a version that had been in force, and
// this daemon could restart from peers with an older one.
type heldObject struct {
	object Object
	since  mono.Time
}

// maxHold bounds how long a version is held when no neighbor confirms it.
const maxHold = 2 * time.Second

// putAll stores versions of a kind and holds or adopts those that are new. It
// reports whether every difference could be applied.
func (c *Core) putAll(now mono.Time, i int, items []Object, fromStore bool) bool {
	fits := true
	for _, o := range items {
		if c.cfg.Accept != nil && !c.cfg.Accept(Key{Kind: c.cfg.Kinds[i], Name: o.Name}) {
			continue
		}
		switch c.states[i].put(o) {
		case putApplied:
			c.holdOrAdopt(now, i, o.Name, fromStore)
		case putBaseMismatch:
			fits = false
		}
	}
	return fits
}

// holdOrAdopt handles a newly stored version. Versions of the first kind that
// come from the store are held first; before the daemon has caught up, nothing
// is put in force.
func (c *Core) holdOrAdopt(now mono.Time, i int, name string, fromStore bool) {
	o := c.states[i].objects[name].object
	if !c.ready {
		return
	}
	if fromStore && i == 0 && !c.disabled.hold {
		c.held = append(c.held, heldObject{object: o, since: now})
		return
	}
	c.adopt(i, o)
}

func (c *Core) adopt(i int, o Object) {
	c.emit(Adopt{Key: Key{Kind: c.cfg.Kinds[i], Name: o.Name}, Object: o})
}

// releaseHeld adopts the held versions that another daemon holds too, or that
// have been held for maxHold. A version that has been replaced by a newer one
// is dropped.
func (c *Core) releaseHeld(now mono.Time) {
	kept := c.held[:0]
	for _, h := range c.held {
		if !c.isHeldElsewhere(h) && now.Sub(h.since) < maxHold {
			kept = append(kept, h)
			continue
		}
		if c.states[0].objects[h.object.Name].object.Version == h.object.Version {
			c.adopt(0, h.object)
		}
	}
	c.held = kept
}

// isHeldElsewhere reports whether a neighbor knows the held version, or no other
// daemon is known that could.
func (c *Core) isHeldElsewhere(h heldObject) bool {
	for _, n := range c.neighbors {
		if n.revisions[0] >= h.object.Version {
			return true
		}
	}
	return len(c.tree.members) <= 1 && len(c.tree.otherZones) == 0
}

// finishJoin adopts every known object and reports CaughtUp once the daemon has
// caught up: with the store itself, with a parent whose information from the
// store is fresh, or with Config.JoinPeers daemons that had caught up.
func (c *Core) finishJoin(now mono.Time) {
	if c.ready || !c.caughtUp(now) {
		return
	}
	c.ready = true
	for i, s := range c.states {
		for _, name := range s.names() {
			c.adopt(i, s.objects[name].object)
		}
	}
	c.emit(CaughtUp{})
}

// caughtUp reports whether this daemon knows all that the store, or its
// caught-up neighbors, know. It is false while any such neighbor is ahead.
func (c *Core) caughtUp(now mono.Time) bool {
	if c.caughtUpWithStore() || c.disabled.join && c.states[0].revision > 0 {
		return true
	}
	heard := 0
	for _, n := range c.neighbors {
		if !n.ready {
			continue
		}
		heard++
		for i, s := range c.states {
			if n.revisions[i] > s.revision {
				return false
			}
		}
	}
	need := c.cfg.JoinPeers
	if now.Sub(c.started) >= c.cfg.JoinFallbackAfter {
		need = 1
	}
	parent := c.neighbors[c.tree.parent()]
	fresh := parent != nil && parent.ready && parent.fresh
	return fresh || heard >= need
}

// caughtUpWithStore reports whether the store has answered a watch of every
// kind since this daemon started.
func (c *Core) caughtUpWithStore() bool {
	for _, w := range c.watches {
		if !w.caughtUp {
			return false
		}
	}
	return true
}

// names returns the sorted names of the objects that are not deleted.
func (s *kindState) names() []string {
	names := make([]string, 0, len(s.objects))
	for name, e := range s.objects {
		if !e.object.Deleted {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}
