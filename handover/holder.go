package handover

import (
	"slices"

	"github.com/rhubarbring/rhubarbring/assignment"
	"github.com/rhubarbring/rhubarbring/charts"
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/result"
	"github.com/rhubarbring/rhubarbring/statechart"
)

// Holder tracks the slices of one session. It does no input or output itself:
// its methods return the actions to perform. It must be used by one goroutine.
type Holder struct {
	cfg          Config
	chart        *statechart.Chart
	records      map[key.Slice]*record
	pending      []*record // Draining, or released and not acknowledged, oldest first.
	contested    []*record // Those that are contested, or were until lately.
	leaseEnd     mono.Time
	stopping     bool
	stopSince    mono.Time
	stopDrained  bool // A planned stop has drained every slice.
	sessionEnded bool

	counts Counts
	out    []Action
}

// New returns a Holder that holds no slice and no lease.
func New(cfg Config) *Holder {
	return &Holder{cfg: cfg, chart: charts.MustLoad("handover"), records: make(map[key.Slice]*record), leaseEnd: mono.Never}
}

// SetLease sets the instant at which the session's lease expires. From then on
// nothing is admitted. An instant in the past withdraws the lease.
func (h *Holder) SetLease(until mono.Time) {
	h.leaseEnd = until
}

// EndSession stops admission for good, once the session is recorded as lost or
// left. A new session needs a new Holder.
func (h *Holder) EndSession() {
	h.sessionEnded = true
}

// Counts returns how many slices are in each state.
func (h *Holder) Counts() Counts {
	return h.counts
}

// OwnedSlice is a slice in the state owned.
type OwnedSlice struct {
	Slice    key.Slice
	Epoch    uint64
	InFlight int
}

// Owned returns the owned slices in ascending order.
func (h *Holder) Owned() []OwnedSlice {
	var out []OwnedSlice
	for _, r := range h.sorted(stateOwned) {
		out = append(out, OwnedSlice{Slice: r.slice, Epoch: r.epoch, InFlight: r.inFlight()})
	}
	return out
}

// sorted returns the records in one of the states, ordered by slice.
func (h *Holder) sorted(states ...statechart.State) []*record {
	var out []*record
	for _, r := range h.records {
		if slices.Contains(states, r.state) {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, compareRecords)
	return out
}

// Admits returns whether a request for the slice may run at the instant now.
func (h *Holder) Admits(now mono.Time, s key.Slice) Verdict {
	return h.verdict(now, h.records[s])
}

// Begin is Admits for a request that is then run. If the verdict admits it, the
// ticket holds back the release of the slice until End.
func (h *Holder) Begin(now mono.Time, s key.Slice) (Ticket, Verdict) {
	r := h.records[s]
	v := h.verdict(now, r)
	if !v.Admitted() {
		return Ticket{}, v
	}
	return r.begin(), v
}

// End ends the request of a ticket: it was answered, or is known not to run any
// more, or is past its deadline with its outcome recorded as unknown. It must
// be called exactly once for each ticket.
func (h *Holder) End(now mono.Time, t Ticket) []Action {
	r := t.record
	if r == nil {
		return nil
	}
	r.end(t.generation)
	if len(h.pending) == 0 && !r.hasRelations() {
		return nil
	}
	h.out = nil
	r.pruneRelations()
	h.releaseIdle(now)
	return h.out
}

func (h *Holder) verdict(now mono.Time, r *record) Verdict {
	if r == nil {
		return Verdict{Code: result.NotOwner}
	}
	v := Verdict{Epoch: r.epoch, Newest: r.newest, Since: r.since}
	switch {
	case h.sessionEnded || r.state == stateNone || r.state == stateReleased:
		v.Code = result.NotOwner
	case r.drains():
		v.Code = result.Draining
	case !now.Before(h.leaseEnd):
		v.Code = result.LeaseLapsed
	}
	return v
}

// ApplyChange handles one change reported by the daemon's assignment.Map. A
// change that does not concern this session costs one map look-up.
//
// An assignment that is not in force changes nothing: it neither grants the slice
// nor takes it away, and names no next owner. See Contest.
func (h *Holder) ApplyChange(now mono.Time, c assignment.Change) []Action {
	h.out = nil
	if c.NotInForce {
		return nil
	}
	r := h.records[c.Slice]
	if r == nil && (c.Merged || c.To.Owner != h.cfg.Self) {
		return nil
	}
	if c.Merged {
		h.merge(now, r, c.Parent)
		return h.out
	}
	if r == nil {
		r = &record{slice: c.Slice, state: stateNone}
		h.records[c.Slice] = r
	}
	h.applyAssignment(now, r, c)
	h.releaseIfIdle(now, r)
	return h.out
}

// applyAssignment handles a slice's assignment, which may come from any version
// of its pack. One at an epoch below the newest changes nothing: a record whose
// epoch is not the newest is in the state none, where the chart ignores the
// events that it fires.
func (h *Holder) applyAssignment(now mono.Time, r *record, c assignment.Change) {
	if c.To.Epoch > r.newest {
		h.applyNewEpoch(now, r, c)
	}
	if c.To.Owner != h.cfg.Self || c.To.Epoch != r.epoch {
		return
	}
	r.next = c.To.Next
	handingOver := !r.next.IsZero() && r.next != h.cfg.Self
	if handingOver || h.stopDrained {
		h.fire(now, r, eventAsked)
		return
	}
	h.fire(now, r, eventWithdrawn)
}

// applyNewEpoch handles an epoch higher than every one seen: the slice is
// granted to this session, or has moved to another owner.
func (h *Holder) applyNewEpoch(now mono.Time, r *record, c assignment.Change) {
	r.newest = c.To.Epoch
	if c.To.Owner != h.cfg.Self {
		h.fire(now, r, eventMoved)
		return
	}
	r.epoch = c.To.Epoch
	r.since = now
	r.contested = false
	h.linkToParent(r, c)
	h.fire(now, r, eventGranted)
}

// linkToParent makes a carve-out's release wait for the requests that its parent
// slice, if there is a record of it, admitted before the carve-out was known.
func (h *Holder) linkToParent(r *record, c assignment.Change) {
	if !c.Slice.IsCarveOut() {
		return
	}
	if parent := h.records[key.Slice{App: c.Slice.App, ID: c.Parent}]; parent != nil {
		parent.addCarveOut(r)
		parent.pruneRelations()
	}
}

// merge ends a carve-out. A new record keeps its epochs, but not its requests in
// flight: they now hold back the parent, and a later carve-out with the same ID
// must not inherit them.
func (h *Holder) merge(now mono.Time, r *record, parent key.SliceID) {
	h.fire(now, r, eventMerged)
	if p := h.records[key.Slice{App: r.slice.App, ID: parent}]; p != nil {
		p.addMerged(r)
	}
	h.records[r.slice] = &record{slice: r.slice, state: stateNone, epoch: r.epoch, newest: r.newest}
}

// Tick performs what is due: it reports slow drains, sends unacknowledged
// releases again and advances a planned stop.
func (h *Holder) Tick(now mono.Time) []Action {
	h.out = nil
	if h.stopping && !h.stopDrained && now.Sub(h.stopSince) >= h.cfg.StopGrace {
		h.drainForStop(now)
	}
	h.renounceUnclaimed(now)
	h.releaseIdle(now)
	for _, r := range h.pending {
		h.checkTimers(now, r)
	}
	return h.out
}

// compareRecords orders records by slice.
func compareRecords(a, b *record) int {
	if a.slice.App != b.slice.App {
		if a.slice.App < b.slice.App {
			return -1
		}
		return 1
	}
	return int(int64(a.slice.ID) - int64(b.slice.ID))
}

// checkTimers sends an unacknowledged release again and reports an overdue drain.
func (h *Holder) checkTimers(now mono.Time, r *record) {
	if r.state == stateReleased && now.Sub(r.releaseSentAt) >= h.cfg.ResendInterval {
		h.sendRelease(now, r)
	}
	late := now.Sub(r.drainSince) >= h.cfg.DrainReportAfter
	if r.drains() && late && !r.overdue {
		h.fire(now, r, eventOverdue)
	}
}

// releaseIdle releases the slices that drain and wait for no request.
func (h *Holder) releaseIdle(now mono.Time) {
	for _, r := range h.pending {
		h.releaseIfIdle(now, r)
	}
}

// releaseIfIdle releases a slice that drains and waits for no request. A contested
// one waits for the answer to its claim: the leader could not tell a release by its
// last holder from one by an earlier holder.
func (h *Holder) releaseIfIdle(now mono.Time, r *record) {
	if r.drains() && r.inFlight() == 0 && !r.contested {
		h.fire(now, r, eventIdle)
	}
}

// fire applies an event to a record's state chart and performs the actions of the
// transition. Events that the state ignores have no effect.
func (h *Holder) fire(now mono.Time, r *record, ev statechart.Event) {
	t, ok := h.chart.Next(r.state, ev)
	if !ok {
		return
	}
	h.adjustCount(r.state, -1)
	h.adjustCount(t.To, +1)
	r.state = t.To
	h.updatePending(r)
	for _, do := range t.Actions {
		h.do(now, r, do)
	}
}

func (h *Holder) adjustCount(s statechart.State, n int) {
	switch s {
	case stateOwned:
		h.counts.Owned += n
	case stateDraining, stateRenounced:
		h.counts.Draining += n
	case stateReleased:
		h.counts.Released += n
	}
}

// updatePending adds the record to pending or removes it, by its state.
func (h *Holder) updatePending(r *record) {
	isPending := r.drains() || r.state == stateReleased
	i := slices.Index(h.pending, r)
	if isPending && i < 0 {
		h.pending = append(h.pending, r)
	}
	if !isPending && i >= 0 {
		h.pending = slices.Delete(h.pending, i, i+1)
	}
}

func (h *Holder) do(now mono.Time, r *record, do statechart.Action) {
	switch do {
	case actionAdmit:
		h.out = append(h.out, Admit{Slice: r.slice, Epoch: r.epoch})
	case actionStopAdmitting:
		r.drainSince, r.overdue = now, false
		h.out = append(h.out, StopAdmitting{Slice: r.slice, Epoch: r.epoch, Next: r.next})
	case actionSendRelease:
		h.sendRelease(now, r)
	case actionReportOverdue:
		r.overdue = true
		h.out = append(h.out, ReportDrainOverdue{Slice: r.slice, Epoch: r.epoch, InFlight: r.inFlight()})
	case actionReportSuperseded:
		h.out = append(h.out, ReportSuperseded{Slice: r.slice, Epoch: r.epoch, Newest: r.newest})
	}
}

func (h *Holder) sendRelease(now mono.Time, r *record) {
	r.releaseSentAt = now
	release := Release{From: h.cfg.Self, App: r.slice.App, ID: r.slice.ID, Epoch: r.epoch}
	h.out = append(h.out, SendRelease{Release: release})
}

// Self returns the session that the Holder belongs to.
func (h *Holder) Self() host.Session {
	return h.cfg.Self
}
