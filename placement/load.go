package placement

import (
	"math"
	"time"

	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/mono"
)

// LoadReport is a daemon's report to the leader about the load on its target.
// Loads are in slots: the mean number of busy slots.
type LoadReport struct {
	_    struct{} `cbor:",toarray"`
	From host.Session
	App  key.App
	// Sequence increases with each report of the session.
	Sequence uint64
	// TargetUtilization is the share of busy slots, 0 to 1, that the target itself
	// reports; negative if it reports none. It may be out of date or wrong.
	TargetUtilization float32
	// Slices holds the load that the gate measured for each slice that the
	// session owns. A slice that is left out caused no load.
	Slices []SliceLoad
	// Keys holds the keys that keep the most slots busy.
	Keys []KeyLoad
	// CompletedRuns is the number of runs that ended at the target since the
	// previous report, and MeanServiceMs their mean duration in milliseconds.
	CompletedRuns uint32
	MeanServiceMs float32
}

// SliceLoad is the load that one slice caused, in busy slots.
type SliceLoad struct {
	_         struct{} `cbor:",toarray"`
	ID        key.SliceID
	BusySlots float32
}

// KeyLoad is the load that one key caused, in busy slots.
type KeyLoad struct {
	_         struct{} `cbor:",toarray"`
	Key       string
	BusySlots float32
}

const (
	// maxTargetCorrection is the largest factor by which a target's own report
	// may raise or lower the load that the gate measured.
	maxTargetCorrection = 1.25
	// maxBusyFactor limits the total load of a report to this multiple of the
	// slots. No more than all slots can be busy; the rest allows for queues.
	maxBusyFactor = 1.5
	// reportWeight is the weight of a new report in the exponential moving
	// average of a load.
	reportWeight = 0.2
	// jumpWeight replaces reportWeight when a slice's load jumps: it rises
	// above jumpUpFactor times its value or falls below its value divided by
	// jumpDownFactor, and changes by more than minJumpShare of the host's
	// slots. Such a change is not noise, and callers are waiting.
	jumpWeight     = 0.7
	jumpUpFactor   = 2
	jumpDownFactor = 3
	minJumpShare   = 0.3
	// idleShare is the load that all slices together count for in addition to
	// the reported load, as a share of the hosts' total capacity. It keeps
	// slices evenly spread while an app is idle and keeps noise from moving
	// them. It is also the utilization below which targetCorrection ignores a
	// target's own report.
	idleShare = 0.05
)

// appLoads holds the reported loads of one app.
type appLoads struct {
	slices       sliceLoads
	reports      map[host.Session]reportState
	keys         map[string]keyState
	runTimes     map[host.Session]runTimes
	speeds       map[host.Session]float64
	idlePerSlice float64 // Load that each slice counts for in addition to its reported load.
}

// reportState is what is kept of a session's latest report.
type reportState struct {
	sequence     uint64
	receivedAt   mono.Time
	correction   float64 // Factor on the load that the gate measured.
	balanceRound uint32  // The sliceLoads.balanceRound during which it arrived.
}

// keyState is the reported load of one key, in busy slots of its owner's
// target.
type keyState struct {
	busy       float64
	owner      host.Session
	reportedAt mono.Time // When the key was last reported.
	lastHotAt  mono.Time // When busy was last at least half of HotKeys.Share, or first reported.
}

func newAppLoads(slices uint32) appLoads {
	return appLoads{
		slices:   newSliceLoads(slices),
		reports:  make(map[host.Session]reportState),
		keys:     make(map[string]keyState),
		runTimes: make(map[host.Session]runTimes),
		speeds:   make(map[host.Session]float64),
	}
}

// loadReported records a load report if this daemon leads and the app is divided by
// key. It ignores a report from a session that is not its host's newest or that
// is no newer than the previous one, and the loads of slices that the session
// does not own.
func (c *Core) loadReported(now mono.Time, r LoadReport) {
	a := findApp(c.apps, r.App)
	if a == nil || !c.IsLeader() || !a.params.DividedByKey {
		return
	}
	h := c.fleet.hosts[r.From.Host]
	if h == nil || h.session != r.From || r.Sequence <= a.loads.reports[r.From].sequence {
		return
	}
	scale, total := clampBusy(r, float64(h.slots))
	a.loads.addRuns(r.From, r)
	loadFactor := scale * a.loads.speedOf(r.From)
	for _, s := range r.Slices {
		if assigned, ok := a.assigned(s.ID); ok && assigned.Owner == r.From {
			a.loads.updateSlice(s, loadFactor, minJumpShare*float64(h.slots))
		}
	}
	correction := targetCorrection(float64(r.TargetUtilization), total, float64(h.slots))
	a.loads.reports[r.From] = reportState{sequence: r.Sequence, receivedAt: now, correction: correction, balanceRound: a.loads.slices.balanceRound}
	for _, k := range r.Keys {
		a.loads.updateKey(now, r.From, k, scale, a.params.HotKeys.Share*float64(h.slots))
	}
	a.loadsStale = true
	if total >= fullUtilization*c.slotsOf(now, h) && a.hasSpareCapacity() {
		a.hastenBalance(now, c.cfg.BalanceInterval)
	}
}

// hastenBalance brings the next balance round forward because callers are
// waiting at a full host. At least interval/balanceIntervalDivisor still passes
// between two balance rounds.
func (a *app) hastenBalance(now mono.Time, interval time.Duration) {
	a.nextBalance = min(a.nextBalance, max(now, a.lastBalance.Add(interval/balanceIntervalDivisor)))
}

// hasSpareCapacity reports whether the hosts would stay below fullUtilization
// if the load were spread over all of them.
func (a *app) hasSpareCapacity() bool {
	var load, capacity float64
	for i := range a.hosts {
		load += a.hosts[i].Load
		capacity += a.hosts[i].Capacity
	}
	return load < fullUtilization*capacity
}

// balanceIntervalDivisor divides Config.BalanceInterval to give the shortest
// time between two balance rounds.
const balanceIntervalDivisor = 3

// clampBusy returns the factor that scales a report's slice loads down to at
// most maxBusyFactor times the slots, and their total after scaling.
func clampBusy(r LoadReport, slots float64) (scale, total float64) {
	for _, s := range r.Slices {
		total += max(0, float64(s.BusySlots))
	}
	limit := slots * maxBusyFactor
	if total <= limit {
		return 1, total
	}
	return limit / total, limit
}

// targetCorrection returns the factor by which the target's own report changes
// the load that the gate measured, at most maxTargetCorrection either way. It
// is 1 if the target reports nothing or is nearly idle.
func targetCorrection(target, busy, slots float64) float64 {
	observed := busy / slots
	if !(target >= 0) || observed < idleShare {
		return 1
	}
	return min(max(target/observed, 1/maxTargetCorrection), maxTargetCorrection)
}

// updateSlice adds a reported load to the moving average of a slice. scale
// converts it to normalized load; a change of at most minJump is never a jump.
func (l *appLoads) updateSlice(s SliceLoad, scale, minJump float64) {
	busy := max(0, float64(s.BusySlots)) * scale
	if old, ok := l.slices.get(s.ID); ok {
		weight := reportWeight
		if math.Abs(busy-old) > minJump && (busy > jumpUpFactor*old || busy < old/jumpDownFactor) {
			weight = jumpWeight
		}
		busy = old + (busy-old)*weight
	}
	l.slices.set(s.ID, busy)
}

// updateKey adds a reported load to the moving average of a key. threshold is
// the load above which the key is carved out.
func (l *appLoads) updateKey(now mono.Time, from host.Session, k KeyLoad, scale, threshold float64) {
	busy := max(0, float64(k.BusySlots)) * scale
	state, ok := l.keys[k.Key]
	if ok {
		busy = state.busy + (busy-state.busy)*reportWeight
	}
	state.busy, state.owner, state.reportedAt = busy, from, now
	if !ok || busy >= threshold/2 {
		state.lastHotAt = now
	}
	l.keys[k.Key] = state
}

// correctionFor returns the correction from a session's latest report, or 1 if
// that report is older than maxAge.
func (l *appLoads) correctionFor(now mono.Time, s host.Session, maxAge time.Duration) float64 {
	r, ok := l.reports[s]
	if !ok || now.Sub(r.receivedAt) > maxAge {
		return 1
	}
	return r.correction
}

// prune drops the reports of sessions that have not reported for four times
// maxAge, and keys that have not been reported for maxAge unless they are
// carved out.
func (l *appLoads) prune(now mono.Time, maxAge time.Duration, isCarvedOut func(string) bool) {
	for s, r := range l.reports {
		if now.Sub(r.receivedAt) > maxAge*4 {
			delete(l.reports, s)
			delete(l.runTimes, s)
			delete(l.speeds, s)
		}
	}
	for k, h := range l.keys {
		if now.Sub(h.reportedAt) > maxAge && !isCarvedOut(k) {
			delete(l.keys, k)
		}
	}
}
