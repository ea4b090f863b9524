package ownermodel

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/rhubarbring/rhubarbring/assignment"
	"github.com/rhubarbring/rhubarbring/handover"
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/mono"
)

const (
	shortestDeadline = 300 * time.Millisecond
	longestDeadline  = 1500 * time.Millisecond
	shortestWork     = 20 * time.Millisecond
	longestWork      = 800 * time.Millisecond
	probeDelay       = 50 * time.Millisecond
)

// run is a request that a daemon has sent to its target.
type run struct {
	number   uint64
	daemon   *daemon
	instance *instance
	slice    key.Slice
	ticket   handover.Ticket
	deadline mono.Time
	lost     bool // Its connection is lost.
	// lossKnown is set once the daemon knows that.
	lossKnown bool
}

// heldRuns holds the runs whose tickets keep their slices from being released.
type heldRuns map[*run]struct{}

// startRun starts a request for a slice if the gate admits it.
func (d *daemon) startRun(s key.Slice) {
	m := d.m
	if !d.beginTask() || !d.admits(s) {
		return
	}
	ticket, verdict := d.holder.Begin(m.now, s)
	if !verdict.Admitted() {
		return
	}
	m.runs++
	r := &run{
		number:   m.runs,
		daemon:   d,
		instance: d.target.instance,
		slice:    s,
		ticket:   ticket,
		deadline: m.now.Add(m.between(shortestDeadline, longestDeadline)),
	}
	d.heldRuns[r] = struct{}{}
	m.after(transit(m), r.arrive)
}

// arrive begins a run at the target, which refuses it unless it holds the slice.
// At an address that refuses connections, the instance is known to have ended.
func (r *run) arrive() {
	m := r.daemon.m
	switch {
	case !r.daemon.listens(r.instance):
		r.daemon.instanceEnded(r.instance)
		r.daemon.runEnded(r)
	case !r.instance.holdsSlice(r.slice.ID):
		m.after(transit(m), func() { r.daemon.runEnded(r) })
	default:
		r.instance.work = append(r.instance.work, &work{run: r, ends: m.now.Add(m.between(shortestWork, longestWork))})
	}
}

// listens reports whether a process listens at the address of an instance.
func (d *daemon) listens(i *instance) bool {
	return i.listens() || d.host.target.listens() && d.host.target.address == i.address
}

// runEnded handles the answer to a run.
func (d *daemon) runEnded(r *run) {
	if d.beginTask() {
		d.endTicket(r)
	}
}

// runLost handles the loss of a run's connection. The slice is kept until the
// deadline, or until a probe of the target's address is refused.
func (d *daemon) runLost(r *run) {
	m := d.m
	if !d.beginTask() {
		return
	}
	r.lossKnown = true
	d.endTicketsOfReplaced()
	m.after(max(r.deadline.Sub(m.now), 0), func() { d.runEnded(r) })
	if m.chance(3) {
		return
	}
	m.after(probeDelay, func() {
		if d.beginTask() && !d.listens(r.instance) {
			d.instanceEnded(r.instance)
		}
	})
}

// instanceEnded handles that an instance refuses connections.
func (d *daemon) instanceEnded(i *instance) {
	if d.beginTask() && !d.m.opts.drops(ticketsRule) {
		d.endTickets(func(r *run) bool { return r.instance == i && r.lossKnown })
	}
}

// endTicketsOfReplaced ends the tickets of the lost runs of the instance that the
// present one has replaced at its address, unless it may hold slices.
func (d *daemon) endTicketsOfReplaced() {
	i := d.target.replaced
	if i != nil && !d.isPrevious(i) && !d.m.opts.drops(ticketsRule) {
		d.endTickets(func(r *run) bool { return r.instance == i && r.lossKnown })
	}
}

func (d *daemon) endTicket(r *run) {
	if _, held := d.heldRuns[r]; !held {
		return
	}
	delete(d.heldRuns, r)
	d.executeHolder(d.holder.End(d.m.now, r.ticket))
}

func (d *daemon) endTicketsOf(i *instance) {
	d.endTickets(func(r *run) bool { return r.instance == i })
}

func (d *daemon) endTickets(matches func(*run) bool) {
	runs := slices.SortedFunc(maps.Keys(d.heldRuns), func(a, b *run) int { return cmp.Compare(a.number, b.number) })
	for _, r := range runs {
		if matches(r) {
			d.endTicket(r)
		}
	}
}

// drainAll drains the owned slices as if they were handed over, so that a
// withdrawn handover makes them owned again at the same epoch. It stands in for
// handover.Holder.RenounceAll where the model leaves out that a renounced slice
// is not owned again.
func (d *daemon) drainAll() {
	nobody := host.Session{Host: "none", Incarnation: 1}
	for _, o := range d.holder.Owned() {
		change := assignment.Change{Slice: o.Slice, To: assignment.Ownership{Owner: d.self, Epoch: o.Epoch, Next: nobody}}
		d.executeHolder(d.holder.ApplyChange(d.m.now, change))
	}
}
