package handover

import (
	"slices"

	"github.com/rhubarbring/rhubarbring/chart"
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/mono"
)

// The states and events of the chart "handover".
const (
	stateNone     chart.State = "none"
	stateOwned    chart.State = "owned"
	stateDraining chart.State = "draining"
	stateReleased chart.State = "released"

	eventGranted   chart.Event = "granted"
	eventAsked     chart.Event = "asked"
	eventWithdrawn chart.Event = "withdrawn"
	eventIdle      chart.Event = "idle"
	eventOverdue   chart.Event = "overdue"
	eventMoved     chart.Event = "moved"
	eventMerged    chart.Event = "merged"

	doAdmit     chart.Action = "admit"
	doStop      chart.Action = "stop_admitting"
	doTell      chart.Action = "tell_released"
	doOverdue   chart.Action = "report_overdue"
	doOverruled chart.Action = "report_overruled"
)

// record is what the Holder remembers of a slice that was ever its own. It
// outlives the ownership: an epoch released must stay released.
type record struct {
	slice  key.Slice
	state  chart.State
	epoch  uint64 // Epoch held last.
	newest uint64 // Highest epoch seen.
	next   host.Session
	since  mono.Time

	drainSince mono.Time
	overdue    bool
	toldAt     mono.Time

	// Requests in flight. A new carve-out ends a generation: current counts
	// the requests of generation gen, older those of the ones before.
	gen     uint32
	current int
	older   int

	parent   *record   // Of a carve-out: the slice it came from, if held here.
	children []*record // Carve-outs that wait for older to reach zero.
	absorbed []*record // Merged carve-outs that still have requests in flight.
}

func (r *record) inFlight() int {
	n := r.current + r.older
	for _, c := range r.absorbed {
		n += c.inFlight()
	}
	if r.parent != nil {
		n += r.parent.older
	}
	return n
}

// begin counts a request in.
func (r *record) begin() Ticket {
	r.current++
	return Ticket{rec: r, gen: r.gen}
}

// end counts a request out.
func (r *record) end(gen uint32) {
	if gen == r.gen {
		r.current--
		return
	}
	r.older--
}

// split ends the generation, so that a carve-out can wait for the requests
// that were admitted before it.
func (r *record) split(child *record) {
	child.parent = r
	r.older += r.current
	r.current = 0
	r.gen++
	if !slices.Contains(r.children, child) {
		r.children = append(r.children, child)
	}
}

// absorb makes the release of r wait for the requests of a merged carve-out.
func (r *record) absorb(c *record) {
	if c.inFlight() > 0 {
		r.absorbed = append(r.absorbed, c)
	}
}

// related reports whether other records wait for this one's requests, or this
// one for theirs.
func (r *record) related() bool {
	return len(r.children) > 0 || len(r.absorbed) > 0
}

// settle forgets relations that no longer hold a release back.
func (r *record) settle() {
	if r.older == 0 {
		for _, c := range r.children {
			c.parent = nil
		}
		r.children = nil
	}
	kept := r.absorbed[:0]
	for _, c := range r.absorbed {
		if c.inFlight() > 0 {
			kept = append(kept, c)
		}
	}
	r.absorbed = kept
}
