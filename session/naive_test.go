package session_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/session"
)

// naive is one global table of leases: each living daemon renews its row in
// the store each period, and a row that was not renewed is lost.
type naive struct {
	renewed map[host.Session]time.Duration
	lost    map[host.Session]time.Duration
	calls   int
	dark    time.Duration // Time that living daemons were without a lease.
}

func newNaive() *naive {
	return &naive{renewed: make(map[host.Session]time.Duration), lost: make(map[host.Session]time.Duration)}
}

// round is one period: the living renew if the store answers, then whoever
// was silent for too long is lost.
func (n *naive) round(now time.Duration, alive []host.Session, storeUp bool) {
	t := session.DefaultTiming()
	for _, s := range alive {
		n.calls++
		if storeUp && n.lost[s] == 0 {
			n.renewed[s] = now
		}
		if now-n.renewed[s] > t.Lease {
			n.dark += t.RenewInterval
		}
	}
	if !storeUp {
		return
	}
	for s, at := range n.renewed {
		if n.lost[s] == 0 && now-at > t.Lease+t.Margin {
			n.lost[s] = now
		}
	}
}

func (f *fleet) alive() []host.Session {
	var out []host.Session
	for _, p := range f.lives {
		if !p.dead {
			out = append(out, p.id)
		}
	}
	return out
}

// onlyLossInOutage is the round in which a host crashes while the store is
// down. A second one could take a majority of a session's witnesses with it,
// which nothing replaces before the store is back.
const onlyLossInOutage = 36

// runBeside runs a fleet of 8 with crashes and restarts, and the naive table
// on the same course of events.
func runBeside(seed uint64, outage bool) (*fleet, *naive) {
	f := newFleet(seed, places(8), calmFaults(), none)
	n := newNaive()
	f.run(settled)
	f.calls = 0
	for round := range 240 {
		second := round / 2
		if outage {
			f.storeDown = second >= 10 && second < 70
		}
		if round%24 == 12 && round < 200 && (!f.storeDown || round == onlyLossInOutage) {
			hit := f.nodes[f.rng.IntN(len(f.nodes))]
			hit.crash()
			f.after(f.between(0, 8*time.Second), hit.start)
		}
		n.round(f.now, f.alive(), !f.storeDown)
		f.run(f.now + session.DefaultTiming().RenewInterval)
	}
	return f, n
}

// With the store up, the same sessions are lost as in the naive table, each
// within a second of it; none before its death.
func TestSameLossesAsNaiveTable(t *testing.T) {
	for seed := uint64(1); seed <= 12; seed++ {
		f, n := runBeside(seed, false)
		must.Positive(t, f.lost)
		must.Eq(t, f.lost, len(n.lost))
		for s, at := range n.lost {
			must.MapContainsKey(t, f.endedAt, s, must.Sprintf("seed %d, %s", seed, s))
			must.Positive(t, f.lostAfter(s), must.Sprintf("seed %d, %s", seed, s))
			gap := (f.endedAt[s] - at).Abs()
			must.Less(t, time.Second, gap, must.Sprintf("seed %d, %s", seed, s))
		}
		must.Less(t, n.calls/10, f.calls)
	}
}

// With the store down for a minute, the naive table leaves all living daemons
// without a lease; with witnesses none that had one is without.
func TestNaiveTableFailsInOutage(t *testing.T) {
	f, n := runBeside(3, true)
	must.Eq(t, 0, f.worstGap())
	must.Greater(t, 5*time.Minute, n.dark)
	t.Logf("naive: %v of daemon time without a lease, %d calls; witnesses: none, %d calls", n.dark, n.calls, f.calls)
}
