package takeover

import (
	"slices"

	"github.com/rhubarbring/rhubarbring/chart"
	"github.com/rhubarbring/rhubarbring/charts"
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/session"
	"github.com/rhubarbring/rhubarbring/witness"
)

var takeoverChart = charts.MustLoad("takeover")

// sealed is another witness's promise as it was last heard.
type sealed struct {
	generation uint64
	until      mono.Time // When the leases it granted before have run out.
	seq        uint64
}

// attempt is the takeover of one session.
type attempt struct {
	session    host.Session
	state      chart.State
	began      mono.Time
	due        mono.Time // When the turn comes, in the states that wait for one.
	fails      int       // Reads that failed in a row.
	heard      mono.Time // When another witness last said that it hears the session.
	byStore    bool      // Whether it rests on the store alone, not on this witness's silence.
	superseded bool      // Whether it is an earlier life of this daemon that is recorded early.
	started    bool      // Whether its start was reported.
	told       bool      // Whether it was reported as stuck.
	record     session.Versioned
	seals      map[host.Session]sealed
	writer     *session.Writer
}

func (a *attempt) over() bool {
	return takeoverChart.States[a.state].Final
}

// add takes a seal of a witness. Of two, the one that was sent later counts.
func (a *attempt) add(now mono.Time, s witness.Seal, seq uint64) bool {
	old, ok := a.seals[s.Witness]
	if ok && seq <= old.seq {
		return false
	}
	a.seals[s.Witness] = sealed{generation: max(old.generation, s.Generation), until: now.Add(s.Remaining), seq: seq}
	return true
}

// ends returns, in ascending order, when the leases run out that were granted
// by those witnesses of the record that sealed its generation.
func (a *attempt) ends() []mono.Time {
	var ends []mono.Time
	for _, w := range a.record.Record.Witnesses {
		if s, ok := a.seals[w]; ok && s.generation >= a.record.Record.Generation {
			ends = append(ends, s.until)
		}
	}
	slices.Sort(ends)
	return ends
}

// needs returns how many seals make a majority of the record's witnesses.
func (a *attempt) needs() int {
	return session.Majority(len(a.record.Record.Witnesses))
}

// clear returns when the leases of a majority have run out, and whether a
// majority has sealed.
func (a *attempt) clear() (mono.Time, bool) {
	ends := a.ends()
	n := a.needs()
	if len(ends) < n {
		return 0, false
	}
	return ends[n-1], true
}

// reason says what the attempt waits for.
func (a *attempt) reason() Reason {
	if a.state == takeoverChart.Initial || a.state == "reading" || !a.writer.Idle() {
		return StoreSilent
	}
	return WitnessesSilent
}
