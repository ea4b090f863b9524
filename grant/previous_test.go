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
	replacedSlices = 4
	replacedSteps  = 400
	replacedStep   = 10 * time.Millisecond
	replacedPlays  = 400
)

// replacedPlay is a target's process that takes grants by calls, some of them late, and
// that another instance replaces while it may run on.
type replacedPlay struct {
	rng      *rand.Rand
	now      mono.Time
	core     *Core
	previous *Previous // Once the instance is replaced.
	events   map[mono.Time][]func()
	held     [replacedSlices]mono.Time // Until when the process holds each slice.
	endsAt   mono.Time
	evidence bool // The connections show the end of the process.
}

func (p *replacedPlay) chance(n int) bool { return p.rng.IntN(n) == 0 }

func (p *replacedPlay) after(most time.Duration, run func()) {
	at := p.now.Add(replacedStep * time.Duration(p.rng.Int64N(int64(most/replacedStep))+1))
	p.events[at] = append(p.events[at], run)
}

func (p *replacedPlay) alive() bool { return p.now.Before(p.endsAt) }

func (p *replacedPlay) take(g Grant, arrived mono.Time) {
	until := arrived.Add(time.Duration(float64(g.Hold) * 1.02))
	for id := g.Range.First; id <= g.Range.Last; id++ {
		p.held[id] = max(p.held[id], until)
	}
}

// call sends a grant. It is lost, or takes effect at once or late.
func (p *replacedPlay) call(g Grant) {
	arrived, answer := p.now, Unanswered
	switch {
	case !p.alive() || p.chance(10):
	case p.chance(10):
		p.after(time.Second, func() {
			if p.alive() {
				p.take(g, arrived)
			}
		})
	default:
		p.take(g, arrived)
		if !p.chance(5) {
			answer = Accepted
		}
	}
	p.after(300*time.Millisecond, func() {
		var out Actions
		if p.previous != nil {
			p.previous.GrantAnswered(p.now, g.Unit, answer, &out)
			return
		}
		p.core.GrantAnswered(p.now, g.Unit, answer, &out)
	})
}

func (p *replacedPlay) release(r Release) {
	answer := Unanswered
	if p.alive() && !p.chance(4) {
		answer = Accepted
		for id := r.Range.First; id <= r.Range.Last; id++ {
			p.held[id] = mono.Never
		}
	}
	p.after(300*time.Millisecond, func() {
		var out Actions
		p.previous.ReleaseAnswered(p.now, r, "", answer, &out)
	})
}

func newReplacedPlay(seed uint64) *replacedPlay {
	cfg := DefaultConfig()
	cfg.MaxHold = 2 * time.Second
	p := &replacedPlay{rng: rand.New(rand.NewPCG(seed, 38)), now: mono.Time(time.Hour), core: New(cfg), events: make(map[mono.Time][]func())}
	p.endsAt = p.now.Add(time.Hour)
	if p.chance(2) {
		p.endsAt = p.now.Add(replacedStep * time.Duration(p.rng.IntN(replacedSteps)))
		p.evidence = !p.chance(3)
	}
	var epochs Epochs
	for id := range key.SliceID(replacedSlices) {
		permit, _ := epochs.Permit(key.Slice{App: "one", ID: id}, 1)
		p.core.SetOwned(p.now, permit)
	}
	return p
}

// step returns what the core or the Previous wants to be done.
func (p *replacedPlay) step(replaced bool) Actions {
	var out Actions
	p.now = p.now.Add(replacedStep)
	for _, run := range p.events[p.now] {
		run()
	}
	if !replaced {
		p.core.SetLease(p.now.Add(2 * time.Second))
		p.core.Tick(p.now, &out)
		return out
	}
	if p.previous == nil {
		p.previous = NewPrevious(p.now, p.core)
	}
	if s := (key.Slice{App: "one", ID: key.SliceID(p.rng.IntN(replacedSlices))}); p.chance(10) && p.previous.MayHold(p.now, s) {
		p.previous.RequestRelease(p.now, s, 1)
	}
	p.previous.Tick(p.now, p.evidence && !p.alive(), &out)
	return out
}

// countWronglyFree plays a replaced instance and counts how often it held a slice that
// the decision said it did not hold.
func countWronglyFree(seed uint64, mayHold func(p *replacedPlay, s key.Slice) bool) (wrong, free int) {
	p := newReplacedPlay(seed)
	for step := range replacedSteps {
		replaced := step >= replacedSteps/4
		out := p.step(replaced)
		for _, g := range out.Grants {
			p.call(g)
		}
		for _, r := range out.Releases {
			p.release(r)
		}
		for id := range p.held {
			s := key.Slice{App: "one", ID: key.SliceID(id)}
			if !replaced || mayHold(p, s) {
				continue
			}
			free++
			if p.alive() && p.now.Before(p.held[id]) {
				wrong++
			}
		}
	}
	return wrong, free
}

func TestReplacedInstanceHoldsNoSliceThatIsFree(t *testing.T) {
	naiveWrong := 0
	for seed := range uint64(replacedPlays) {
		wrong, free := countWronglyFree(seed, func(p *replacedPlay, s key.Slice) bool { return p.previous.MayHold(p.now, s) })
		must.Zero(t, wrong, must.Sprint("seed ", seed))
		must.Positive(t, free)
		naive, _ := countWronglyFree(seed, func(*replacedPlay, key.Slice) bool { return false })
		naiveWrong += min(naive, 1)
	}
	must.Greater(t, replacedPlays/2, naiveWrong, must.Sprint("that another instance listens must not count as the end"))
}

func heldByPrevious(t *testing.T) (*Previous, key.Slice, mono.Time) {
	now := mono.Time(time.Hour)
	cfg := DefaultConfig()
	cfg.MaxHold = 2 * time.Second
	c := New(cfg)
	s := key.Slice{App: "one"}
	permit, _ := (&Epochs{}).Permit(s, 1)
	c.SetOwned(now, permit)
	c.SetLease(now.Add(2 * time.Second))
	var out Actions
	c.Tick(now, &out)
	must.SliceLen(t, 1, out.Grants)
	c.GrantAnswered(now, out.Grants[0].Unit, Accepted, &out)
	return NewPrevious(now, c), s, now
}

func TestReplacedInstanceIsGrantedNothing(t *testing.T) {
	p, s, now := heldByPrevious(t)
	var out Actions
	for range 100 {
		now = now.Add(50 * time.Millisecond)
		p.Tick(now, false, &out)
	}
	must.SliceEmpty(t, out.Grants)
	must.False(t, p.MayHold(now, s))
	must.Eq(t, HoldsExpired, p.End(now))
}

func TestEndOfReplacedInstanceHasItsReason(t *testing.T) {
	p, s, now := heldByPrevious(t)
	must.True(t, p.MayHold(now, s))
	must.Eq(t, StillHeld, p.End(now))
	must.Between(t, 1900*time.Millisecond, p.HeldFor(now), 2040*time.Millisecond)
	var out Actions
	p.RequestRelease(now, s, 1)
	p.Tick(now, false, &out)
	must.SliceLen(t, 1, out.Releases)
	p.ReleaseAnswered(now, out.Releases[0], "warm", Accepted, &out)
	must.Eq(t, []ReleasedSlice{{Slice: s, Epoch: 1, Token: "warm"}}, out.Released)
	must.False(t, p.MayHold(now, s))
	must.Eq(t, AllReleased, p.End(now))

	p, s, now = heldByPrevious(t)
	p.Tick(now, true, &out)
	must.False(t, p.MayHold(now, s))
	must.Eq(t, ProcessEnded, p.End(now))

	p = NewPrevious(now, New(DefaultConfig()))
	must.Eq(t, NothingHeld, p.End(now))
}

func TestReplacedInstanceThatWasNeverHeardHoldsNoMoreThanEarlierDaemonsGranted(t *testing.T) {
	started := mono.Time(time.Hour)
	cfg := DefaultConfig()
	seen := started.Add(cfg.LongestHold() - time.Millisecond)
	must.Eq(t, StillHeld, NewPrevious(seen, NewForReplacingTarget(started, seen, cfg)).End(seen))
	seen = started.Add(cfg.LongestHold())
	must.Eq(t, NothingHeld, NewPrevious(seen, NewForReplacingTarget(started, seen, cfg)).End(seen))
	must.Eq(t, StillHeld, NewPrevious(seen, NewForRunningTarget(seen, cfg)).End(seen))
}

func TestReplacedInstanceByHeartbeatsHoldsUntilItsTimeIsOver(t *testing.T) {
	now := mono.Time(time.Hour)
	cfg := DefaultConfig()
	cfg.MaxHold = 2 * time.Second
	c := NewHeartbeatCore(cfg)
	s := key.Slice{App: "one"}
	permit, _ := (&Epochs{}).Permit(s, 1)
	c.SetOwned(now, permit)
	c.SetLease(now.Add(2 * time.Second))
	must.SliceLen(t, 1, c.Answer(now).Rows)
	p := NewPreviousByHeartbeats(now, c)
	var out Actions
	p.RequestRelease(now, s, 1)
	p.Tick(now.Add(1900*time.Millisecond), false, &out)
	must.SliceEmpty(t, out.Released)
	must.True(t, p.MayHold(now.Add(1900*time.Millisecond), s))
	now = now.Add(cfg.LongestHold())
	p.Tick(now, false, &out)
	must.SliceLen(t, 1, out.Released)
	must.False(t, p.MayHold(now, s))
	must.Eq(t, HoldsExpired, p.End(now))
}
