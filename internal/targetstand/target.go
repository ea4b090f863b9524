package targetstand

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rhubarbring/rhubarbring/internal/bootclock"
	"github.com/rhubarbring/rhubarbring/mono"
)

// Refusal is why nothing ran; it stands in the header Rhubarb-Refused.
type Refusal string

// The refusals.
const (
	RefusedFence     Refusal = "fence"
	RefusedShed      Refusal = "shed"
	RefusedDraining  Refusal = "draining"
	RefusedDeadline  Refusal = "deadline"
	RefusedCancelled Refusal = "cancelled"
)

// State is what a target says about itself.
type State string

// The states.
const (
	StateCold     State = "cold"
	StateWarm     State = "warm"
	StateDraining State = "draining"
)

const (
	journalRecords   = 1 << 20
	serviceTimeCut   = 10
	loadSamplePeriod = 100 * time.Millisecond
	loadSamples      = 600
)

// order is a request as the target runs it.
type order struct {
	record   Record
	at       attempt
	grant    grant
	deadline mono.Time
}

// Target runs requests in slots.
type Target struct {
	config Config
	start  mono.Time
	slots  chan struct{}

	mu       sync.Mutex
	set      Behaviour
	rng      *rand.Rand
	fence    *fence
	attempts *attempts
	waiting  int
	running  int
	draining bool
	loads    []float64
	journal  *journal
}

// New returns a target that has run nothing.
func New(c Config) *Target {
	t := &Target{
		config:   c,
		start:    bootclock.Now(),
		slots:    make(chan struct{}, c.Slots),
		set:      c.Behaviour,
		rng:      rand.New(rand.NewPCG(c.Seed, c.Seed)),
		fence:    newFence(),
		attempts: newAttempts(),
		journal:  &journal{limit: journalRecords, out: c.Journal},
	}
	return t
}

// run waits for a slot, checks the grant and runs the order. It returns the
// record of the run, or the reason why nothing ran.
func (t *Target) run(o order) (Record, Refusal, error) {
	p, refusal := t.enter(o)
	if refusal != "" {
		return Record{}, refusal, nil
	}
	if refusal := t.takeSlot(o, p); refusal != "" {
		return Record{}, refusal, nil
	}
	defer func() { <-t.slots }()
	took, refusal := t.begin(&o, p)
	if refusal != "" {
		return Record{}, refusal, nil
	}
	defer t.leave()
	if err := t.journal.add(o.record); err != nil {
		return Record{}, "", err
	}
	work(took, p.stop)
	effective := t.finish(&o)
	if err := t.journal.add(o.record); err != nil {
		return Record{}, "", err
	}
	if !effective {
		return Record{}, RefusedCancelled, nil
	}
	return o.record, "", nil
}

func work(d time.Duration, stop <-chan struct{}) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-stop:
	}
}

// enter admits an order to the queue.
func (t *Target) enter(o order) (*progress, Refusal) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.draining {
		return nil, RefusedDraining
	}
	if t.waiting+t.running >= t.config.Slots+t.config.Queue || t.rng.Float64() < t.set.Shed {
		return nil, RefusedShed
	}
	t.waiting++
	return t.attempts.get(o.at), ""
}

func (t *Target) takeSlot(o order, p *progress) Refusal {
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

// begin checks, at the moment of the start, whether the order may run, and
// returns how long it takes.
func (t *Target) begin(o *order, p *progress) (time.Duration, Refusal) {
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
	mean := t.set.MeanServiceMs
	if t.isCold(now) {
		mean *= t.set.ColdFactor
	}
	ms := min(t.rng.ExpFloat64(), serviceTimeCut) * mean
	return time.Duration(ms * float64(time.Millisecond))
}

func (t *Target) isCold(now mono.Time) bool {
	return now.Sub(t.start) < time.Duration(t.set.ColdForMs)*time.Millisecond
}

// finish notes the end of a run and reports whether it took effect.
func (t *Target) finish(o *order) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	effective := t.attempts.end(o.at)
	o.record.Phase = PhaseEnd
	o.record.EndNs = int64(bootclock.Now())
	o.record.Stopped = !effective
	return effective
}

func (t *Target) leave() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running--
}

// cancel reports whether an attempt did not and will not take effect.
func (t *Target) cancel(at attempt) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.attempts.cancel(at)
}

// Drain refuses new requests from now on.
func (t *Target) Drain() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.draining = true
}

// Set changes the behaviour.
func (t *Target) Set(b Behaviour) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.set = b
}

// Behaviour returns the behaviour in force.
func (t *Target) Behaviour() Behaviour {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.set
}

// Busy returns how many requests wait or run.
func (t *Target) Busy() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.waiting + t.running
}
