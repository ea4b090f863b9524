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
	sweepEvery = time.Minute
	// sweepMost bounds the deletions of one sweep, so that the ends of a
	// whole zone don't meet the store at once.
	sweepMost = 50
)

// sweeper deletes the records of sessions that ended long ago. Only the
// placement leader does it: 790 hosts restart on an ordinary day, and each
// leaves a record.
type sweeper struct {
	next  mono.Time
	final map[host.Session]mono.Time // when this daemon first saw the end
}

// due returns the records to delete now: those that have been final for
// session.DeleteAfter and that no assignment names any more.
func (w *sweeper) due(now mono.Time, records map[host.Session]session.Versioned, named map[host.Session]bool) []session.Versioned {
	var out []session.Versioned
	for id, v := range records {
		if !v.Record.State.Final() {
			continue
		}
		since, seen := w.final[id]
		if !seen {
			w.final[id] = now
			continue
		}
		if now.Sub(since) >= session.DeleteAfter && !named[id] && len(out) < sweepMost {
			out = append(out, v)
		}
	}
	for id := range w.final {
		if _, stands := records[id]; !stands {
			delete(w.final, id)
		}
	}
	return out
}

func (p *placementDuty) sweep(now mono.Time) {
	if now.Before(p.sweeper.next) || !p.core.Leads() {
		return
	}
	p.sweeper.next = now.Add(sweepEvery)
	go p.askNamed()
}

// askNamed asks the routing duty which sessions its map names, on a goroutine
// of its own.
func (p *placementDuty) askNamed() {
	if named, err := p.named(); err == nil {
		p.wait(sweepNamed{named: named})
	}
}

// sweepNamed are the sessions that assignments name.
type sweepNamed struct{ named map[host.Session]bool }

func (w sweepNamed) placementWork(p *placementDuty, now mono.Time) {
	for _, v := range p.sweeper.due(now, p.fleet.sessions.Load().records, w.named) {
		p.deleteRecord(v)
	}
}

func (p *placementDuty) deleteRecord(v session.Versioned) {
	name := session.Name(v.Record.Session)
	p.store.ask(storeCall{
		op: opDelete, kind: session.Kind, name: name, ifVersion: v.Version,
		done: func(answer storeAnswer) {
			if answer.code == result.OK {
				p.log.Event(event.SessionForgotten, "session", v.Record.Session.String())
			}
		},
	})
}

// named returns the owners and next owners of all slices.
func (r *routingDuty) named() map[host.Session]bool {
	named := make(map[host.Session]bool)
	r.owners.Sessions(func(s host.Session) { named[s] = true })
	return named
}
