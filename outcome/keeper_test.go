package outcome_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/outcome"
	"github.com/rhubarbring/rhubarbring/result"
)

// world is a model of four keepers, one to a zone, and a store.
type world struct {
	now     mono.Time
	rand    *rand.Rand
	keepers []*outcome.Keeper
	session []host.Session
	inbox   []letter
	store   map[string]int
	down    bool
	faulty  bool
	calls   int
	// noCopies loses every copy.
	noCopies bool
}

type letter struct {
	to host.Session
	ev outcome.Event
}

const step = 100 * time.Millisecond

func newWorld(seed uint64) *world {
	w := &world{rand: rand.New(rand.NewPCG(seed, 3)), store: make(map[string]int)}
	for i := range 4 {
		w.session = append(w.session, host.Session{Host: host.ID(fmt.Sprintf("h%d", i))})
		w.keepers = append(w.keepers, nil)
	}
	for i := range w.keepers {
		w.start(i)
	}
	w.members()
	return w
}

func (w *world) start(i int) {
	w.session[i].Incarnation++
	cfg := outcome.DefaultConfig()
	cfg.Self, cfg.Seed = w.session[i], w.rand.Uint64()
	w.keepers[i] = outcome.New(cfg)
}

func (w *world) members() {
	for i, k := range w.keepers {
		var elsewhere []host.Session
		for j, s := range w.session {
			if j != i {
				elsewhere = append(elsewhere, s)
			}
		}
		w.perform(i, k.Step(w.now, outcome.Peers{Elsewhere: elsewhere, Living: w.session}))
	}
}

func (w *world) perform(i int, actions []outcome.Action) {
	for _, a := range append([]outcome.Action(nil), actions...) {
		switch a := a.(type) {
		case outcome.Send:
			if _, ok := a.Message.(*outcome.Copy); ok && w.noCopies {
				continue
			}
			if !w.faulty || w.rand.IntN(10) > 0 {
				w.inbox = append(w.inbox, letter{a.To, outcome.Received{From: w.session[i], Message: a.Message}})
			}
		case outcome.Save:
			w.inbox = append(w.inbox, letter{w.session[i], outcome.SaveDone{Name: a.Name, Answer: w.save(a)}})
		}
	}
}

func (w *world) save(a outcome.Save) outcome.SaveAnswer {
	w.calls++
	if w.down {
		return outcome.SaveFailed
	}
	if w.store[a.Name] > 0 {
		return outcome.SaveExists
	}
	fault := w.faulty && w.rand.IntN(4) == 0
	if fault && w.rand.IntN(2) == 0 {
		return outcome.SaveDoubt
	}
	b, err := outcome.Decode(a.Value)
	if err != nil {
		panic(err)
	}
	w.store[a.Name] = len(b.Outcomes)
	if fault {
		return outcome.SaveDoubt
	}
	return outcome.SaveOK
}

func (w *world) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(step) {
		inbox := w.inbox
		w.inbox = nil
		for _, l := range inbox {
			for i, s := range w.session {
				if s == l.to {
					w.perform(i, w.keepers[i].Step(w.now, l.ev))
				}
			}
		}
		for i, k := range w.keepers {
			w.perform(i, k.Step(w.now, outcome.Tick{}))
		}
	}
}

func (w *world) stored() int {
	sum := 0
	for _, n := range w.store {
		sum += n
	}
	return sum
}

func met(id int) outcome.Event {
	return outcome.Met{Outcomes: []outcome.Outcome{{ID: fmt.Sprint(id), App: "payments", Code: result.OutcomeUnknown, Cause: "session h1/3"}}}
}

// Through store outages, answers in doubt, lost messages and one lost daemon
// at a time, every outcome ends in the store, once.
func TestEveryOutcomeIsStoredOnce(t *testing.T) {
	for seed := range uint64(60) {
		w := newWorld(seed)
		must.Eq(t, night(w), w.stored(), must.Sprintf("seed %d", seed))
		for _, k := range w.keepers {
			must.Eq(t, 0, len(k.Unsaved())+k.Copies(), must.Sprintf("seed %d", seed))
		}
	}
}

// Without the copies the same faults lose outcomes.
func TestNeedsCopies(t *testing.T) {
	lost := 0
	for seed := range uint64(10) {
		w := newWorld(seed)
		w.noCopies = true
		lost += night(w) - w.stored()
	}
	must.Positive(t, lost)
}

// night runs the faults, and returns how many outcomes were met.
func night(w *world) int {
	count := 0
	for range 60 {
		w.faulty = true
		switch w.rand.IntN(8) {
		case 0:
			w.down = !w.down
		case 1:
			// A copy needs a moment to be taken before its daemon is lost.
			w.faulty = false
			w.run(3 * time.Second)
			w.start(w.rand.IntN(4))
			w.members()
			w.run(3 * time.Second)
		default:
			i := w.rand.IntN(4)
			w.perform(i, w.keepers[i].Step(w.now, met(count)))
			count++
		}
		w.run(time.Duration(w.rand.IntN(20)) * step)
	}
	w.down, w.faulty = false, false
	w.run(time.Minute)
	return count
}

// While the store is down two daemons hold each outcome; its return is not
// met by a flood of calls.
func TestStoreOutage(t *testing.T) {
	w := newWorld(1)
	w.down = true
	for i := range 1000 {
		w.perform(0, w.keepers[0].Step(w.now, met(i)))
	}
	w.run(time.Hour)
	must.Len(t, 1000, w.keepers[0].Unsaved())
	copies := 0
	for _, k := range w.keepers {
		copies += k.Copies()
	}
	must.Eq(t, 1000, copies)
	must.LessEq(t, 5*(3600/10+10), w.calls)
	w.down = false
	w.run(11 * time.Second)
	must.Eq(t, 1000, w.stored())
	must.MapLen(t, 5, w.store)
}

// When the memory is full, outcomes are counted and handed to the log whole.
func TestOverflowIsNeverSilent(t *testing.T) {
	cfg := outcome.DefaultConfig()
	cfg.MaxOutcomes = 3
	k := outcome.New(cfg)
	overflow := 0
	for i := range 5 {
		overflow += len(k.Step(0, met(i)))
	}
	must.Eq(t, 2, overflow)
	actions := k.Step(mono.Time(time.Second), outcome.Tick{})
	batch, err := outcome.Decode(actions[0].(outcome.Save).Value)
	must.NoError(t, err)
	must.Eq(t, 2, batch.Beyond)
}

func TestAtRisk(t *testing.T) {
	must.True(t, outcome.AtRisk(false, result.OutcomeUnknown))
	must.True(t, outcome.AtRisk(false, result.AnswerLate))
	must.True(t, outcome.AtRisk(false, result.Code(9999)))
	must.False(t, outcome.AtRisk(true, result.OutcomeUnknown))
	must.False(t, outcome.AtRisk(false, result.QueueFull))
	must.False(t, outcome.AtRisk(false, result.OK))
	must.False(t, outcome.AtRisk(false, result.DuplicateInFlight))
}

func TestSettle(t *testing.T) {
	b := &outcome.Batch{Name: "h1.1.1", Outcomes: []outcome.Outcome{{ID: "a"}, {ID: "b"}}}
	ok := outcome.Settlement{Verdict: outcome.Ran, Who: "ana", Why: "the bank shows the deposit"}
	must.ErrorIs(t, b.Settle("c", ok), &result.Error{Code: result.StoreNotFound})
	must.ErrorIs(t, b.Settle("a", outcome.Settlement{Verdict: "perhaps", Who: "ana", Why: "x"}), &result.Error{Code: result.BadRequest})
	must.ErrorIs(t, b.Settle("a", outcome.Settlement{Verdict: outcome.Ran}), &result.Error{Code: result.BadRequest})
	must.NoError(t, b.Settle("a", ok))
	must.ErrorContains(t, b.Settle("a", ok), "ana settled it as ran")
	must.Eq(t, 1, b.Open())
}
