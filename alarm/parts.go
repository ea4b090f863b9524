package alarm

import (
	"maps"
	"slices"
)

// setParts replaces the parts of the fleet about which information is
// expected.
func (c *Core) setParts(now Instant, names []string) {
	wanted := make(map[string]bool, len(names))
	for _, name := range names {
		wanted[name] = true
		if _, known := c.lastSeen[name]; !known {
			c.lastSeen[name] = now.Mono
		}
	}
	for _, name := range slices.Sorted(maps.Keys(c.lastSeen)) {
		if !wanted[name] {
			delete(c.lastSeen, name)
			c.ended(now, conditionKey{CannotSee, name})
		}
	}
}

// seen records that information about a part was received, and ends its CannotSee
// condition. A part that is not expected is ignored.
func (c *Core) seen(now Instant, part string) {
	if _, known := c.lastSeen[part]; !known {
		return
	}
	c.lastSeen[part] = now.Mono
	c.ended(now, conditionKey{CannotSee, part})
}

// checkParts begins a CannotSee condition for each part about which nothing
// has been received for Bounds.CannotSee.
func (c *Core) checkParts(now Instant) {
	for _, name := range slices.Sorted(maps.Keys(c.lastSeen)) {
		since := c.lastSeen[name]
		if now.Mono.Sub(since) >= c.cfg.Bounds.CannotSee {
			c.began(now, Condition{Kind: CannotSee, Subject: name, Cause: "no news of " + name}, since)
		}
	}
}
