package daemon

import (
	"sync"
	"sync/atomic"

	"github.com/rhubarbring/rhubarbring/evacuation"
	"github.com/rhubarbring/rhubarbring/internal/bootclock"
	"github.com/rhubarbring/rhubarbring/internal/control"
	"github.com/rhubarbring/rhubarbring/internal/settings"
	"github.com/rhubarbring/rhubarbring/targetinstance"
	"github.com/rhubarbring/rhubarbring/targetstatus"
)

// Process is what a process keeps while its sessions, each with a Daemon of its
// own, follow each other: what it has promised, or has seen in force, whatever
// becomes of the session. It is safe for concurrent use.
//
// Invariant: a departure of the target that any Daemon of the process has
// accepted holds for all of them, the later ones included; no Daemon puts an
// older document in force than one before it had; an evacuation that one of them
// knows holds until a later one has read that it is over; incarnations rise.
type Process struct {
	settings *settings.Daemon
	document atomic.Pointer[documentInForce]

	mu              sync.Mutex
	lastIncarnation uint64
	targetTracker   targetinstance.Tracker
	lastAnnounced   control.Announcement
	targetStatuses  targetstatus.Memory
	evacuations     evacuation.Set

	// evacuationsKnown is set once a session has read which zones are evacuated.
	evacuationsKnown atomic.Bool
}

// NewProcess returns the Process of a process that starts.
func NewProcess(s *settings.Daemon) *Process {
	return &Process{settings: s}
}

// nextIncarnation returns the incarnation of the next session, which is above
// all before. The time of day may have stepped back since the last one.
func (p *Process) nextIncarnation(unixNano int64) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastIncarnation = max(uint64(unixNano), p.lastIncarnation+1)
	return p.lastIncarnation
}

// observeAnnouncement reports whether an announcement is to be applied, and
// returns it with its instance. An instance that has once said that it is about
// to end is draining, whatever it announces.
func (p *Process) observeAnnouncement(a control.Announcement) (control.Announcement, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	announced := targetinstance.Announcement{ID: a.InstanceName, StartedMs: a.StartedMs, Sequence: a.Sequence}
	if p.targetTracker.Observe(bootclock.Now(), announced) == targetinstance.Stale {
		return a, false
	}
	if a.State == control.StateDraining {
		p.targetTracker.MarkLeaving(targetinstance.Departure{ID: a.InstanceName, StartedMs: a.StartedMs})
	}
	if p.targetTracker.Leaving() {
		a.State = control.StateDraining
	}
	a.Instance = instanceNumber(a)
	p.lastAnnounced = a
	return a, true
}

// markLeaving records that the current instance of the target is about to end,
// and returns its last announcement as a draining one. It returns false if the
// departure is not that instance's.
func (p *Process) markLeaving(departure targetinstance.Departure) (control.Announcement, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.targetTracker.MarkLeaving(departure) {
		return control.Announcement{}, false
	}
	p.lastAnnounced.State = control.StateDraining
	return p.lastAnnounced, true
}

// rememberStatus keeps what is known of an instance of the target for the next
// session.
func (p *Process) rememberStatus(r targetstatus.Report) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.targetStatuses.Keep(r)
}

// rememberedStatuses returns what the sessions before knew of instances of the
// target.
func (p *Process) rememberedStatuses() []targetstatus.Report {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.targetStatuses.Reports()
}
