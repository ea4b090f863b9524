package grant

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/mono"
)

const (
	app   key.App = "one"
	start         = mono.Time(time.Hour)
	lease         = 2 * time.Second
)

func slice(id key.SliceID) key.Slice { return key.Slice{App: app, ID: id} }

// tick renews the lease and returns the actions due.
func tick(c *Core, now mono.Time) Actions {
	var out Actions
	c.SetLease(now.Add(lease))
	c.Tick(now, &out)
	return out
}

// newGrantedCore returns a Core that owns a range of slices at an epoch, all of
// them granted at start.
func newGrantedCore(t *testing.T, epoch uint64, first, last key.SliceID) *Core {
	c := New(DefaultConfig())
	for id := first; id <= last; id++ {
		c.SetOwned(start.Add(-c.cfg.TokenWait), permit(slice(id), epoch))
	}
	out := tick(c, start)
	must.Len(t, 1, out.Grants)
	must.Eq(t, Range{App: app, First: first, Last: last}, out.Grants[0].Range)
	c.GrantAnswered(start, out.Grants[0].Unit, Accepted, &out)
	return c
}

// Neighbouring slices at one epoch are granted by one call. The grant ends
// within the lease, also at a target whose clock runs slow.
func TestNeighbouringSlicesAreGrantedTogether(t *testing.T) {
	c := New(DefaultConfig())
	for _, id := range []key.SliceID{4, 5, 6, 9} {
		c.SetOwned(start, permit(slice(id), 1))
	}
	out := tick(c, start)
	must.Len(t, 2, out.Grants)
	must.Eq(t, Range{App: app, First: 4, Last: 6}, out.Grants[0].Range)
	slow := time.Duration(float64(out.Grants[0].Hold) * (1 + c.cfg.Drift))
	must.LessEq(t, lease, slow)
	must.False(t, c.Holds(start, slice(4)))
	c.GrantAnswered(start.Add(time.Millisecond), out.Grants[0].Unit, Accepted, &out)
	must.True(t, c.Holds(start.Add(time.Millisecond), slice(4)))
	must.False(t, c.Holds(start.Add(out.Grants[0].Hold), slice(4)))
	must.False(t, c.Holds(start.Add(time.Millisecond), slice(9)))
}

func TestGrantIsRenewedAtHalfHoldTime(t *testing.T) {
	c := newGrantedCore(t, 1, 0, 7)
	must.SliceEmpty(t, tick(c, start.Add(500*time.Millisecond)).Grants)
	out := tick(c, start.Add(time.Second))
	must.Len(t, 1, out.Grants)
	must.True(t, out.Grants[0].Renewal)
	must.SliceEmpty(t, tick(c, start.Add(time.Second)).Grants, must.Sprint("one call at a time"))
}

// Nothing is granted without a lease, or with one that leaves less than MinHold.
func TestNothingIsGrantedWithoutLease(t *testing.T) {
	c := New(DefaultConfig())
	c.SetOwned(start, permit(slice(0), 1))
	var out Actions
	c.Tick(start, &out)
	c.SetLease(start.Add(c.cfg.MinHold / 2))
	c.Tick(start, &out)
	must.SliceEmpty(t, out.Grants)
}

// A slice that had another owner before is granted once the token of its release
// is known, or without it after TokenWait.
func TestGrantWaitsForReleaseToken(t *testing.T) {
	c := New(DefaultConfig())
	c.SetOwned(start, permit(slice(0), 2))
	c.SetOwned(start, permit(slice(1), 2))
	must.SliceEmpty(t, tick(c, start).Grants)
	c.SetToken(start, slice(0), 2, "t")
	out := tick(c, start)
	must.Len(t, 1, out.Grants)
	must.Eq(t, "t", out.Grants[0].Token)
	out = tick(c, start.Add(c.cfg.TokenWait))
	must.Len(t, 1, out.Grants)
	must.Eq(t, "", out.Grants[0].Token)
}

// Released slices are taken out of their unit. The remaining slices continue to
// be held and renewed.
func TestReleaseSplitsUnit(t *testing.T) {
	c := newGrantedCore(t, 3, 0, 7)
	c.RequestRelease(start, slice(3), 3)
	c.RequestRelease(start, slice(4), 3)
	out := tick(c, start)
	must.Len(t, 1, out.Releases)
	must.Eq(t, Release{Range: Range{App: app, First: 3, Last: 4}, Epoch: 3}, out.Releases[0])
	must.False(t, c.Holds(start, slice(3)))
	must.True(t, c.Holds(start, slice(2)) && c.Holds(start, slice(5)))
	var answered Actions
	c.ReleaseAnswered(start, out.Releases[0], "tok", Accepted, &answered)
	must.Eq(t, []ReleasedSlice{{Slice: slice(3), Epoch: 3, Token: "tok"}, {Slice: slice(4), Epoch: 3, Token: "tok"}}, answered.Released)
	must.SliceEmpty(t, tick(c, start).Releases)
	must.Len(t, 2, tick(c, start.Add(time.Second)).Grants)
}

// A slice that was never granted is reported as released without a call.
func TestUngrantedSliceIsReleasedWithoutCall(t *testing.T) {
	c := New(DefaultConfig())
	c.SetOwned(start, permit(slice(0), 2))
	c.RequestRelease(start, slice(0), 2)
	out := tick(c, start)
	must.Len(t, 1, out.Released)
	must.SliceEmpty(t, out.Releases)
	must.SliceEmpty(t, out.Grants)
}

// A late grant of an earlier daemon may take effect after an accepted release, unless
// the target has accepted this daemon's epoch.
func TestSliceOfEarlierDaemonIsReleasedWhenItsGrantsAreOver(t *testing.T) {
	c := NewForRunningTarget(start, DefaultConfig())
	c.SetOwned(start, permit(slice(0), 2))
	c.RequestRelease(start, slice(0), 2)
	c.RequestRelease(start, slice(1), 2)
	out := tick(c, start)
	must.SliceEmpty(t, out.Released)
	must.Eq(t, []Release{{Range: Range{App: app, First: 0, Last: 1}, Epoch: 2}}, out.Releases)
	var answered Actions
	c.ReleaseAnswered(start, out.Releases[0], "tok", Accepted, &answered)
	must.SliceEmpty(t, answered.Released)
	end := start.Add(c.cfg.LongestHold())
	out = tick(c, end-1)
	must.SliceEmpty(t, out.Released)
	must.SliceEmpty(t, out.Releases)
	must.False(t, c.HoldsNothing(end-1))
	out = tick(c, end)
	must.Eq(t, []ReleasedSlice{{Slice: slice(0), Epoch: 2, Token: "tok"}, {Slice: slice(1), Epoch: 2, Token: "tok"}}, out.Released)
	must.True(t, c.HoldsNothing(end))
}

func TestSliceAcceptedFromThisDaemonIsReleasedAtOnce(t *testing.T) {
	c := NewForRunningTarget(start, DefaultConfig())
	c.SetLease(start.Add(time.Minute))
	c.SetOwned(start.Add(-c.cfg.TokenWait), permit(slice(0), 2))
	out := tick(c, start)
	c.GrantAnswered(start, out.Grants[0].Unit, Accepted, &out)
	c.RequestRelease(start, slice(0), 2)
	out = tick(c, start)
	must.Len(t, 1, out.Releases)
	c.ReleaseAnswered(start, out.Releases[0], "tok", Accepted, &out)
	must.Eq(t, []ReleasedSlice{{Slice: slice(0), Epoch: 2, Token: "tok"}}, out.Released)
}

// The same for a slice whose grant the target has not accepted, and calls that fail.
func TestSliceOfEarlierDaemonExpiresIfCallsFail(t *testing.T) {
	for _, answer := range []Answer{Refused, Unanswered, Unsent} {
		c := NewForRunningTarget(start, DefaultConfig())
		c.SetOwned(start.Add(-c.cfg.TokenWait), permit(slice(0), 2))
		out := tick(c, start)
		must.Len(t, 1, out.Grants)
		c.GrantAnswered(start, out.Grants[0].Unit, Unsent, &out)
		c.RequestRelease(start, slice(0), 2)
		end := start.Add(c.cfg.LongestHold())
		for now := start; now.Before(end); now = now.Add(c.cfg.Retry) {
			out = tick(c, now)
			must.Len(t, 1, out.Releases)
			c.ReleaseAnswered(now, out.Releases[0], "", answer, &out)
			must.SliceEmpty(t, out.Released)
		}
		must.Len(t, 1, tick(c, end).Released)
	}
}

// Guards against reporting a slice as released while a grant may still take
// effect: one whose answer was lost may arrive after the release, so the slice
// counts as held until that grant would have expired.
func TestReleaseWaitsForUnansweredGrant(t *testing.T) {
	c := newGrantedCore(t, 1, 0, 0)
	out := tick(c, start.Add(time.Second))
	sent := out.Grants[0]
	c.GrantAnswered(start.Add(2*time.Second), sent.Unit, Unanswered, &out)
	now := start.Add(2 * time.Second)
	c.RequestRelease(now, slice(0), 1)
	out = tick(c, now)
	must.Len(t, 1, out.Releases)
	var answered Actions
	c.ReleaseAnswered(now, out.Releases[0], "tok", Accepted, &answered)
	must.SliceEmpty(t, answered.Released)
	bound := now.Add(time.Duration(float64(sent.Hold) * (1 + c.cfg.Drift)))
	must.SliceEmpty(t, tick(c, bound-1).Released)
	must.Len(t, 1, tick(c, bound).Released)
}

// A target that refuses a grant knows a higher epoch, so the grant is not
// repeated at the same epoch.
func TestRefusedGrantIsNotRetriedAtSameEpoch(t *testing.T) {
	c := New(DefaultConfig())
	c.SetOwned(start, permit(slice(0), 1))
	c.SetOwned(start, permit(slice(1), 1))
	out := tick(c, start)
	var answered Actions
	c.GrantAnswered(start, out.Grants[0].Unit, Refused, &answered)
	must.Eq(t, []SliceEpoch{{Slice: slice(0), Epoch: 1}, {Slice: slice(1), Epoch: 1}}, answered.Refused)
	must.SliceEmpty(t, tick(c, start.Add(time.Minute)).Grants)
	c.SetOwned(start.Add(time.Minute), permit(slice(0), 2))
	must.Len(t, 1, tick(c, start.Add(2*time.Minute)).Grants)
}

// A target that refuses a renewal still holds what it took before.
func TestSliceIsNotReleasedUnaskedAfterRefusedRenewal(t *testing.T) {
	c := newGrantedCore(t, 1, 2, 7)
	now := start.Add(time.Second)
	out := tick(c, now)
	c.GrantAnswered(now, out.Grants[0].Unit, Refused, &out)
	must.False(t, c.HoldsNothing(now))
	c.RequestRelease(now, slice(3), 1)
	out = tick(c, now)
	must.SliceEmpty(t, out.Released)
	must.Len(t, 1, out.Releases)
	c.ReleaseAnswered(now, out.Releases[0], "", Accepted, &out)
	must.Eq(t, []ReleasedSlice{{Slice: slice(3), Epoch: 1}}, out.Released)
}

// A lost grant at an earlier epoch may be applied after the release at the next.
func TestUnansweredGrantIsRememberedAtNextEpoch(t *testing.T) {
	c := newGrantedCore(t, 1, 0, 0)
	now := start.Add(time.Second)
	out := tick(c, now)
	c.GrantAnswered(now, out.Grants[0].Unit, Unanswered, &out)
	end := now.Add(c.cfg.longestHold(out.Grants[0].Hold))
	c.SetOwned(now, permit(slice(0), 3))
	now = now.Add(c.cfg.TokenWait)
	out = tick(c, now)
	must.Eq(t, 3, out.Grants[0].Epoch)
	c.GrantAnswered(now, out.Grants[0].Unit, Unsent, &out)
	c.RequestRelease(now, slice(0), 3)
	out = tick(c, now)
	must.Len(t, 1, out.Releases)
	c.ReleaseAnswered(now, out.Releases[0], "", Accepted, &out)
	must.SliceEmpty(t, out.Released)
	must.Len(t, 1, tick(c, end).Released)
}

// modelTarget simulates a target that applies some grants late, and whose answers
// to some calls are lost.
type modelTarget struct {
	rng  *rand.Rand
	held map[key.Slice]mono.Time // When its hold of a slice ends, by its slow clock.
	late []lateGrant
}

type lateGrant struct {
	grant     Grant
	arrived   mono.Time
	deliverAt mono.Time
}

func (m *modelTarget) apply(g Grant, arrived mono.Time) {
	for id := g.Range.First; id <= g.Range.Last; id++ {
		until := arrived.Add(time.Duration(float64(g.Hold) * 1.02))
		m.held[slice(id)] = max(m.held[slice(id)], until)
	}
}

// newCore returns the Core of a daemon. It may follow another one, which granted
// all slices.
func (m *modelTarget) newCore(earlierDaemon bool, slices key.SliceID) *Core {
	if !earlierDaemon {
		return New(DefaultConfig())
	}
	hold := time.Duration(m.rng.Int64N(int64(lease)))
	m.apply(Grant{Range: Range{App: app, Last: slices - 1}, Hold: hold}, start)
	cfg := DefaultConfig()
	cfg.MaxHold = lease
	return NewForRunningTarget(start, cfg)
}

// deliverLate applies the late grants that are due.
func (m *modelTarget) deliverLate(now mono.Time) {
	var remaining []lateGrant
	for _, l := range m.late {
		if l.deliverAt.After(now) {
			remaining = append(remaining, l)
			continue
		}
		m.apply(l.grant, l.arrived)
	}
	m.late = remaining
}

func (m *modelTarget) grant(now mono.Time, g Grant) Answer {
	switch m.rng.IntN(6) {
	case 0:
		m.late = append(m.late, lateGrant{grant: g, arrived: now, deliverAt: now.Add(time.Duration(m.rng.IntN(4000)) * time.Millisecond)})
		return Unanswered
	case 1:
		m.apply(g, now)
		return Unanswered
	case 2:
		return Unsent
	}
	m.apply(g, now)
	return Accepted
}

func (m *modelTarget) release(r Release) Answer {
	answer := Accepted
	switch m.rng.IntN(4) {
	case 0:
		return Unsent
	case 1:
		answer = Unanswered
	}
	for id := r.Range.First; id <= r.Range.Last; id++ {
		delete(m.held, slice(id))
	}
	return answer
}

// Calls and answers are lost or delayed at random. A slice reported as released
// must not be held by the target afterwards, no grant may outlast the lease, and
// the target must hold every slice that the Core reports as held.
func TestReleasedSlicesAreNotHeldByTarget(t *testing.T) {
	for seed := range uint64(300) {
		runModel(t, seed, false)
		runModel(t, seed, true)
	}
}

// runModel plays a target that holds nothing when the Core begins, or one that
// holds what an earlier daemon granted.
func runModel(t *testing.T, seed uint64, earlierDaemon bool) {
	const slices = 12
	rng := rand.New(rand.NewPCG(seed, 1))
	m := &modelTarget{rng: rng, held: make(map[key.Slice]mono.Time)}
	c := m.newCore(earlierDaemon, slices)
	epochs := make(map[key.Slice]uint64)
	leaving := make(map[key.Slice]bool)
	released := make(map[key.Slice]bool)
	now := start
	until := now
	for range 400 {
		now = now.Add(time.Duration(rng.IntN(120)) * time.Millisecond)
		m.deliverLate(now)
		if rng.IntN(4) > 0 {
			until = max(until, now.Add(lease))
		}
		c.SetLease(until)
		s := slice(key.SliceID(rng.IntN(slices)))
		switch owned := epochs[s] > 0 && !released[s] && !leaving[s]; {
		case !owned && !leaving[s] && rng.IntN(3) == 0:
			epochs[s] += 2
			released[s] = false
			c.SetOwned(now, permit(s, epochs[s]))
		case owned && rng.IntN(12) == 0:
			leaving[s] = true
			c.RequestRelease(now, s, epochs[s])
		}
		var out Actions
		c.Tick(now, &out)
		for len(out.Grants)+len(out.Releases)+len(out.Released) > 0 {
			var next Actions
			for _, g := range out.Grants {
				must.False(t, now.Add(time.Duration(float64(g.Hold)*1.02)).After(until), must.Sprint("seed", seed))
				c.GrantAnswered(now, g.Unit, m.grant(now, g), &next)
			}
			for _, r := range out.Releases {
				c.ReleaseAnswered(now, r, "t", m.release(r), &next)
			}
			for _, e := range out.Released {
				must.Eq(t, epochs[e.Slice], e.Epoch)
				leaving[e.Slice] = false
				released[e.Slice] = true
			}
			out = next
		}
		for id := range key.SliceID(slices) {
			m.check(t, c, now, slice(id), released[slice(id)], seed)
		}
	}
}

// check compares the Core's state of a slice with what the target holds.
func (m *modelTarget) check(t *testing.T, c *Core, now mono.Time, s key.Slice, released bool, seed uint64) {
	t.Helper()
	if released {
		must.False(t, m.held[s].After(now), must.Sprint("seed", seed, "slice", s, "is held after its release"))
	}
	if c.Holds(now, s) {
		must.True(t, m.held[s].After(now), must.Sprint("seed", seed, "slice", s))
	}
}

func TestEpochIsBoundToProcessThatItWasSentTo(t *testing.T) {
	c := New(DefaultConfig())
	c.SetLease(start.Add(time.Minute))
	c.SetOwned(start, permit(slice(0), 1))
	out := tick(c, start)
	must.Zero(t, out.Grants[0].Process)
	c.SentTo(out.Grants[0].Unit, 7)
	c.GrantAnswered(start, out.Grants[0].Unit, Unanswered, &out)
	now := start.Add(c.cfg.Retry)
	out = tick(c, now)
	must.Eq(t, 7, out.Grants[0].Process)
	c.GrantAnswered(now, out.Grants[0].Unit, OtherProcess, &out)
	must.Eq(t, []SliceEpoch{{Slice: slice(0), Epoch: 1}}, out.Refused)
	c.RequestRelease(now, slice(0), 1)
	must.SliceEmpty(t, tick(c, now).Released, must.Sprint("the process may have taken the first call"))
}

// newSentCore returns a Core that has granted a slice to process 7 until the instant that
// it returns as well.
func newSentCore(t *testing.T) (*Core, mono.Time) {
	c := newGrantedCore(t, 1, 0, 0)
	now := start.Add(time.Second)
	out := tick(c, now)
	sent := out.Grants[0]
	c.SentTo(sent.Unit, 7)
	c.GrantAnswered(now, sent.Unit, Accepted, &out)
	return c, now.Add(c.cfg.longestHold(sent.Hold))
}

// A release that only another process could answer waits until the grant's time is over.
func TestSliceOfEarlierProcessIsReleasedWhenItsGrantIsOver(t *testing.T) {
	for _, givenUp := range []bool{false, true} {
		c, end := newSentCore(t)
		now := start.Add(2 * time.Second)
		if givenUp {
			out := tick(c, now)
			c.GrantAnswered(now, out.Grants[0].Unit, OtherProcess, &out)
			must.Len(t, 1, out.Refused)
		}
		c.RequestRelease(now, slice(0), 1)
		out := tick(c, now)
		must.Eq(t, []Release{{Range: Range{App: app}, Epoch: 1, Process: 7}}, out.Releases)
		c.ReleaseAnswered(now, out.Releases[0], "", OtherProcess, &out)
		must.SliceEmpty(t, out.Released)
		out = tick(c, end-1)
		must.SliceEmpty(t, out.Released)
		must.SliceEmpty(t, out.Releases)
		must.Len(t, 1, tick(c, end).Released)
	}
}

// The next epoch of a slice goes to the process that may hold the slice, and to no other.
func TestNextEpochIsBoundToProcessThatMayHoldSlice(t *testing.T) {
	c, _ := newSentCore(t)
	now := start.Add(2 * time.Second)
	c.SetOwned(now, permit(slice(0), 2))
	c.SetOwned(now, permit(slice(1), 2))
	now = now.Add(c.cfg.TokenWait)
	out := tick(c, now)
	must.Len(t, 2, out.Grants)
	must.Eq(t, 7, out.Grants[0].Process)
	must.Zero(t, out.Grants[1].Process)

	c, end := newSentCore(t)
	c.SetOwned(end, permit(slice(0), 2))
	must.Zero(t, tick(c, end.Add(c.cfg.TokenWait)).Grants[0].Process, must.Sprint("it holds nothing any more"))
}

// Neighbouring slices of two processes are not released by one call.
func TestReleaseIsMeantForOneProcess(t *testing.T) {
	c, _ := newSentCore(t)
	now := start.Add(2 * time.Second)
	c.SetOwned(start, permit(slice(1), 1))
	out := tick(c, now)
	for _, g := range out.Grants {
		if g.Range.Has(slice(1)) {
			c.SentTo(g.Unit, 8)
		}
		c.GrantAnswered(now, g.Unit, Accepted, &out)
	}
	c.RequestRelease(now, slice(0), 1)
	c.RequestRelease(now, slice(1), 1)
	releases := tick(c, now).Releases
	must.Len(t, 2, releases)
	must.Eq(t, 7, releases[0].Process)
	must.Eq(t, 8, releases[1].Process)
}
