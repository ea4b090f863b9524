package document

import (
	"fmt"
	"time"

	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/key"
)

// Bounds that the schema can't express.
const (
	// MinDeadline is the shortest default deadline.
	MinDeadline = time.Millisecond
	// MaxDeadline is the longest maximum deadline. A takeover may have to wait
	// that long.
	MaxDeadline = 30 * time.Second
	// MaxSlices is the largest number of slices of an app.
	MaxSlices = 1 << 20
	// MinHotKeyExpiry is the shortest expiry of hot keys. A shorter one would
	// make keys move back and forth.
	MinHotKeyExpiry = 10 * time.Second
	// MinAlarmBound is the shortest alarm bound. A shorter one would raise
	// alarms for faults that usually recover without intervention.
	MinAlarmBound = time.Second
	// MaxAlarmBound is the longest alarm bound, and the longest expiry of hot
	// keys.
	MaxAlarmBound = time.Hour
	// MaxColdStart is the longest time for which a target counts as cold after it
	// has started.
	MaxColdStart = time.Hour
)

// check returns the problems that the schema can't express. Fields that the
// schema refused are zero here; Parse drops the problems found in those.
func check(d *Document) Problems {
	c := &checker{doc: d}
	c.names()
	c.regions()
	c.links()
	c.apps()
	c.routes()
	c.callerLimits()
	c.alarm()
	return c.problems
}

type checker struct {
	doc      *Document
	problems Problems
}

// add records a problem. Parse fills in its Value.
func (c *checker) add(field, reason, remedy string) {
	c.problems = append(c.problems, Problem{Field: field, Reason: reason, Remedy: remedy})
}

func (c *checker) names() {
	if c.doc.Environment != "" && c.doc.Environment == c.doc.Trial {
		c.add("trial", "the trial is the environment itself", "name another environment, in which a mistake does no harm")
	}
}

func (c *checker) regions() {
	regions := make(map[host.Region]int)
	zones := make(map[host.Zone]host.Region)
	for i, r := range c.doc.Regions {
		if first, twice := regions[r.Name]; twice && r.Name != "" {
			c.add(fmt.Sprintf("regions[%d].name", i), fmt.Sprintf("regions[%d] has the same name", first), "give each region a name of its own")
		}
		regions[r.Name] = i
		for j, z := range r.Zones {
			if owner, twice := zones[z]; twice && z != "" {
				c.add(fmt.Sprintf("regions[%d].zones[%d]", i, j), fmt.Sprintf("region %s has an availability zone of this name", owner), "give each availability zone a name of its own")
			}
			zones[z] = r.Name
		}
	}
}

func (c *checker) links() {
	known := make(map[host.Region]bool)
	for _, r := range c.doc.Regions {
		known[r.Name] = true
	}
	for i, l := range c.doc.Links {
		c.link(i, l, known)
	}
	for i, a := range c.doc.Regions {
		for _, b := range c.doc.Regions[i+1:] {
			if a.Name == b.Name || a.Name == "" || b.Name == "" {
				continue
			}
			if _, ok := c.doc.Link(a.Name, b.Name); !ok {
				c.add(fmt.Sprintf("links[%d]", len(c.doc.Links)), fmt.Sprintf("no link joins %s and %s", a.Name, b.Name), "add one with between, bits_per_second, request_share and control_share")
			}
		}
	}
}

func (c *checker) link(i int, l Link, known map[host.Region]bool) {
	at := fmt.Sprintf("links[%d]", i)
	if l.RequestShare+l.ControlShare > 1 {
		c.add(at+".request_share", fmt.Sprintf("with control_share %v it exceeds 1", l.ControlShare), "lower one of the shares")
	}
	if min(l.RequestShare, l.ControlShare) < 0 {
		c.add(at+".request_share", "a share is negative", "write shares from 0 to 1")
	}
	if l.BitsPerSecond <= 0 {
		c.add(at+".bits_per_second", "it is not above 0", "write the link's capacity")
	}
	if len(l.Between) != 2 {
		c.add(at+".between", fmt.Sprintf("it names %d regions", len(l.Between)), "name the two regions that it joins")
		return
	}
	for j, r := range l.Between {
		if !known[r] {
			c.add(fmt.Sprintf("%s.between[%d]", at, j), "no region has this name", "name one of the regions")
		}
	}
	if l.Between[0] == l.Between[1] {
		c.add(at+".between[1]", "the link joins a region to itself", "name the two regions that it joins")
	}
	for j, earlier := range c.doc.Links[:i] {
		if earlier.joins(l.Between[0], l.Between[1]) {
			c.add(at+".between", fmt.Sprintf("links[%d] joins the same regions", j), "keep one link for each pair of regions")
		}
	}
}

func (c *checker) apps() {
	if len(c.doc.Apps) == 0 {
		c.add("apps", "it lists no app", "list the apps")
	}
	names := make(map[key.App]int)
	for i, a := range c.doc.Apps {
		at := fmt.Sprintf("apps[%d]", i)
		if first, twice := names[a.Name]; twice && a.Name != "" {
			c.add(at+".name", fmt.Sprintf("apps[%d] has the same name", first), "give each app a name of its own")
		}
		names[a.Name] = i
		c.partitioning(at, a)
		c.limits(at, a)
		c.deadline(at, a.Deadline)
		c.weights(at, a.Weights)
		if a.HotKeys != nil {
			c.duration(at+".hot_keys.expiry", a.HotKeys.Expiry, MinHotKeyExpiry, MaxAlarmBound)
		}
	}
}

func (c *checker) partitioning(at string, a App) {
	if a.DividedByKey && a.Slices == 0 {
		c.add(at+".slices", "an app divided by key needs slices", "add the number of slices, about 40 for each target that the app may grow to")
	}
	if !a.DividedByKey && a.Slices != 0 {
		c.add(at+".slices", "an app that is not divided by key has no slices", "remove slices, or set divided_by_key to true")
	}
	if a.KeyNumbers != 0 && a.KeyNumbers < a.Slices {
		c.add(at+".key_numbers", fmt.Sprintf("there are more slices, %d", a.Slices), "write at least the number of slices, or lower that")
	}
	if a.KeyNumbers != 0 && a.HotKeys != nil {
		c.add(at+".hot_keys", "keys that are numbers are not carved out", "remove hot_keys, or take more slices")
	}
	if !a.DividedByKey && a.HotKeys != nil {
		c.add(at+".hot_keys", "an app that is not divided by key has no hot keys", "remove hot_keys, or set divided_by_key to true")
	}
	if a.DividedByKey && a.MaxMovesPerRound > int(a.Slices) && a.Slices > 0 {
		c.add(at+".max_moves_per_round", fmt.Sprintf("the app has only %d slices", a.Slices), "write at most the number of slices; a tenth of it is usual")
	}
}

// limits checks the numbers that would make a daemon fail or hold without end if
// they were out of range.
func (c *checker) limits(at string, a App) {
	if a.Slices > MaxSlices {
		c.add(at+".slices", fmt.Sprintf("it is above %d", MaxSlices), fmt.Sprintf("write %d or less", MaxSlices))
	}
	if a.ColdStart != 0 {
		c.duration(at+".cold_start", a.ColdStart, 0, MaxColdStart)
	}
	if a.ColdStart != 0 && a.ColdRequestsPerSecond == 0 {
		c.add(at+".cold_start", "cold targets of the app have no limit", "add cold_requests_per_second, or remove cold_start")
	}
	c.notNegative(at+".queue_bound", a.QueueBound)
	c.notNegative(at+".target_connections", a.TargetConnections)
	c.notNegative(at+".max_moves_per_round", a.MaxMovesPerRound)
	if a.RetryBudget < 0 || a.RetryBudget > 1 {
		c.add(at+".retry_budget", "it is not from 0 to 1", "write a part such as 0.1")
	}
	c.hedgeBudget(at, a)
	if min(a.Weights.Imbalance, a.Weights.Churn, a.Weights.Unavailable) < 0 {
		c.add(at+".weights", "a weight is negative", "write weights of 0 or more")
	}
	switch a.GrantDelivery {
	case "", GrantsByCall, GrantsByHeartbeat:
	default:
		c.add(at+".grant_delivery", "there is no such delivery", `write "call" or "heartbeat"`)
	}
}

// maxHedgeBudget is the highest budget of second attempts. With more they would use
// up what the fleet may send again in all.
const maxHedgeBudget = 0.2

func (c *checker) hedgeBudget(at string, a App) {
	if a.HedgeBudget < 0 || a.HedgeBudget > maxHedgeBudget {
		c.add(at+".hedge_budget", fmt.Sprintf("it is not from 0 to %v", maxHedgeBudget), "write a part such as 0.05")
	}
	if a.HedgeBudget > 0 && a.DividedByKey {
		c.add(at+".hedge_budget", "each key of an app divided by key has one owner, so that no second target may run a request", "remove hedge_budget")
	}
}

func (c *checker) notNegative(at string, n int) {
	if n < 0 {
		c.add(at, "it is below 0", "write 0 or more")
	}
}

func (c *checker) deadline(at string, d Deadline) {
	c.duration(at+".deadline.default", d.Default, MinDeadline, MaxDeadline)
	c.duration(at+".deadline.maximum", d.Maximum, MinDeadline, MaxDeadline)
	if d.Maximum != 0 && d.Maximum < d.Default {
		c.add(at+".deadline.maximum", fmt.Sprintf("it is shorter than the default of %s", d.Default), "raise the maximum or lower the default")
	}
}

func (c *checker) weights(at string, w Weights) {
	if w.Imbalance+w.Churn+w.Unavailable == 0 {
		c.add(at+".weights", "all weights are 0", "give at least one of them a value above 0")
	}
}

func (c *checker) alarm() {
	a := c.doc.Alarm
	c.duration("alarm.unowned_key", a.UnownedKey, MinAlarmBound, MaxAlarmBound)
	c.duration("alarm.document_not_in_force", a.DocumentNotInForce, MinAlarmBound, MaxAlarmBound)
	c.duration("alarm.assignment_at_risk", a.AssignmentAtRisk, MinAlarmBound, MaxAlarmBound)
	c.duration("alarm.cannot_see", a.CannotSee, MinAlarmBound, MaxAlarmBound)
}

func (c *checker) duration(at string, d Duration, least, most time.Duration) {
	if d.Std() < least {
		c.add(at, fmt.Sprintf("it is shorter than %s", least), fmt.Sprintf("write a duration from %s to %s", least, most))
	}
	if d.Std() > most {
		c.add(at, fmt.Sprintf("it is longer than %s", most), fmt.Sprintf("write a duration from %s to %s", least, most))
	}
}
