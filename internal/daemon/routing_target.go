package daemon

import (
	"github.com/rhubarbring/rhubarbring/gate"
	"github.com/rhubarbring/rhubarbring/internal/control"
	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/targetstatus"
)

func (w targetAnnounced) handle(r *routingLoop, now mono.Time) {
	a := w.announcement
	if a.Connections == 0 {
		app, _ := r.fleet.app(key.App(a.App))
		a.Connections = max(app.TargetConnections, a.Slots)
	}
	if r.target != nil && r.target.instance != a.Instance {
		r.instanceEnded(now, r.target.instance)
	}
	revision, earlier := r.targetStatus.Revision(), r.target
	switch {
	case r.gate == nil || earlier.app != key.App(a.App) || earlier.client.Address() != a.Address:
		r.newGate(now, a)
		r.startTargetInstance(now, a, earlier)
	case earlier.instance != a.Instance:
		r.startTargetInstance(now, a, earlier)
	case r.grantHolder != nil:
		r.grantHolder.Announced()
	}
	r.target.lastAnnounced = now
	r.target.gone = false
	r.target.load = float32(a.Load)
	r.target.slots = a.Slots
	r.gate.TargetAnnounced(now, gate.Announcement{
		Slots:              a.Slots,
		Connections:        a.Connections,
		ChecksGrants:       a.ChecksGrants,
		State:              targetState(a.State),
		Instance:           a.Instance,
		Load:               a.Load,
		StopsAbandonedRuns: a.StopsAbandonedRuns,
		ReportsCold:        a.ReportsCold,
		Age:                ageOf(a, wallMs()),
	}, &r.gateActions)
	r.reportCold(now)
	if a.State == control.StateDraining && a.Instance != 0 {
		r.targetStatus.Heard(now, now, a.Instance, targetstatus.Statement{Leaving: true})
	}
	if r.targetStatus.Revision() != revision {
		r.statusChanged(now)
	}
}

// setInstance makes the sender of an announcement the current instance.
func (t *localTarget) setInstance(client Target, a control.Announcement) {
	t.client, t.instance, t.startedMs = client, a.Instance, a.StartedMs
}

// isReplacedBy reports whether the sender of an announcement listens in place of the
// instance: only one process listens at an address. The instance may run on.
func (t *localTarget) isReplacedBy(a control.Announcement) bool {
	return t != nil && t.instance != a.Instance && t.client.Address() == a.Address
}

// newGate replaces the gate when another app or address is announced. The old
// gate is retired and finishes its runs.
func (r *routingLoop) newGate(now mono.Time, a control.Announcement) {
	cfg := gate.DefaultConfig()
	cfg.Self = r.self
	cfg.App = key.App(a.App)
	cfg.Ownership = r
	cfg.Quarantine = r.quarantine
	cfg.ZoneOf = r.zoneOf
	cfg.MaxBodyBytes = r.bodyBudget
	cfg.LimitConcurrency = r.limitConcurrency
	if app, ok := r.fleet.app(cfg.App); ok {
		cfg.MaxQueued = app.QueueBound
	}
	old := r.gate
	if old == nil {
		r.gate = gate.New(cfg)
	} else {
		old.TargetGone(now, &r.gateActions)
		r.retiredGates = append(r.retiredGates, old)
		r.gate = old.Successor(cfg)
	}
	r.target = &localTarget{app: cfg.App}
	r.setColdLimit(now, r.fleet.app)
	r.evacuateGate(now)
}

func targetState(name string) gate.State {
	switch name {
	case control.StateCold:
		return gate.Cold
	case control.StateDraining:
		return gate.Draining
	default:
		return gate.Warm
	}
}
