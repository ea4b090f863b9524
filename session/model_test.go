package session_test

import (
	"flag"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/session"
)

var modelRuns = flag.Int("model.runs", 240, "random runs of the model")

const (
	faultPeriod    = 40 * time.Second
	recoveryPeriod = 20 * time.Second
)

// runResult is the result of a run of the model.
type runResult struct {
	lost      int
	violation string // Safety: a session held its lease although it was recorded as ended.
	stuck     string // Liveness: something did not recover after the faults.
}

// modelFleet returns the fleet of a seed. Every fourth fleet is too small for
// witnesses.
func modelFleet(seed uint64, disabled check) *fleet {
	size := 5 + int(seed%4)
	if seed%4 == 3 {
		size = 2 + int(seed/4%2)
	}
	mixes := []faults{mixedFaults(), unconfirmedWriteFaults(), crashFaults()}
	return newFleet(seed, placesFor(size), mixes[seed%3], disabled)
}

// runModel runs a fleet with faults and then without, until it should have
// recovered.
func (f *fleet) runModel() runResult {
	f.run(faultPeriod)
	f.faultsOff = true
	f.faults.storeDoubt = 0
	f.run(faultPeriod + f.faults.maxDuration + recoveryPeriod)
	return runResult{lost: f.lost, violation: f.violation, stuck: f.findStuck()}
}

// findStuck returns what has not recovered after a time without faults: a
// running session without a lease, or a dead one that is not recorded as lost
// although a majority of its witnesses runs. Of two daemons on a host, the
// older one is exempt: renewals of the newer one make its witnesses count it as
// silent early.
func (f *fleet) findStuck() string {
	for _, p := range f.processes {
		o, ok := f.store[p.id]
		if !p.dead && p == p.node.proc && !p.holder.HoldsLease(p.node.clock()) {
			return fmt.Sprintf("%s lives and holds no lease", p.id)
		}
		if p.dead && ok && !o.record.State.Final() && f.takeoverPossible(o.record) {
			return fmt.Sprintf("%s died at %v and is not recorded lost", p.id, p.diedAt)
		}
	}
	return ""
}

func (f *fleet) takeoverPossible(r session.Record) bool {
	if r.StoreLeased() {
		return true
	}
	alive := 0
	for _, w := range r.Witnesses {
		if n := f.node(w.Host); n.proc != nil && n.proc.id == w && !n.proc.dead {
			alive++
		}
	}
	return alive >= session.Majority(len(r.Witnesses))
}

// runMany runs seeds 1 to n in four goroutines, until stop returns true.
func runMany(n int, disabled check, stop func(runResult) bool) []runResult {
	const workers = 4
	out := make([]runResult, n)
	var wg sync.WaitGroup
	var stopped atomic.Bool
	for t := range workers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := t; i < n && !stopped.Load(); i += workers {
				out[i] = modelFleet(uint64(i+1), disabled).runModel()
				if stop != nil && stop(out[i]) {
					stopped.Store(true)
				}
			}
		}()
	}
	wg.Wait()
	return out
}

// A session recorded as lost or left never holds its lease, under pauses,
// crashes, cuts, outages, lost, late and duplicated messages, and writes that
// take effect late or whose answer is lost. When the faults end, all sessions
// recover.
func TestModelEndedSessionNeverHoldsLease(t *testing.T) {
	takeovers := 0
	for i, v := range runMany(*modelRuns, noCheckDisabled, nil) {
		must.Eq(t, "", v.violation, must.Sprintf("seed %d", i+1))
		must.Eq(t, "", v.stuck, must.Sprintf("seed %d", i+1))
		takeovers += v.lost
	}
	t.Logf("%d runs, %d takeovers", *modelRuns, takeovers)
	must.Greater(t, *modelRuns, takeovers)
}

// The same holds if daemons record earlier sessions of their host as lost at
// once, and sessions that lost their witnesses with these are taken over.
func TestModelEndedSessionNeverHoldsLeaseWithEarlyRecords(t *testing.T) {
	early := 0
	for seed := range uint64(*modelRuns / 4) {
		f := modelFleet(seed+1, noCheckDisabled)
		f.earlyRecords = true
		v := f.runModel()
		must.Eq(t, "", v.violation, must.Sprintf("seed %d", seed+1))
		must.Eq(t, "", v.stuck, must.Sprintf("seed %d", seed+1))
		early += f.superseded
	}
	must.Positive(t, early)
}

var modelTrace = flag.Uint64("model.trace", 0, "seed of a run of the model to print")

// TestModelTrace prints one run, to look into a failure.
func TestModelTrace(t *testing.T) {
	if *modelTrace == 0 {
		t.Skip("needs -model.trace=SEED")
	}
	f := modelFleet(*modelTrace, noCheckDisabled)
	f.tracing = true
	v := f.runModel()
	for _, line := range f.trace {
		t.Log(line)
	}
	t.Logf("%+v", v)
}
