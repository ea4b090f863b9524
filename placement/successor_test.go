package placement

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/session"
)

const firstInstance, secondInstance = 7, 8

// recordSession delivers a session record to the core, with the given instance
// of the host's target; 0 means that the target has not announced itself.
func (f *simFleet) recordSession(s host.Session, state session.State, instance uint64, superseded bool) {
	f.rev++
	r := session.Record{Session: s, State: state, Superseded: superseded}
	if instance != 0 {
		r.Target = &session.Target{App: f.app.Name, Slots: f.slots, ChecksGrants: true, Instance: instance}
	}
	f.step(SessionObserved{Record: r, Version: f.rev})
}

// newSupersededFleet returns a fleet in which the session of host 1 was
// superseded by a newer one whose target has not announced itself, and the two
// sessions.
func newSupersededFleet(t *testing.T) (f *simFleet, before, after host.Session) {
	f = newSimFleet(4, 12, rayuelaApp(), &Balanced{})
	before = simHost(1)
	after = host.Session{Host: before.Host, Incarnation: before.Incarnation + 1}
	f.recordSession(before, session.Live, firstInstance, false)
	f.settle()
	must.Positive(t, f.ownedSlices(before))
	f.recordSession(after, session.Live, 0, false)
	f.recordSession(before, session.Lost, firstInstance, true)
	f.settle()
	return f, before, after
}

// While the target may still hold the slices of a superseded session, they wait
// for the successor and go to no other session.
func TestSupersededSlicesWaitForSuccessor(t *testing.T) {
	f, before, after := newSupersededFleet(t)
	count := f.ownedSlices(before)
	must.Positive(t, count)
	f.now = f.now.Add(DefaultSupersededGrantTTL / 2)
	f.settle()
	must.Eq(t, count, f.ownedSlices(before))
	f.recordSession(after, session.Live, firstInstance, false)
	f.settle()
	must.Eq(t, count, f.ownedSlices(after))
	must.Zero(t, f.ownedSlices(before))
}

// A target that has restarted holds nothing, so the slices may go to any host.
func TestSupersededSlicesMoveWhenTargetRestarted(t *testing.T) {
	f, before, after := newSupersededFleet(t)
	f.recordSession(after, session.Live, secondInstance, false)
	f.settle()
	must.Zero(t, f.ownedSlices(before))
}

// Slices do not wait for a successor without a target for longer than the old
// target may hold them.
func TestSupersededSlicesMoveAfterGrantTTL(t *testing.T) {
	f, before, after := newSupersededFleet(t)
	f.now = f.now.Add(DefaultSupersededGrantTTL + time.Millisecond)
	f.settle()
	must.Zero(t, f.ownedSlices(before))
	must.Zero(t, f.ownedSlices(after))
}

// Adjacent slices of an app whose slices are ranges are placed in few runs.
func TestRangeSlicesArePlacedInRuns(t *testing.T) {
	app := rayuelaApp()
	app.DividedByRange = true
	f := newSimFleet(6, 12, app, &Balanced{})
	view := f.buildMap()
	runs := 0
	var last host.Session
	for id := range app.Slices {
		s, _ := view.At(key.Slice{App: app.Name, ID: key.SliceID(id)})
		must.False(t, s.Owner.IsZero())
		if s.Owner != last {
			runs++
		}
		last = s.Owner
	}
	must.LessEq(t, 2*runsPerHost*6, runs)
	for i := range 6 {
		must.Between(t, int(app.Slices)/6*8/10, f.ownedSlices(simHost(i)), int(app.Slices)/6*12/10)
	}
}
