package daemon

import (
	"cmp"
	"slices"
	"time"

	"github.com/rhubarbring/rhubarbring/event"
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/internal/bootclock"
	"github.com/rhubarbring/rhubarbring/internal/control"
	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/result"
	"github.com/rhubarbring/rhubarbring/session"
	"github.com/rhubarbring/rhubarbring/status"
)

// queryTimeout bounds how long an operator's query waits for the routing loop.
const queryTimeout = time.Second

// Announce implements control.Daemon.
func (d *Daemon) Announce(a control.Announcement) (string, error) {
	if !d.routing.ring.Push(targetAnnounced{a}) {
		return "", &result.Error{Code: result.RingFull, Detail: "the daemon is overloaded"}
	}
	d.recordTarget(a)
	return d.self.String(), nil
}

// recordTarget records an announced target in the session record. An instance that
// said that it is about to end stays out of it, whatever it announces.
func (d *Daemon) recordTarget(a control.Announcement) {
	d.recordMu.Lock()
	defer d.recordMu.Unlock()
	t := targetRecord(a)
	if a.Instance != 0 && a.Instance == d.leavingInstance {
		t = nil
	}
	old := d.announcedTarget.Load()
	if old != nil && t != nil && *old == *t {
		return
	}
	d.announcedTarget.Store(t)
	if old != t {
		d.lease.pushWait(targetChanged{target: t})
	}
}

// targetLeaving removes an instance of the target that is about to end from the
// session record, so that placement moves its slices to others.
func (d *Daemon) targetLeaving(instance uint64) {
	d.recordMu.Lock()
	defer d.recordMu.Unlock()
	d.leavingInstance = instance
	d.announcedTarget.Store(nil)
	d.lease.pushWait(targetChanged{})
}

// targetRecord returns the target's part of the session record. It is nil for a
// target that is draining, so that placement moves its slices to others.
func targetRecord(a control.Announcement) *session.Target {
	if a.State == control.StateDraining {
		return nil
	}
	return &session.Target{
		App:          key.App(a.App),
		Address:      a.Address,
		Slots:        a.Slots,
		Connections:  a.Connections,
		ChecksGrants: a.ChecksGrants,
		Instance:     a.Instance,
	}
}

// targetGone removes the target from the session record, so that placement
// moves its slices to others. The next announcement adds it again.
func (d *Daemon) targetGone(silent time.Duration) {
	d.recordMu.Lock()
	defer d.recordMu.Unlock()
	d.log.Event(event.TargetGone, "after_ms", silent.Milliseconds())
	d.announcedTarget.Store(nil)
	d.lease.pushWait(targetChanged{})
}

// CheckReady implements control.Daemon.
func (d *Daemon) CheckReady() error {
	if err := d.CheckRoutable(); err != nil {
		return err
	}
	if !d.routing.allSlicesOwned.Load() {
		return &result.Error{Code: result.NoOwner, Detail: "slices without an owner"}
	}
	return nil
}

// CheckRoutable returns nil if the daemon accepts requests, and otherwise what
// prevents it. Some slices may be without an owner.
func (d *Daemon) CheckRoutable() error {
	switch {
	case d.sessionOver.Load():
		return &result.Error{Code: result.LeaseLapsed, Detail: "the session is over, and the next one has not begun"}
	case d.stopping.Load():
		return &result.Error{Code: result.Draining, Detail: "a planned stop is under way"}
	case d.fleet.document.Load() == nil:
		return &result.Error{Code: result.NotConfigured, Detail: "no document is in force yet"}
	case d.lease.recorded.Load() == nil:
		return &result.Error{Code: result.LeaseLapsed, Detail: "the session is not recorded yet"}
	}
	return d.checkEvacuationsKnown()
}

// Status implements control.Daemon.
func (d *Daemon) Status() (any, error) {
	s := status.Daemon{
		Session:        d.self,
		Place:          d.place(),
		StoreReachable: d.store.reachable(),
		Lease:          d.leaseStatus(),
		Document:       d.documentStatus(),
		Fleet:          d.fleetStatus(),
		RenewedHere:    []host.Session{},
		Evacuated:      d.evacuated().Names(),
		Relay:          d.spread.isRelay.Load(),
		OpenOutcomes:   int(d.risk.openOutcomes.Load()),
		Alarms:         []string{},
	}
	if lines := d.risk.ringingAlarms.Load(); lines != nil {
		s.Alarms = *lines
	}
	if renewed := d.lease.renewedSessions.Load(); renewed != nil {
		s.RenewedHere = *renewed
	}
	if err := d.CheckReady(); err != nil {
		s.Ready = err.Error()
	}
	if err := d.runOnRouting(func(r *routingLoop, now mono.Time) { r.fillStatus(now, &s) }); err != nil {
		return nil, err
	}
	leader, leads := d.placement.leader.Load(), d.placement.leads.Load()
	if leader != nil {
		s.Placement = status.Placement{Leader: leader.Session, Term: leader.Term, Leads: leads}
	}
	return s, nil
}

func (d *Daemon) leaseStatus() status.Lease {
	recorded := d.lease.recorded.Load()
	if recorded == nil {
		return status.Lease{}
	}
	return status.Lease{
		State:      recorded.Record.State,
		Generation: recorded.Record.Generation,
		Witnesses:  recorded.Record.Witnesses,
		LeftMs:     d.lease.leaseEnd().Sub(bootclock.Now()).Milliseconds(),
	}
}

func (d *Daemon) documentStatus() status.Document {
	doc := d.fleet.document.Load()
	if doc == nil {
		return status.Document{Environment: d.settings.Environment}
	}
	return status.Document{
		Environment: d.settings.Environment,
		Version:     doc.stored.Version,
		Hash:        string(doc.stored.Hash),
		Who:         doc.stored.Who,
	}
}

func (d *Daemon) fleetStatus() []status.Session {
	list := []status.Session{}
	for id, v := range d.fleet.sessions.Load().records {
		s := status.Session{Session: id, Place: v.Record.Place, State: v.Record.State, Control: v.Record.ControlAddress}
		if v.Record.Target != nil {
			s.App = v.Record.Target.App
		}
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b status.Session) int { return compareSessions(a.Session, b.Session) })
	return list
}

func compareSessions(a, b host.Session) int {
	return cmp.Or(cmp.Compare(a.Host, b.Host), cmp.Compare(a.Incarnation, b.Incarnation))
}

// ExplainKey implements control.Daemon.
func (d *Daemon) ExplainKey(app, k string) (any, error) {
	answer := status.Key{App: key.App(app), Key: k, Moves: []status.Move{}}
	known := false
	err := d.runOnRouting(func(r *routingLoop, now mono.Time) { known = r.explain(now, &answer) })
	if err != nil {
		return nil, err
	}
	if !known {
		return nil, &result.Error{Code: result.UnknownApp, Field: "app", Detail: "no assignment of " + app + " is known here", Remedy: "check the name against the document in force"}
	}
	if v, ok := d.fleet.sessions.Load().records[answer.Owner]; ok {
		answer.OwnerState = v.Record.State
		answer.OwnerPlace = v.Record.Place
	}
	return answer, nil
}

// runOnRouting runs a query on the routing loop and waits until it is done.
func (d *Daemon) runOnRouting(query func(*routingLoop, mono.Time)) error {
	q := routingQuery{query: query, done: make(chan struct{})}
	timer := time.NewTimer(queryTimeout)
	defer timer.Stop()
	if d.routing.ring.Push(q) {
		select {
		case <-q.done:
			return nil
		case <-timer.C:
		}
	}
	return &result.Error{Code: result.RingFull, Detail: "the daemon is too busy to answer", Remedy: "ask again"}
}

// queryRouting returns the value of a query that runs on the routing loop.
// After a timeout the query may still run; its value is then discarded.
func queryRouting[T any](d *Daemon, query func(*routingLoop, mono.Time) T) (T, error) {
	answer := make(chan T, 1)
	if err := d.runOnRouting(func(r *routingLoop, now mono.Time) { answer <- query(r, now) }); err != nil {
		var none T
		return none, err
	}
	return <-answer, nil
}

// routingQuery is a query that runs on the routing loop.
type routingQuery struct {
	query func(*routingLoop, mono.Time)
	done  chan struct{}
}

func (w routingQuery) handle(r *routingLoop, now mono.Time) {
	w.query(r, now)
	close(w.done)
}

func (r *routingLoop) fillStatus(now mono.Time, s *status.Daemon) {
	counts := r.holder.Counts()
	s.Slices = status.Slices{Owned: counts.Owned, Draining: counts.Draining, Released: counts.Released}
	c := r.router.Counters()
	s.Requests = status.Requests{
		Submitted: c.Submitted, Replied: c.Replied, Sent: c.Sent, Retried: c.Retried, Raised: c.Raised, Dropped: c.UnmatchedAnswers,
	}
	s.Unowned = r.unownedByApp()
	s.BoundRoutes = r.boundRoutes()
	if r.gate == nil {
		return
	}
	load := r.gate.Load(now)
	s.Target = &status.Target{
		App:       r.target.app,
		Address:   r.target.client.Address(),
		Gone:      r.target.gone,
		Slots:     load.Slots,
		Busy:      load.Busy,
		Queued:    load.Queued,
		ServiceMs: float64(load.MeanServiceTime) / float64(time.Millisecond),
		RateLimit: r.targetStatus.Status().RateLimit,
		Leaving:   r.targetStatus.Status().Leaving,
	}
}

// unownedByApp counts, for each app of the document, the slices that have no
// owner or whose owner is unknown or recorded as lost or left.
func (r *routingLoop) unownedByApp() []status.Unowned {
	list := []status.Unowned{}
	d := r.fleet.document.Load()
	if d == nil {
		return list
	}
	records := r.fleet.sessions.Load().records
	for _, app := range d.document.Apps {
		u := status.Unowned{App: app.Name, Total: int(sliceCount(app))}
		for id := range sliceCount(app) {
			s, ok := r.owners.At(key.Slice{App: app.Name, ID: key.SliceID(id)})
			v, known := records[s.Owner]
			if !ok || !known || v.Record.State.Final() {
				u.Slices++
			}
		}
		list = append(list, u)
	}
	return list
}

func (r *routingLoop) explain(now mono.Time, k *status.Key) bool {
	slice, assigned, ok := r.owners.Lookup(k.App, k.Key)
	if !ok {
		return false
	}
	k.Slice = slice.ID
	k.CarvedOut = slice.IsCarveOut()
	k.Owner = assigned.Owner
	k.Epoch = assigned.Epoch
	k.Next = assigned.Next
	k.Moves = r.history.forSlice(slice)
	if assigned.Owner != r.self {
		return true
	}
	v := r.holder.Admits(now, slice)
	k.IsOwner = true
	k.Admits = v.Code.String()
	k.LeaseLeftMs = r.leaseEnd().Sub(now).Milliseconds()
	return true
}
