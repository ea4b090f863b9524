package session_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/session"
)

// leaseTable is the simplest alternative to witnesses: one table of leases in
// the store. Each running daemon renews its row each period, and a row that was
// not renewed in time is lost.
type leaseTable struct {
	renewed      map[host.Session]time.Duration
	lost         map[host.Session]time.Duration
	calls        int
	withoutLease time.Duration // Total time that running daemons had no lease.
}

func newLeaseTable() *leaseTable {
	return &leaseTable{renewed: make(map[host.Session]time.Duration), lost: make(map[host.Session]time.Duration)}
}

// round simulates one renewal interval: running daemons renew if the store
// answers, then sessions not renewed for Lease plus Margin are recorded as lost.
func (table *leaseTable) round(now time.Duration, alive []host.Session, storeUp bool) {
	t := session.DefaultTiming()
	for _, s := range alive {
		table.calls++
		if storeUp && table.lost[s] == 0 {
			table.renewed[s] = now
		}
		if now-table.renewed[s] > t.Lease {
			table.withoutLease += t.RenewInterval
		}
	}
	if !storeUp {
		return
	}
	for s, at := range table.renewed {
		if table.lost[s] == 0 && now-at > t.Lease+t.Margin {
			table.lost[s] = now
		}
	}
}

func (f *fleet) alive() []host.Session {
	var out []host.Session
	for _, p := range f.processes {
		if !p.dead {
			out = append(out, p.id)
		}
	}
	return out
}

// crashRoundInOutage is the round in which a host crashes while the store is
// down. A second crash could take a majority of a session's witnesses, which
// cannot be replaced before the store is back.
const crashRoundInOutage = 36

// runBoth runs a fleet of 8 with crashes and restarts, and the lease table
// under the same events.
func runBoth(seed uint64, outage bool) (*fleet, *leaseTable) {
	f := newFleet(seed, placesFor(8), noFaults(), noCheckDisabled)
	table := newLeaseTable()
	f.run(settleTime)
	f.calls = 0
	for round := range 240 {
		second := round / 2
		if outage {
			f.storeDown = second >= 10 && second < 70
		}
		if round%24 == 12 && round < 200 && (!f.storeDown || round == crashRoundInOutage) {
			hit := f.nodes[f.rng.IntN(len(f.nodes))]
			hit.crash()
			f.after(f.between(0, 8*time.Second), hit.start)
		}
		table.round(f.now, f.alive(), !f.storeDown)
		f.run(f.now + session.DefaultTiming().RenewInterval)
	}
	return f, table
}

// With the store up, witnesses record the same sessions as lost as the lease
// table does, each within a second of it and none before its death.
func TestRecordsTheSameLossesAsALeaseTable(t *testing.T) {
	for seed := uint64(1); seed <= 12; seed++ {
		f, table := runBoth(seed, false)
		must.Positive(t, f.lost)
		must.Eq(t, f.lost, len(table.lost))
		for s, at := range table.lost {
			must.MapContainsKey(t, f.endedAt, s, must.Sprintf("seed %d, %s", seed, s))
			must.Positive(t, f.lostAfter(s), must.Sprintf("seed %d, %s", seed, s))
			gap := (f.endedAt[s] - at).Abs()
			must.Less(t, time.Second, gap, must.Sprintf("seed %d, %s", seed, s))
		}
		must.Less(t, table.calls/10, f.calls)
	}
}

// With the store down for a minute, running daemons lose their leases in the
// lease table, but none does with witnesses.
func TestWitnessesKeepLeasesWhereALeaseTableLosesThem(t *testing.T) {
	f, table := runBoth(3, true)
	must.Eq(t, 0, f.worstGap())
	must.Greater(t, 5*time.Minute, table.withoutLease)
	t.Logf("lease table: %v of daemon time without a lease, %d calls; witnesses: none, %d calls", table.withoutLease, table.calls, f.calls)
}
