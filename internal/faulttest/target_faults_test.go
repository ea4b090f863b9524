package faulttest

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/internal/judge"
	"github.com/rhubarbring/rhubarbring/result"
)

func (f *fleet) ownedBy(app string, id host.ID) int {
	n := 0
	for name, owner := range owners(f) {
		if owner == id && len(name) > len(app) && name[:len(app)] == app {
			n++
		}
	}
	return n
}

// A target stops announcing itself while its daemon lives: its slices go to
// other targets, and come back to it when it does.
func TestTargetStopsAnnouncing(t *testing.T) {
	f := newFleet(t)
	h := f.hosts[0]
	tr := f.load(10 * time.Second)
	tr.under(rate)
	b := h.target.Behaviour()
	b.Silent = true
	h.target.Set(b)
	f.eventually("its slices have other owners", func() bool { return f.ownedBy(h.app, h.settings.Host) == 0 })
	b.Silent = false
	h.target.Set(b)
	f.eventually("it owns slices again", func() bool { return f.ownedBy(h.app, h.settings.Host) > 0 })
	f.judge(f.input(tr))
}

// A target is lost with requests at work, its daemon lives: what is not known
// is told and kept, and its keys are served by others.
func TestTargetLostUnderLoad(t *testing.T) {
	f := newFleet(t)
	h := f.hosts[0]
	key := f.keyOf(h)
	tr := f.load(8 * time.Second)
	tr.under(rate)
	a, answer := f.inHand(h)
	f.fault(judge.Kill, h)
	h.target.close()
	must.Eq(t, result.Unknown.String(), <-answer)
	f.eventually("its keys are served", func() bool {
		return f.hosts[8].send(ask{app: h.app, key: key, attempt: 1, idempotent: true, deadline: time.Second}) == result.Done.String()
	})
	in := f.input(tr)
	in.Journal = withoutProbes(in)
	f.judge(in)
	f.stand(append(atRisk(in.Records), a.id))
}

// Targets of both kinds freeze: they answer only after the callers' deadline.
func TestTargetsFreeze(t *testing.T) {
	f := newFleet(t)
	tr := f.load(8 * time.Second)
	tr.under(rate)
	f.hosts[0].target.slow(9000)
	f.hosts[2].target.slow(9000)
	tr.under(3 * rate)
	f.hosts[0].target.slow(meanServiceMs)
	f.hosts[2].target.slow(meanServiceMs)
	in := f.input(tr)
	f.judge(in)
	told := atRisk(in.Records)
	f.stand(told)
}
