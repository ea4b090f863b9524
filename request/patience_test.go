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
	p := request.NewPatience()
	r := &request.Request{Route: "r", Target: 400 * time.Millisecond, Budget: 1200 * time.Millisecond}
	for _, c := range []struct{ asked, want time.Duration }{
		{2500 * time.Millisecond, 400 * time.Millisecond},
		{2500 * time.Millisecond, 400 * time.Millisecond},
		{2350 * time.Millisecond, 250 * time.Millisecond},
		{2000 * time.Millisecond, time.Nanosecond},
		{0, 400 * time.Millisecond},
	} {
		must.Eq(t, c.want, p.Target(r, c.asked))
	}
	must.Eq(t, 300*time.Millisecond, p.Target(&request.Request{Route: "s", Target: 300 * time.Millisecond}, time.Second))
	must.Zero(t, p.Target(&request.Request{Route: "r"}, 100*time.Millisecond))
	p.Forget()
	must.Eq(t, 400*time.Millisecond, p.Target(r, 2000*time.Millisecond))
}

// A timeout longer than any before becomes the route's longest timeout.
func TestLongerTimeoutReplacesLongestOfRoute(t *testing.T) {
	p := request.NewPatience()
	r := &request.Request{Route: "r", Target: 400 * time.Millisecond, Budget: time.Second}
	must.Eq(t, 400*time.Millisecond, p.Target(r, time.Second))
	must.Eq(t, 400*time.Millisecond, p.Target(r, 1300*time.Millisecond))
	must.Eq(t, 100*time.Millisecond, p.Target(r, time.Second))
}
