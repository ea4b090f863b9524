package outcome

import (
	"maps"
	"slices"

	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/mono"
)

// sendCopy asks a random daemon of another availability zone to hold a copy of
// the batch. It sends nothing if no such daemon is alive. tick calls it again
// when the daemon does not confirm within Config.CopyTimeout.
func (r *Recorder) sendCopy(now mono.Time, b *batch) {
	b.copyMessageAt = now
	if len(r.otherZones) == 0 {
		return
	}
	b.copyHolder = r.otherZones[r.rand.IntN(len(r.otherZones))]
	b.copyKept = false
	r.emit(Send{To: b.copyHolder, Message: &Copy{Batch: b.Batch}})
}

// dropSaved removes a saved batch from memory, and has the holder of its copy
// do the same.
func (r *Recorder) dropSaved(b *batch) {
	if !b.copyHolder.IsZero() {
		r.emit(Send{To: b.copyHolder, Message: &BatchesStored{Names: []string{b.Name}}})
	}
	r.forget(b)
}

// setPeers replaces the live daemons. Batches whose copy was lost are copied
// again. Copies whose original was lost become this daemon's to save.
func (r *Recorder) setPeers(now mono.Time, ev Peers) {
	r.otherZones = append(r.otherZones[:0], ev.OtherZones...)
	r.living = make(map[host.Session]bool, len(ev.Living))
	for _, s := range ev.Living {
		r.living[s] = true
	}
	for _, name := range slices.Sorted(maps.Keys(r.batches)) {
		b := r.batches[name]
		if r.isOwn(b) {
			r.checkCopy(now, b)
			continue
		}
		if !r.living[b.origin] {
			r.inherit(now, b)
		}
	}
}

// checkCopy copies a closed batch again if the holder of its copy is not alive.
func (r *Recorder) checkCopy(now mono.Time, b *batch) {
	if b.state != stateOpen && !r.living[b.copyHolder] {
		r.sendCopy(now, b)
	}
}

// inherit makes this daemon the one that saves the batch. The batch keeps its
// name, so a write that the lost daemon had in flight can't store it twice.
func (r *Recorder) inherit(now mono.Time, b *batch) {
	r.emit(Inherited{Name: b.Name, Count: len(b.Outcomes), From: b.origin})
	b.origin = r.cfg.Self
	b.retryPause = r.cfg.Retry
	r.transition(now, b, "close")
}

func (r *Recorder) receive(now mono.Time, ev Received) {
	switch m := ev.Message.(type) {
	case *Copy:
		r.keepCopy(now, ev.From, m.Batch)
	case *CopyAck:
		r.handleCopyAck(ev.From, m.Name)
	case *BatchesStored:
		for _, name := range m.Names {
			r.dropCopy(ev.From, name)
		}
	}
}

// handleCopyAck records that the copy is held. If the batch is no longer in
// memory, because it is stored, the holder is told to drop its copy.
func (r *Recorder) handleCopyAck(from host.Session, name string) {
	b := r.batches[name]
	if b == nil {
		r.emit(Send{To: from, Message: &BatchesStored{Names: []string{name}}})
		return
	}
	if b.copyHolder == from {
		b.copyKept = true
	}
}

// askWhetherNeeded sends another CopyAck to the holder of the original if the
// last one is older than Config.CopyCheckInterval, because a BatchesStored may
// have been lost. The answer is a BatchesStored if the batch has been saved.
func (r *Recorder) askWhetherNeeded(now mono.Time, b *batch) {
	if now.Sub(b.copyMessageAt) < r.cfg.CopyCheckInterval {
		return
	}
	b.copyMessageAt = now
	r.emit(Send{To: b.origin, Message: &CopyAck{Name: b.Name}})
}

// keepCopy stores a copy in memory and confirms it. If the memory is full it
// does not answer, and the sender asks a daemon drawn anew.
func (r *Recorder) keepCopy(now mono.Time, from host.Session, copied Batch) {
	if r.batches[copied.Name] == nil {
		if r.heldOutcomes+len(copied.Outcomes) > r.cfg.MaxOutcomes {
			return
		}
		b := &batch{Batch: copied, state: batchChart.Initial, origin: from, opened: now, copyMessageAt: now, retryPause: r.cfg.Retry}
		r.batches[copied.Name] = b
		r.heldOutcomes += len(copied.Outcomes)
	}
	r.emit(Send{To: from, Message: &CopyAck{Name: copied.Name}})
}

// dropCopy removes a copy whose original is stored. Only the holder of the
// original can have it removed.
func (r *Recorder) dropCopy(from host.Session, name string) {
	if b := r.batches[name]; b != nil && b.origin == from {
		r.forget(b)
	}
}
