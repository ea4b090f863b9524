package grant

import (
	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/mono"
)

const (
	// lostAnswersBeforeMiss is how many answers in a row may leave no trace in
	// the next heartbeat before the target counts as refusing what they granted.
	lostAnswersBeforeMiss = 2
	// missesBeforeRefusal is how many grants of a slice the target must ignore,
	// although it took others, before the grant counts as refused.
	missesBeforeRefusal = 3
)

// Observe handles the report of a heartbeat. The heartbeat must be newer than
// every one before it: the target sent it after it had taken, or given up, the
// answers to those.
func (c *HeartbeatCore) Observe(now mono.Time, r Report, out *Actions) {
	c.storeFreedTokens(r.Freed)
	held := r.epochs()
	out.Unexpected = append(out.Unexpected, c.expected.observe(now, held)...)
	countMisses := c.answerTaken(held)
	c.lastHeld, c.lastHeldAt = held, now
	for _, s := range c.sortedSlices() {
		h := c.holdings[s]
		epoch, isHeld := held[s]
		switch {
		case !isHeld:
			h.mayHoldUntil = c.unknownUntil
			c.observeMissing(s, h, countMisses, out)
		case epoch == h.epoch || c.disabled.epochs:
			h.reported, h.misses, h.token = true, 0, ""
		default:
			h.mayHoldUntil = latest(h.mayHoldUntil, now.Add(c.cfg.LongestHold()))
			c.observeMissing(s, h, countMisses, out)
		}
		if epoch > h.epoch {
			refuse(s, h, out)
		}
	}
	c.Tick(now, out)
}

// storeFreedTokens keeps the tokens of released slices for their next owners.
func (c *HeartbeatCore) storeFreedTokens(freed []FreedRange) {
	for _, f := range freed {
		for id := f.Range.First; id <= f.Range.Last; id++ {
			if h := c.holdings[key.Slice{App: f.Range.App, ID: id}]; h != nil && h.withheld {
				h.freedToken = f.Token
			}
		}
	}
}

// answerTaken reports whether slices that were granted in the last answer and
// are not reported count as ignored by the target: it took others of the same
// answer, or several answers in a row left no trace.
func (c *HeartbeatCore) answerTaken(held map[key.Slice]uint64) bool {
	missing, taken := false, false
	for s, h := range c.holdings {
		if !h.offered || h.reported {
			continue
		}
		if held[s] == h.epoch {
			taken = true
		} else {
			missing = true
		}
	}
	if !missing || taken {
		c.lostAnswers = 0
		return taken
	}
	c.lostAnswers++
	return c.lostAnswers > lostAnswersBeforeMiss
}

// observeMissing handles a slice that the target does not report at its epoch.
func (c *HeartbeatCore) observeMissing(s key.Slice, h *holding, countMisses bool, out *Actions) {
	if h.offered && !h.reported && countMisses {
		h.misses++
	}
	h.reported = false
	h.heldUntil = mono.Never
	if h.misses >= missesBeforeRefusal {
		refuse(s, h, out)
	}
}

// refuse gives a slice up that the target does not take at its epoch, since it
// has seen a higher one.
func refuse(s key.Slice, h *holding, out *Actions) {
	if h.withheld {
		return
	}
	h.withheld = true
	out.Refused = append(out.Refused, SliceEpoch{Slice: s, Epoch: h.epoch})
}
