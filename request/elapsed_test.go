package request_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/request"
)

// The time that passed before a caller retried is subtracted from the latency
// target. A caller that is late already gets the minimum of one nanosecond.
func TestLatencyTargetShrinksByElapsedTime(t *testing.T) {
	p := request.NewElapsedEstimator()
	r := &request.Request{Route: "r", LatencyTarget: 400 * time.Millisecond, Budget: 1200 * time.Millisecond}
	for _, c := range []struct{ asked, want time.Duration }{
		{2500 * time.Millisecond, 400 * time.Millisecond},
		{2500 * time.Millisecond, 400 * time.Millisecond},
		{2350 * time.Millisecond, 250 * time.Millisecond},
		{2000 * time.Millisecond, time.Nanosecond},
		{0, 400 * time.Millisecond},
	} {
		must.Eq(t, c.want, p.RemainingTarget(r, c.asked))
	}
	must.Eq(t, 300*time.Millisecond, p.RemainingTarget(&request.Request{Route: "s", LatencyTarget: 300 * time.Millisecond}, time.Second))
	must.Zero(t, p.RemainingTarget(&request.Request{Route: "r"}, 100*time.Millisecond))
	p.Reset()
	must.Eq(t, 400*time.Millisecond, p.RemainingTarget(r, 2000*time.Millisecond))
}

// A timeout longer than any before becomes the route's longest timeout.
func TestLongerTimeoutReplacesLongestOfRoute(t *testing.T) {
	p := request.NewElapsedEstimator()
	r := &request.Request{Route: "r", LatencyTarget: 400 * time.Millisecond, Budget: time.Second}
	must.Eq(t, 400*time.Millisecond, p.RemainingTarget(r, time.Second))
	must.Eq(t, 400*time.Millisecond, p.RemainingTarget(r, 1300*time.Millisecond))
	must.Eq(t, 100*time.Millisecond, p.RemainingTarget(r, time.Second))
}
