package fakestore

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Fault describes how the store misbehaves. The zero Fault is a healthy store.
type Fault struct {
	// Outage fails each call without effect: half of the calls with status 503,
	// half by closing the connection.
	Outage bool `json:"outage"`
	// SlowMs delays each call by this many milliseconds.
	SlowMs int `json:"slow_ms"`
	// LoseAnswers is the fraction of writes that take effect but whose connection
	// is closed without an answer.
	LoseAnswers float64 `json:"lose_answers"`
	// LateWritesMs, if above 0, fails writes with status 503 and applies them this
	// many milliseconds later, if their condition holds then.
	LateWritesMs int `json:"late_writes_ms"`
	// LateFraction is the fraction of writes to which LateWritesMs applies; 0
	// means all.
	LateFraction float64 `json:"late_fraction"`
	// OnlyKinds restricts the fault to these kinds of objects; empty means all.
	OnlyKinds []string `json:"only_kinds"`
	// ForMs ends the fault after this many milliseconds; 0 means never.
	ForMs int `json:"for_ms"`
}

// decision is the effect of the fault on one call.
type decision struct {
	refuse     bool
	hangUp     bool
	delay      time.Duration
	loseAnswer bool
	lateBy     time.Duration
}

// faults holds the fault in force. It is not safe for concurrent use.
type faults struct {
	rng     *rand.Rand
	fault   Fault
	endsAt  time.Time
	hasEnd  bool
	changed chan struct{} // Closed and replaced at each change of the fault.
}

func newFaults(seed uint64) *faults {
	return &faults{rng: rand.New(rand.NewPCG(seed, seed)), changed: make(chan struct{})}
}

func (f *faults) replace(fault Fault, now time.Time) {
	f.fault = fault
	f.hasEnd = fault.ForMs > 0
	f.endsAt = now.Add(time.Duration(fault.ForMs) * time.Millisecond)
	close(f.changed)
	f.changed = make(chan struct{})
}

// current returns the fault in force for a kind, and ends one whose time is
// over.
func (f *faults) current(kind string, now time.Time) Fault {
	if f.hasEnd && !now.Before(f.endsAt) {
		f.fault = Fault{}
		f.hasEnd = false
	}
	if len(f.fault.OnlyKinds) > 0 && !slices.Contains(f.fault.OnlyKinds, kind) {
		return Fault{}
	}
	return f.fault
}

// decide draws what the fault in force does to one call.
func (f *faults) decide(kind string, write bool, now time.Time) decision {
	fault := f.current(kind, now)
	d := decision{delay: time.Duration(fault.SlowMs) * time.Millisecond}
	if fault.Outage {
		d.refuse = true
		d.hangUp = f.rng.IntN(2) == 0
		return d
	}
	if !write {
		return d
	}
	if f.isLate(fault) {
		d.refuse = true
		d.lateBy = time.Duration(fault.LateWritesMs) * time.Millisecond
		return d
	}
	d.loseAnswer = f.rng.Float64() < fault.LoseAnswers
	return d
}

// isLate draws whether a write is refused and applied later.
func (f *faults) isLate(fault Fault) bool {
	if fault.LateWritesMs <= 0 {
		return false
	}
	return fault.LateFraction <= 0 || f.rng.Float64() < fault.LateFraction
}
