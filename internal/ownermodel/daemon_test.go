package ownermodel

import (
	"time"

	"github.com/rhubarbring/rhubarbring/assignment"
	"github.com/rhubarbring/rhubarbring/grant"
	"github.com/rhubarbring/rhubarbring/handover"
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/targetinstance"
)

// Settings of the routing loop in package daemon.
const (
	tickInterval     = 50 * time.Millisecond
	heartbeatOverdue = 1500 * time.Millisecond
	resendInterval   = 500 * time.Millisecond
	drainReportAfter = 10 * time.Second
	stopGrace        = 2 * time.Second
)

// readInterval is how often a daemon reads the pack from the store, since news of
// a version may be lost. confirmTime is how long the confirmation of a handover
// takes.
const (
	readInterval = time.Second
	confirmTime  = 50 * time.Millisecond
)

// daemon composes the cores of one session as the routing loop of package daemon
// does: its methods have the names and the order of steps of the loop's, in
// routing_grants.go, routing_heartbeat.go, routing_runs.go and routing_target.go.
type daemon struct {
	m     *model
	host  *hostModel
	self  host.Session
	alive bool
	// startedAt is when the daemon started.
	startedAt mono.Time
	holder    *handover.Holder
	owners    *assignment.Map
	epochs    grant.Epochs
	tracker   targetinstance.Tracker
	target    *localTarget // nil until a target has announced itself.
	grantState
	previous   []*previousInstance
	heldBack   map[key.Slice]handover.Release
	ownedLater map[key.Slice]uint64
	heldRuns   heldRuns
	clients    map[*grant.Core]*client

	sessionOver bool
	nextTick    mono.Time
	nextRead    mono.Time
	// replacedAt holds when the instance was replaced that had a slice, and
	// releaseBound how long its release may take from then.
	replacedAt   map[key.Slice]mono.Time
	releaseBound time.Duration
}

// localTarget is the target as of its last announcement.
type localTarget struct {
	instance *instance
	address  string
	replaced *instance // At the same address.
}

// grantState is what begins anew with each instance of the target.
type grantState struct {
	granter           sliceGranter
	callGrants        *grant.Core
	heartbeatGrants   *grant.HeartbeatCore
	grantActions      grant.Actions
	heartbeatAt       mono.Time
	awaitingHeartbeat []assignment.Change
	releasedEpochs    map[key.Slice]uint64
}

// sliceGranter is a *grant.Core or a *grant.HeartbeatCore.
type sliceGranter interface {
	SetLease(until mono.Time)
	SetOwned(now mono.Time, p grant.Permit)
	Revoke(s key.Slice)
	RequestRelease(now mono.Time, s key.Slice, epoch uint64)
	Holds(now mono.Time, s key.Slice) bool
	Tick(now mono.Time, out *grant.Actions)
}

func newDaemon(h *hostModel, self host.Session) *daemon {
	m := h.m
	return &daemon{
		m:         m,
		host:      h,
		self:      self,
		alive:     true,
		startedAt: m.now,
		holder: handover.New(handover.Config{
			Self:             self,
			DrainReportAfter: drainReportAfter,
			ResendInterval:   resendInterval,
			StopGrace:        stopGrace,
		}),
		owners:     assignment.NewMap(),
		heldBack:   make(map[key.Slice]handover.Release),
		ownedLater: make(map[key.Slice]uint64),
		heldRuns:   make(heldRuns),
		clients:    make(map[*grant.Core]*client),
		replacedAt: make(map[key.Slice]mono.Time),
		nextTick:   m.now.Add(m.between(0, tickInterval)),
	}
}

func (d *daemon) step() {
	if d.m.now.Before(d.nextTick) {
		return
	}
	d.nextTick = d.m.now.Add(tickInterval)
	if !d.m.now.Before(d.nextRead) {
		d.readPack()
	}
	d.tick()
}

// beginTask does what the loop does before each task: it sets the lease. It
// returns false if the daemon has ended.
func (d *daemon) beginTask() bool {
	d.holder.SetLease(d.host.leaseEnd)
	return d.alive
}

func (d *daemon) tick() {
	d.beginTask()
	d.executeHolder(d.holder.Tick(d.m.now))
	d.tickGrants()
	if d.m.now.Sub(d.heartbeatAt) >= heartbeatOverdue {
		d.applyHandovers()
	}
}

// endSession handles the news that the session is recorded as lost.
func (d *daemon) endSession() {
	if d.beginTask() {
		d.holder.EndSession()
		d.sessionOver = true
	}
}

// readPack reads the pack from the store.
func (d *daemon) readPack() {
	d.nextRead = d.m.now.Add(readInterval)
	d.observe(d.m.leader.pack, d.m.leader.version)
}

// observe handles a version of the pack.
func (d *daemon) observe(pack *assignment.Pack, version uint64) {
	if version == 0 || !d.beginTask() || d.m.chance(20) {
		return
	}
	for _, c := range d.owners.PutPack(pack, version) {
		d.applyChange(c)
	}
}

// applyChange passes a change to the holder. One that requires a release is
// confirmed with the store first.
func (d *daemon) applyChange(c assignment.Change) {
	m := d.m
	next := c.To.Next
	requiresRelease := c.To.Owner == d.self && !next.IsZero() && next != d.self
	if !requiresRelease {
		d.executeHolder(d.holder.ApplyChange(m.now, c))
		return
	}
	m.after(m.between(0, confirmTime), func() {
		if d.beginTask() {
			d.beginHandover(c)
		}
	})
}

func (d *daemon) beginHandover(c assignment.Change) {
	if d.heartbeatGrants != nil && d.m.now.Sub(d.heartbeatAt) < heartbeatOverdue {
		d.awaitingHeartbeat = append(d.awaitingHeartbeat, c)
		return
	}
	d.applyHandover(c)
}

func (d *daemon) applyHandover(c assignment.Change) {
	if held, ok := d.owners.At(c.Slice); ok && held == c.To {
		d.executeHolder(d.holder.ApplyChange(d.m.now, c))
	}
}

func (d *daemon) applyHandovers() {
	waiting := d.awaitingHeartbeat
	d.awaitingHeartbeat = nil
	for _, c := range waiting {
		d.applyHandover(c)
	}
}

func (d *daemon) executeHolder(actions []handover.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case handover.Admit:
			d.ownSlice(a.Slice, a.Epoch)
		case handover.StopAdmitting:
			d.withholdSlice(a)
		case handover.SendRelease:
			d.releaseSlice(a.Release)
		case handover.ReportSuperseded:
			d.dropSlice(a)
		}
	}
	d.tickGrants()
}

// admits reports whether the gate admits requests of a slice.
func (d *daemon) admits(s key.Slice) bool {
	return d.granter != nil && d.holder.Admits(d.m.now, s).Admitted() && d.granter.Holds(d.m.now, s)
}

// onReleased sends a release to the leader. It may be lost.
func (d *daemon) onReleased(r handover.Release) {
	m := d.m
	d.measureRelease(key.Slice{App: r.App, ID: r.ID})
	if m.chance(10) {
		return
	}
	m.after(m.between(0, releaseDelay), func() { m.leader.releaseReceived(r) })
}

// measureRelease measures how long the release of a slice took whose instance was
// replaced.
func (d *daemon) measureRelease(s key.Slice) {
	m := d.m
	at, replaced := d.replacedAt[s]
	if !replaced {
		return
	}
	delete(d.replacedAt, s)
	took := m.now.Sub(at)
	m.stats.released++
	m.stats.sumRelease += took
	m.stats.maxRelease = max(m.stats.maxRelease, took)
	if took > d.releaseBound {
		m.fail("slice %s is released %v after its instance was replaced", s, took)
	}
}
