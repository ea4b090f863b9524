package faulttest

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/internal/judge"
	"github.com/rhubarbring/rhubarbring/result"
)

// countOwnedKeys returns how many of the keys sampled by ownersByKey a host
// owns in an app.
func (f *fleet) countOwnedKeys(app string, id host.ID) int {
	n := 0
	for name, owner := range ownersByKey(f) {
		if owner == id && len(name) > len(app) && name[:len(app)] == app {
			n++
		}
	}
	return n
}

// A target stops announcing itself while its daemon runs. Its slices must move
// to other targets, and it must own slices again after it resumes.
func TestTargetStopsAnnouncing(t *testing.T) {
	f := newFleet(t)
	h := f.hosts[0]
	tr := f.load(10 * time.Second)
	tr.waitEnded(requestsPerSecond)
	b := h.target.Behaviour()
	b.Silent = true
	h.target.SetBehaviour(b)
	f.eventually("its slices have other owners", func() bool { return f.countOwnedKeys(h.app, h.settings.Host) == 0 })
	b.Silent = false
	h.target.SetBehaviour(b)
	f.eventually("it owns slices again", func() bool { return f.countOwnedKeys(h.app, h.settings.Host) > 0 })
	f.checkInvariants(f.collectInput(tr))
}

// A target is lost while it runs requests and its daemon survives. Unknown
// outcomes must be reported to the callers and stored, and other targets must
// serve its keys.
func TestTargetLostUnderLoad(t *testing.T) {
	f := newFleet(t)
	h := f.hosts[0]
	key := f.keyOwnedBy(h)
	tr := f.load(8 * time.Second)
	tr.waitEnded(requestsPerSecond)
	a, answer := f.sendUnfinishedRequest(h)
	f.recordFault(judge.Kill, h)
	h.target.close()
	must.Eq(t, result.Unknown.String(), <-answer)
	f.eventually("its keys are served", func() bool {
		return f.hosts[8].send(testRequest{app: h.app, key: key, attempt: 1, idempotent: true, deadline: time.Second}) == result.Done.String()
	})
	in := f.collectInput(tr)
	in.Journal = withoutProbes(in)
	f.checkInvariants(in)
	f.waitOutcomesStored(append(unknownNonIdempotentIDs(in.Records), a.id))
}

// Two targets, one that checks grants and one that does not, become so slow that
// many answers come after the callers' deadlines. Unknown outcomes must be
// stored.
func TestOutcomesStoredWhenTargetsAreSlow(t *testing.T) {
	f := newFleet(t)
	tr := f.load(8 * time.Second)
	tr.waitEnded(requestsPerSecond)
	f.hosts[0].target.setMeanService(9000)
	f.hosts[2].target.setMeanService(9000)
	tr.waitEnded(3 * requestsPerSecond)
	f.hosts[0].target.setMeanService(meanServiceMs)
	f.hosts[2].target.setMeanService(meanServiceMs)
	in := f.collectInput(tr)
	f.checkInvariants(in)
	ids := unknownNonIdempotentIDs(in.Records)
	f.waitOutcomesStored(ids)
}
