package judge_test

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/internal/faketarget"
	"github.com/rhubarbring/rhubarbring/internal/judge"
	"github.com/rhubarbring/rhubarbring/internal/load"
)

const ms = int64(time.Millisecond)

// trialBuilder builds the input of an evaluation. Times are in milliseconds.
type trialBuilder struct {
	judge.Input
}

func newTrial() *trialBuilder {
	t := &trialBuilder{}
	for i, app := range []string{"booking", "booking", "booking"} {
		name := "h" + strconv.Itoa(i+1)
		t.Hosts = append(t.Hosts, judge.Host{Name: name, App: app, Slots: 2, CallerAddress: name + ":1"})
	}
	return t
}

// run journals a run of slice booking/1. An end of 0 leaves the run unfinished.
func (t *trialBuilder) run(host, id, owner string, epoch uint64, start, end int64) *faketarget.Record {
	r := faketarget.Record{
		Phase: faketarget.PhaseStart, Target: host, App: "booking", ID: id, Attempt: "1", Key: "k",
		Slice: "booking/1", Owner: owner, Epoch: epoch, StartNs: start * ms,
	}
	t.Journal = append(t.Journal, r)
	if end > 0 {
		r.Phase, r.EndNs = faketarget.PhaseEnd, end*ms
		t.Journal = append(t.Journal, r)
	}
	return &t.Journal[len(t.Journal)-1]
}

// sending returns the record of one sending, as a caller saw it.
func sending(daemon, outcome string, sent, answered int64) load.Sending {
	return load.Sending{
		Daemon: daemon, Outcome: outcome, Connected: true, BelongsToRequest: outcome == "done", SentNs: sent * ms, AnsweredNs: answered * ms,
	}
}

// record adds the record of a request with its sendings.
func (t *trialBuilder) record(id string, sendings ...load.Sending) *load.Record {
	t.Records = append(t.Records, load.Record{
		ID: id, App: "booking", Key: "k", Sendings: sendings,
		ArrivalNs: sendings[0].SentNs, EndedNs: sendings[len(sendings)-1].AnsweredNs,
	})
	return &t.Records[len(t.Records)-1]
}

func (t *trialBuilder) fault(kind judge.FaultKind, host string, begin, end int64) {
	t.Faults = append(t.Faults, judge.Fault{Kind: kind, Host: host, BeginNs: begin * ms, EndNs: end * ms})
}

// done adds a request that ran and was answered.
func (t *trialBuilder) done(id, host, owner string, epoch uint64, start, end int64) {
	t.run(host, id, owner, epoch, start, end)
	t.record(id, sending("h2:1", "done", start, end))
}

// trialWithoutViolations returns a trial that has a fault of every kind and
// breaks no rule.
func trialWithoutViolations() *trialBuilder {
	t := newTrial()
	t.done("a", "h1", "h1/1", 1, 0, 10)
	t.done("b", "h1", "h1/1", 1, 100, 110)
	t.fault(judge.PlannedStop, "h1", 200, 300)
	t.done("c", "h2", "h2/1", 2, 310, 320)
	t.fault(judge.Kill, "h2", 400, 401)
	t.done("d", "h3", "h3/1", 3, 900, 910)
	t.fault(judge.StoreOutage, "", 5500, 5600)
	for i := range int64(20) {
		t.done("e"+strconv.Itoa(int(i)), "h3", "h3/1", 3, 5700+20*i, 5710+20*i)
	}
	return t
}

func TestTrialWithoutViolationsPasses(t *testing.T) {
	v := judge.Judge(trialWithoutViolations().Input)
	must.SliceEmpty(t, v.Problems)
	must.Eq(t, judge.OwnerChanges{Total: 2, Forced: 2}, v.OwnerChanges)
	must.Eq(t, "trial: ok requests=24 lost=0 repeated=0 two_owners=0 false_not_run=0 cut_off=0 "+
		"p99_ms=10.0 imbalance=2.40 churn=1.00 unavailable_ms=10", v.String())
}

// Each case either violates one rule, which must be the only problem reported,
// or is a similar case without a violation (want "ok").
func TestEachViolationFailsTrial(t *testing.T) {
	cases := []struct {
		name   string
		change func(*trialBuilder)
		want   string
	}{
		{"no answer", func(x *trialBuilder) {
			x.record("x", sending("h3:1", "", 5000, 5100))
		}, "lost=1"},
		{"no answer, but outcome is kept", func(x *trialBuilder) {
			x.record("x7", sending("h3:1", "", 5000, 5100))
			x.KeptOutcomes = []string{"x7"}
		}, "ok"},
		{"no answer, idempotent, outcome is kept", func(x *trialBuilder) {
			x.record("x7", sending("h3:1", "", 5000, 5100)).Idempotent = true
			x.KeptOutcomes = []string{"x7"}
		}, "lost=1"},
		{"no answer, outcome of another request is kept", func(x *trialBuilder) {
			x.record("x7", sending("h3:1", "", 5000, 5100))
			x.KeptOutcomes = []string{"x78"}
		}, "lost=1"},
		{"foreign answer", func(x *trialBuilder) {
			x.Records[3].Sendings[0].BelongsToRequest = false
		}, "lost=1"},
		{"repeated", func(x *trialBuilder) {
			x.run("h3", "d", "h3/1", 3, 5000, 5010)
		}, "repeated=1"},
		{"repeated after an unfinished run", func(x *trialBuilder) {
			x.run("h2", "d", "h2/1", 2, 399, 0)
		}, "repeated=1"},
		{"repeated, idempotent", func(x *trialBuilder) {
			for i := range x.Journal {
				x.Journal[i].Idempotent = true
			}
			x.run("h3", "d", "h3/1", 3, 5000, 5010).Idempotent = true
		}, "ok"},
		{"second run was stopped by a cancellation", func(x *trialBuilder) {
			x.run("h3", "d", "h3/1", 3, 5000, 5010).Stopped = true
		}, "ok"},
		{"overlapping run at a higher epoch, then the old owner", func(x *trialBuilder) {
			x.done("x", "h1", "h1/2", 4, 905, 908)
		}, "two_owners=21"},
		{"overlapping runs", func(x *trialBuilder) {
			x.done("x", "h1", "h1/2", 4, 6085, 6200)
		}, "two_owners=1"},
		{"lower epoch", func(x *trialBuilder) {
			x.done("x", "h2", "h2/1", 2, 6200, 6210)
		}, "two_owners=1"},
		{"same epoch, other owner", func(x *trialBuilder) {
			x.done("x", "h2", "h2/1", 3, 6200, 6210)
		}, "two_owners=1"},
		{"false not run", func(x *trialBuilder) {
			x.run("h3", "x", "h3/1", 3, 5000, 5010)
			x.record("x", sending("h3:1", "not_run", 4990, 5010))
		}, "false_not_run=1"},
		{"false not run by a late start", func(x *trialBuilder) {
			x.run("h3", "x", "h3/1", 3, 5200, 5210)
			x.record("x", sending("h3:1", "not_run", 4990, 5010))
		}, "false_not_run=1"},
		{"false not run before a repeat", func(x *trialBuilder) {
			x.run("h3", "x", "h3/1", 3, 5015, 5018)
			x.record("x", sending("h3:1", "not_run", 4990, 5010), sending("h3:1", "done", 5020, 5030))
		}, "false_not_run=1"},
		{"true not run, then done", func(x *trialBuilder) {
			x.run("h3", "x", "h3/1", 3, 5025, 5028)
			x.record("x", sending("h3:1", "not_run", 4990, 5010), sending("h3:1", "done", 5020, 5030))
		}, "ok"},
		{"not run after a sending that may have run", func(x *trialBuilder) {
			x.run("h3", "x", "h3/1", 3, 5000, 5010)
			x.record("x", sending("h3:1", "", 4990, 5010), sending("h3:1", "not_run", 5020, 5030))
		}, "false_not_run=1"},
		{"not run after a sending that may have run, idempotent", func(x *trialBuilder) {
			x.run("h3", "x", "h3/1", 3, 5000, 5010).Idempotent = true
			x.record("x", sending("h3:1", "", 4990, 5010), sending("h3:1", "not_run", 5020, 5030)).Idempotent = true
		}, "ok"},
		{"connection broken at the planned stop", func(x *trialBuilder) {
			x.record("x", sending("h1:1", "", 190, 250), sending("h2:1", "done", 260, 270))
			x.run("h2", "x", "h2/1", 2, 262, 265)
		}, "cut_off=1"},
		{"connection broken before the planned stop", func(x *trialBuilder) {
			x.record("x", sending("h1:1", "", 100, 150), sending("h2:1", "not_run", 260, 270))
		}, "ok"},
		{"run unfinished at the planned stop", func(x *trialBuilder) {
			x.run("h1", "x", "h1/1", 1, 290, 0)
			x.record("x", sending("h2:1", "unknown", 190, 300))
			x.KeptOutcomes = []string{"x"}
		}, "cut_off=1"},
		{"run at the planned stop whose answer was lost", func(x *trialBuilder) {
			x.run("h1", "x", "h1/1", 1, 190, 210)
			x.record("x", sending("h2:1", "unknown", 180, 300))
			x.KeptOutcomes = []string{"x"}
		}, "cut_off=1"},
		{"outcome at risk that the store does not keep", func(x *trialBuilder) {
			x.record("x", sending("h3:1", "unknown", 6200, 6300))
		}, "outcomes at risk are not kept in the store"},
		{"refused at the planned stop", func(x *trialBuilder) {
			x.record("x", sending("h1:1", "not_run", 190, 250))
		}, "ok"},
		{"run of a request that no caller sent", func(x *trialBuilder) {
			x.run("h3", "x", "h3/1", 3, 6200, 6210)
		}, "requests ran that no caller sent"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			x := trialWithoutViolations()
			c.change(x)
			v := judge.Judge(x.Input)
			if c.want == "ok" {
				must.SliceEmpty(t, v.Problems)
				return
			}
			must.Len(t, 1, v.Problems)
			must.StrHasPrefix(t, "trial: FAILED ", v.String())
			must.StrContains(t, v.String()+" "+v.Problems[0]+" ", c.want+" ")
		})
	}
}

func TestTrialFailsIfEveryRequestIsRefused(t *testing.T) {
	x := newTrial()
	for i := range int64(20) {
		x.record("r"+strconv.Itoa(int(i)), sending("h1:1", "not_run", i, i+1))
	}
	must.Eq(t, []string{"only 0 of 20 requests were done"}, judge.Judge(x.Input).Problems)
	must.False(t, judge.Judge(judge.Input{}).OK())
}

func TestOutcomesAtRiskMissingFromStoreAreReported(t *testing.T) {
	x := trialWithoutViolations()
	x.record("x", sending("h3:1", "unknown", 5000, 5100))
	x.record("y", sending("h3:1", "late", 5000, 5100))
	x.record("z", sending("h3:1", "unknown", 5000, 5100)).Idempotent = true
	x.record("n", sending("h3:1", "not_run", 5000, 5100))
	x.KeptOutcomes = []string{"y", "n"}
	v := judge.Judge(x.Input)
	must.Eq(t, judge.AtRisk{Reported: 2, Kept: 1, Missing: []string{"x"}}, v.AtRisk)
	must.False(t, v.OK())
}

func TestChurnCountsUnforcedOwnerChanges(t *testing.T) {
	x := trialWithoutViolations()
	x.done("x", "h1", "h1/2", 4, 6200, 6210)
	x.done("y", "h3", "h3/1", 5, 6300, 6310)
	v := judge.Judge(x.Input)
	must.Eq(t, judge.OwnerChanges{Total: 4, Forced: 2}, v.OwnerChanges)
	must.Eq(t, 2.0, v.OwnerChanges.Churn())
}

func TestUnavailableIsLongestGapAfterAnyFault(t *testing.T) {
	cases := []struct {
		name string
		add  func(*trialBuilder)
		want time.Duration
	}{
		{"held until served", func(x *trialBuilder) {
			x.run("h3", "x", "h3/1", 3, 880, 890)
			x.record("x", sending("h3:1", "done", 410, 890))
		}, 480 * time.Millisecond},
		{"refused, then served", func(x *trialBuilder) {
			x.record("x", sending("h3:1", "not_run", 405, 700))
			x.record("y", sending("h3:1", "not_run", 750, 905))
		}, 505 * time.Millisecond},
		{"refused, and not asked again for long", func(x *trialBuilder) {
			x.record("x", sending("h3:1", "not_run", 405, 450))
		}, 45 * time.Millisecond},
		{"served in between", func(x *trialBuilder) {
			x.record("x", sending("h3:1", "not_run", 5805, 6000))
		}, 20 * time.Millisecond},
		{"never served again", func(x *trialBuilder) {
			x.record("x", sending("h3:1", "not_run", 6200, 6300))
			x.record("y", sending("h3:1", "not_run", 6900, 7000))
		}, 800 * time.Millisecond},
		{"before the first fault", func(x *trialBuilder) {
			x.record("x", sending("h3:1", "not_run", 20, 90))
		}, 10 * time.Millisecond},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			x := trialWithoutViolations()
			c.add(x)
			must.Eq(t, c.want, judge.Judge(x.Input).Unavailable.Length())
		})
	}
}

func TestGapsHoldLongestGapOfEachFault(t *testing.T) {
	x := trialWithoutViolations()
	x.record("x", sending("h3:1", "not_run", 330, 395))
	x.record("y", sending("h3:1", "not_run", 500, 800))
	got := map[judge.FaultKind]time.Duration{}
	for _, g := range judge.Judge(x.Input).Gaps {
		got[g.Fault.Kind] = g.Gap.Length()
	}
	must.Eq(t, map[judge.FaultKind]time.Duration{
		judge.PlannedStop: 10 * time.Millisecond, judge.Kill: 470 * time.Millisecond, judge.StoreOutage: 10 * time.Millisecond,
	}, got)
}

func TestImbalanceCountsBusyTimePerSlotOutsideFaults(t *testing.T) {
	x := newTrial()
	x.Hosts[2].Slots = 4
	x.fault(judge.StoreOutage, "", 1000, 2000)
	x.done("a", "h1", "h1/1", 1, 0, 100)
	x.done("b", "h2", "h2/1", 2, 200, 300)
	x.done("c", "h3", "h3/1", 3, 400, 600)
	x.done("d", "h3", "h3/1", 3, 1000, 2000)
	x.done("e", "h3", "h3/1", 3, 2000, 2001)
	balance := judge.Judge(x.Input).Balances[0]
	must.Eq(t, "booking", balance.App)
	must.Between(t, 1.0, balance.Imbalance, 1.01)
	x.done("f", "h1", "h1/2", 4, 2100, 2400)
	must.Between(t, 1.99, judge.Judge(x.Input).Imbalance(), 2.0)
}

func TestReadersDropTruncatedLastLine(t *testing.T) {
	journal, err := judge.ReadJournal(strings.NewReader("{\"id\":\"a\"}\n{\"id\":\"b"))
	must.NoError(t, err)
	must.Len(t, 1, journal)
	_, err = judge.ReadRecords(strings.NewReader("{}\nnonsense\n"))
	must.ErrorContains(t, err, "line 2")
}

func TestReadFaultsPairsBeginAndEnd(t *testing.T) {
	faults, err := judge.ReadFaults(strings.NewReader(`{"at_ns":1,"fault":"planned_stop","phase":"begin","host":"h1"}
{"at_ns":2,"fault":"kill","phase":"begin","host":"h2"}
{"at_ns":3,"fault":"planned_stop","phase":"end","host":"h1"}
`))
	must.NoError(t, err)
	must.Eq(t, []judge.Fault{
		{Kind: judge.PlannedStop, Host: "h1", BeginNs: 1, EndNs: 3},
		{Kind: judge.Kill, Host: "h2", BeginNs: 2, EndNs: 2},
	}, faults)
}
