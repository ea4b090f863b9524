package takeover

import (
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/result"
	"github.com/rhubarbring/rhubarbring/session"
)

// Tick says that time has passed. It is due at least every 50 ms.
func (c *Core) Tick(now mono.Time) []Action {
	if c.started == mono.Never {
		c.started = now
	}
	for _, s := range c.witness.Silent(now) {
		if c.attempts[s] == nil {
			c.begin(now, s)
		}
	}
	c.watchRecords(now)
	for _, s := range c.order() {
		c.follow(now, c.attempts[s])
	}
	return c.flush()
}

// Seen takes a record that a watch, a peer or a list showed.
func (c *Core) Seen(now mono.Time, v session.Versioned) []Action {
	c.learn(now, v)
	return c.flush()
}

// Deleted takes word that a session's record was deleted.
func (c *Core) Deleted(now mono.Time, s host.Session) []Action {
	c.witness.End(s)
	delete(c.observed, s)
	delete(c.witnessed, s)
	delete(c.over, s)
	if a := c.attempts[s]; a != nil {
		c.take(now, a, "ended")
	}
	return c.flush()
}

// GetResult takes the outcome of a Get.
func (c *Core) GetResult(now mono.Time, r session.GetResult) []Action {
	a := c.attempts[r.Session]
	switch r.Code {
	case result.OK:
		c.learn(now, r.Found)
	case result.StoreNotFound:
		return c.Deleted(now, r.Session)
	}
	if a == nil || a.over() || r.Code == result.OK {
		return c.flush()
	}
	if !a.writer.Idle() {
		c.written(now, a)(a.writer.GetResult(now, r))
		return c.flush()
	}
	c.take(now, a, "unread")
	return c.flush()
}

// PutResult takes the outcome of a Put.
func (c *Core) PutResult(now mono.Time, r session.PutResult) []Action {
	for _, s := range c.order() {
		a := c.attempts[s]
		if !a.writer.Idle() && a.writer.Pending().Record.Token == r.Token {
			c.written(now, a)(a.writer.PutResult(now, r))
		}
	}
	return c.flush()
}

// Asked takes the question of another witness.
func (c *Core) Asked(now mono.Time, m Asks) []Action {
	if m.To != c.cfg.Self {
		c.stale++
		return nil
	}
	for _, ask := range m.List {
		c.witness.LearnNamed(now, ask.Session, ask.Generation, ask.Rank)
		if s, ok := c.witness.Seal(now, ask.Session); ok {
			c.out.seal(m.From, s)
		} else {
			c.out.heard(m.From, ask.Session)
		}
		if a := c.attempts[ask.Session]; a != nil && a.state == takeoverChart.Initial {
			a.due = max(a.due, now.Add(yieldDelay))
		}
	}
	return c.flush()
}

// Sealed takes the seals of another witness.
func (c *Core) Sealed(now mono.Time, m Seals) []Action {
	if m.To != c.cfg.Self {
		c.stale++
		return nil
	}
	for _, s := range m.Heard {
		if a := c.attempts[s]; a != nil {
			a.heard = now
		}
	}
	for _, s := range m.List {
		a := c.attempts[s.Session]
		if a == nil || s.Witness != m.From || !a.add(now, s, m.Seq) {
			c.stale++
			continue
		}
		c.count(now, a)
	}
	return c.flush()
}
