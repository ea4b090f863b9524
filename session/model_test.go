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
	roughFor = 40 * time.Second
	quietFor = 20 * time.Second
)

// verdict is what a run showed.
type verdict struct {
	lost  int
	bad   string // Safety: an ended session held its lease.
	stuck string // Progress: something was not put right in the quiet end.
}

// modelFleet returns the fleet of a seed. Every fourth
// fleet is too small for witnesses.
func modelFleet(seed uint64, drop broken) *fleet {
	size := 5 + int(seed%4)
	if seed%4 == 3 {
		size = 2 + int(seed/4%2)
	}
	mixes := []faults{roughFaults(), doubtfulFaults(), crashingFaults()}
	return newFleet(seed, places(size), mixes[seed%3], drop)
}

// verdict runs a fleet through faults and then a quiet time.
func (f *fleet) verdict() verdict {
	f.run(roughFor)
	f.quiet = true
	f.faults.storeDoubt = 0
	f.run(roughFor + f.faults.longest + quietFor)
	return verdict{lost: f.lost, bad: f.bad, stuck: f.unfinished()}
}

// unfinished says what is not right after a quiet time: a living session
// without a lease, or a dead one not recorded though its witnesses live. An
// older of two daemons on a host may be without at times: the newer one makes
// its witnesses impatient.
func (f *fleet) unfinished() string {
	for _, p := range f.lives {
		o, ok := f.store[p.id]
		if !p.dead && p == p.node.proc && !p.holder.HoldsLease(p.node.clock()) {
			return fmt.Sprintf("%s lives and holds no lease", p.id)
		}
		if p.dead && ok && !o.record.State.Final() && f.canBeTaken(o.record) {
			return fmt.Sprintf("%s died at %v and is not recorded lost", p.id, p.diedAt)
		}
	}
	return ""
}

func (f *fleet) canBeTaken(r session.Record) bool {
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

// runMany runs seeds 1 to n on a few threads, up to where stop says so.
func runMany(n int, drop broken, stop func(verdict) bool) []verdict {
	const threads = 4
	out := make([]verdict, n)
	var wg sync.WaitGroup
	var stopped atomic.Bool
	for t := range threads {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := t; i < n && !stopped.Load(); i += threads {
				out[i] = modelFleet(uint64(i+1), drop).verdict()
				if stop != nil && stop(out[i]) {
					stopped.Store(true)
				}
			}
		}()
	}
	wg.Wait()
	return out
}

// Whatever pauses, crashes, cuts, outages, lost, late and repeated messages,
// and writes whose answer is lost or that land late, a session recorded as
// lost or left never holds its lease; and when they stop, all is put right.
func TestModelKeepsSoleOwnership(t *testing.T) {
	takeovers := 0
	for i, v := range runMany(*modelRuns, none, nil) {
		must.Eq(t, "", v.bad, must.Sprintf("seed %d", i+1))
		must.Eq(t, "", v.stuck, must.Sprintf("seed %d", i+1))
		takeovers += v.lost
	}
	t.Logf("%d runs, %d takeovers", *modelRuns, takeovers)
	must.Greater(t, *modelRuns, takeovers)
}

// The same holds where daemons record their earlier lives at once, and sessions
// that lost their witnesses with these are taken over.
func TestModelKeepsSoleOwnershipWithEarlyRecords(t *testing.T) {
	early := 0
	for seed := range uint64(*modelRuns / 4) {
		f := modelFleet(seed+1, none)
		f.early = true
		v := f.verdict()
		must.Eq(t, "", v.bad, must.Sprintf("seed %d", seed+1))
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
	f := modelFleet(*modelTrace, none)
	f.tracing = true
	v := f.verdict()
	for _, line := range f.trace {
		t.Log(line)
	}
	t.Logf("%+v", v)
}
