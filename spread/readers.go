package spread

import (
	"time"

	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/mono"
)

// In small fleets several members of a zone read the documents from the store
// (Config.DocumentReaders), so that the loss of the relay does not delay a version.
// Each reader announces a new version to every member of its zone, not only to its
// children, since a member whose parent is lost notices that only after
// Config.SuspectAfter.

const (
	// announceFor is how long a reader repeats the announcement at heartbeats to
	// members that have not confirmed the version.
	announceFor = 2 * time.Second
	// askOtherAfter is the time after which a daemon that was asked for documents
	// without an answer counts as slow, and another reader that has them is asked.
	askOtherAfter = 700 * time.Millisecond
)

// readsDocuments reports whether this daemon watches the first kind although it is
// not the relay: it is one of the next members by rank, or hears no other daemon.
func (c *Core) readsDocuments(now mono.Time, rank int) bool {
	if c.cfg.DocumentReaders <= 1 || !c.caughtUp {
		return false
	}
	return rank < c.cfg.DocumentReaders || c.hearsNobody(now)
}

// isReader reports whether this daemon is one of its zone's readers of documents, as far
// as it knows.
func (c *Core) isReader() bool {
	rank, _ := c.tree.rank()
	return rank < c.cfg.DocumentReaders
}

// hearsNobody reports whether all other daemons have been silent for
// Config.SuspectAfter. Nobody passes on documents to this one then.
func (c *Core) hearsNobody(now mono.Time) bool {
	if now.Sub(c.started) < c.cfg.SuspectAfter {
		return false
	}
	for _, n := range c.neighbors {
		if c.heardRecently(now, n) {
			return false
		}
	}
	return true
}

// announce announces what this reader has learned of the first kind, from the store or
// from another daemon.
func (c *Core) announce(now mono.Time, i int) {
	if i != 0 || c.cfg.DocumentReaders <= 1 || !c.caughtUp {
		return
	}
	c.announceUntil = now.Add(announceFor)
	c.announceDocuments(now)
}

// announceDocuments sends a Digest to the members of the zone and to the readers
// of the other zones that are not known to have this daemon's documents. Readers
// of a zone whose ways to the store are cut get them so.
func (c *Core) announceDocuments(now mono.Time) {
	for _, m := range c.tree.members {
		c.announceTo(now, m)
	}
	for _, m := range c.tree.otherReaders(c.cfg.DocumentReaders) {
		c.announceTo(now, m)
	}
}

func (c *Core) announceTo(now mono.Time, to host.Session) {
	if n := c.neighbors[to]; n != nil && n.revisions[0] >= c.states[0].revision {
		return
	}
	c.sendDigest(now, to, true)
}

// askAgainAfter returns how long after an unanswered ChangesRequest of a kind the
// next one may go to a daemon.
func (c *Core) askAgainAfter(to host.Session, i int) time.Duration {
	if i == 0 && c.cfg.DocumentReaders > 1 && to != c.askedOf[i] {
		return askOtherAfter
	}
	return askTimeout
}
