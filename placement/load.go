package placement

import (
	"math"
	"time"

	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/mono"
)

// LoadReport is what a daemon tells the leader of the load on its target.
// Load is in slots: the mean number of slots that are busy.
type LoadReport struct {
	_    struct{} `cbor:",toarray"`
	From host.Session
	App  key.App
	// Sequence rises with each report of the session.
	Sequence uint64
	// Target is the share of busy slots, 0 to 1, as the target says itself;
	// negative if it says nothing. It may lag or mislead.
	Target float32
	// Slices gives what the gate saw of each slice that it owns; those left
	// out caused no load.
	Slices []SliceLoad
	// Keys gives the keys that keep the most slots busy.
	Keys []KeyLoad
	// Runs is how many runs ended at the target since the last report, and
	// Service their mean time in milliseconds.
	Runs    uint32
	Service float32
}

// SliceLoad is the load that one slice caused.
type SliceLoad struct {
	_    struct{} `cbor:",toarray"`
	ID   key.SliceID
	Busy float32
}

// KeyLoad is the load that one key caused.
type KeyLoad struct {
	_    struct{} `cbor:",toarray"`
	Key  string
	Busy float32
}

const (
	// maxTargetCorrection bounds how far a target's own report may raise or lower
	// the load that the gate saw.
	maxTargetCorrection = 1.25
	// maxBusyFactor bounds the load of a report to this multiple of the slots:
	// more can't be busy, and queues count a little.
	maxBusyFactor = 1.5
	// reportWeight is the weight of a new report against the ones before.
	reportWeight = 0.2
	// jumpWeight is that weight where a slice's load jumps: to over jumpUp
	// times what it was, or below one part in jumpDown, and by more than
	// jumpShare of its host's slots. That is no noise, and callers wait.
	jumpWeight     = 0.7
	jumpUpFactor   = 2
	jumpDownFactor = 3
	minJumpShare   = 0.3
	// idleShare is the load that all slices together count for even if
	// none is asked for, as a share of all slots. It keeps slices spread
	// evenly while an app is idle, and noise from moving them.
	idleShare = 0.05
)

// appLoads is what reports say of one app.
type appLoads struct {
	slices       sliceLoads
	reports      map[host.Session]reportState
	keys         map[string]keyState
	runTimes     map[host.Session]runTimes
	speeds       map[host.Session]float64
	idlePerSlice float64 // Load that each slice counts for beside what was seen.
}

type reportState struct {
	sequence     uint64
	receivedAt   mono.Time
	correction   float64 // Factor on the load that the gate saw.
	balanceRound uint32  // Of balance, in which it came.
}

type keyState struct {
	busy       float64
	owner      host.Session
	reportedAt mono.Time // When it was reported last.
	lastHotAt  mono.Time // When it was last above half of the share.
}

func newLoads(slices uint32) appLoads {
	return appLoads{
		slices:   newSliceLoads(slices),
		reports:  make(map[host.Session]reportState),
		keys:     make(map[string]keyState),
		runTimes: make(map[host.Session]runTimes),
		speeds:   make(map[host.Session]float64),
	}
}

// loadSeen takes a report in: only of a session that serves the app, only on
// slices that it owns, and only if it is newer than the last.
func (c *Core) loadSeen(now mono.Time, r LoadReport) {
	a := findApp(c.apps, r.App)
	if a == nil || !c.Leads() || !a.params.DividedByKey {
		return
	}
	h := c.fleet.hosts[r.From.Host]
	if h == nil || h.session != r.From || r.Sequence <= a.loads.reports[r.From].sequence {
		return
	}
	scale, total := clampBusy(r, float64(h.slots))
	a.loads.addRuns(r.From, r)
	toWork := scale * a.loads.speedOf(r.From)
	for _, s := range r.Slices {
		if assigned, ok := a.assigned(s.ID); ok && assigned.Owner == r.From {
			a.loads.updateSlice(s, toWork, minJumpShare*float64(h.slots))
		}
	}
	correction := targetCorrection(float64(r.Target), total, float64(h.slots))
	a.loads.reports[r.From] = reportState{sequence: r.Sequence, receivedAt: now, correction: correction, balanceRound: a.loads.slices.balanceRound}
	for _, k := range r.Keys {
		a.loads.updateKey(now, r.From, k, scale, a.params.HotKeys.Share*float64(h.slots))
	}
	a.loadsStale = true
	if total >= fullUtilization*float64(h.slots) && a.hasSpareCapacity() {
		a.hastenBalance(now, c.cfg.BalanceInterval)
	}
}

// hastenBalance brings the next round for balance forward: callers wait at a host.
func (a *app) hastenBalance(now mono.Time, interval time.Duration) {
	a.nextBalance = min(a.nextBalance, max(now, a.lastBalance.Add(interval/balanceIntervalDivisor)))
}

// hasSpareCapacity reports whether the hosts could bear the load if it were spread.
func (a *app) hasSpareCapacity() bool {
	var load, capacity float64
	for i := range a.hosts {
		load += a.hosts[i].Load
		capacity += a.hosts[i].Capacity
	}
	return load < fullUtilization*capacity
}

// balanceIntervalDivisor is the part of the time between two rounds for balance that passes
// at least.
const balanceIntervalDivisor = 3

// clampBusy returns the factor that keeps a report within what the slots can
// bear, and the load after it.
func clampBusy(r LoadReport, slots float64) (scale, total float64) {
	for _, s := range r.Slices {
		total += max(0, float64(s.Busy))
	}
	limit := slots * maxBusyFactor
	if total <= limit {
		return 1, total
	}
	return limit / total, limit
}

// targetCorrection returns the bounded factor by which the target's own report
// changes what the gate saw.
func targetCorrection(target, busy, slots float64) float64 {
	observed := busy / slots
	if !(target >= 0) || observed < idleShare {
		return 1
	}
	return min(max(target/observed, 1/maxTargetCorrection), maxTargetCorrection)
}

// updateSlice takes the load of a slice, in work. A change below least is no jump.
func (l *appLoads) updateSlice(s SliceLoad, scale, minJump float64) {
	busy := max(0, float64(s.Busy)) * scale
	if old, ok := l.slices.get(s.ID); ok {
		weight := reportWeight
		if math.Abs(busy-old) > minJump && (busy > jumpUpFactor*old || busy < old/jumpDownFactor) {
			weight = jumpWeight
		}
		busy = old + (busy-old)*weight
	}
	l.slices.set(s.ID, busy)
}

func (l *appLoads) updateKey(now mono.Time, from host.Session, k KeyLoad, scale, threshold float64) {
	busy := max(0, float64(k.Busy)) * scale
	h, ok := l.keys[k.Key]
	if ok {
		busy = h.busy + (busy-h.busy)*reportWeight
	}
	h.busy, h.owner, h.reportedAt = busy, from, now
	if !ok || busy >= threshold/2 {
		h.lastHotAt = now
	}
	l.keys[k.Key] = h
}

// correctionFor returns the factor of a session's last report, 1 if it is too old.
func (l *appLoads) correctionFor(now mono.Time, s host.Session, maxAge time.Duration) float64 {
	r, ok := l.reports[s]
	if !ok || now.Sub(r.receivedAt) > maxAge {
		return 1
	}
	return r.correction
}

// prune drops reports and keys that nobody speaks of any more.
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
