package grant

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/mono"
)

// AnswerTransit is how long the answer to a heartbeat takes to the target on the
// same host. Requests that are sent to the target earlier might overtake it.
const AnswerTransit = 5 * time.Millisecond

// HeartbeatCore decides what a target is granted that gets its slices in the
// answers to its heartbeats. Each answer names everything that the target is to
// hold; it releases what is left out. The daemon can't call such a target: each
// change takes effect with a heartbeat.
//
// An answer may be lost, so that every answer counts as taken until a later
// heartbeat of the same instance shows what the target holds. A slice that was
// left out is released once a later heartbeat does not report it any more, or
// once every grant of it has surely expired.
//
// A HeartbeatCore must be used by one goroutine. Each instance of the target needs
// a new one, and only heartbeats of that instance, in their order, may be passed
// to it.
type HeartbeatCore struct {
	cfg      Config
	leaseEnd mono.Time
	holdings map[key.Slice]*holding
	tokens   tokens
	rows     int // In the last answer.
	// lastHeld is what the last heartbeat reported, at lastHeldAt. Until
	// unknownUntil the target may hold any slice, granted by an earlier daemon on
	// this host. Heartbeats say nothing of that: they may have been delayed from
	// before this daemon started.
	lastHeld     map[key.Slice]uint64
	lastHeldAt   mono.Time
	unknownUntil mono.Time
	// lostAnswers is how many answers in a row left no trace in the heartbeat
	// after them.
	lostAnswers int
	expected    expectedHoldings
	disabled    disabledChecks
}

// disabledChecks turns off single checks, so that tests of this package can show
// that each one is needed.
type disabledChecks struct {
	drift       bool // The target's clock may run slow.
	lostAnswers bool // An answer counts as taken until a heartbeat says otherwise.
	waitForFree bool // A slice left out is held until the target reports otherwise.
	epochs      bool // A slice reported at a lower epoch is not held at the new one.
}

// holding is a slice that the session owns, or that the target may still hold.
type holding struct {
	epoch uint64
	token string // The previous owner's, until the target reports the slice.
	// offered is set if the last answer granted the slice, and reported if the
	// last heartbeat said that the target holds it at the epoch.
	offered  bool
	reported bool
	misses   int
	// withheld slices are left out of answers.
	withheld bool
	// release is the epoch of the requested release, 0 if none is requested.
	release uint64
	// freedToken is the token that the target returned when it released the slice.
	freedToken string
	// The target holds the slice from heldFrom until heldUntil, if it took the
	// answer, and may hold it until mayHoldUntil.
	heldFrom     mono.Time
	heldUntil    mono.Time
	mayHoldUntil mono.Time
}

// NewHeartbeatCore returns a HeartbeatCore for a target that holds nothing: an
// instance that started while this daemon was running.
func NewHeartbeatCore(cfg Config) *HeartbeatCore {
	return &HeartbeatCore{
		cfg:          cfg,
		leaseEnd:     mono.Never,
		holdings:     make(map[key.Slice]*holding),
		tokens:       make(tokens),
		unknownUntil: mono.Never,
		expected:     expectedHoldings{earlierUntil: mono.Never},
	}
}

// NewHeartbeatCoreForRunningTarget returns a HeartbeatCore for a target that may
// have run before this daemon, which first heard from it at the given instant. The
// target may hold what an earlier daemon granted, for as long as any grant lasts.
// Config.MaxHold must be the longest grant of any daemon.
func NewHeartbeatCoreForRunningTarget(seen mono.Time, cfg Config) *HeartbeatCore {
	c := NewHeartbeatCore(cfg)
	c.unknownUntil = seen.Add(cfg.LongestHold())
	c.expected.earlierUntil = c.unknownUntil.Add(reportDelay)
	return c
}

// newHolding returns the holding of a slice that this session has not granted.
func (c *HeartbeatCore) newHolding(s key.Slice, epoch uint64) *holding {
	h := &holding{epoch: epoch, heldFrom: mono.Never, heldUntil: mono.Never, mayHoldUntil: c.unknownUntil}
	if _, held := c.lastHeld[s]; held {
		h.mayHoldUntil = c.lastHeldAt.Add(c.cfg.LongestHold())
	}
	return h
}

// SetLease sets the instant at which the session's lease expires.
func (c *HeartbeatCore) SetLease(until mono.Time) {
	c.leaseEnd = until
}

// SetOwned adds a slice that the session owns, or owns again after Withhold.
func (c *HeartbeatCore) SetOwned(_ mono.Time, p Permit) {
	s, epoch := p.slice, p.epoch
	h := c.holdings[s]
	if h != nil && h.epoch == epoch {
		h.withheld = h.release != 0
		return
	}
	next := c.newHolding(s, epoch)
	if h != nil {
		next.mayHoldUntil = latest(next.mayHoldUntil, h.mayHoldUntil)
	}
	next.token = c.tokens.take(SliceEpoch{Slice: s, Epoch: epoch})
	c.holdings[s] = next
}

// SetToken stores the token that the previous owner's target returned when it
// released a slice. The epoch is that of the grant to which the token belongs,
// one above the previous owner's.
func (c *HeartbeatCore) SetToken(now mono.Time, s key.Slice, epoch uint64, token string) {
	if h := c.holdings[s]; h != nil && h.epoch == epoch {
		h.token = token
		return
	}
	c.tokens.put(now, s, epoch, token)
}

// Revoke removes a slice that the session no longer owns and that another session
// may own already, since the lease has ended and the grants have expired with it.
func (c *HeartbeatCore) Revoke(s key.Slice) {
	delete(c.holdings, s)
}

// Withhold leaves a slice out of the answers from now on, so that the target
// begins no more requests for it once it has the next answer.
func (c *HeartbeatCore) Withhold(s key.Slice) {
	if h := c.holdings[s]; h != nil {
		h.withheld = true
	}
}

// RequestRelease requests the release of a slice. The slice appears in
// Actions.Released once the target certainly does not hold it.
func (c *HeartbeatCore) RequestRelease(_ mono.Time, s key.Slice, epoch uint64) {
	h := c.holdings[s]
	if h == nil {
		h = c.newHolding(s, epoch)
		c.holdings[s] = h
	}
	h.release = epoch
	h.withheld = true
}

// Holds reports whether the target holds a slice at an instant, if the last
// answer reached it, and the slice is not withheld.
func (c *HeartbeatCore) Holds(now mono.Time, s key.Slice) bool {
	h := c.holdings[s]
	return h != nil && !h.withheld && !now.Before(h.heldFrom) && now.Before(h.heldUntil)
}

// HeldFrom returns when the target is expected to hold a slice, if its next
// heartbeat comes at the given instant. It returns false if the slice is not to be
// granted.
func (c *HeartbeatCore) HeldFrom(now, nextHeartbeat mono.Time, s key.Slice) (mono.Time, bool) {
	h := c.holdings[s]
	if h == nil || h.withheld {
		return 0, false
	}
	if h.offered && now.Before(h.heldFrom) {
		return h.heldFrom, true
	}
	return nextHeartbeat.Add(AnswerTransit), true
}

// HoldsNothing reports whether the target certainly holds nothing at an instant,
// and no release is pending.
func (c *HeartbeatCore) HoldsNothing(now mono.Time) bool {
	if now.Before(c.unknownUntil) {
		return false
	}
	for _, h := range c.holdings {
		if h.release != 0 || now.Before(h.mayHoldUntil) {
			return false
		}
	}
	return true
}

// Units returns the number of rows in the last answer.
func (c *HeartbeatCore) Units() int {
	return c.rows
}

// Tick adds the slices to out whose release is requested and whose grants have
// surely expired.
func (c *HeartbeatCore) Tick(now mono.Time, out *Actions) {
	for _, s := range c.sortedSlices() {
		h := c.holdings[s]
		if h.release == 0 || now.Before(h.mayHoldUntil) {
			continue
		}
		delete(c.holdings, s)
		out.Released = append(out.Released, ReleasedSlice{Slice: s, Epoch: h.release, Token: h.freedToken})
	}
}

func (c *HeartbeatCore) sortedSlices() []key.Slice {
	return slices.SortedFunc(maps.Keys(c.holdings), func(a, b key.Slice) int {
		return cmp.Or(cmp.Compare(a.App, b.App), cmp.Compare(a.ID, b.ID))
	})
}
