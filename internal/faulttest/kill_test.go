package faulttest

import (
	"bytes"
	"io"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/internal/faketarget"
	"github.com/rhubarbring/rhubarbring/internal/load"
	"github.com/rhubarbring/rhubarbring/result"
)

// unknownNonIdempotentIDs returns the ids of non-idempotent requests to whose
// callers an unknown or late outcome was reported.
func unknownNonIdempotentIDs(records []load.Record) []string {
	var ids []string
	for _, r := range records {
		w, _ := r.LastAnswered()
		doubt := w.Outcome == result.Unknown.String() || w.Outcome == result.Late.String()
		if doubt && !r.Idempotent {
			ids = append(ids, r.ID)
		}
	}
	return ids
}

// setMeanService sets the target's mean service time in milliseconds.
func (x *target) setMeanService(meanMs float64) {
	b := x.Behaviour()
	b.MeanServiceMs = meanMs
	x.SetBehaviour(b)
}

// unfinishedServiceMs is a mean service time, in milliseconds, far above any
// deadline.
const unfinishedServiceMs = 200000

// sendUnfinishedRequest sends a non-idempotent request to a key of the host and
// waits until the host's target runs it; the target almost certainly does not
// finish it before the deadline. The channel returns the outcome reported to the
// caller.
func (f *fleet) sendUnfinishedRequest(h *node) (testRequest, <-chan string) {
	a := testRequest{app: h.app, key: f.keyOwnedBy(h), id: "unfinished-" + h.name(), attempt: 1, deadline: 5 * time.Second}
	h.target.setMeanService(unfinishedServiceMs)
	outcome := make(chan string, 1)
	go func() { outcome <- f.hosts[8].send(a) }()
	f.eventually("the request runs", func() bool {
		raw, err := io.ReadAll(h.target.journal.reader())
		return err == nil && bytes.Contains(raw, []byte(a.id))
	})
	return a, outcome
}

// ownersByKey returns the owner of 400 keys of each of two apps, by app and key
// separated by a space.
func ownersByKey(f *fleet) map[string]host.ID {
	all := map[string]host.ID{}
	for _, app := range []string{"booking", "availability"} {
		for i := range 400 {
			key := "k" + strconv.Itoa(i)
			all[app+" "+key] = f.hosts[8].explain(app, key).Owner.Host
		}
	}
	return all
}

// A host is lost under load while its target runs requests. Only the lost
// host's keys may change owner, no non-idempotent request may be repeated, and
// each unknown outcome that was reported to a caller must be in the store.
func TestHostLostUnderLoad(t *testing.T) {
	f := newFleet(t)
	victim := f.hosts[0]
	before := ownersByKey(f)
	tr := f.load(8 * time.Second)
	tr.waitEnded(requestsPerSecond)
	a, answer := f.sendUnfinishedRequest(victim)
	victim.kill()
	must.Eq(t, result.Unknown.String(), <-answer)
	served := f.eventually("its slices have new owners", func() bool { return f.lostAndReplaced(victim.currentDaemon().Self(), f.hosts[8]) })
	t.Logf("owned again after %s", served)
	for name, owner := range ownersByKey(f) {
		if before[name] != victim.settings.Host {
			must.Eq(t, before[name], owner, must.Sprint(name))
		}
	}
	in := f.collectInput(tr)
	f.checkInvariants(in)
	f.waitOutcomesStored(append(unknownNonIdempotentIDs(in.Records), a.id))
	f.eventually("an alarm is delivered", func() bool { return len(f.alarms.all()) > 0 })
}

// waitOutcomesStored waits until the outcomes of the given requests are in the
// store.
func (f *fleet) waitOutcomesStored(ids []string) {
	f.t.Helper()
	missing := ids
	for began := time.Now(); len(missing) > 0; time.Sleep(pollInterval) {
		kept := f.storedOutcomeIDs()
		missing = slices.DeleteFunc(slices.Clone(ids), func(id string) bool { return slices.Contains(kept, id) })
		if time.Since(began) > waitLimit {
			f.t.Fatalf("outcomes that the store does not keep within %s: %v", waitLimit, missing)
		}
	}
}

// A caller sends a request with the same id to a second daemon after the daemon
// that received it first was lost while the request ran. The request must run
// only once.
func TestRetryAtAnotherDaemonRunsOnce(t *testing.T) {
	f := newFleet(t)
	owner, entry, other := f.hosts[0], f.hosts[3], f.hosts[8]
	key := f.keyOwnedBy(owner)
	owner.target.setMeanService(700)
	first := make(chan string, 1)
	a := testRequest{app: owner.app, key: key, id: "repeated-1", attempt: 1, deadline: 5 * time.Second}
	go func() { first <- entry.send(a) }()
	f.eventually("the request runs", func() bool { return owner.target.Busy() > 0 })
	entry.kill()
	must.Eq(t, "", <-first)
	a.attempt = 2
	second := other.send(a)
	t.Logf("the second sending was answered %q", second)
	must.NotEq(t, "", second)
	must.NotEq(t, result.NotRun.String(), second)
	starts := 0
	for _, r := range f.collectInput().Journal {
		if r.ID == a.id && r.Phase == faketarget.PhaseStart {
			starts++
		}
	}
	must.Eq(t, 1, starts)
}
