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
	"github.com/rhubarbring/rhubarbring/internal/load"
	"github.com/rhubarbring/rhubarbring/internal/targetstand"
	"github.com/rhubarbring/rhubarbring/result"
)

// atRisk are the ids of requests that must not repeat and whose callers were
// told that their outcome is not known.
func atRisk(records []load.Record) []string {
	var ids []string
	for _, r := range records {
		w, _ := r.Last()
		doubt := w.Outcome == result.Unknown.String() || w.Outcome == result.Late.String()
		if doubt && !r.Idempotent {
			ids = append(ids, r.ID)
		}
	}
	return ids
}

// slow makes a target take so long for each request.
func (x *target) slow(meanMs float64) {
	b := x.Behaviour()
	b.MeanServiceMs = meanMs
	x.Set(b)
}

// endless is longer than any deadline, in milliseconds.
const endless = 200000

// inHand sends a request that must not repeat and waits until a target runs
// it, and will not end it. The channel tells what the caller was told.
func (f *fleet) inHand(h *node) (ask, <-chan string) {
	a := ask{app: h.app, key: f.keyOf(h), id: "in-hand-" + h.name(), attempt: 1, deadline: 5 * time.Second}
	h.target.slow(endless)
	told := make(chan string, 1)
	go func() { told <- f.hosts[8].send(a) }()
	f.eventually("the request runs", func() bool {
		raw, err := io.ReadAll(h.target.journal.reader())
		return err == nil && bytes.Contains(raw, []byte(a.id))
	})
	return a, told
}

func owners(f *fleet) map[string]host.ID {
	all := map[string]host.ID{}
	for _, app := range []string{"booking", "availability"} {
		for i := range 400 {
			key := "k" + strconv.Itoa(i)
			all[app+" "+key] = f.hosts[8].explain(app, key).Owner.Host
		}
	}
	return all
}

// A host is lost under load, with requests at its target. Only its keys change
// their owner, nothing is repeated, and each outcome that a caller was told is
// not known stands in the store.
func TestHostLostUnderLoad(t *testing.T) {
	f := newFleet(t)
	victim := f.hosts[0]
	before := owners(f)
	tr := f.load(8 * time.Second)
	tr.under(rate)
	a, answer := f.inHand(victim)
	victim.kill()
	must.Eq(t, result.Unknown.String(), <-answer)
	served := f.eventually("its slices have new owners", func() bool { return f.lostAndReplaced(victim.live().Self(), f.hosts[8]) })
	t.Logf("owned again after %s", served)
	for name, owner := range owners(f) {
		if before[name] != victim.settings.Host {
			must.Eq(t, before[name], owner, must.Sprint(name))
		}
	}
	in := f.input(tr)
	f.judge(in)
	f.stand(append(atRisk(in.Records), a.id))
	f.eventually("the alarm rang", func() bool { return len(f.alarms.all()) > 0 })
}

// stand waits until outcomes that were told stand in the store.
func (f *fleet) stand(told []string) {
	f.t.Helper()
	missing := told
	for began := time.Now(); len(missing) > 0; time.Sleep(poll) {
		kept := f.kept()
		missing = slices.DeleteFunc(slices.Clone(told), func(id string) bool { return slices.Contains(kept, id) })
		if time.Since(began) > bound {
			f.t.Fatalf("outcomes that the store does not keep within %s: %v", bound, missing)
		}
	}
}

// A caller sends the same id to another daemon after the one that took it was
// lost while the request ran.
func TestRepeatAtAnotherDaemon(t *testing.T) {
	f := newFleet(t)
	owner, entry, other := f.hosts[0], f.hosts[3], f.hosts[8]
	key := f.keyOf(owner)
	owner.target.slow(700)
	first := make(chan string, 1)
	a := ask{app: owner.app, key: key, id: "repeated-1", attempt: 1, deadline: 5 * time.Second}
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
	for _, r := range f.input().Journal {
		if r.ID == a.id && r.Phase == targetstand.PhaseStart {
			starts++
		}
	}
	must.Eq(t, 1, starts)
}
