package faulttest

import (
	"math"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/internal/bootclock"
	"github.com/rhubarbring/rhubarbring/internal/faketarget"
	"github.com/rhubarbring/rhubarbring/internal/judge"
	"github.com/rhubarbring/rhubarbring/mono"
)

const (
	// limitWindow is the time in which a target may get allowedFactor times its
	// limit and allowedExtra requests more, from limitGrace on after it named it.
	limitWindow   = 4 * time.Second
	limitGrace    = 3 * time.Second
	allowedFactor = 1.5
	allowedExtra  = 5
	// leavingGrace is the time after which a target that said it is about to end
	// gets no request.
	leavingGrace = 2500 * time.Millisecond
)

// forever is later than every instant of a test.
const forever = mono.Time(math.MaxInt64)

// change changes the target's behaviour and returns when.
func (x *target) change(f func(*faketarget.Behaviour)) mono.Time {
	b := x.Behaviour()
	f(&b)
	x.SetBehaviour(b)
	return bootclock.Now()
}

// runStarts returns when the target began its runs.
func (x *target) runStarts(t *testing.T) []mono.Time {
	journal, err := judge.ReadJournal(x.journal.reader())
	must.NoError(t, err)
	var starts []mono.Time
	for _, r := range journal {
		if r.Phase == faketarget.PhaseStart {
			starts = append(starts, mono.Time(r.StartNs))
		}
	}
	return starts
}

// countBetween returns the number of instants from one to before another.
func countBetween(at []mono.Time, from, to mono.Time) int {
	n := 0
	for _, x := range at {
		if !x.Before(from) && x.Before(to) {
			n++
		}
	}
	return n
}

// restartDaemon ends a host's daemon abruptly and starts the next one beside the
// same target.
func (h *node) restartDaemon() {
	d := h.markDown()
	d.Close()
	h.running.Wait()
	h.start()
}

// statusTest is load on a fleet whose third target changes what it says of itself
// while the daemon beside it is killed and started again.
type statusTest struct {
	f  *fleet
	h  *node
	tr *traffic
}

func newStatusTest(t *testing.T, length time.Duration) *statusTest {
	f := newFleet(t)
	s := &statusTest{f: f, h: f.hosts[2], tr: f.load(length)}
	s.tr.waitEnded(300)
	return s
}

// changeAndRestart changes the target's behaviour, lets some requests end, and
// restarts its daemon. It returns when the behaviour changed.
func (s *statusTest) changeAndRestart(requests int, f func(*faketarget.Behaviour)) mono.Time {
	at := s.h.target.change(f)
	s.tr.waitEnded(requests)
	s.h.restartDaemon()
	s.tr.waitEnded(600)
	return at
}

// A target that names a limit gets no more than that from all hosts together, also
// when the daemon beside it is killed and started again, and more again after it
// has stopped naming it.
func TestRateLimitHoldsThroughRestartOfDaemon(t *testing.T) {
	const limit = 4
	s := newStatusTest(t, 16*time.Second)
	named := s.changeAndRestart(500, func(b *faketarget.Behaviour) { b.RateLimit = limit })
	ended := s.h.target.change(func(b *faketarget.Behaviour) { b.RateLimit = 0 })
	must.NoError(t, <-s.tr.done)

	starts := s.h.target.runStarts(t)
	allowed := allowedFactor*limit*limitWindow.Seconds() + allowedExtra
	must.Greater(t, limit, float64(countBetween(starts, 0, named))/2, must.Sprint("the load is above the limit"))
	for _, from := range starts {
		if to := from.Add(limitWindow); !from.Before(named.Add(limitGrace)) && !to.After(ended) {
			must.LessEq(t, allowed, float64(countBetween(starts, from, to)))
		}
	}
	must.Greater(t, limit, countBetween(starts, ended, forever))
}

// A target that says in its answers that it is about to end gets no request after a
// grace, although its announcements say that it is ready and its daemon is killed
// and started again, and other hosts get its slices.
func TestLeavingTargetGetsNoRequestsThroughRestartOfDaemon(t *testing.T) {
	s := newStatusTest(t, 12*time.Second)
	said := s.changeAndRestart(150, func(b *faketarget.Behaviour) { b.Leaving = true })
	must.NoError(t, <-s.tr.done)
	// The first answer that says so may end a while later than the change.
	must.Zero(t, countBetween(s.h.target.runStarts(t), said.Add(leavingGrace+callTimeout), forever))
	s.f.eventually("its slices have other owners", func() bool {
		return s.h.status().Slices.Owned == 0 && s.f.unownedSlices(s.f.hosts[0]) == 0
	})
}
