package daemon

import (
	"slices"
	"time"

	"github.com/rhubarbring/rhubarbring/gate"
	"github.com/rhubarbring/rhubarbring/internal/bootclock"
	"github.com/rhubarbring/rhubarbring/mono"
)

func (r *routingLoop) tick() {
	now := bootclock.Now()
	r.holder.SetLease(r.leaseEnd())
	r.router.Tick(now, &r.routerActions)
	r.executeHolder(now, r.holder.Tick(now))
	r.tickGates(now)
	r.tickGrants(now)
	r.tickHeartbeatHandovers(now)
	r.deliverWaiters(now)
	r.tickClaims(now)
	r.expireSent(now)
	r.chargeControlBytes(now)
	r.reportLoad(now)
	r.shareMemory()
	r.flush(now)
	r.publishStopState()
}

// expireSent runs once every expiryInterval. It removes sent requests whose late
// answers are no longer waited for, and updates the gauges.
func (r *routingLoop) expireSent(now mono.Time) {
	if now.Before(r.nextExpiry) {
		return
	}
	r.nextExpiry = now.Add(expiryInterval)
	r.watchBoundRoutes()
	r.updateGauges(now)
	r.reportCallShare(now)
	r.watchUnevenLoad(now)
	r.reportMemory()
	r.quarantine.Expire(now)
	r.peerTargets.Expire(now)
	r.crashReport.expire(now)
	r.writeCrashReport()
	if r.hostLink != nil {
		r.hostLink.Expire(now)
	}
	for seq, s := range r.sentRequests {
		if now.Sub(s.at) > sentRetention {
			delete(r.sentRequests, seq)
		}
	}
}

// reportLoad sends a load report if one is due.
func (r *routingLoop) reportLoad(now mono.Time) {
	if r.gate == nil {
		return
	}
	app, _ := r.fleet.app(r.target.app)
	reported := r.reporter.report(now, reportedTarget{
		app:     r.target.app,
		load:    r.target.load,
		slots:   r.target.slots,
		hotKeys: app.HotKeys,
	}, len(r.fleet.sessions.Load().records))
	if reported && (r.coldReported || !r.targetStatus.Status().IsZero()) {
		r.onTargetStatus(r.statusReport(now))
	}
}

func (r *routingLoop) tickGates(now mono.Time) {
	r.retiredGates = slices.DeleteFunc(r.retiredGates, (*gate.Gate).Idle)
	for _, g := range r.retiredGates {
		g.Tick(now, wallMs(), &r.gateActions)
	}
	if r.gate == nil {
		return
	}
	if !r.target.gone && now.Sub(r.target.lastAnnounced) > targetGoneAfter {
		r.targetGone(now)
	}
	r.gate.Tick(now, wallMs(), &r.gateActions)
	r.reportCold(now)
}

// targetGone ends the use of a target until it announces itself again.
func (r *routingLoop) targetGone(now mono.Time) {
	r.target.gone = true
	r.gate.TargetGone(now, &r.gateActions)
	r.onTargetGone(now.Sub(r.target.lastAnnounced))
}

func wallMs() int64 {
	return time.Now().UnixMilli()
}
