package faulttest

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/result"
)

// A planned stop under load must not cut off any request: all must be done,
// because the daemon keeps running until the requests that it admitted are
// complete and the next owners serve its slices.
func TestPlannedStopUnderLoadCompletesAllRequests(t *testing.T) {
	f := newFleet(t)
	tr := f.load(6 * time.Second)
	tr.waitEnded(requestsPerSecond)
	f.hosts[0].target.setMeanService(900)
	f.eventually("requests run at the target", func() bool { return f.hosts[0].target.Busy() >= slots })
	f.hosts[0].stop()
	in := f.collectInput(tr)
	v := f.checkInvariants(in)
	for _, r := range in.Records {
		w, ok := r.LastAnswered()
		must.True(t, ok, must.Sprint(r.ID))
		must.Eq(t, result.Done.String(), w.Outcome, must.Sprintf("%s %s: %+v", r.App, r.Key, r.Sendings))
	}
	must.Eq(t, v.Requests, v.Done)
}
