package takeover

import (
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/result"
	"github.com/rhubarbring/rhubarbring/session"
)

// Tick starts and advances takeovers as time passes. It must be called at least
// every 50 ms.
func (c *Core) Tick(now mono.Time) []Action {
	if c.started == mono.Never {
		c.started = now
	}
	for _, s := range c.witness.SilentSessions(now) {
		if c.attempts[s] == nil {
			c.startAttempt(now, s)
		}
	}
	c.readOrphans(now)
	c.startTakeoversWithoutSeals(now)
	for _, s := range c.sortedAttempts() {
		c.advance(now, c.attempts[s])
	}
	return c.flush()
}

// RecordObserved handles a record that was received from a watch, a peer or a list.
func (c *Core) RecordObserved(now mono.Time, v session.VersionedRecord) []Action {
	c.handleRecord(now, v)
	return c.flush()
}

// RecordDeleted handles the deletion of a session's record.
func (c *Core) RecordDeleted(now mono.Time, s host.Session) []Action {
	c.witness.MarkEnded(s)
	delete(c.observed, s)
	delete(c.witnessSets, s)
	delete(c.endedWitnesses, s)
	delete(c.orphans, s)
	if a := c.attempts[s]; a != nil {
		c.fire(now, a, "ended")
	}
	return c.flush()
}

// GetResult handles the outcome of a Get.
func (c *Core) GetResult(now mono.Time, r session.GetResult) []Action {
	a := c.attempts[r.Session]
	switch r.Code {
	case result.OK:
		c.handleRecord(now, r.Found)
	case result.StoreNotFound:
		return c.RecordDeleted(now, r.Session)
	}
	if a == nil || a.final() || r.Code == result.OK {
		return c.flush()
	}
	if !a.writer.Idle() {
		c.writeHandler(now, a)(a.writer.GetResult(now, r))
		return c.flush()
	}
	c.fire(now, a, "unread")
	return c.flush()
}

// PutResult handles the outcome of a Put. Writes are matched by token.
func (c *Core) PutResult(now mono.Time, r session.PutResult) []Action {
	for _, s := range c.sortedAttempts() {
		a := c.attempts[s]
		if !a.writer.Idle() && a.writer.Pending().Record.Token == r.Token {
			c.writeHandler(now, a)(a.writer.PutResult(now, r))
		}
	}
	return c.flush()
}

// HandleSealRequests handles another witness's request to seal sessions. It
// answers each with a seal, or lists the session as not sealed: it is not
// silent here, or this witness knows it as ended. An attempt of its own that
// still waits for its turn is put off by yieldDelay, so that the witness that
// asked goes first.
func (c *Core) HandleSealRequests(now mono.Time, m SealRequests) []Action {
	if m.To != c.cfg.Self {
		c.dropped++
		return nil
	}
	for _, ask := range m.List {
		c.witness.ObserveNamed(now, ask.Session, ask.Generation, ask.Rank)
		if s, ok := c.witness.Seal(now, ask.Session); ok {
			c.outbox.seal(m.From, s)
		} else {
			c.outbox.heard(m.From, ask.Session)
		}
		if a := c.attempts[ask.Session]; a != nil && a.state == takeoverChart.Initial {
			a.due = max(a.due, now.Add(yieldDelay))
		}
	}
	return c.flush()
}

// HandleSealResponse handles the answer of another witness. Only seals made by
// the sender count.
func (c *Core) HandleSealResponse(now mono.Time, m SealResponse) []Action {
	if m.To != c.cfg.Self {
		c.dropped++
		return nil
	}
	for _, s := range m.Alive {
		if a := c.attempts[s]; a != nil {
			a.lastHeard = now
		}
	}
	for _, s := range m.List {
		a := c.attempts[s.Session]
		if a == nil || s.Witness != m.From || !a.addSeal(now, s, m.Seq) {
			c.dropped++
			continue
		}
		c.countSeals(now, a)
	}
	return c.flush()
}
