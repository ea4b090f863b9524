package spread

import (
	"time"

	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/mono"
)

// While a fleet is upgraded to a build that appends kinds, daemons of both builds
// exchange the kinds that they share. Builds before the fifth kind drop a Digest
// that does not have exactly their number of revisions.
//
// The kinds that all builds have reach every daemon. But a newer daemon sends an
// old one that it has not heard from a Digest that the old one drops. Below such a
// parent it depends on the exchanges that random daemons of the zone begin, until
// the parent begins one, and a change may take longer than in a fleet of one build.
//
// Of an appended kind, this holds: in a zone whose relay has the kind, its objects reach
// every daemon that has it, but a daemon below a parent that lacks the kind gets
// them only by exchanges with random daemons of the zone, without a bound on the
// time. In a zone whose relay lacks the kind, nothing is promised until the relay
// is upgraded. A daemon may catch up from neighbors that lack the kind, without
// its objects; it then takes versions of them as they come.

// askTimeout is the time after which an unanswered ChangesRequest may be repeated.
const askTimeout = 2 * time.Second

// cursor is the state of a snapshot that is being received in parts from one
// daemon: the last name so far, and the lowest revision of any part.
type cursor struct {
	active   bool
	from     host.Session
	lastName string
	upTo     uint64
}

// receive handles a message. Any message shows that its sender is alive, and
// ends a suspicion of it.
func (c *Core) receive(now mono.Time, ev Received) {
	n := c.neighbors[ev.From]
	if n == nil {
		n = newNeighbor(len(c.states))
		c.neighbors[ev.From] = n
	}
	n.heard = now
	c.tree.clearSuspicion(ev.From)
	switch m := ev.Message.(type) {
	case *Digest:
		c.handleDigest(now, ev.From, n, m)
	case *ChangesRequest:
		c.handleChangesRequest(ev.From, m)
	case *Objects:
		c.handleObjects(now, ev.From, m)
	}
}

// handleDigest records what a daemon reports and compares revisions with it. It
// sets sentTo to the reported revisions, so that pushes that were lost are sent
// again. It answers with a Digest if asked to, but not to a caught-up daemon that
// it has sent changes.
// A Digest of another build has fewer or more kinds; an empty one is dropped.
func (c *Core) handleDigest(now mono.Time, from host.Session, n *neighbor, m *Digest) {
	if len(m.Revisions) == 0 {
		return
	}
	n.kinds = len(m.Revisions)
	copy(n.revisions, m.Revisions)
	copy(n.sentTo, m.Revisions)
	n.child = m.Child
	n.caughtUp = m.CaughtUp
	n.fresh = m.StoreAge < uint32(c.cfg.MaxStoreAge/time.Millisecond)
	if m.Relay {
		n.relaySeen = now
	}
	n.hosts = m.Hosts
	n.inForce = m.InForce
	c.noteAwaited(now, n)
	c.noteStoreAge(now, m.StoreAge)
	c.adoptStaged(now)
	served := c.compare(now, from, n)
	if m.WantAnswer && (!served || !m.CaughtUp) {
		c.sendDigest(now, from, false)
	}
	c.finishJoin(now)
}

// noteAwaited records since when this daemon knows that it lacks changes of the first
// kind.
func (c *Core) noteAwaited(now mono.Time, n *neighbor) {
	known := c.states[0].knownTo()
	if c.awaited <= known {
		c.awaitedFrom = mono.Never
	}
	if c.awaitedFrom == mono.Never && n.revisions[0] > known {
		c.awaited, c.awaitedFrom = n.revisions[0], now
	}
}

// compare sends changes to a daemon that is behind, and asks one that is ahead
// for its changes, of the kinds that both have. It reports whether it sent changes.
func (c *Core) compare(now mono.Time, with host.Session, n *neighbor) bool {
	if c.disabled.compare {
		return false
	}
	served := false
	for i, s := range c.states[:min(n.kinds, len(c.states))] {
		served = c.serve(now, with, n, i) || served
		if n.revisions[i] > s.knownTo() {
			c.requestChanges(now, with, i)
		}
	}
	return served
}

// serve sends a daemon that is behind the changes that it lacks if they fit into
// Config.PushBytes, and reports whether it did. Larger ones are sent only on request:
// the daemon may report the same revision several times before they arrive, or have
// them from another one. A daemon whose revision is below forgottenTo has to request
// changes too, and then receives a snapshot.
func (c *Core) serve(now mono.Time, to host.Session, n *neighbor, i int) bool {
	s := c.states[i]
	after := n.revisions[i]
	if after >= s.revision {
		return false
	}
	items, upTo := s.changesSince(after, c.cfg.PushBytes, false)
	if after < s.forgottenTo || totalBytes(items) > c.cfg.PushBytes {
		c.offer(now, to, n, i)
		return false
	}
	c.send(to, &Objects{Kind: uint8(i), After: after, UpTo: upTo, Items: items})
	return true
}

// offer tells a daemon of this one's revision of a kind, unless it has been told.
// Should that message be lost, the answer to the daemon's next heartbeat tells it.
func (c *Core) offer(now mono.Time, to host.Session, n *neighbor, i int) {
	if n.told[i] < c.states[i].revision {
		c.sendDigest(now, to, false)
	}
}

// requestChanges requests the changes of a kind that this daemon lacks, unless
// an earlier ChangesRequest for the kind is still unanswered and younger than
// askAgainAfter.
func (c *Core) requestChanges(now mono.Time, to host.Session, i int) {
	if now.Sub(c.askedAt[i]) < c.askAgainAfter(to, i) {
		return
	}
	c.askedAt[i] = now
	c.askedOf[i] = to
	request := &ChangesRequest{Kind: uint8(i), After: c.states[i].revision, Whole: c.needWhole[i]}
	if cur := c.cursors[i]; cur.active && cur.from == to {
		request.Cursor = cur.lastName
	}
	c.send(to, request)
}

// handleChangesRequest answers with the changes asked for, or with a part of a
// snapshot if deletions since the asked revision have been forgotten.
func (c *Core) handleChangesRequest(from host.Session, m *ChangesRequest) {
	if int(m.Kind) >= len(c.states) {
		return
	}
	s := c.states[m.Kind]
	if m.After < s.forgottenTo {
		items, last := s.snapshotPage(m, c.cfg.MessageBytes)
		c.send(from, &Objects{Kind: m.Kind, UpTo: s.revision, Snapshot: true, First: m.Cursor, Last: last, Items: items})
		return
	}
	items, upTo := s.changesSince(m.After, c.cfg.MessageBytes, m.Whole)
	c.send(from, &Objects{Kind: m.Kind, After: m.After, UpTo: upTo, Items: items})
}

// handleObjects applies received objects. If they raised this daemon's
// revision, it informs its children and the sender, a reader the whole zone, and requests the changes that the
// sender has beyond them.
func (c *Core) handleObjects(now mono.Time, from host.Session, m *Objects) {
	if int(m.Kind) >= len(c.states) {
		return
	}
	if m.isWritten() {
		c.handleWritten(now, from, m)
		return
	}
	i := int(m.Kind)
	c.askedAt[i] = mono.Never
	before, newest := c.states[i].revision, c.states[i].newest()
	if m.Snapshot {
		c.applySnapshotPart(now, from, i, m)
	} else {
		c.applyChanges(now, from, i, m)
	}
	if c.states[i].revision == before {
		return
	}
	if n := c.neighbors[from]; n.revisions[i] > c.states[i].knownTo() {
		c.requestChanges(now, from, i)
	}
	c.pushAll(now, i)
	if c.states[i].newest() > newest && c.isReader() {
		c.announce(now, i)
	}
	c.sendDigest(now, from, false)
	c.finishJoin(now)
}

// applyChanges applies changes. It asks for those it lacks if the message starts
// after the known revision, and for full values if a difference could not be
// applied.
func (c *Core) applyChanges(now mono.Time, from host.Session, i int, m *Objects) {
	s := c.states[i]
	allApplied := c.putAll(now, i, m.Items, false)
	c.needWhole[i] = !allApplied
	if allApplied && m.After <= s.revision && m.UpTo > s.revision {
		s.revision = m.UpTo
		return
	}
	if !allApplied || m.After > s.revision {
		c.requestChanges(now, from, i)
	}
}

// applySnapshotPart applies a part of a snapshot and asks for the next one. The
// parts of a snapshot come from one daemon, in the order of names; any other
// part is ignored. If it refers to a version that is not held here, the snapshot is asked
// for from the beginning, with full values.
func (c *Core) applySnapshotPart(now mono.Time, from host.Session, i int, m *Objects) {
	cur := &c.cursors[i]
	if m.First == "" {
		*cur = cursor{active: true, from: from, upTo: m.UpTo}
	}
	if !cur.active || cur.from != from || cur.lastName != m.First {
		return
	}
	cur.upTo = min(cur.upTo, m.UpTo)
	s := c.states[i]
	deletions := s.missingFrom(m.First, m.Last, m.UpTo, m.Items)
	if !c.putAll(now, i, m.Items, false) {
		*cur = cursor{}
		c.needWhole[i] = true
		c.requestChanges(now, from, i)
		return
	}
	c.putAll(now, i, deletions, false)
	if m.Last == "" {
		c.needWhole[i] = false
		s.revision = max(s.revision, cur.upTo)
		s.forgottenTo = max(s.forgottenTo, cur.upTo)
		*cur = cursor{}
		return
	}
	cur.lastName = m.Last
	c.requestChanges(now, from, i)
}

// pushAll informs the children of a change: it sends the change itself if it
// fits into Config.PushBytes, and a Digest otherwise.
func (c *Core) pushAll(now mono.Time, i int) {
	s := c.states[i]
	for _, to := range c.neighborsByRank() {
		n := c.neighbors[to]
		after := n.sentTo[i]
		if !n.child || !n.has(i) || !c.heardRecently(now, n) || after >= s.revision {
			continue
		}
		items, upTo := s.changesSince(after, c.cfg.PushBytes, false)
		if after < s.forgottenTo || upTo < s.revision || totalBytes(items) > c.cfg.PushBytes {
			c.sendDigest(now, to, false)
			continue
		}
		c.send(to, &Objects{Kind: uint8(i), After: after, UpTo: upTo, Items: items})
		n.sentTo[i] = upTo
	}
}

func totalBytes(items []Object) int {
	sum := 0
	for _, o := range items {
		sum += o.approxBytes()
	}
	return sum
}
