package spread

import (
	"sort"
	"time"

	"github.com/rhubarbring/rhubarbring/mono"
)

// heldObject is a version from the store that waits until another daemon
// holds it too: if this daemon were lost at once, a version that had been in
// force only here would be forgotten by the zone.
type heldObject struct {
	object Object
	since  mono.Time
}

// holdFor is how long a relay without an answering neighbor holds a version.
const holdFor = 2 * time.Second

// takeAll takes versions of a kind and puts them in force. It reports whether
// every difference fitted.
func (c *Core) takeAll(now mono.Time, i int, items []Object, fromStore bool) bool {
	fits := true
	for _, o := range items {
		if c.cfg.Keep != nil && !c.cfg.Keep(Key{Kind: c.cfg.Kinds[i], Name: o.Name}) {
			continue
		}
		switch c.shelves[i].put(o) {
		case taken:
			c.taken(now, i, o.Name, fromStore)
		case misfit:
			fits = false
		}
	}
	return fits
}

func (c *Core) taken(now mono.Time, i int, name string, fromStore bool) {
	o := c.shelves[i].objects[name].object
	if !c.ready {
		return
	}
	if fromStore && i == 0 && !c.skip.hold {
		c.held = append(c.held, heldObject{object: o, since: now})
		return
	}
	c.adopt(i, o)
}

func (c *Core) adopt(i int, o Object) {
	c.do(Adopt{Key: Key{Kind: c.cfg.Kinds[i], Name: o.Name}, Object: o})
}

// release puts held versions in force that another daemon holds, or that have
// been held for long enough. A version that a newer one has replaced is left
// out.
func (c *Core) release(now mono.Time) {
	kept := c.held[:0]
	for _, h := range c.held {
		if !c.confirmed(h) && now.Sub(h.since) < holdFor {
			kept = append(kept, h)
			continue
		}
		if c.shelves[0].objects[h.object.Name].object.Version == h.object.Version {
			c.adopt(0, h.object)
		}
	}
	c.held = kept
}

func (c *Core) confirmed(h heldObject) bool {
	for _, n := range c.neighbors {
		if n.have[0] >= h.object.Version {
			return true
		}
	}
	return len(c.tree.members) <= 1 && len(c.tree.others) == 0
}

// join ends the start of the daemon once it has caught up: with the store
// itself, with one daemon whose news of the store is fresh, or, while the
// store can't be reached, with several that had caught up.
func (c *Core) join(now mono.Time) {
	if c.ready || !c.caughtUp(now) {
		return
	}
	c.ready = true
	for i, s := range c.shelves {
		for _, name := range s.names() {
			c.adopt(i, s.objects[name].object)
		}
	}
	c.do(Ready{})
}

func (c *Core) caughtUp(now mono.Time) bool {
	if c.fromStore() || c.skip.join && c.shelves[0].revision > 0 {
		return true
	}
	heard := 0
	for _, n := range c.neighbors {
		if !n.ready {
			continue
		}
		heard++
		for i, s := range c.shelves {
			if n.have[i] > s.revision {
				return false
			}
		}
	}
	need := c.cfg.JoinPeers
	if now.Sub(c.started) >= c.cfg.JoinPatience {
		need = 1
	}
	parent := c.neighbors[c.tree.parent()]
	fresh := parent != nil && parent.ready && parent.fresh
	return fresh || heard >= need
}

// fromStore reports whether this daemon has every kind from the store.
func (c *Core) fromStore() bool {
	for _, r := range c.relays {
		if !r.caughtUp {
			return false
		}
	}
	return true
}

// names returns the names of the objects that exist, in order.
func (s *shelf) names() []string {
	names := make([]string, 0, len(s.objects))
	for name, e := range s.objects {
		if !e.object.Deleted {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}
