package daemon

import (
	"time"

	"github.com/rhubarbring/rhubarbring/assignment"
	"github.com/rhubarbring/rhubarbring/event"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/result"
)

// confirmRetry is the pause before a pack is read again whose read failed.
const confirmRetry = 500 * time.Millisecond

// leadsAway reports whether a change asks this daemon to release a slice. The
// release can't be taken back, and only a write to the store gives the slice
// its next owner: so the pack is read from the store first. While the store
// is down the slice stays here, and is served.
func (r *routingDuty) leadsAway(c assignment.Change) bool {
	next := c.To.Next
	return !c.Merged && c.To.Owner == r.self && !next.IsNobody() && next != r.self
}

// confirm reads the change's pack from the store before the holder hears of
// the change.
func (r *routingDuty) confirm(c assignment.Change) {
	name := assignment.Name(c.Slice.App, c.Slice.ID)
	if c.Slice.IsCarveOut() {
		name = assignment.Name(c.Slice.App, c.Parent)
	}
	waiting, asked := r.unconfirmed[name]
	r.unconfirmed[name] = append(waiting, c)
	if !asked {
		r.readPack(name)
	}
}

func (r *routingDuty) readPack(name string) {
	r.store.ask(storeCall{op: opGet, kind: assignment.Kind, name: name, done: func(answer storeAnswer) {
		r.ring.Wait(packRead{name: name, answer: answer}, r.stop)
	}})
}

// packRead is the answer to a read of a pack; packDue is the time for another.
type (
	packRead struct {
		name   string
		answer storeAnswer
	}
	packDue struct{ name string }
)

func (w packRead) routingWork(r *routingDuty, now mono.Time) {
	if w.answer.code != result.OK {
		time.AfterFunc(confirmRetry, func() { r.ring.Wait(packDue{w.name}, r.stop) })
		return
	}
	waiting := r.unconfirmed[w.name]
	delete(r.unconfirmed, w.name)
	pack, err := assignment.Decode(w.answer.object.Value)
	if err != nil {
		r.log.Event(event.BadObject, "object", assignment.Kind+"/"+w.name, "cause", err.Error())
		return
	}
	packsSeen{packs: []packVersion{{pack: pack, version: w.answer.object.Version}}}.routingWork(r, now)
	for _, c := range waiting {
		if held, ok := r.owners.At(c.Slice); ok && held == c.To {
			r.doHolder(now, r.holder.Seen(now, c))
		}
	}
}

func (w packDue) routingWork(r *routingDuty, _ mono.Time) {
	r.readPack(w.name)
}
