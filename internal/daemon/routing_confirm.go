package daemon

import (
	"time"

	"github.com/rhubarbring/rhubarbring/assignment"
	"github.com/rhubarbring/rhubarbring/event"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/result"
)

// confirmRetry is the pause before a failed read of a pack is repeated.
const confirmRetry = 500 * time.Millisecond

// requiresRelease reports whether a change makes this daemon release a slice. A
// release cannot be undone, and the slice gets its next owner only by a write
// to the store. Therefore the pack is first read from the store, unless it came
// from its writer just now: while the store is down, the slice stays here and is
// served.
func (r *routingLoop) requiresRelease(c assignment.Change) bool {
	next := c.To.Next
	return !c.Merged && c.To.Owner == r.self && !next.IsZero() && next != r.self
}

// confirmChange reads the pack of a change from the store before the change is
// passed to the holder.
func (r *routingLoop) confirmChange(c assignment.Change) {
	name := assignment.PackName(c.Slice.App, c.Slice.ID)
	if c.Slice.IsCarveOut() {
		name = assignment.PackName(c.Slice.App, c.Parent)
	}
	pending, reading := r.unconfirmed[name]
	r.unconfirmed[name] = append(pending, c)
	if !reading {
		r.readPack(name)
	}
}

func (r *routingLoop) readPack(name string) {
	r.store.enqueue(storeCall{op: opGet, kind: assignment.Kind, name: name, done: func(answer storeAnswer) {
		r.ring.PushWait(packRead{name: name, answer: answer}, r.stop)
	}})
}

// packRead is the answer to a read of a pack. packReadRetry starts another read
// after a failed one.
type (
	packRead struct {
		name   string
		answer storeAnswer
	}
	packReadRetry struct{ name string }
)

func (w packRead) handle(r *routingLoop, now mono.Time) {
	if w.answer.code != result.OK {
		time.AfterFunc(confirmRetry, func() { r.ring.PushWait(packReadRetry{w.name}, r.stop) })
		return
	}
	pending := r.unconfirmed[w.name]
	delete(r.unconfirmed, w.name)
	pack, err := assignment.Decode(w.answer.object.Value)
	if err != nil {
		r.log.Event(event.BadObject, "object", assignment.Kind+"/"+w.name, "cause", err.Error())
		return
	}
	packsObserved{packs: []packVersion{{pack: pack, version: w.answer.object.Version}}}.handle(r, now)
	for _, c := range pending {
		r.beginHandover(now, c)
	}
}

func (w packReadRetry) handle(r *routingLoop, _ mono.Time) {
	r.readPack(w.name)
}
