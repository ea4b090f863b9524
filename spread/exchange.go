package spread

import (
	"time"

	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/mono"
)

// askAgain is the time after which an Ask without an answer is repeated.
const askAgain = 2 * time.Second

// cursor is the state of a snapshot that is being received.
type cursor struct {
	active bool
	from   host.Session
	last   string
	upTo   uint64
}

func (c *Core) receive(now mono.Time, ev Received) {
	n := c.neighbors[ev.From]
	if n == nil {
		n = &neighbor{relayed: mono.Never, have: make([]uint64, len(c.shelves)), sent: make([]uint64, len(c.shelves))}
		c.neighbors[ev.From] = n
	}
	n.heard = now
	c.tree.trust(ev.From)
	switch m := ev.Message.(type) {
	case *Have:
		c.heardHave(now, ev.From, n, m)
	case *Ask:
		c.heardAsk(ev.From, m)
	case *Objects:
		c.heardObjects(now, ev.From, m)
	}
}

func (c *Core) heardHave(now mono.Time, from host.Session, n *neighbor, m *Have) {
	if len(m.Revisions) != len(c.shelves) {
		return
	}
	copy(n.have, m.Revisions)
	copy(n.sent, m.Revisions)
	n.child = m.Child
	n.ready = m.Ready
	n.fresh = m.StoreAge < uint32(c.cfg.FreshFor/time.Millisecond)
	if m.Relay {
		n.relayed = now
	}
	n.hosts = m.Hosts
	n.inForce = m.InForce
	c.hearStoreAge(now, m.StoreAge)
	c.release(now)
	served := c.compare(now, from, n)
	if m.Answer && (!served || !m.Ready) {
		c.sendHave(now, from, false)
	}
	c.join(now)
}

// compare serves a daemon that is behind, and asks one that is ahead. It
// reports whether it sent something.
func (c *Core) compare(now mono.Time, with host.Session, n *neighbor) bool {
	if c.skip.compare {
		return false
	}
	served := false
	for i, s := range c.shelves {
		served = c.serve(with, n, i) || served
		if n.have[i] > s.known() {
			c.ask(now, with, i)
		}
	}
	return served
}

// serve sends a daemon that is behind the next changes that it lacks. One
// that is behind the forgotten deletions has to ask for a snapshot.
func (c *Core) serve(to host.Session, n *neighbor, i int) bool {
	s := c.shelves[i]
	after := n.have[i]
	if after >= s.revision || after < s.forgotten {
		return false
	}
	items, upTo := s.since(after, c.cfg.MessageBytes, false)
	c.send(to, &Objects{Kind: uint8(i), After: after, UpTo: upTo, Items: items})
	return true
}

// ask asks for what this daemon lacks, unless a question is open.
func (c *Core) ask(now mono.Time, to host.Session, i int) {
	if now.Sub(c.asked[i]) < askAgain {
		return
	}
	c.asked[i] = now
	ask := &Ask{Kind: uint8(i), After: c.shelves[i].revision, Whole: c.wholeNext[i]}
	if cur := c.cursors[i]; cur.active && cur.from == to {
		ask.Cursor = cur.last
	}
	c.send(to, ask)
}

func (c *Core) heardAsk(from host.Session, m *Ask) {
	if int(m.Kind) >= len(c.shelves) {
		return
	}
	s := c.shelves[m.Kind]
	if m.After < s.forgotten {
		items, last := s.page(m.Cursor, c.cfg.MessageBytes)
		c.send(from, &Objects{Kind: m.Kind, UpTo: s.revision, Snapshot: true, First: m.Cursor, Last: last, Items: items})
		return
	}
	items, upTo := s.since(m.After, c.cfg.MessageBytes, m.Whole)
	c.send(from, &Objects{Kind: m.Kind, After: m.After, UpTo: upTo, Items: items})
}

func (c *Core) heardObjects(now mono.Time, from host.Session, m *Objects) {
	if int(m.Kind) >= len(c.shelves) {
		return
	}
	i := int(m.Kind)
	c.asked[i] = mono.Never
	before := c.shelves[i].revision
	if m.Snapshot {
		c.takeSnapshot(now, from, i, m)
	} else {
		c.takeChanges(now, from, i, m)
	}
	if c.shelves[i].revision == before {
		return
	}
	c.pushAll(now, i)
	c.sendHave(now, from, false)
	c.join(now)
}

func (c *Core) takeChanges(now mono.Time, from host.Session, i int, m *Objects) {
	s := c.shelves[i]
	fits := c.takeAll(now, i, m.Items, false)
	c.wholeNext[i] = !fits
	if fits && m.After <= s.revision && m.UpTo > s.revision {
		s.revision = m.UpTo
		return
	}
	if !fits || m.After > s.revision {
		c.ask(now, from, i)
	}
}

// takeSnapshot takes a part of a snapshot, and asks for the next. Parts come
// from one daemon, in the order of names.
func (c *Core) takeSnapshot(now mono.Time, from host.Session, i int, m *Objects) {
	cur := &c.cursors[i]
	if m.First == "" {
		*cur = cursor{active: true, from: from, upTo: m.UpTo}
	}
	if !cur.active || cur.from != from || cur.last != m.First {
		return
	}
	cur.upTo = min(cur.upTo, m.UpTo)
	s := c.shelves[i]
	gone := s.missing(m.First, m.Last, m.UpTo, m.Items)
	c.takeAll(now, i, m.Items, false)
	c.takeAll(now, i, gone, false)
	if m.Last == "" {
		s.revision = max(s.revision, cur.upTo)
		s.forgotten = max(s.forgotten, cur.upTo)
		*cur = cursor{}
		return
	}
	cur.last = m.Last
	c.ask(now, from, i)
}

// pushAll tells the children of a change: with it if it is short, else only
// that there is one.
func (c *Core) pushAll(now mono.Time, i int) {
	s := c.shelves[i]
	for _, to := range c.known() {
		n := c.neighbors[to]
		after := n.sent[i]
		if !n.child || !c.recent(now, n) || after >= s.revision {
			continue
		}
		items, upTo := s.since(after, c.cfg.PushBytes, false)
		if after < s.forgotten || upTo < s.revision || size(items) > c.cfg.PushBytes {
			c.sendHave(now, to, false)
			continue
		}
		c.send(to, &Objects{Kind: uint8(i), After: after, UpTo: upTo, Items: items})
		n.sent[i] = upTo
	}
}

func size(items []Object) int {
	sum := 0
	for _, o := range items {
		sum += o.bytes()
	}
	return sum
}
