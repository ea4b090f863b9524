package takeover

import (
	"slices"

	"github.com/rhubarbring/rhubarbring/charts"
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/session"
	"github.com/rhubarbring/rhubarbring/statechart"
	"github.com/rhubarbring/rhubarbring/witness"
)

var takeoverChart = charts.MustLoad("takeover")

// receivedSeal is the latest seal received from a witness.
type receivedSeal struct {
	generation uint64
	leaseEnd   mono.Time // When the leases that the witness granted earlier have expired.
	seq        uint64
}

// attempt is the takeover of one session.
type attempt struct {
	session       host.Session
	state         statechart.State
	began         mono.Time
	due           mono.Time // When the event "turn" is due, in the states that wait for it.
	retries       int       // Failed reads and rounds of requests for seals so far; sets the backoff.
	lastHeard     mono.Time // When another witness last reported that it hears the session.
	withoutSeals  bool      // Whether the record may be written without seals; see observation.
	superseded    bool      // Whether to mark the record as superseded (Config.SupersedeEarly).
	startReported bool      // Whether the start was reported.
	stuckReported bool      // Whether it was reported as stuck.
	record        session.VersionedRecord
	seals         map[host.Session]receivedSeal
	writer        *session.RecordWriter
}

// final reports whether the attempt has ended.
func (a *attempt) final() bool {
	return takeoverChart.States[a.state].Final
}

// addSeal records a seal received from a witness and reports whether it was
// newer, by sequence number, than the one known. The generation never falls.
func (a *attempt) addSeal(now mono.Time, s witness.Seal, seq uint64) bool {
	old, ok := a.seals[s.Witness]
	if ok && seq <= old.seq {
		return false
	}
	a.seals[s.Witness] = receivedSeal{generation: max(old.generation, s.Generation), leaseEnd: now.Add(s.Remaining), seq: seq}
	return true
}

// leaseEnds returns, in ascending order, the expiry of the leases granted by
// those of the record's witnesses that have sealed its generation.
func (a *attempt) leaseEnds() []mono.Time {
	var ends []mono.Time
	for _, w := range a.record.Record.Witnesses {
		if s, ok := a.seals[w]; ok && s.generation >= a.record.Record.Generation {
			ends = append(ends, s.leaseEnd)
		}
	}
	slices.Sort(ends)
	return ends
}

// majority returns how many seals are a majority of the record's witnesses.
func (a *attempt) majority() int {
	return session.Majority(len(a.record.Record.Witnesses))
}

// majorityEnd returns when the leases granted by a sealing majority have
// expired. It returns false if no majority has sealed.
func (a *attempt) majorityEnd() (mono.Time, bool) {
	ends := a.leaseEnds()
	n := a.majority()
	if len(ends) < n {
		return 0, false
	}
	return ends[n-1], true
}

// reason returns what the attempt waits for.
func (a *attempt) reason() Reason {
	if a.state == takeoverChart.Initial || a.state == "reading" || !a.writer.Idle() {
		return StoreUnreachable
	}
	return NoWitnessMajority
}
