package outcome

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rhubarbring/rhubarbring/charts"
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/statechart"
)

var batchChart = charts.MustLoad("outcome_batch")

// stateOpen is the state of a batch that accepts outcomes.
const stateOpen statechart.State = "open"

// Recorder holds this daemon's outcomes at risk until they are stored, and copies
// of those of other daemons. It does no input or output and is not safe for
// concurrent use.
type Recorder struct {
	cfg Config
	// batches holds all batches in memory by name, and open is the one that
	// accepts outcomes, or nil.
	batches map[string]*batch
	open    *batch
	// batchNumber is the number of the last batch opened.
	batchNumber uint64
	// heldOutcomes counts the outcomes in all batches in memory.
	heldOutcomes int
	otherZones   []host.Session
	living       map[host.Session]bool
	rand         *rand.Rand
	out          []Action
}

// batch is a batch in memory, an original or a copy.
type batch struct {
	Batch
	state statechart.State
	// origin is the daemon that holds the original, which is this daemon for
	// its own batches. A copy is saved only once origin is lost.
	origin     host.Session
	opened     mono.Time
	retryPause time.Duration
	retryAt    mono.Time
	// copyHolder is the daemon last asked to hold a copy, and copyKept
	// reports that it has confirmed. copyMessageAt is the time of the last
	// Copy sent for an original, or CopyAck for a copy.
	copyHolder    host.Session
	copyMessageAt mono.Time
	copyKept      bool
}

// New returns a Recorder without outcomes.
func New(cfg Config) *Recorder {
	return &Recorder{
		cfg:     cfg,
		batches: make(map[string]*batch),
		rand:    rand.New(rand.NewPCG(cfg.Seed, 1)),
	}
}

// Step handles an event and returns the actions to perform. The returned slice
// is valid until the next call of Step.
func (r *Recorder) Step(now mono.Time, ev Event) []Action {
	r.out = r.out[:0]
	switch ev := ev.(type) {
	case RiskReported:
		for _, o := range ev.Outcomes {
			r.add(now, o)
		}
	case Tick:
		r.tick(now)
	case Peers:
		r.setPeers(now, ev)
	case Received:
		r.receive(now, ev)
	case SaveDone:
		r.saveDone(now, ev)
	}
	return r.out
}

// Unsaved returns the outcomes that this daemon has yet to save, its own and
// those inherited from lost daemons, in the order of batch names.
func (r *Recorder) Unsaved() []Outcome {
	var all []Outcome
	for _, name := range slices.Sorted(maps.Keys(r.batches)) {
		if b := r.batches[name]; r.isOwn(b) {
			all = append(all, b.Outcomes...)
		}
	}
	return all
}

// Copies returns the number of outcomes held for other daemons.
func (r *Recorder) Copies() int {
	count := 0
	for _, b := range r.batches {
		if !r.isOwn(b) {
			count += len(b.Outcomes)
		}
	}
	return count
}

// isOwn reports whether it is up to this daemon to save the batch.
func (r *Recorder) isOwn(b *batch) bool {
	return b.origin == r.cfg.Self
}

// add records an outcome in the open batch, or only counts it there if the
// memory is full.
func (r *Recorder) add(now mono.Time, o Outcome) {
	if r.open == nil {
		r.openBatch(now)
	}
	if r.heldOutcomes >= r.cfg.MaxOutcomes {
		r.open.Overflowed++
		r.emit(Overflow{Outcome: o})
		return
	}
	r.open.Outcomes = append(r.open.Outcomes, o)
	r.heldOutcomes++
	if len(r.open.Outcomes) >= r.cfg.BatchOutcomes {
		r.closeBatch(now)
	}
}

// openBatch opens a batch. Its name is unique forever: a session is never
// reused, and the number is unique within the session.
func (r *Recorder) openBatch(now mono.Time) {
	r.batchNumber++
	r.open = &batch{
		Batch:      Batch{Name: fmt.Sprintf("%s.%d.%d", r.cfg.Self.Host, r.cfg.Self.Incarnation, r.batchNumber)},
		state:      batchChart.Initial,
		origin:     r.cfg.Self,
		opened:     now,
		retryPause: r.cfg.Retry,
	}
	r.batches[r.open.Name] = r.open
}

func (r *Recorder) closeBatch(now mono.Time) {
	b := r.open
	r.open = nil
	r.transition(now, b, "close")
}

func (r *Recorder) tick(now mono.Time) {
	if r.open != nil && now.Sub(r.open.opened) >= r.cfg.FlushInterval {
		r.closeBatch(now)
	}
	for _, name := range slices.Sorted(maps.Keys(r.batches)) {
		b := r.batches[name]
		if !r.isOwn(b) {
			r.askWhetherNeeded(now, b)
			continue
		}
		if b.state == stateOpen {
			continue
		}
		if !b.retryAt.After(now) {
			r.transition(now, b, "retry")
		}
		if !b.copyKept && now.Sub(b.copyMessageAt) >= r.cfg.CopyTimeout {
			r.sendCopy(now, b)
		}
	}
}

// transition applies an event to the state chart of a batch.
func (r *Recorder) transition(now mono.Time, b *batch, e statechart.Event) {
	next, ok := batchChart.Next(b.state, e)
	if !ok {
		return
	}
	b.state = next.To
	for _, action := range next.Actions {
		r.perform(now, b, action)
	}
}

func (r *Recorder) perform(now mono.Time, b *batch, action statechart.Action) {
	switch action {
	case "save":
		r.emit(Save{Name: b.Name, Value: mustEncode(&b.Batch)})
	case "copy":
		r.sendCopy(now, b)
	case "pause":
		b.retryAt = now.Add(b.retryPause)
		b.retryPause = min(2*b.retryPause, r.cfg.MaxRetry)
	case "drop_copies":
		r.dropSaved(b)
	}
}

// mustEncode encodes a batch. Encoding can't fail, because every field of a
// batch has a JSON form.
func mustEncode(b *Batch) []byte {
	raw, err := b.Encode()
	if err != nil {
		panic(err)
	}
	return raw
}

func (r *Recorder) saveDone(now mono.Time, ev SaveDone) {
	b := r.batches[ev.Name]
	if b == nil {
		return
	}
	r.transition(now, b, saveAnswerEvents[ev.Answer])
}

var saveAnswerEvents = map[SaveResult]statechart.Event{
	SaveOK:          "saved",
	SaveExists:      "exists",
	SaveUnconfirmed: "doubt",
	SaveFailed:      "failed",
}

// forget removes a batch from memory.
func (r *Recorder) forget(b *batch) {
	r.heldOutcomes -= len(b.Outcomes)
	delete(r.batches, b.Name)
}

func (r *Recorder) emit(a Action) {
	r.out = append(r.out, a)
}
