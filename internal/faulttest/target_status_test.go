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

// A target that names a limit gets no more than that from all hosts together, also
// when the daemon beside it is killed and started again, and more again after it
// has stopped naming it.
func TestRateLimitHoldsThroughRestartOfDaemon(t *testing.T) {
	const limit = 4
	f := newFleet(t)
	h := f.hosts[2]
	tr := f.load(16 * time.Second)
	tr.waitEnded(300)
	named := h.target.change(func(b *faketarget.Behaviour) { b.RateLimit = limit })
	tr.waitEnded(500)
	h.restartDaemon()
	tr.waitEnded(600)
	ended := h.target.change(func(b *faketarget.Behaviour) { b.RateLimit = 0 })
	must.NoError(t, <-tr.done)

	starts := h.target.runStarts(t)
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
	f := newFleet(t)
	h := f.hosts[2]
	tr := f.load(12 * time.Second)
	tr.waitEnded(300)
	said := h.target.change(func(b *faketarget.Behaviour) { b.Leaving = true })
	tr.waitEnded(150)
	h.restartDaemon()
	tr.waitEnded(600)
	must.NoError(t, <-tr.done)
	// The first answer that says so may end a while later than the change.
	must.Zero(t, countBetween(h.target.runStarts(t), said.Add(leavingGrace+callTimeout), forever))
	f.eventually("its slices have other owners", func() bool {
		return h.status().Slices.Owned == 0 && f.unownedSlices(f.hosts[0]) == 0
	})
}
