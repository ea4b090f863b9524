package storestand

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Fault says how the store misbehaves. The zero Fault is a healthy store.
type Fault struct {
	// Outage fails each call without effect: half of them with status 503,
	// half by a closed connection.
	Outage bool `json:"outage"`
	// SlowMs delays each call by so many milliseconds.
	SlowMs int `json:"slow_ms"`
	// LoseAnswers is the fraction of writes that take effect, but whose
	// connection is closed without an answer.
	LoseAnswers float64 `json:"lose_answers"`
	// LateWritesMs, if above 0, fails writes at once with status 503 and
	// applies them so many milliseconds later, if their condition then holds.
	LateWritesMs int `json:"late_writes_ms"`
	// LateFraction is the fraction of writes that LateWritesMs concerns; 0
	// says all.
	LateFraction float64 `json:"late_fraction"`
	// OnlyKinds restricts the fault to these kinds of objects; empty says all.
	OnlyKinds []string `json:"only_kinds"`
	// ForMs ends the fault after so many milliseconds; 0 says never.
	ForMs int `json:"for_ms"`
}

// decision is what the fault does to one call.
type decision struct {
	refuse  bool
	hangUp  bool
	delay   time.Duration
	lose    bool
	lateFor time.Duration
}

// faults holds the fault in force. It is not safe for concurrent use.
type faults struct {
	rng   *rand.Rand
	now   Fault
	ends  time.Time
	set   bool
	onset chan struct{} // Closed and replaced at each change of the fault.
}

func newFaults(seed uint64) *faults {
	return &faults{rng: rand.New(rand.NewPCG(seed, seed)), onset: make(chan struct{})}
}

func (f *faults) put(fault Fault, now time.Time) {
	f.now = fault
	f.set = fault.ForMs > 0
	f.ends = now.Add(time.Duration(fault.ForMs) * time.Millisecond)
	close(f.onset)
	f.onset = make(chan struct{})
}

// current returns the fault in force for a kind.
func (f *faults) current(kind string, now time.Time) Fault {
	if f.set && !now.Before(f.ends) {
		f.now = Fault{}
		f.set = false
	}
	if len(f.now.OnlyKinds) > 0 && !slices.Contains(f.now.OnlyKinds, kind) {
		return Fault{}
	}
	return f.now
}

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
	if f.late(fault) {
		d.refuse = true
		d.lateFor = time.Duration(fault.LateWritesMs) * time.Millisecond
		return d
	}
	d.lose = f.rng.Float64() < fault.LoseAnswers
	return d
}

func (f *faults) late(fault Fault) bool {
	if fault.LateWritesMs <= 0 {
		return false
	}
	return fault.LateFraction <= 0 || f.rng.Float64() < fault.LateFraction
}
