package spread

import (
	"sort"
	"time"

	"github.com/rhubarbring/rhubarbring/mono"
)

// stagedObject is a version from the store that is not put in force until
// another daemon holds it too or maxStagingTime has passed. Otherwise, if this
// daemon failed at once, no other daemon of the zone would know a version that
// had been in force, and this daemon could restart from peers with an older
// one.
type stagedObject struct {
	object Object
	since  mono.Time
}

// maxStagingTime bounds how long a version stays staged when no neighbor confirms
// it.
const maxStagingTime = 2 * time.Second

// putAll stores versions of a kind and stages or adopts those that are new. It
// reports whether every difference could be applied.
func (c *Core) putAll(now mono.Time, i int, items []Object, fromStore bool) bool {
	allApplied := true
	for _, o := range items {
		if c.cfg.Accept != nil && !c.cfg.Accept(Key{Kind: c.cfg.Kinds[i], Name: o.Name}) {
			continue
		}
		switch c.states[i].put(o) {
		case putApplied:
			c.stageOrAdopt(now, i, o.Name, fromStore)
		case putBaseMismatch:
			allApplied = false
		}
	}
	return allApplied
}

// stageOrAdopt handles a newly stored version. Versions of the first kind that
// come from the store are staged first; before the daemon has caught up, nothing
// is put in force.
func (c *Core) stageOrAdopt(now mono.Time, i int, name string, fromStore bool) {
	o := c.states[i].objects[name].object
	if !c.caughtUp {
		return
	}
	if fromStore && i == 0 && !c.disabled.staging {
		c.staged = append(c.staged, stagedObject{object: o, since: now})
		return
	}
	c.adopt(now, i, o)
}

func (c *Core) adopt(now mono.Time, i int, o Object) {
	a := Adopt{Key: Key{Kind: c.cfg.Kinds[i], Name: o.Name}, Object: o}
	if i == 0 && c.awaitedFrom != mono.Never {
		a.Waited = now.Sub(c.awaitedFrom)
	}
	c.emit(a)
}

// adoptWritten adopts a newly stored version that came from its writer.
func (c *Core) adoptWritten(i int, name string) {
	if c.caughtUp {
		c.emit(Adopt{Key: Key{Kind: c.cfg.Kinds[i], Name: name}, Object: c.states[i].objects[name].object, Written: true})
	}
}

// adoptStaged adopts the staged versions that another daemon holds too, or that
// have been staged for maxStagingTime. A version that has been replaced by a newer
// one is dropped.
func (c *Core) adoptStaged(now mono.Time) {
	kept := c.staged[:0]
	for _, s := range c.staged {
		if !c.isConfirmed(now, s) && now.Sub(s.since) < maxStagingTime {
			kept = append(kept, s)
			continue
		}
		if c.states[0].objects[s.object.Name].object.Version == s.object.Version {
			c.adopt(now, 0, s.object)
		}
	}
	c.staged = kept
}

// isConfirmed reports whether a neighbor knows the staged version, or no other
// daemon is known, or heard by this reader, that could.
func (c *Core) isConfirmed(now mono.Time, s stagedObject) bool {
	for _, n := range c.neighbors {
		if n.revisions[0] >= s.object.Version {
			return true
		}
	}
	if c.cfg.DocumentReaders > 1 && c.hearsNobody(now) {
		return true
	}
	return len(c.tree.members) <= 1 && len(c.tree.otherZones) == 0
}

// finishJoin adopts every known object and reports CaughtUp once the daemon has
// caught up: with the store itself, with a parent whose information from the
// store is fresh, or with Config.JoinPeers daemons that had caught up.
func (c *Core) finishJoin(now mono.Time) {
	if c.caughtUp || !c.mayFinishJoin(now) {
		return
	}
	c.caughtUp = true
	for i, s := range c.states {
		for _, name := range s.names() {
			c.adopt(now, i, s.objects[name].object)
		}
	}
	c.emit(CaughtUp{})
	c.tellJoining(now)
}

// mayFinishJoin reports whether this daemon knows all that the store, or its
// caught-up neighbors, know. It is false while any such neighbor is ahead in a
// kind that both have.
func (c *Core) mayFinishJoin(now mono.Time) bool {
	if c.caughtUpWithStore() || c.disabled.join && c.states[0].revision > 0 {
		return true
	}
	heard := 0
	for _, n := range c.neighbors {
		if !n.caughtUp {
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
	fresh := parent != nil && parent.caughtUp && parent.fresh
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
