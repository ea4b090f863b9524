package placement

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/session"
)

const oldLife, newLife = 7, 8

// record tells the core of a session beside a life of its host's target; life
// 0 means that the target has not announced itself.
func (f *trialFleet) record(s host.Session, state session.State, life uint64, superseded bool) {
	f.rev++
	r := session.Record{Session: s, State: state, Superseded: superseded}
	if life != 0 {
		r.Target = &session.Target{App: f.app.Name, Slots: f.slots, ChecksGrants: true, Instance: life}
	}
	f.step(SessionSeen{Record: r, Version: f.rev})
}

// succeeded returns a fleet in which host 1's daemon was succeeded by another
// one, and the two sessions.
func succeeded(t *testing.T) (f *trialFleet, before, after host.Session) {
	f = newTrialFleet(4, 12, rayuelaApp(), &Balanced{})
	before = trialHost(1)
	after = host.Session{Host: before.Host, Incarnation: before.Incarnation + 1}
	f.record(before, session.Live, oldLife, false)
	f.settle()
	must.Positive(t, f.owned(before))
	f.record(after, session.Live, 0, false)
	f.record(before, session.Lost, oldLife, true)
	f.settle()
	return f, before, after
}

// Until what the target may hold has run out, slices of a superseded session
// wait for its successor, and go to nobody else.
func TestSlicesWaitForTheSuccessor(t *testing.T) {
	f, before, after := succeeded(t)
	count := f.owned(before)
	must.Positive(t, count)
	f.now = f.now.Add(DefaultGrantsEnd / 2)
	f.settle()
	must.Eq(t, count, f.owned(before))
	f.record(after, session.Live, oldLife, false)
	f.settle()
	must.Eq(t, count, f.owned(after))
	must.Zero(t, f.owned(before))
}

// A target that started anew holds nothing, so that its slices are free.
func TestSlicesOfATargetThatIsGoneAreFree(t *testing.T) {
	f, before, after := succeeded(t)
	f.record(after, session.Live, newLife, false)
	f.settle()
	must.Zero(t, f.owned(before))
}

// A successor without its target is not waited for longer than the target may
// hold what it was granted.
func TestSlicesDoNotWaitForever(t *testing.T) {
	f, before, after := succeeded(t)
	f.now = f.now.Add(DefaultGrantsEnd + time.Millisecond)
	f.settle()
	must.Zero(t, f.owned(before))
	must.Zero(t, f.owned(after))
}

// Neighbouring slices of an app whose slices are ranges are placed in few runs.
func TestRangesArePlacedInRuns(t *testing.T) {
	app := rayuelaApp()
	app.Ranges = true
	f := newTrialFleet(6, 12, app, &Balanced{})
	view := f.view()
	runs := 0
	var last host.Session
	for id := range app.Slices {
		s, _ := view.At(key.Slice{App: app.Name, ID: key.SliceID(id)})
		must.False(t, s.Owner.IsNobody())
		if s.Owner != last {
			runs++
		}
		last = s.Owner
	}
	must.LessEq(t, 2*runsPerHost*6, runs)
	for i := range 6 {
		must.Between(t, int(app.Slices)/6*8/10, f.owned(trialHost(i)), int(app.Slices)/6*12/10)
	}
}
