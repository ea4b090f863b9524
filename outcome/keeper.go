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

// stateOpen is the state of a batch that takes outcomes.
const stateOpen chart.State = "open"

// Keeper holds this daemon's outcomes at risk until they stand in the store,
// and copies of others'. It is not safe for concurrent use.
type Keeper struct {
	cfg       Config
	batches   map[string]*batch
	open      *batch
	next      uint64
	held      int
	elsewhere []host.Session
	living    map[host.Session]bool
	rand      *rand.Rand
	out       []Action
}

// batch is a batch in memory.
type batch struct {
	Batch
	state chart.State
	// from holds the original; it is this daemon for its own batches. A
	// copy is saved only once from is lost.
	from   host.Session
	opened mono.Time
	pause  time.Duration
	retry  mono.Time
	// copyTo is asked to keep a copy, since copyAt; kept says that it does.
	copyTo host.Session
	copyAt mono.Time
	kept   bool
}

// New returns a keeper that holds nothing.
func New(cfg Config) *Keeper {
	return &Keeper{
		cfg:     cfg,
		batches: make(map[string]*batch),
		rand:    rand.New(rand.NewPCG(cfg.Seed, 1)),
	}
}

// Step takes an event and returns what to do. The slice is valid until the
// next Step.
func (k *Keeper) Step(now mono.Time, ev Event) []Action {
	k.out = k.out[:0]
	switch ev := ev.(type) {
	case Met:
		for _, o := range ev.Outcomes {
			k.met(now, o)
		}
	case Tick:
		k.tick(now)
	case Peers:
		k.peers(now, ev)
	case Received:
		k.receive(now, ev)
	case SaveDone:
		k.saveDone(now, ev)
	}
	return k.out
}

// Unsaved returns the outcomes that don't stand in the store yet, this
// daemon's and those of lost daemons, by batch name.
func (k *Keeper) Unsaved() []Outcome {
	var all []Outcome
	for _, name := range k.names() {
		if b := k.batches[name]; k.mine(b) {
			all = append(all, b.Outcomes...)
		}
	}
	return all
}

// Copies counts the outcomes held for other daemons.
func (k *Keeper) Copies() int {
	count := 0
	for _, b := range k.batches {
		if !k.mine(b) {
			count += len(b.Outcomes)
		}
	}
	return count
}

// mine reports whether this daemon is to save the batch.
func (k *Keeper) mine(b *batch) bool {
	return b.from == k.cfg.Self
}

func (k *Keeper) met(now mono.Time, o Outcome) {
	if k.open == nil {
		k.begin(now)
	}
	if k.held >= k.cfg.MaxOutcomes {
		k.open.Beyond++
		k.do(Overflow{Outcome: o})
		return
	}
	k.open.Outcomes = append(k.open.Outcomes, o)
	k.held++
	if len(k.open.Outcomes) >= k.cfg.BatchOutcomes {
		k.close(now)
	}
}

// begin opens a batch. Its name tells session and number apart from every
// other batch ever.
func (k *Keeper) begin(now mono.Time) {
	k.next++
	k.open = &batch{
		Batch:  Batch{Name: fmt.Sprintf("%s.%d.%d", k.cfg.Self.Host, k.cfg.Self.Incarnation, k.next)},
		state:  batchChart.Initial,
		from:   k.cfg.Self,
		opened: now,
		pause:  k.cfg.Retry,
	}
	k.batches[k.open.Name] = k.open
}

func (k *Keeper) close(now mono.Time) {
	b := k.open
	k.open = nil
	k.follow(now, b, "close")
}

func (k *Keeper) tick(now mono.Time) {
	if k.open != nil && now.Sub(k.open.opened) >= k.cfg.Flush {
		k.close(now)
	}
	for _, name := range k.names() {
		b := k.batches[name]
		if !k.mine(b) {
			k.remind(now, b)
			continue
		}
		if b.state == stateOpen {
			continue
		}
		if !b.retry.After(now) {
			k.follow(now, b, "retry")
		}
		if !b.kept && now.Sub(b.copyAt) >= k.cfg.KeptWithin {
			k.copy(now, b)
		}
	}
}

// follow takes the chart's transition.
func (k *Keeper) follow(now mono.Time, b *batch, e chart.Event) {
	next, ok := batchChart.Next(b.state, e)
	if !ok {
		return
	}
	b.state = next.To
	for _, action := range next.Do {
		k.act(now, b, action)
	}
}

func (k *Keeper) act(now mono.Time, b *batch, action chart.Action) {
	switch action {
	case "save":
		k.do(Save{Name: b.Name, Value: mustEncode(&b.Batch)})
	case "copy":
		k.copy(now, b)
	case "pause":
		b.retry = now.Add(b.pause)
		b.pause = min(2*b.pause, k.cfg.MaxRetry)
	case "drop_copies":
		k.drop(b)
	}
}

// mustEncode encodes a batch, which holds nothing that JSON can't.
func mustEncode(b *Batch) []byte {
	raw, err := b.Encode()
	if err != nil {
		panic(err)
	}
	return raw
}

func (k *Keeper) saveDone(now mono.Time, ev SaveDone) {
	b := k.batches[ev.Name]
	if b == nil {
		return
	}
	k.follow(now, b, saveEvents[ev.Answer])
}

var saveEvents = map[SaveAnswer]chart.Event{
	SaveOK:     "saved",
	SaveExists: "exists",
	SaveDoubt:  "doubt",
	SaveFailed: "failed",
}

// forget drops a batch from memory.
func (k *Keeper) forget(b *batch) {
	k.held -= len(b.Outcomes)
	delete(k.batches, b.Name)
}

func (k *Keeper) names() []string {
	names := make([]string, 0, len(k.batches))
	for name := range k.batches {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

func (k *Keeper) do(a Action) {
	k.out = append(k.out, a)
}
