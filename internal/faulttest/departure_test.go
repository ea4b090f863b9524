package faulttest

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/grant"
	"github.com/rhubarbring/rhubarbring/internal/bootclock"
	"github.com/rhubarbring/rhubarbring/internal/control"
	"github.com/rhubarbring/rhubarbring/internal/faketarget"
	"github.com/rhubarbring/rhubarbring/targetinstance"
)

// announceInstance makes a host's target announce itself with a named instance that
// is ready, in place of its own announcements, until the test ends.
func (h *node) announceInstance(t *testing.T, name string) {
	h.target.change(func(b *faketarget.Behaviour) { b.Silent = true })
	stop := make(chan struct{})
	done := make(chan struct{})
	t.Cleanup(func() {
		close(stop)
		<-done
	})
	go func() {
		defer close(done)
		for sequence := uint64(1); ; sequence++ {
			_, _ = h.currentDaemon().HandleAnnouncement(control.Announcement{
				App: h.app, Address: h.target.address, Slots: slots, Connections: connections, ChecksGrants: checksGrants[h.app],
				State: control.StateWarm, InstanceName: name, StartedMs: 1000, Sequence: sequence,
			}, grant.Report{})
			select {
			case <-stop:
				return
			case <-time.After(300 * time.Millisecond):
			}
		}
	}()
}

// A departure that the daemon of an ended session has confirmed holds for the next
// session of the process: the target gets no more work, whatever it announces.
func TestDepartureHoldsThroughEndOfSession(t *testing.T) {
	f := newFleet(t)
	victim := f.hosts[2]
	rest := f.namesWithout(victim)
	victim.announceInstance(t, "i-1")
	old := victim.status().Session
	tr := f.load(14 * time.Second)
	tr.waitEnded(requestsPerSecond)
	f.net.setCut(true, []string{victim.name()}, append(rest, storeName))
	f.eventually("others own its keys", func() bool { return f.lostAndReplaced(old, f.hosts[8]) })
	must.NoError(t, victim.currentDaemon().TargetLeaving(targetinstance.Departure{ID: "i-1", StartedMs: 1000}))
	confirmed := bootclock.Now()
	f.net.setCut(false, []string{victim.name()}, append(rest, storeName))
	f.eventually("it is back as a new session", func() bool {
		s := victim.status()
		return s.Session.Incarnation > old.Incarnation && s.Ready == ""
	})
	must.NoError(t, <-tr.done)
	must.Zero(t, countBetween(victim.target.runStarts(t), confirmed.Add(leavingGrace), forever))
	must.True(t, victim.status().Target.Leaving)
}
