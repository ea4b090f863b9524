package grant

import (
	"cmp"
	"slices"
	"time"

	"github.com/rhubarbring/rhubarbring/mono"
)

// Answer returns the answer to a heartbeat that arrived now. It counts as taken
// from the moment at which it is returned, whether it reaches the target or not.
func (c *HeartbeatCore) Answer(now mono.Time) HeartbeatAnswer {
	hold := c.cfg.holdTime(now, c.leaseEnd)
	if hold < c.cfg.MinHold || len(c.holdings) == 0 {
		for _, h := range c.holdings {
			h.offered = false
		}
		return HeartbeatAnswer{}
	}
	a := HeartbeatAnswer{Rows: c.fittingRows(), Hold: hold}
	c.expected.answered(a.Rows)
	for s, h := range c.holdings {
		if _, granted := c.expected.granted[s]; granted {
			c.markOffered(now, h, hold)
			continue
		}
		if !h.withheld {
			a.Deferred++
		}
		h.offered = false
		h.heldUntil = mono.Never
		if c.disabled.waitForFree {
			h.mayHoldUntil = mono.Never
		}
	}
	c.rows = len(a.Rows)
	return a
}

// markOffered records that an answer grants a slice for the given time.
func (c *HeartbeatCore) markOffered(now mono.Time, h *holding, hold time.Duration) {
	longest := c.cfg.longestHold(hold)
	if c.disabled.drift {
		longest = hold
	}
	if !h.reported {
		h.heldFrom = now.Add(AnswerTransit)
	}
	h.offered = true
	h.heldUntil = now.Add(hold - c.cfg.Slack)
	if h.reported || !c.disabled.lostAnswers {
		h.mayHoldUntil = latest(h.mayHoldUntil, now.Add(longest))
	}
}

// fittingRows returns the rows of an answer that are within Config.MaxAnswerBytes.
// Renewals come before new grants, and long rows before short ones.
func (c *HeartbeatCore) fittingRows() []Row {
	rows := append(c.renewals(), c.newGrants()...)
	left := c.cfg.MaxAnswerBytes
	for i := range rows {
		left -= rows[i].size()
		if left < 0 {
			return rows[:i]
		}
	}
	return rows
}

// renewals returns the rows of the slices that the target reports to hold.
func (c *HeartbeatCore) renewals() []Row {
	return c.rowsOf(func(h *holding) bool { return h.reported })
}

// newGrants returns the rows of the other slices. The target takes or refuses a
// row as a whole, so that they share none with renewals, and those that it has
// ignored before none with each other.
func (c *HeartbeatCore) newGrants() []Row {
	rows := c.rowsOf(func(h *holding) bool { return !h.reported && h.misses == 0 })
	for _, s := range c.sortedSlices() {
		if h := c.holdings[s]; !h.withheld && !h.reported && h.misses > 0 {
			rows = append(rows, Row{Range: Range{App: s.App, First: s.ID, Last: s.ID}, Epoch: h.epoch, Token: h.token})
		}
	}
	return rows
}

// rowsOf joins the matching slices that are not withheld into rows, the longest
// first.
func (c *HeartbeatCore) rowsOf(matches func(*holding) bool) []Row {
	var rows []Row
	for _, s := range c.sortedSlices() {
		h := c.holdings[s]
		if h.withheld || !matches(h) {
			continue
		}
		if n := len(rows); n > 0 && rows[n-1].extend(s, h.epoch, h.token) {
			continue
		}
		rows = append(rows, Row{Range: Range{App: s.App, First: s.ID, Last: s.ID}, Epoch: h.epoch, Token: h.token})
	}
	slices.SortStableFunc(rows, func(a, b Row) int { return cmp.Compare(b.length(), a.length()) })
	return rows
}
