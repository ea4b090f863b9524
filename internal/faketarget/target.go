package faketarget

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rhubarbring/rhubarbring/internal/bootclock"
	"github.com/rhubarbring/rhubarbring/mono"
)

// Refusal is the reason why a request was not run, as sent in the header
// Rhubarb-Refused.
type Refusal string

// Reasons for a refusal.
const (
	RefusedFence     Refusal = "fence"
	RefusedShed      Refusal = "shed"
	RefusedDraining  Refusal = "draining"
	RefusedDeadline  Refusal = "deadline"
	RefusedCancelled Refusal = "cancelled"
)

// State is the state that a target reports.
type State string

// States of a target.
const (
	StateCold     State = "cold"
	StateWarm     State = "warm"
	StateDraining State = "draining"
)

const (
	journalRecords   = 1 << 20
	maxServiceFactor = 10
	loadSamplePeriod = 100 * time.Millisecond
	loadSamples      = 600
)

// runRequest is a parsed request to run.
type runRequest struct {
	record   Record
	attempt  attempt
	grant    grant
	deadline mono.Time
}

// Target is a fake target that runs requests in slots.
type Target struct {
	config Config
	start  mono.Time
	slots  chan struct{}

	mu        sync.Mutex
	behaviour Behaviour
	rng       *rand.Rand
	fence     *fence
	attempts  *attempts
	waiting   int
	running   int
	draining  bool
	loads     []float64
	journal   *journal
}

// New returns a target without any runs.
func New(c Config) *Target {
	t := &Target{
		config:    c,
		start:     bootclock.Now(),
		slots:     make(chan struct{}, c.Slots),
		behaviour: c.Behaviour,
		rng:       rand.New(rand.NewPCG(c.Seed, c.Seed)),
		fence:     newFence(),
		attempts:  newAttempts(),
		journal:   &journal{limit: journalRecords, out: c.Journal},
	}
	return t
}

// run waits for a slot, checks the grant and runs the request. It returns the
// record of the run, or the reason why the request was refused or stopped.
func (t *Target) run(o runRequest) (Record, Refusal, error) {
	p, refusal := t.enqueue(o)
	if refusal != "" {
		return Record{}, refusal, nil
	}
	if refusal := t.takeSlot(o, p); refusal != "" {
		return Record{}, refusal, nil
	}
	defer func() { <-t.slots }()
	serviceTime, refusal := t.startRun(&o, p)
	if refusal != "" {
		return Record{}, refusal, nil
	}
	defer t.releaseRun()
	if err := t.journal.add(o.record); err != nil {
		return Record{}, "", err
	}
	work(serviceTime, p.stop)
	effective := t.finishRun(&o)
	if err := t.journal.add(o.record); err != nil {
		return Record{}, "", err
	}
	if !effective {
		return Record{}, RefusedCancelled, nil
	}
	return o.record, "", nil
}

// work waits for d, or until stop is closed by a cancellation.
func work(d time.Duration, stop <-chan struct{}) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-stop:
	}
}

// enqueue counts a request as waiting, or refuses it if the target drains, its
// slots and queue are full, or the request is drawn to be shed.
func (t *Target) enqueue(o runRequest) (*progress, Refusal) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.draining {
		return nil, RefusedDraining
	}
	if t.waiting+t.running >= t.config.Slots+t.config.Queue || t.rng.Float64() < t.behaviour.Shed {
		return nil, RefusedShed
	}
	t.waiting++
	return t.attempts.get(o.attempt), ""
}

// takeSlot waits for a slot until the request's deadline or its cancellation.
func (t *Target) takeSlot(o runRequest, p *progress) Refusal {
	timer := time.NewTimer(o.deadline.Sub(bootclock.Now()))
	defer timer.Stop()
	refusal := Refusal("")
	select {
	case t.slots <- struct{}{}:
		return ""
	case <-timer.C:
		refusal = RefusedDeadline
	case <-p.stop:
		refusal = RefusedCancelled
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.waiting--
	return refusal
}

// startRun checks, immediately before the run, whether the request may still
// run, and returns its service time.
func (t *Target) startRun(o *runRequest, p *progress) (time.Duration, Refusal) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.waiting--
	now := bootclock.Now()
	if p.stopped {
		return 0, RefusedCancelled
	}
	if !now.Before(o.deadline) {
		return 0, RefusedDeadline
	}
	if t.config.ChecksGrants && !t.fence.admit(o.grant, now) {
		return 0, RefusedFence
	}
	t.running++
	o.record.Phase = PhaseStart
	o.record.StartNs = int64(now)
	return t.serviceTime(now), ""
}

func (t *Target) serviceTime(now mono.Time) time.Duration {
	mean := t.behaviour.MeanServiceMs
	if t.isCold(now) {
		mean *= t.behaviour.ColdFactor
	}
	ms := min(t.rng.ExpFloat64(), maxServiceFactor) * mean
	return time.Duration(ms * float64(time.Millisecond))
}

func (t *Target) isCold(now mono.Time) bool {
	return now.Sub(t.start) < time.Duration(t.behaviour.ColdForMs)*time.Millisecond
}

// finishRun records the end of a run and reports whether it took effect.
func (t *Target) finishRun(o *runRequest) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	effective := t.attempts.end(o.attempt)
	o.record.Phase = PhaseEnd
	o.record.EndNs = int64(bootclock.Now())
	o.record.Stopped = !effective
	return effective
}

func (t *Target) releaseRun() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running--
}

// cancel stops an attempt unless it has ended. It reports whether the attempt
// is certain to have no effect.
func (t *Target) cancel(at attempt) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.attempts.cancel(at)
}

// Drain makes the target refuse all new requests.
func (t *Target) Drain() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.draining = true
}

// SetBehaviour replaces the behaviour.
func (t *Target) SetBehaviour(b Behaviour) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.behaviour = b
}

// Behaviour returns the behaviour in force.
func (t *Target) Behaviour() Behaviour {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.behaviour
}

// Busy returns the number of requests that wait or run.
func (t *Target) Busy() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.waiting + t.running
}
