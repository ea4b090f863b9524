package placement

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/host"
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
func newSupersededFleet(t *testing.T) (f *simFleet, superseded, successor host.Session) {
	f = newSimFleet(4, 12, rayuelaApp(), &Balanced{})
	superseded = simHost(1)
	successor = host.Session{Host: superseded.Host, Incarnation: superseded.Incarnation + 1}
	f.recordSession(superseded, session.Live, firstInstance, false)
	f.tickUntilIdle()
	must.Positive(t, f.ownedSlices(superseded))
	f.recordSession(successor, session.Live, 0, false)
	f.recordSession(superseded, session.Lost, firstInstance, true)
	f.tickUntilIdle()
	return f, superseded, successor
}

// While the target may still hold the slices of a superseded session, they wait
// for the successor and go to no other session.
func TestSupersededSlicesWaitForSuccessor(t *testing.T) {
	f, superseded, successor := newSupersededFleet(t)
	count := f.ownedSlices(superseded)
	must.Positive(t, count)
	f.now = f.now.Add(DefaultSupersededGrantTTL / 2)
	f.tickUntilIdle()
	must.Eq(t, count, f.ownedSlices(superseded))
	f.recordSession(successor, session.Live, firstInstance, false)
	f.tickUntilIdle()
	must.Eq(t, count, f.ownedSlices(successor))
	must.Zero(t, f.ownedSlices(superseded))
}

func TestSupersededSlicesGoToSuccessorWithTheSameInstance(t *testing.T) {
	f, superseded, successor := newSupersededFleet(t)
	count := f.ownedSlices(superseded)
	f.slots = 1 // The successor would be the last choice by load.
	f.recordSession(successor, session.Live, firstInstance, false)
	f.tickUntilIdle()
	must.Eq(t, count, f.ownedSlices(successor))
	must.Zero(t, f.ownedSlices(superseded))
}

// The instance before may run on beside the next one and hold the slices, or the
// announcement of the other one was a late one: they go nowhere while it may.
func TestSupersededSlicesWaitIfTheSuccessorHasAnotherInstance(t *testing.T) {
	f, superseded, successor := newSupersededFleet(t)
	count := f.ownedSlices(superseded)
	f.recordSession(successor, session.Live, secondInstance, false)
	f.now = f.now.Add(DefaultSupersededGrantTTL - time.Millisecond)
	f.tickUntilIdle()
	must.Eq(t, count, f.ownedSlices(superseded))
	f.now = f.now.Add(2 * time.Millisecond)
	f.tickUntilIdle()
	must.Zero(t, f.ownedSlices(superseded))
}

// The instance that was replaced shortly before the session ended may run on.
func TestSupersededSlicesWaitIfTheInstanceWasReplacedBefore(t *testing.T) {
	for _, earlier := range []time.Duration{DefaultSupersededGrantTTL / 2, DefaultSupersededGrantTTL} {
		f := newSimFleet(4, 12, rayuelaApp(), &Balanced{})
		superseded := simHost(1)
		successor := host.Session{Host: superseded.Host, Incarnation: superseded.Incarnation + 1}
		f.recordSession(superseded, session.Live, firstInstance, false)
		f.tickUntilIdle()
		count := f.ownedSlices(superseded)
		f.recordSession(superseded, session.Live, secondInstance, false)
		f.now = f.now.Add(earlier)
		f.recordSession(successor, session.Live, secondInstance, false)
		f.recordSession(superseded, session.Lost, secondInstance, true)
		f.tickUntilIdle()
		waits := earlier < DefaultSupersededGrantTTL
		must.Eq(t, waits, f.ownedSlices(superseded) == count, must.Sprint(earlier))
	}
}

// Slices do not wait for a successor without a target for longer than the old
// target may hold them.
func TestSupersededSlicesMoveAfterGrantTTL(t *testing.T) {
	f, superseded, successor := newSupersededFleet(t)
	f.now = f.now.Add(DefaultSupersededGrantTTL + time.Millisecond)
	f.tickUntilIdle()
	must.Zero(t, f.ownedSlices(superseded))
	must.Zero(t, f.ownedSlices(successor))
}
