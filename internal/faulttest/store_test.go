package faulttest

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/internal/bootclock"
	"github.com/rhubarbring/rhubarbring/internal/fakestore"
	"github.com/rhubarbring/rhubarbring/internal/judge"
	"github.com/rhubarbring/rhubarbring/internal/load"
	"github.com/rhubarbring/rhubarbring/result"
)

const (
	outageDuration = 10 * time.Second
	maxRecovery    = 5 * time.Second
)

// checkDoneBetween checks that every request whose planned arrival is between two
// times and that matches the filter was done, and that there was at least one.
func checkDoneBetween(t *testing.T, records []load.Record, from, to int64, matches func(load.Record) bool) {
	t.Helper()
	n := 0
	for _, r := range records {
		if r.ArrivalNs < from || r.ArrivalNs > to || !matches(r) {
			continue
		}
		n++
		w, _ := r.LastAnswered()
		must.Eq(t, result.Done.String(), w.Outcome, must.Sprintf("%+v", r))
	}
	must.Positive(t, n)
}

// A host is lost while the store is down. The remaining owners must go on
// serving, the alarm must name the lost session, and the lost host's keys must
// be served within maxRecovery after the store is back.
func TestStoreOutageWithHostLoss(t *testing.T) {
	f := newFleet(t)
	victim := f.hosts[0]
	before := ownersByKey(f)
	tr := f.load(outageDuration + 4*time.Second)
	tr.waitEnded(requestsPerSecond)
	f.store.SetFault(fakestore.Fault{Outage: true})
	began := time.Now()
	down := int64(bootclock.Now())
	tr.waitEnded(requestsPerSecond / 2)
	victim.kill()
	f.eventually("the alarm names the lost session", func() bool {
		return strings.Contains(strings.Join(f.alarms.all(), "\n"), "session "+victim.name()+"/")
	})
	f.eventually("the outage is over", func() bool { return time.Since(began) >= outageDuration })
	up := int64(bootclock.Now())
	f.store.SetFault(fakestore.Fault{})
	key := ""
	for name, owner := range before {
		if owner == victim.settings.Host {
			key = strings.TrimPrefix(name, victim.app+" ")
			break
		}
	}
	must.NotEq(t, "", key)
	probe := testRequest{app: victim.app, key: key, id: "", attempt: 1, idempotent: true, deadline: time.Second}
	took := f.eventually("the lost host's keys are served", func() bool {
		return f.hosts[8].send(probe) == result.Done.String()
	})
	t.Logf("served again %s after the store was back", took)
	must.LessEq(t, maxRecovery, took)
	in := f.collectInput(tr)
	in.Journal = withoutProbes(in)
	f.checkInvariants(in)
	checkDoneBetween(t, in.Records, down, up, func(r load.Record) bool {
		return r.Key != "" && before[r.App+" "+r.Key] != victim.settings.Host && !sentTo(r, victim)
	})
}

// sentTo reports whether any sending of a request went to the host's daemon.
func sentTo(r load.Record, h *node) bool {
	return slices.ContainsFunc(r.Sendings, func(w load.Sending) bool { return w.Daemon == h.settings.CallerAddress })
}

// withoutProbes returns the journal without the runs of requests that tests
// sent themselves.
func withoutProbes(in judge.Input) (kept []journalRecord) {
	known := map[string]bool{}
	for _, r := range in.Records {
		known[r.ID] = true
	}
	for _, r := range in.Journal {
		if known[r.ID] {
			kept = append(kept, r)
		}
	}
	return kept
}

// The store is slow, loses answers and applies writes late while one host is
// lost and another is stopped and restarted. The invariants must hold and the
// restarted host must become ready.
func TestHostLossAndRestartWithSlowLossyStore(t *testing.T) {
	f := newFleet(t)
	tr := f.load(8 * time.Second)
	tr.waitEnded(requestsPerSecond)
	f.store.SetFault(fakestore.Fault{SlowMs: 200, LoseAnswers: 0.3, LateWritesMs: 1500, LateFraction: 0.3})
	f.hosts[0].kill()
	f.hosts[3].stop()
	f.hosts[3].restart()
	f.eventually("the lost host's slices have new owners", func() bool {
		return f.lostAndReplaced(f.hosts[0].currentDaemon().Self(), f.hosts[8])
	})
	f.store.SetFault(fakestore.Fault{})
	f.eventually("the restarted host is ready", func() bool { return f.hosts[3].currentDaemon().CheckReady() == nil })
	f.checkInvariants(f.collectInput(tr))
}
