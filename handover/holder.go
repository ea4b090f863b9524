package handover

import (
	"slices"

	"github.com/rhubarbring/rhubarbring/assignment"
	"github.com/rhubarbring/rhubarbring/chart"
	"github.com/rhubarbring/rhubarbring/charts"
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/result"
)

// Holder is the pure core. It belongs to one goroutine.
type Holder struct {
	cfg       Config
	chart     *chart.Chart
	records   map[key.Slice]*record
	pending   []*record // Draining, or released and not answered, oldest first.
	lease     mono.Time
	stopping  bool
	stopSince mono.Time
	drained   bool // A planned stop has asked for every slice.
	ended     bool

	counts Counts
	out    []Action
}

// New returns a Holder that holds no slice and no lease.
func New(cfg Config) *Holder {
	return &Holder{cfg: cfg, chart: charts.MustLoad("handover"), records: make(map[key.Slice]*record), lease: mono.Never}
}

// SetLease says until when the session's lease holds. Nothing is admitted from
// that instant on. An instant in the past takes the lease away.
func (h *Holder) SetLease(until mono.Time) {
	h.lease = until
}

// EndSession says that the session is recorded lost or left: nothing is
// admitted any more. A new session needs a new Holder.
func (h *Holder) EndSession() {
	h.ended = true
}

// Counts returns how many slices are in each state.
func (h *Holder) Counts() Counts {
	return h.counts
}

// Held is a slice that is held.
type Held struct {
	Slice    key.Slice
	Epoch    uint64
	InFlight int
}

// Owned returns the slices that are held, in ascending order.
func (h *Holder) Owned() []Held {
	var out []Held
	for _, r := range h.sorted(stateOwned) {
		out = append(out, Held{Slice: r.slice, Epoch: r.epoch, InFlight: r.inFlight()})
	}
	return out
}

// sorted returns the records in a state by slice.
func (h *Holder) sorted(s chart.State) []*record {
	var out []*record
	for _, r := range h.records {
		if r.state == s {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, compare)
	return out
}

// Admits says whether a request for the slice may run now.
func (h *Holder) Admits(now mono.Time, s key.Slice) Verdict {
	return h.judge(now, h.records[s])
}

// Begin is Admits for a request that then runs: if the verdict admits it, the
// ticket keeps the slice from being released until End.
func (h *Holder) Begin(now mono.Time, s key.Slice) (Ticket, Verdict) {
	r := h.records[s]
	v := h.judge(now, r)
	if !v.Admitted() {
		return Ticket{}, v
	}
	return r.begin(), v
}

// End says that the request of a ticket is over: answered, or known not to
// run any more, or past its deadline with its outcome recorded as unknown. It
// must be called once for each ticket.
func (h *Holder) End(now mono.Time, t Ticket) []Action {
	r := t.rec
	if r == nil {
		return nil
	}
	r.end(t.gen)
	if len(h.pending) == 0 && !r.related() {
		return nil
	}
	h.out = nil
	r.settle()
	h.checkIdle(now)
	return h.out
}

func (h *Holder) judge(now mono.Time, r *record) Verdict {
	if r == nil {
		return Verdict{Code: result.NotOwner}
	}
	v := Verdict{Epoch: r.epoch, Newest: r.newest, Since: r.since}
	switch {
	case h.ended || r.state == stateNone || r.state == stateReleased:
		v.Code = result.NotOwner
	case r.state == stateDraining:
		v.Code = result.Draining
	case !now.Before(h.lease):
		v.Code = result.LeaseLapsed
	}
	return v
}

// Seen takes in one change that the daemon's assignment.Map reported. Changes
// that don't concern this session cost one look-up.
func (h *Holder) Seen(now mono.Time, c assignment.Change) []Action {
	h.out = nil
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
	h.assigned(now, r, c)
	h.release(now, r)
	return h.out
}

// assigned takes a slice's assignment in, which may be of any version of its
// pack. One of an epoch that is not the newest changes nothing: a record that
// does not hold its newest epoch is in state none, where the chart ignores it.
func (h *Holder) assigned(now mono.Time, r *record, c assignment.Change) {
	if c.To.Epoch > r.newest {
		h.raise(now, r, c)
	}
	if c.To.Owner != h.cfg.Self || c.To.Epoch != r.epoch {
		return
	}
	r.next = c.To.Next
	leads := !r.next.IsNobody() && r.next != h.cfg.Self
	if leads || h.drained {
		h.fire(now, r, eventAsked)
		return
	}
	h.fire(now, r, eventWithdrawn)
}

func (h *Holder) raise(now mono.Time, r *record, c assignment.Change) {
	r.newest = c.To.Epoch
	if c.To.Owner != h.cfg.Self {
		h.fire(now, r, eventMoved)
		return
	}
	r.epoch = c.To.Epoch
	r.since = now
	h.follow(r, c)
	h.fire(now, r, eventGranted)
}

// follow makes a carve-out wait for the requests that its parent slice, if it
// is held here, admitted before the carve-out was known.
func (h *Holder) follow(r *record, c assignment.Change) {
	if !c.Slice.IsCarveOut() {
		return
	}
	if parent := h.records[key.Slice{App: c.Slice.App, ID: c.Parent}]; parent != nil {
		parent.split(r)
		parent.settle()
	}
}

// merge ends a carve-out. Its record stays for its epochs, but a carve-out
// that takes the ID later must not inherit its requests: they now belong to
// the parent.
func (h *Holder) merge(now mono.Time, r *record, parent key.SliceID) {
	h.fire(now, r, eventMerged)
	if p := h.records[key.Slice{App: r.slice.App, ID: parent}]; p != nil {
		p.absorb(r)
	}
	h.records[r.slice] = &record{slice: r.slice, state: stateNone, epoch: r.epoch, newest: r.newest}
}

// Tick lets time pass: it reports slow drains, tells releases again and goes
// on with a planned stop.
func (h *Holder) Tick(now mono.Time) []Action {
	h.out = nil
	if h.stopping && !h.drained && now.Sub(h.stopSince) >= h.cfg.StopGrace {
		h.drainAll(now)
	}
	h.checkIdle(now)
	for _, r := range h.pending {
		h.remind(now, r)
	}
	return h.out
}

// compare orders records by slice.
func compare(a, b *record) int {
	if a.slice.App != b.slice.App {
		if a.slice.App < b.slice.App {
			return -1
		}
		return 1
	}
	return int(int64(a.slice.ID) - int64(b.slice.ID))
}

func (h *Holder) remind(now mono.Time, r *record) {
	if r.state == stateReleased && now.Sub(r.toldAt) >= h.cfg.Resend {
		h.tell(now, r)
	}
	late := now.Sub(r.drainSince) >= h.cfg.DrainReport
	if r.state == stateDraining && late && !r.overdue {
		h.fire(now, r, eventOverdue)
	}
}

// checkIdle releases the draining slices that have nothing in flight.
func (h *Holder) checkIdle(now mono.Time) {
	for _, r := range h.pending {
		h.release(now, r)
	}
}

func (h *Holder) release(now mono.Time, r *record) {
	if r.state == stateDraining && r.inFlight() == 0 {
		h.fire(now, r, eventIdle)
	}
}

func (h *Holder) fire(now mono.Time, r *record, ev chart.Event) {
	t, ok := h.chart.Next(r.state, ev)
	if !ok {
		return
	}
	h.count(r.state, -1)
	h.count(t.To, +1)
	r.state = t.To
	h.track(r)
	for _, do := range t.Do {
		h.do(now, r, do)
	}
}

func (h *Holder) count(s chart.State, n int) {
	switch s {
	case stateOwned:
		h.counts.Owned += n
	case stateDraining:
		h.counts.Draining += n
	case stateReleased:
		h.counts.Released += n
	}
}

// track keeps pending in step with the record's state.
func (h *Holder) track(r *record) {
	waits := r.state == stateDraining || r.state == stateReleased
	i := slices.Index(h.pending, r)
	if waits && i < 0 {
		h.pending = append(h.pending, r)
	}
	if !waits && i >= 0 {
		h.pending = slices.Delete(h.pending, i, i+1)
	}
}

func (h *Holder) do(now mono.Time, r *record, do chart.Action) {
	switch do {
	case doAdmit:
		h.out = append(h.out, Admit{Slice: r.slice, Epoch: r.epoch})
	case doStop:
		r.drainSince, r.overdue = now, false
		h.out = append(h.out, StopAdmitting{Slice: r.slice, Epoch: r.epoch, Next: r.next})
	case doTell:
		h.tell(now, r)
	case doOverdue:
		r.overdue = true
		h.out = append(h.out, ReportOverdue{Slice: r.slice, Epoch: r.epoch, InFlight: r.inFlight()})
	case doOverruled:
		h.out = append(h.out, ReportOverruled{Slice: r.slice, Epoch: r.epoch, Newest: r.newest})
	}
}

func (h *Holder) tell(now mono.Time, r *record) {
	r.toldAt = now
	release := Release{From: h.cfg.Self, App: r.slice.App, ID: r.slice.ID, Epoch: r.epoch}
	h.out = append(h.out, TellReleased{Release: release})
}

// Self returns the session that the Holder serves.
func (h *Holder) Self() host.Session {
	return h.cfg.Self
}
