package alarm

import "sort"

// setParts replaces the parts of the fleet from which news is expected.
func (c *Core) setParts(now Clock, names []string) {
	wanted := make(map[string]bool, len(names))
	for _, name := range names {
		wanted[name] = true
		if _, known := c.lastSeen[name]; !known {
			c.lastSeen[name] = now.Mono
		}
	}
	for _, name := range c.partNames() {
		if !wanted[name] {
			delete(c.lastSeen, name)
			c.ended(now, riskKey{CannotSee, name})
		}
	}
}

// seen records news of a part and ends its CannotSee condition. A part that is
// not expected is ignored.
func (c *Core) seen(now Clock, part string) {
	if _, known := c.lastSeen[part]; !known {
		return
	}
	c.lastSeen[part] = now.Mono
	c.ended(now, riskKey{CannotSee, part})
}

// checkParts begins a CannotSee condition for each part without news for
// Bounds.CannotSee.
func (c *Core) checkParts(now Clock) {
	for _, name := range c.partNames() {
		since := c.lastSeen[name]
		if now.Mono.Sub(since) >= c.cfg.Bounds.CannotSee {
			c.began(now, Condition{Kind: CannotSee, Subject: name, Cause: "no news of " + name}, since)
		}
	}
}

func (c *Core) partNames() []string {
	names := make([]string, 0, len(c.lastSeen))
	for name := range c.lastSeen {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
