package handover

import (
	"slices"

	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/statechart"
)

// States, events and actions of the chart "handover".
const (
	stateNone      statechart.State = "none"
	stateOwned     statechart.State = "owned"
	stateDraining  statechart.State = "draining"
	stateRenounced statechart.State = "renounced"
	stateReleased  statechart.State = "released"

	eventGranted   statechart.Event = "granted"
	eventAsked     statechart.Event = "asked"
	eventWithdrawn statechart.Event = "withdrawn"
	eventSpent     statechart.Event = "spent"
	eventIdle      statechart.Event = "idle"
	eventOverdue   statechart.Event = "overdue"
	eventMoved     statechart.Event = "moved"
	eventMerged    statechart.Event = "merged"

	actionAdmit            statechart.Action = "admit"
	actionStopAdmitting    statechart.Action = "stop_admitting"
	actionSendRelease      statechart.Action = "tell_released"
	actionReportOverdue    statechart.Action = "report_overdue"
	actionReportSuperseded statechart.Action = "report_overruled"
)

// record is the Holder's state of a slice that it owns or once owned. It is kept
// after the ownership ends, since an epoch released must stay released.
type record struct {
	slice  key.Slice
	state  statechart.State
	epoch  uint64 // Last epoch owned.
	newest uint64 // Highest epoch seen.
	next   host.Session
	since  mono.Time

	// contested is set while the slice is held and its stored entry is known not
	// to be in force. The claim then lasts until claimEnd.
	contested bool
	claimEnd  mono.Time

	drainSince    mono.Time
	overdue       bool
	releaseSentAt mono.Time

	// Requests in flight. A new carve-out begins a generation: current counts
	// the requests of the present generation, older those of earlier ones.
	generation uint32
	current    int
	older      int

	parent           *record   // Of a carve-out: the parent whose older requests it waits for.
	waitingCarveOuts []*record // Carve-outs that wait for older to reach zero.
	merged           []*record // Merged carve-outs that still have requests in flight.
}

// inFlight returns the number of requests that the release of r must wait for,
// including those of related records.
func (r *record) inFlight() int {
	n := r.current + r.older
	for _, c := range r.merged {
		n += c.inFlight()
	}
	if r.parent != nil {
		n += r.parent.older
	}
	return n
}

// begin counts a request that starts to run.
func (r *record) begin() Ticket {
	r.current++
	return Ticket{record: r, generation: r.generation}
}

// end removes a request of generation gen from the count.
func (r *record) end(gen uint32) {
	if gen == r.generation {
		r.current--
		return
	}
	r.older--
}

// drains reports whether the slice is not served any more, and not released yet.
func (r *record) drains() bool {
	return r.state == stateDraining || r.state == stateRenounced
}

// addCarveOut makes the release of child wait for the requests that r has
// admitted so far, by starting a new generation of requests.
func (r *record) addCarveOut(child *record) {
	child.parent = r
	r.older += r.current
	r.current = 0
	r.generation++
	if !slices.Contains(r.waitingCarveOuts, child) {
		r.waitingCarveOuts = append(r.waitingCarveOuts, child)
	}
}

// addMerged makes the release of r wait for the requests of a merged carve-out.
func (r *record) addMerged(c *record) {
	if c.inFlight() > 0 {
		r.merged = append(r.merged, c)
	}
}

// hasRelations reports whether carve-outs wait for the requests of r, or r for
// those of merged carve-outs.
func (r *record) hasRelations() bool {
	return len(r.waitingCarveOuts) > 0 || len(r.merged) > 0
}

// pruneRelations removes relations that no longer hold back a release.
func (r *record) pruneRelations() {
	if r.older == 0 {
		for _, c := range r.waitingCarveOuts {
			c.parent = nil
		}
		r.waitingCarveOuts = nil
	}
	kept := r.merged[:0]
	for _, c := range r.merged {
		if c.inFlight() > 0 {
			kept = append(kept, c)
		}
	}
	r.merged = kept
}
