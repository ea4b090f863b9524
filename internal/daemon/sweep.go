package daemon

import (
	"time"

	"github.com/rhubarbring/rhubarbring/event"
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/result"
	"github.com/rhubarbring/rhubarbring/session"
)

const (
	sweepInterval = time.Minute
	// maxSweepDeletions bounds the deletions of one sweep, so that the sessions
	// of a whole zone that ended together do not cause a burst of calls to the
	// store.
	maxSweepDeletions = 50
)

// sweeper selects the records of sessions that ended long ago for deletion.
// Only the placement leader deletes them. On an ordinary day 790 hosts restart,
// and each leaves a record.
type sweeper struct {
	next       mono.Time
	finalSince map[host.Session]mono.Time // when this daemon first saw that the session ended
}

// due returns the records to delete now: at most maxSweepDeletions that have
// been final for session.DeleteAfter and that no assignment contains any more.
func (w *sweeper) due(now mono.Time, records map[host.Session]session.VersionedRecord, assigned map[host.Session]bool) []session.VersionedRecord {
	var out []session.VersionedRecord
	for id, v := range records {
		if !v.Record.State.Final() {
			continue
		}
		since, seen := w.finalSince[id]
		if !seen {
			w.finalSince[id] = now
			continue
		}
		if now.Sub(since) >= session.DeleteAfter && !assigned[id] && len(out) < maxSweepDeletions {
			out = append(out, v)
		}
	}
	for id := range w.finalSince {
		if _, exists := records[id]; !exists {
			delete(w.finalSince, id)
		}
	}
	return out
}

func (p *placementLoop) sweep(now mono.Time) {
	if now.Before(p.sweeper.next) || !p.core.IsLeader() {
		return
	}
	p.sweeper.next = now.Add(sweepInterval)
	go p.queryAssignedSessions()
}

// queryAssignedSessions asks the routing loop which sessions are the owner or
// next owner of a slice. It runs on its own goroutine.
func (p *placementLoop) queryAssignedSessions() {
	if assigned, err := p.assignedSessions(); err == nil {
		p.pushWait(assignedSessionsRead{assigned: assigned})
	}
}

// assignedSessionsRead holds the sessions that assignments contain.
type assignedSessionsRead struct{ assigned map[host.Session]bool }

func (w assignedSessionsRead) handle(p *placementLoop, now mono.Time) {
	for _, v := range p.sweeper.due(now, p.fleet.sessions.Load().records, w.assigned) {
		p.deleteRecord(v)
	}
}

func (p *placementLoop) deleteRecord(v session.VersionedRecord) {
	name := session.ObjectName(v.Record.Session)
	p.store.enqueue(storeCall{
		op: opDelete, kind: session.ObjectKind, name: name, ifVersion: v.Version,
		done: func(answer storeAnswer) {
			if answer.code == result.OK {
				p.log.Event(event.SessionForgotten, "session", v.Record.Session.String())
			}
		},
	})
}

// assignedSessions returns the owners and next owners of all slices.
func (r *routingLoop) assignedSessions() map[host.Session]bool {
	assigned := make(map[host.Session]bool)
	r.owners.Sessions(func(s host.Session) { assigned[s] = true })
	return assigned
}
