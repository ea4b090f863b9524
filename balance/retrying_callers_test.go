package balance_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/gate"
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/request"
	"github.com/rhubarbring/rhubarbring/result"
)

const (
	retryingLatencyTarget = 30 * time.Millisecond
	retryingTimeout       = 250 * time.Millisecond
	retryingMaxTries      = 3
	retryingLoad          = 1.4
)

// retryingCaller is a caller that retries after the advised time, each time as a
// new request whose timeout is the time left.
type retryingCaller struct {
	s           *sim
	estimator   *request.ElapsedEstimator // nil for an entry that sets no latency target
	startedAt   mono.Time
	tries       int
	servedAfter time.Duration // 0 if it was not served
}

func (c *retryingCaller) submit() {
	left := c.startedAt.Add(retryingTimeout).Sub(c.s.now)
	r := &request.Request{ID: "x", App: simApp, Idempotent: true, Repeat: request.RepeatFirst, Budget: left, Route: "r"}
	if c.estimator != nil {
		r.LatencyTarget = retryingLatencyTarget
		r.LatencyTarget = c.estimator.RemainingTarget(r, left)
	}
	c.tries++
	caller := request.CallID(len(c.s.all) + 1)
	record := &call{at: c.s.now}
	c.s.calls[caller] = record
	c.s.all = append(c.s.all, record)
	c.s.retrying = append(c.s.retrying, c)
	var out request.Actions
	e := c.s.entries[0]
	e.router.Submit(c.s.now, r, c.s.now.Add(left), caller, &out)
	c.s.doRouter(e, &out)
}

func (c *retryingCaller) onAnswer(a *request.Answer) {
	if a.Code == result.OK {
		c.servedAfter = c.s.now.Sub(c.startedAt)
		return
	}
	left := c.startedAt.Add(retryingTimeout).Sub(c.s.now)
	if c.tries == retryingMaxTries || left <= 0 {
		return
	}
	c.s.after(min(a.RetryAfter, left/3), c.submit)
}

// simulateRetryingCallers runs retrying callers against targets whose load is
// above their capacity. It returns the fractions of callers that were served at
// all and within the latency target.
func simulateRetryingCallers(estimator *request.ElapsedEstimator) (served, inTime float64) {
	s := newSim(5, []time.Duration{meanService, meanService})
	for _, v := range s.servers {
		var out gate.Actions
		v.gate.TargetAnnounced(s.now, gate.Announcement{Slots: simSlots, Connections: simConnections, State: gate.Warm, StopsAbandonedRuns: true}, &out)
	}
	b := s.useBalancer()
	cfg := request.DefaultConfig()
	cfg.Self = host.Session{Host: "entry", Incarnation: 1}
	cfg.Map = undividedMap{}
	cfg.Chooser = b
	cfg.MaxRedirects = 2
	s.entries = []*entryDaemon{{self: cfg.Self, router: request.NewRouter(cfg)}}
	s.onAnswer = func(caller request.CallID, a *request.Answer) { s.retrying[caller-1].onAnswer(a) }
	end := s.now.Add(simDuration)
	var all []*retryingCaller
	var arrive func()
	arrive = func() {
		if s.now >= end {
			return
		}
		c := &retryingCaller{s: s, estimator: estimator, startedAt: s.now}
		all = append(all, c)
		c.submit()
		s.after(time.Duration(s.rnd.ExpFloat64()/(2*capacity*retryingLoad)*float64(time.Second)), arrive)
	}
	arrive()
	s.run(end.Add(time.Second))
	for _, c := range all {
		if c.servedAfter > 0 {
			served++
		}
		if c.servedAfter > 0 && c.servedAfter <= retryingLatencyTarget {
			inTime++
		}
	}
	return served / float64(len(all)), inTime / float64(len(all))
}

// Under lasting overload, callers with a latency target are served at least 95 %
// as often as callers without one, whose requests are bounded by the deadline
// only. At least twice as many of them, and most of those served, get their
// answer within the target.
func TestLatencyTargetServesMoreRetryingCallersInTime(t *testing.T) {
	naiveServed, naiveInTime := simulateRetryingCallers(nil)
	served, inTime := simulateRetryingCallers(request.NewElapsedEstimator())
	t.Logf("naive: served %.3f, in time %.3f; with the target: served %.3f, in time %.3f", naiveServed, naiveInTime, served, inTime)
	must.GreaterEq(t, 0.95*naiveServed, served)
	must.GreaterEq(t, 2*naiveInTime, inTime)
	must.GreaterEq(t, 0.5*served, inTime) // Most of them.
}
