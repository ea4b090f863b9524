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

// simulation runs four Recorders, each in a zone of its own, and a store.
type simulation struct {
	now       mono.Time
	rand      *rand.Rand
	recorders []*outcome.Recorder
	sessions  []host.Session
	inbox     []envelope
	store     map[string]int
	down      bool
	faulty    bool
	calls     int
	// noCopies drops every Copy message.
	noCopies bool
}

type envelope struct {
	to host.Session
	ev outcome.Event
}

const simulationStep = 100 * time.Millisecond

func newSimulation(seed uint64) *simulation {
	sim := &simulation{rand: rand.New(rand.NewPCG(seed, 3)), store: make(map[string]int)}
	for i := range 4 {
		sim.sessions = append(sim.sessions, host.Session{Host: host.ID(fmt.Sprintf("h%d", i))})
		sim.recorders = append(sim.recorders, nil)
	}
	for i := range sim.recorders {
		sim.start(i)
	}
	sim.updatePeers()
	return sim
}

func (sim *simulation) start(i int) {
	sim.sessions[i].Incarnation++
	cfg := outcome.DefaultConfig()
	cfg.Self, cfg.Seed = sim.sessions[i], sim.rand.Uint64()
	sim.recorders[i] = outcome.New(cfg)
}

func (sim *simulation) updatePeers() {
	for i, r := range sim.recorders {
		var elsewhere []host.Session
		for j, s := range sim.sessions {
			if j != i {
				elsewhere = append(elsewhere, s)
			}
		}
		sim.apply(i, r.Step(sim.now, outcome.Peers{OtherZones: elsewhere, Living: sim.sessions}))
	}
}

func (sim *simulation) apply(i int, actions []outcome.Action) {
	for _, a := range append([]outcome.Action(nil), actions...) {
		switch a := a.(type) {
		case outcome.Send:
			if _, ok := a.Message.(*outcome.Copy); ok && sim.noCopies {
				continue
			}
			if !sim.faulty || sim.rand.IntN(10) > 0 {
				sim.inbox = append(sim.inbox, envelope{a.To, outcome.Received{From: sim.sessions[i], Message: a.Message}})
			}
		case outcome.Save:
			sim.inbox = append(sim.inbox, envelope{sim.sessions[i], outcome.SaveDone{Name: a.Name, Answer: sim.save(a)}})
		}
	}
}

func (sim *simulation) save(a outcome.Save) outcome.SaveResult {
	sim.calls++
	if sim.down {
		return outcome.SaveFailed
	}
	if sim.store[a.Name] > 0 {
		return outcome.SaveExists
	}
	fault := sim.faulty && sim.rand.IntN(4) == 0
	if fault && sim.rand.IntN(2) == 0 {
		return outcome.SaveUnconfirmed
	}
	b, err := outcome.Decode(a.Value)
	if err != nil {
		panic(err)
	}
	sim.store[a.Name] = len(b.Outcomes)
	if fault {
		return outcome.SaveUnconfirmed
	}
	return outcome.SaveOK
}

func (sim *simulation) run(d time.Duration) {
	for end := sim.now.Add(d); sim.now.Before(end); sim.now = sim.now.Add(simulationStep) {
		inbox := sim.inbox
		sim.inbox = nil
		for _, l := range inbox {
			for i, s := range sim.sessions {
				if s == l.to {
					sim.apply(i, sim.recorders[i].Step(sim.now, l.ev))
				}
			}
		}
		for i, r := range sim.recorders {
			sim.apply(i, r.Step(sim.now, outcome.Tick{}))
		}
	}
}

func (sim *simulation) stored() int {
	sum := 0
	for _, n := range sim.store {
		sum += n
	}
	return sum
}

func riskEvent(id int) outcome.Event {
	return outcome.RiskReported{Outcomes: []outcome.Outcome{{ID: fmt.Sprint(id), App: "payments", Code: result.OutcomeUnknown, Cause: "session h1/3"}}}
}

// Every outcome is stored exactly once, in spite of store outages, lost answers
// of the store, lost messages and the loss of one daemon at a time.
func TestEveryOutcomeIsStoredOnce(t *testing.T) {
	for seed := range uint64(60) {
		sim := newSimulation(seed)
		must.Eq(t, runWithFaults(sim), sim.stored(), must.Sprintf("seed %d", seed))
		for _, r := range sim.recorders {
			must.Eq(t, 0, len(r.Unsaved())+r.Copies(), must.Sprintf("seed %d", seed))
		}
	}
}

// Without copies, the same faults lose outcomes.
func TestWithoutCopiesOutcomesAreLost(t *testing.T) {
	lost := 0
	for seed := range uint64(10) {
		sim := newSimulation(seed)
		sim.noCopies = true
		lost += runWithFaults(sim) - sim.stored()
	}
	must.Positive(t, lost)
}

// runWithFaults runs the simulation with faults, then one minute without. It
// returns the number of outcomes that occurred.
func runWithFaults(sim *simulation) int {
	count := 0
	for range 60 {
		sim.faulty = true
		switch sim.rand.IntN(8) {
		case 0:
			sim.down = !sim.down
		case 1:
			// Outcomes survive the loss of a daemon only once they have
			// been copied, so let the copies arrive first.
			sim.faulty = false
			sim.run(3 * time.Second)
			sim.start(sim.rand.IntN(4))
			sim.updatePeers()
			sim.run(3 * time.Second)
		default:
			i := sim.rand.IntN(4)
			sim.apply(i, sim.recorders[i].Step(sim.now, riskEvent(count)))
			count++
		}
		sim.run(time.Duration(sim.rand.IntN(20)) * simulationStep)
	}
	sim.down, sim.faulty = false, false
	sim.run(time.Minute)
	return count
}

// While the store is down, two daemons hold each outcome, and the calls to the
// store stay few, so that it is not flooded when it comes back.
func TestStoreOutageKeepsOutcomesAndLimitsCalls(t *testing.T) {
	sim := newSimulation(1)
	sim.down = true
	for i := range 1000 {
		sim.apply(0, sim.recorders[0].Step(sim.now, riskEvent(i)))
	}
	sim.run(time.Hour)
	must.Len(t, 1000, sim.recorders[0].Unsaved())
	copies := 0
	for _, k := range sim.recorders {
		copies += k.Copies()
	}
	must.Eq(t, 1000, copies)
	must.LessEq(t, 5*(3600/10+10), sim.calls)
	sim.down = false
	sim.run(11 * time.Second)
	must.Eq(t, 1000, sim.stored())
	must.MapLen(t, 5, sim.store)
}

// When the memory is full, each further outcome is counted and reported in full
// for the log.
func TestOverflowIsCountedAndReported(t *testing.T) {
	cfg := outcome.DefaultConfig()
	cfg.MaxOutcomes = 3
	k := outcome.New(cfg)
	overflow := 0
	for i := range 5 {
		overflow += len(k.Step(0, riskEvent(i)))
	}
	must.Eq(t, 2, overflow)
	actions := k.Step(mono.Time(time.Second), outcome.Tick{})
	batch, err := outcome.Decode(actions[0].(outcome.Save).Value)
	must.NoError(t, err)
	must.Eq(t, 2, batch.Overflowed)
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
