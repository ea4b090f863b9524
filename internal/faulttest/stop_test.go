package faulttest

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/result"
)

// A planned stop under load cuts nothing off, and every request is done: the
// slices are served by their next owners. Its guard is that the daemon stays
// until what it admitted is over.
func TestPlannedStopUnderLoad(t *testing.T) {
	f := newFleet(t)
	tr := f.load(6 * time.Second)
	tr.under(rate)
	f.hosts[0].target.slow(900)
	f.eventually("requests run at the target", func() bool { return f.hosts[0].target.Busy() >= slots })
	f.hosts[0].stop()
	in := f.input(tr)
	v := f.judge(in)
	for _, r := range in.Records {
		w, ok := r.Last()
		must.True(t, ok, must.Sprint(r.ID))
		must.Eq(t, result.Done.String(), w.Outcome, must.Sprintf("%s %s: %+v", r.App, r.Key, r.Words))
	}
	must.Eq(t, v.Requests, v.Done)
}
