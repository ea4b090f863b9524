package document_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/rhubarbring/rhubarbring/document"
	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/result"
)

// object is a value of the model store and its revision.
type object struct {
	revision uint64
	value    []byte
}

// modelStore is a store with conditional writes. If unconditional is set, it
// ignores the condition, to show that the test detects that fault.
type modelStore struct {
	objects       map[document.Object]object
	revision      uint64
	unconditional bool
	// accepted lists the tokens of the accepted documents in order.
	accepted []string
}

func newStore() *modelStore {
	return &modelStore{objects: make(map[document.Object]object)}
}

func (s *modelStore) save(w document.Save) bool {
	if s.objects[w.Object].revision != w.IfRevision && !s.unconditional {
		return false
	}
	s.revision++
	s.objects[w.Object] = object{revision: s.revision, value: w.Value}
	if w.Object.Kind == document.Kind {
		stored, err := document.DecodeStored(w.Value)
		if err != nil {
			panic(err)
		}
		s.accepted = append(s.accepted, stored.Token)
	}
	return true
}

func (s *modelStore) load(o document.Object) document.UpdateEvent {
	found := s.objects[o]
	return document.Loaded{Object: o, Revision: found.revision, Value: found.value}
}

// answer performs an action without faults.
func (s *modelStore) answer(a document.UpdateAction) document.UpdateEvent {
	switch a := a.(type) {
	case document.Load:
		return s.load(a.Object)
	case document.Save:
		if s.save(a) {
			return document.Saved{}
		}
		return document.SaveRefused{}
	}
	return document.PauseOver{}
}

func (s *modelStore) run(u *document.Update) document.UpdateResult {
	action := u.Start()
	for {
		if f, ok := action.(document.Finish); ok {
			return f.Result
		}
		action = u.Step(s.answer(action))
	}
}

func updateConfig(token, content string) document.UpdateConfig {
	return document.UpdateConfig{
		Environment: "e", Content: []byte(content), Token: token, Who: "ana",
		When: time.Unix(1, 0).UTC(), MaxFailures: 4, InitialBackoff: time.Millisecond, MaxBackoff: time.Second,
	}
}

func TestUpdatesWithoutFaults(t *testing.T) {
	s := newStore()
	r := s.run(document.NewUpdate(updateConfig("t1", "a")))
	must.Eq(t, document.AcceptedNow, r.Verdict)
	must.Eq(t, 1, r.Mine.Version)

	r = s.run(document.NewUpdate(updateConfig("t2", "a")))
	must.Eq(t, document.AlreadyInForce, r.Verdict)
	must.Eq(t, 1, r.Other.Version)

	r = s.run(document.NewUpdate(updateConfig("t3", "b")))
	must.Eq(t, document.AcceptedNow, r.Verdict)
	must.Eq(t, 2, r.Mine.Version)

	// An earlier content is accepted again, as a new version.
	r = s.run(document.NewUpdate(updateConfig("t4", "a")))
	must.Eq(t, document.AcceptedNow, r.Verdict)
	must.Eq(t, 3, r.Mine.Version)
	_, archived := s.objects[document.Object{Kind: document.HistoryKind, Name: "e.2"}]
	must.True(t, archived)

	// A change planned against version 1 is refused and names the change in
	// force.
	base := uint64(1)
	late := updateConfig("t5", "c")
	late.Base = &base
	r = s.run(document.NewUpdate(late))
	must.Eq(t, document.Conflict, r.Verdict)
	must.ErrorIs(t, r.Err(), &result.Error{Code: result.DocumentConflict})
	must.StrContains(t, r.Err().Error(), `"who":"ana"`)

	// The same change, run again with its token, reports what became of it.
	base = 1
	again := updateConfig("t3", "b")
	again.Base = &base
	r = s.run(document.NewUpdate(again))
	must.Eq(t, document.Replaced, r.Verdict)
	must.Eq(t, []string{"t1", "t3", "t4"}, s.accepted)
}

// A lower maximum deadline doesn't shorten the wait of takeovers: a partitioned
// owner may still use the version before.
func TestLongestDeadlineNeverFalls(t *testing.T) {
	s := newStore()
	for i, deadline := range []time.Duration{time.Second, 10 * time.Second, 2 * time.Second} {
		cfg := updateConfig(fmt.Sprint("t", i), fmt.Sprint("content ", i))
		cfg.Deadlines = map[key.App]document.Duration{"payments": document.Duration(deadline)}
		must.Eq(t, document.AcceptedNow, s.run(document.NewUpdate(cfg)).Verdict)
	}
	stored, err := document.DecodeStored(s.objects[document.Object{Kind: document.Kind, Name: "e"}].value)
	must.NoError(t, err)
	app := document.App{Name: "payments", Deadline: document.Deadline{Maximum: document.Duration(2 * time.Second)}}
	must.Eq(t, 10*time.Second, stored.LongestDeadline(app))
	app.Name = "new"
	must.Eq(t, 2*time.Second, stored.LongestDeadline(app))
}

func TestUpdateEndsAsNotWrittenWhenStoreUnreachable(t *testing.T) {
	u := document.NewUpdate(updateConfig("t1", "a"))
	action := u.Start()
	for range 20 {
		if _, ok := action.(document.Load); ok {
			action = u.Step(document.LoadFailed{})
			continue
		}
		if _, ok := action.(document.Pause); ok {
			action = u.Step(document.PauseOver{})
		}
	}
	must.Eq(t, document.NotWritten, action.(document.Finish).Result.Verdict)
	must.ErrorContains(t, action.(document.Finish).Result.Err(), "the document was not written")
}

// racer is the change of one of several concurrent operators.
type racer struct {
	update *document.Update
	action document.UpdateAction
}

func (r *racer) done() (document.UpdateResult, bool) {
	f, ok := r.action.(document.Finish)
	return f.Result, ok
}

// race runs several changes against a store whose reads may fail, and whose
// writes may be lost before or after they are applied, or be applied late. It
// describes the first wrong verdict or missing history entry, if any.
func race(t *rapid.T, s *modelStore) string {
	var racers []*racer
	for i := range rapid.IntRange(2, 4).Draw(t, "racers") {
		u := document.NewUpdate(updateConfig(fmt.Sprintf("t%d", i), fmt.Sprintf("content %d", i)))
		racers = append(racers, &racer{update: u, action: u.Start()})
	}
	var delayed []document.Save
	for range 200 {
		r := rapid.SampledFrom(racers).Draw(t, "racer")
		if _, done := r.done(); done {
			continue
		}
		fault := rapid.SampledFrom([]string{"none", "none", "write lost", "answer lost", "late", "apply delayed"}).Draw(t, "fault")
		if fault == "apply delayed" && len(delayed) > 0 {
			s.save(delayed[0])
			delayed = delayed[1:]
		}
		r.action = r.update.Step(performWithFault(s, r.action, fault, &delayed))
	}
	for _, w := range delayed {
		s.save(w)
	}
	return wrongVerdict(s, racers)
}

func performWithFault(s *modelStore, a document.UpdateAction, fault string, delayed *[]document.Save) document.UpdateEvent {
	if _, ok := a.(document.Pause); ok || fault == "none" || fault == "apply delayed" {
		return s.answer(a)
	}
	w, ok := a.(document.Save)
	if !ok {
		return document.LoadFailed{}
	}
	if fault == "answer lost" {
		s.save(w)
	}
	if fault == "late" {
		*delayed = append(*delayed, w)
	}
	return document.SaveUnconfirmed{}
}

func wrongVerdict(s *modelStore, racers []*racer) string {
	count := make(map[string]int)
	for _, token := range s.accepted {
		count[token]++
	}
	for i, r := range racers {
		res, done := r.done()
		n := count[fmt.Sprintf("t%d", i)]
		accepted := res.Verdict == document.AcceptedNow || res.Verdict == document.Replaced
		refused := res.Verdict == document.Conflict || res.Verdict == document.NotWritten
		if n > 1 || done && accepted && n == 0 || done && refused && n > 0 {
			return fmt.Sprintf("change %d ended as %q and was accepted %d times", i, res.Verdict, n)
		}
	}
	return missingHistory(s)
}

// missingHistory describes a replaced version that is not in the history.
func missingHistory(s *modelStore) string {
	for v := 1; v < len(s.accepted); v++ {
		raw := s.objects[document.Object{Kind: document.HistoryKind, Name: document.HistoryName("e", uint64(v))}].value
		old, err := document.DecodeStored(raw)
		if err != nil || old.Token != s.accepted[v-1] || old.Version != uint64(v) {
			return fmt.Sprintf("version %d is missing in the history", v)
		}
	}
	return ""
}

// Whichever answers are lost, no verdict is false, no change is accepted twice,
// and every replaced version is in the history.
func TestVerdictsAreTrue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if bad := race(t, newStore()); bad != "" {
			t.Fatal(bad)
		}
	})
}

// Without the condition of the write the same test finds wrong verdicts, which
// shows that it can detect them.
func TestVerdictsFailWithoutConditionalWrites(t *testing.T) {
	found := 0
	rapid.Check(t, func(t *rapid.T) {
		s := newStore()
		s.unconditional = true
		if race(t, s) != "" {
			found++
		}
	})
	must.Positive(t, found)
}
