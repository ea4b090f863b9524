package alarm

import "sort"

// setParts takes the parts of the fleet that the alarm is to see.
func (c *Core) setParts(now Clock, names []string) {
	wanted := make(map[string]bool, len(names))
	for _, name := range names {
		wanted[name] = true
		if _, known := c.parts[name]; !known {
			c.parts[name] = now.Mono
		}
	}
	for _, name := range c.partNames() {
		if !wanted[name] {
			delete(c.parts, name)
			c.ended(now, thing{CannotSee, name})
		}
	}
}

// seen notes news of a part.
func (c *Core) seen(now Clock, part string) {
	if _, known := c.parts[part]; !known {
		return
	}
	c.parts[part] = now.Mono
	c.ended(now, thing{CannotSee, part})
}

// checkParts says which parts it has had no news of for too long.
func (c *Core) checkParts(now Clock) {
	for _, name := range c.partNames() {
		since := c.parts[name]
		if now.Mono.Sub(since) >= c.cfg.Bounds.CannotSee {
			c.began(now, Condition{Kind: CannotSee, Subject: name, Cause: "no news of " + name}, since)
		}
	}
}

func (c *Core) partNames() []string {
	names := make([]string, 0, len(c.parts))
	for name := range c.parts {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
