package session_test

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/host"
)

var update = flag.Bool("update", false, "write the golden files anew")

// settleTime is the time by which a fleet that started without faults has its
// witnesses.
const settleTime = 10 * time.Second

// noFaults returns settings without faults, in which all clocks run at the same
// rate.
func noFaults() faults {
	fl := mixedFaults()
	fl.lost, fl.delayed, fl.duplicated, fl.storeDoubt, fl.drift, fl.calm = 0, 0, 0, 0, 0, true
	return fl
}

// scenario is a sequence of events in a fleet that has its witnesses.
type scenario struct {
	name        string
	hosts       int
	answersLost bool // The answer to every write of the store is lost.
	until       time.Duration
	play        func(f *fleet)
	check       func(t *testing.T, f *fleet)
}

func (f *fleet) crashZone(z host.Zone) {
	for _, n := range f.nodes {
		if n.place.Zone == z {
			n.crash()
		}
	}
}

// worstGap returns the longest time that any running process was without its
// lease since the gaps were last reset.
func (f *fleet) worstGap() time.Duration {
	worst := time.Duration(0)
	for _, p := range f.processes {
		if !p.dead {
			worst = max(worst, p.gap)
		}
	}
	return worst
}

// lostAfter returns how long after its death a session was recorded as ended,
// or an hour if it was not.
func (f *fleet) lostAfter(s host.Session) time.Duration {
	for _, p := range f.processes {
		if at, ok := f.endedAt[s]; ok && p.id == s {
			return at - p.diedAt
		}
	}
	return time.Hour
}

var firstSession = host.Session{Host: "h00", Incarnation: 1}

var scenarios = []scenario{
	{name: "start", hosts: 5, until: settleTime},
	{name: "takeover", hosts: 5, until: 20 * time.Second,
		play: func(f *fleet) { f.nodes[0].crash() },
		check: func(t *testing.T, f *fleet) {
			must.Less(t, 3*time.Second, f.lostAfter(firstSession))
			must.Eq(t, 0, f.worstGap())
		}},
	{name: "store_outage_with_host_loss", hosts: 5, until: 11 * time.Minute,
		play: func(f *fleet) {
			f.storeDown = true
			f.after(time.Minute, f.nodes[0].crash)
			f.after(10*time.Minute, func() { f.storeDown = false; f.tracef("the store is back") })
		},
		check: func(t *testing.T, f *fleet) {
			must.Eq(t, 0, f.worstGap())
			must.Less(t, 9*time.Minute+10*time.Second, f.lostAfter(firstSession))
		}},
	{name: "double_restart", hosts: 5, until: 25 * time.Second,
		play: func(f *fleet) {
			n := f.nodes[0]
			n.crash()
			f.after(300*time.Millisecond, n.start)
			f.after(1500*time.Millisecond, n.crash)
			f.after(1800*time.Millisecond, n.start)
		},
		check: func(t *testing.T, f *fleet) {
			must.Less(t, 3*time.Second, f.lostAfter(firstSession))
			must.Less(t, 3*time.Second, f.lostAfter(host.Session{Host: "h00", Incarnation: 2}))
			must.True(t, f.nodes[0].proc.holder.HoldsLease(f.nodes[0].clock()))
		}},
	{name: "paused_holder", hosts: 5, until: 25 * time.Second,
		play: func(f *fleet) { f.nodes[0].paused = f.now + 6*time.Second },
		check: func(t *testing.T, f *fleet) {
			must.MapContainsKey(t, f.endedAt, firstSession)
			must.Eq(t, uint64(2), f.nodes[0].proc.id.Incarnation)
		}},
	{name: "paused_while_store_down", hosts: 5, until: 40 * time.Second,
		play: func(f *fleet) {
			f.storeDown = true
			f.nodes[0].paused = f.now + 6*time.Second
			f.after(7*time.Second, func() {
				must.True(f.t, f.nodes[0].proc.holder.HoldsLease(f.nodes[0].clock()))
			})
			f.after(20*time.Second, func() { f.storeDown = false })
		},
		check: func(t *testing.T, f *fleet) {
			must.Eq(t, firstSession, f.nodes[0].proc.id)
			must.True(t, f.nodes[0].proc.holder.HoldsLease(f.nodes[0].clock()))
		}},
	{name: "zone_loss", hosts: 15, until: 25 * time.Second,
		play: func(f *fleet) { f.crashZone("a") },
		check: func(t *testing.T, f *fleet) {
			for _, n := range f.nodes {
				if n.place.Zone == "a" {
					must.Less(t, 4*time.Second, f.lostAfter(n.proc.id))
				}
			}
			must.Eq(t, 0, f.worstGap())
		}},
	{name: "region_cut", hosts: 8, until: 2 * time.Minute,
		play: func(f *fleet) {
			f.regionsCut = true
			f.after(time.Minute, func() { f.regionsCut = false; f.tracef("the cut is over") })
		},
		check: func(t *testing.T, f *fleet) { must.Eq(t, 0, f.worstGap()); must.Eq(t, 0, f.lost) }},
	{name: "answers_of_the_store_lost", hosts: 5, answersLost: true, until: 40 * time.Second,
		play: func(f *fleet) { f.nodes[0].crash() },
		check: func(t *testing.T, f *fleet) {
			must.Less(t, 5*time.Second, f.lostAfter(firstSession))
			must.Eq(t, 1, f.lost)
		}},
	{name: "all_restart", hosts: 8, until: 25 * time.Second,
		play: func(f *fleet) {
			for _, n := range f.nodes {
				n.crash()
				f.after(f.between(500*time.Millisecond, 900*time.Millisecond), n.start)
			}
		},
		check: func(t *testing.T, f *fleet) {
			for _, n := range f.nodes {
				must.Less(t, 4*time.Second, f.lostAfter(host.Session{Host: n.id, Incarnation: 1}))
				must.True(t, n.proc.holder.HoldsLease(n.clock()))
			}
		}},
	{name: "region_lost", hosts: 8, until: 30 * time.Second,
		play: func(f *fleet) { f.crashZone("c"); f.crashZone("d") },
		check: func(t *testing.T, f *fleet) {
			must.Eq(t, 0, f.lost)
			must.Greater(t, 0, f.stuck)
		}},
}

func (s *scenario) run(t *testing.T) *fleet {
	f := newFleet(1, placesFor(s.hosts), noFaults(), noCheckDisabled)
	f.t = t
	f.tracing = true
	f.run(settleTime)
	for _, p := range f.processes {
		p.gap = 0
	}
	if s.answersLost {
		f.faults.answersLost = true
	}
	if s.play != nil {
		s.play(f)
	}
	f.run(s.until)
	return f
}

// The traces of whole scenarios match those in testdata. The check of each
// scenario states what it must show.
func TestScenariosMatchGoldenTraces(t *testing.T) {
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			f := s.run(t)
			must.Eq(t, "", f.violation)
			if s.check != nil {
				s.check(t, f)
			}
			got := strings.Join(f.trace, "\n") + fmt.Sprintf("\nstore calls %d\n", f.calls)
			file := filepath.Join("testdata", s.name+".golden")
			if *update {
				must.NoError(t, os.WriteFile(file, []byte(got), 0o644))
			}
			want, err := os.ReadFile(file)
			must.NoError(t, err)
			must.Eq(t, string(want), got)
		})
	}
}
