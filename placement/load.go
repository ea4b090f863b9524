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
	// maxTargetSway bounds how far a target's own report may raise or lower
	// the load that the gate saw.
	maxTargetSway = 1.25
	// maxBusyShare bounds the load of a report to this multiple of the slots:
	// more can't be busy, and queues count a little.
	maxBusyShare = 1.5
	// reportWeight is the weight of a new report against the ones before.
	reportWeight = 0.2
	// jumpWeight is that weight where a slice's load jumps: to over jumpUp
	// times what it was, or below one part in jumpDown, and by more than
	// jumpShare of its host's slots. That is no noise, and callers wait.
	jumpWeight = 0.7
	jumpUp     = 2
	jumpDown   = 3
	jumpShare  = 0.3
	// idleShare is the load that all slices together count for even if
	// none is asked for, as a share of all slots. It keeps slices spread
	// evenly while an app is idle, and noise from moving them.
	idleShare = 0.05
)

// loads is what reports say of one app.
type loads struct {
	slices  sliceLoads
	reports map[host.Session]targetReport
	keys    map[string]hotKey
	times   map[host.Session]runTimes
	paces   map[host.Session]float64
	idle    float64 // Load that each slice counts for beside what was seen.
}

type targetReport struct {
	sequence uint64
	at       mono.Time
	sway     float64 // Factor on the load that the gate saw.
	round    uint32  // Of balance, in which it came.
}

type hotKey struct {
	busy  float64
	owner host.Session
	at    mono.Time // When it was reported last.
	hotAt mono.Time // When it was last above half of the share.
}

func newLoads(slices uint32) loads {
	return loads{
		slices:  newSliceLoads(slices),
		reports: make(map[host.Session]targetReport),
		keys:    make(map[string]hotKey),
		times:   make(map[host.Session]runTimes),
		paces:   make(map[host.Session]float64),
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
	scale, total := boundBusy(r, float64(h.slots))
	a.loads.noteRuns(r.From, r)
	work := scale * a.loads.paceOf(r.From)
	for _, s := range r.Slices {
		if held, ok := a.at(s.ID); ok && held.Owner == r.From {
			a.loads.slice(s, work, jumpShare*float64(h.slots))
		}
	}
	sway := targetSway(float64(r.Target), total, float64(h.slots))
	a.loads.reports[r.From] = targetReport{sequence: r.Sequence, at: now, sway: sway, round: a.loads.slices.round}
	for _, k := range r.Keys {
		a.loads.key(now, r.From, k, scale, a.params.HotKeys.Share*float64(h.slots))
	}
	a.stale = true
	if total >= fullUse*float64(h.slots) && a.hasRoom() {
		a.hurry(now, c.cfg.BalanceInterval)
	}
}

// hurry brings the next round for balance forward: callers wait at a host.
func (a *app) hurry(now mono.Time, interval time.Duration) {
	a.nextBalance = min(a.nextBalance, max(now, a.lastBalance.Add(interval/hurryPart)))
}

// hasRoom reports whether the hosts could bear the load if it were spread.
func (a *app) hasRoom() bool {
	var load, capacity float64
	for i := range a.hosts {
		load += a.hosts[i].Load
		capacity += a.hosts[i].Capacity
	}
	return load < fullUse*capacity
}

// hurryPart is the part of the time between two rounds for balance that passes
// at least.
const hurryPart = 3

// boundBusy returns the factor that keeps a report within what the slots can
// bear, and the load after it.
func boundBusy(r LoadReport, slots float64) (scale, total float64) {
	for _, s := range r.Slices {
		total += max(0, float64(s.Busy))
	}
	limit := slots * maxBusyShare
	if total <= limit {
		return 1, total
	}
	return limit / total, limit
}

// targetSway returns the bounded factor by which the target's own report
// changes what the gate saw.
func targetSway(target, busy, slots float64) float64 {
	seen := busy / slots
	if !(target >= 0) || seen < idleShare {
		return 1
	}
	return min(max(target/seen, 1/maxTargetSway), maxTargetSway)
}

// slice takes the load of a slice, in work. A change below least is no jump.
func (l *loads) slice(s SliceLoad, scale, least float64) {
	busy := max(0, float64(s.Busy)) * scale
	if old, ok := l.slices.get(s.ID); ok {
		weight := reportWeight
		if math.Abs(busy-old) > least && (busy > jumpUp*old || busy < old/jumpDown) {
			weight = jumpWeight
		}
		busy = old + (busy-old)*weight
	}
	l.slices.set(s.ID, busy)
}

func (l *loads) key(now mono.Time, from host.Session, k KeyLoad, scale, hot float64) {
	busy := max(0, float64(k.Busy)) * scale
	h, ok := l.keys[k.Key]
	if ok {
		busy = h.busy + (busy-h.busy)*reportWeight
	}
	h.busy, h.owner, h.at = busy, from, now
	if !ok || busy >= hot/2 {
		h.hotAt = now
	}
	l.keys[k.Key] = h
}

// sway returns the factor of a session's last report, 1 if it is too old.
func (l *loads) sway(now mono.Time, s host.Session, age time.Duration) float64 {
	r, ok := l.reports[s]
	if !ok || now.Sub(r.at) > age {
		return 1
	}
	return r.sway
}

// prune drops reports and keys that nobody speaks of any more.
func (l *loads) prune(now mono.Time, age time.Duration, carved func(string) bool) {
	for s, r := range l.reports {
		if now.Sub(r.at) > age*4 {
			delete(l.reports, s)
			delete(l.times, s)
			delete(l.paces, s)
		}
	}
	for k, h := range l.keys {
		if now.Sub(h.at) > age && !carved(k) {
			delete(l.keys, k)
		}
	}
}
