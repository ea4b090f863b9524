package outcome

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/rhubarbring/rhubarbring/chart"
	"github.com/rhubarbring/rhubarbring/charts"
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/mono"
)

var batchChart = charts.MustLoad("outcome_batch")

// stateOpen is the state of a batch that accepts outcomes.
const stateOpen chart.State = "open"

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
	state chart.State
	// origin is the daemon that holds the original, which is this daemon for
	// its own batches. A copy is saved only once origin is lost.
	origin     host.Session
	opened     mono.Time
	retryPause time.Duration
	retryAt    mono.Time
	// copyHolder is the daemon last asked to hold a copy, and copyKept
	// reports that it has confirmed. copyMessageAt is the time of the last
	// Copy sent for an original, or Kept for a copy.
	copyHolder    host.Session
	copyMessageAt mono.Time
	copyKept      bool
}

// New returns a Keeper without outcomes.
func New(cfg Config) *Recorder {
	return &Recorder{
		cfg:     cfg,
		batches: make(map[string]*batch),
		rand:    rand.New(rand.NewPCG(cfg.Seed, 1)),
	}
}

// Step handles an event and returns the actions to perform. The returned slice
// is valid until the next call of Step.
func (k *Recorder) Step(now mono.Time, ev Event) []Action {
	k.out = k.out[:0]
	switch ev := ev.(type) {
	case RiskReported:
		for _, o := range ev.Outcomes {
			k.add(now, o)
		}
	case Tick:
		k.tick(now)
	case Peers:
		k.setPeers(now, ev)
	case Received:
		k.receive(now, ev)
	case SaveDone:
		k.saveDone(now, ev)
	}
	return k.out
}

// Unsaved returns the outcomes that this daemon has yet to save, its own and
// those inherited from lost daemons, in the order of batch names.
func (k *Recorder) Unsaved() []Outcome {
	var all []Outcome
	for _, name := range k.batchNames() {
		if b := k.batches[name]; k.isOwn(b) {
			all = append(all, b.Outcomes...)
		}
	}
	return all
}

// Copies returns the number of outcomes held for other daemons.
func (k *Recorder) Copies() int {
	count := 0
	for _, b := range k.batches {
		if !k.isOwn(b) {
			count += len(b.Outcomes)
		}
	}
	return count
}

// isOwn reports whether it is up to this daemon to save the batch.
func (k *Recorder) isOwn(b *batch) bool {
	return b.origin == k.cfg.Self
}

// add records an outcome in the open batch, or only counts it there if the
// memory is full.
func (k *Recorder) add(now mono.Time, o Outcome) {
	if k.open == nil {
		k.openBatch(now)
	}
	if k.heldOutcomes >= k.cfg.MaxOutcomes {
		k.open.Overflowed++
		k.emit(Overflow{Outcome: o})
		return
	}
	k.open.Outcomes = append(k.open.Outcomes, o)
	k.heldOutcomes++
	if len(k.open.Outcomes) >= k.cfg.BatchOutcomes {
		k.closeBatch(now)
	}
}

// openBatch opens a batch. Its name is unique forever: a session is never
// reused, and the number is unique within the session.
func (k *Recorder) openBatch(now mono.Time) {
	k.batchNumber++
	k.open = &batch{
		Batch:      Batch{Name: fmt.Sprintf("%s.%d.%d", k.cfg.Self.Host, k.cfg.Self.Incarnation, k.batchNumber)},
		state:      batchChart.Initial,
		origin:     k.cfg.Self,
		opened:     now,
		retryPause: k.cfg.Retry,
	}
	k.batches[k.open.Name] = k.open
}

func (k *Recorder) closeBatch(now mono.Time) {
	b := k.open
	k.open = nil
	k.transition(now, b, "close")
}

func (k *Recorder) tick(now mono.Time) {
	if k.open != nil && now.Sub(k.open.opened) >= k.cfg.FlushInterval {
		k.closeBatch(now)
	}
	for _, name := range k.batchNames() {
		b := k.batches[name]
		if !k.isOwn(b) {
			k.askIfNeeded(now, b)
			continue
		}
		if b.state == stateOpen {
			continue
		}
		if !b.retryAt.After(now) {
			k.transition(now, b, "retry")
		}
		if !b.copyKept && now.Sub(b.copyMessageAt) >= k.cfg.CopyTimeout {
			k.sendCopy(now, b)
		}
	}
}

// transition applies an event to the state chart of a batch.
func (k *Recorder) transition(now mono.Time, b *batch, e chart.Event) {
	next, ok := batchChart.Next(b.state, e)
	if !ok {
		return
	}
	b.state = next.To
	for _, action := range next.Actions {
		k.perform(now, b, action)
	}
}

func (k *Recorder) perform(now mono.Time, b *batch, action chart.Action) {
	switch action {
	case "save":
		k.emit(Save{Name: b.Name, Value: mustEncode(&b.Batch)})
	case "copy":
		k.sendCopy(now, b)
	case "pause":
		b.retryAt = now.Add(b.retryPause)
		b.retryPause = min(2*b.retryPause, k.cfg.MaxRetry)
	case "drop_copies":
		k.dropSaved(b)
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

func (k *Recorder) saveDone(now mono.Time, ev SaveDone) {
	b := k.batches[ev.Name]
	if b == nil {
		return
	}
	k.transition(now, b, saveAnswerEvents[ev.Answer])
}

var saveAnswerEvents = map[SaveResult]chart.Event{
	SaveOK:          "saved",
	SaveExists:      "exists",
	SaveUnconfirmed: "doubt",
	SaveFailed:      "failed",
}

// forget removes a batch from memory.
func (k *Recorder) forget(b *batch) {
	k.heldOutcomes -= len(b.Outcomes)
	delete(k.batches, b.Name)
}

func (k *Recorder) batchNames() []string {
	names := make([]string, 0, len(k.batches))
	for name := range k.batches {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

func (k *Recorder) emit(a Action) {
	k.out = append(k.out, a)
}
