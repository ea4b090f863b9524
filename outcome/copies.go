package outcome

import (
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/mono"
)

// sendCopy asks a random daemon of another availability zone to hold a copy of
// the batch. It does nothing if no such daemon is alive. tick calls it again
// when the daemon does not confirm within Config.KeptWithin.
func (k *Recorder) sendCopy(now mono.Time, b *batch) {
	b.copyMessageAt = now
	if len(k.otherZones) == 0 {
		return
	}
	b.copyHolder = k.otherZones[k.rand.IntN(len(k.otherZones))]
	b.copyKept = false
	k.emit(Send{To: b.copyHolder, Message: &Copy{Batch: b.Batch}})
}

// dropSaved removes a saved batch from memory, and has the holder of its copy
// do the same.
func (k *Recorder) dropSaved(b *batch) {
	if !b.copyHolder.IsZero() {
		k.emit(Send{To: b.copyHolder, Message: &BatchesStored{Names: []string{b.Name}}})
	}
	k.forget(b)
}

// setPeers replaces the live daemons. Batches whose copy was lost are copied
// again. Copies whose original was lost become this daemon's to save.
func (k *Recorder) setPeers(now mono.Time, ev Peers) {
	k.otherZones = append(k.otherZones[:0], ev.OtherZones...)
	k.living = make(map[host.Session]bool, len(ev.Living))
	for _, s := range ev.Living {
		k.living[s] = true
	}
	for _, name := range k.batchNames() {
		b := k.batches[name]
		if k.isOwn(b) {
			k.checkCopy(now, b)
			continue
		}
		if !k.living[b.origin] {
			k.inherit(now, b)
		}
	}
}

// checkCopy copies a closed batch again if the holder of its copy is not alive.
func (k *Recorder) checkCopy(now mono.Time, b *batch) {
	if b.state != stateOpen && !k.living[b.copyHolder] {
		k.sendCopy(now, b)
	}
}

// inherit makes this daemon the one that saves the batch. The batch keeps its
// name, so a write that the lost daemon had in flight can't store it twice.
func (k *Recorder) inherit(now mono.Time, b *batch) {
	k.emit(Inherited{Name: b.Name, Count: len(b.Outcomes), From: b.origin})
	b.origin = k.cfg.Self
	b.retryPause = k.cfg.Retry
	k.transition(now, b, "close")
}

func (k *Recorder) receive(now mono.Time, ev Received) {
	switch m := ev.Message.(type) {
	case *Copy:
		k.keepCopy(now, ev.From, m.Batch)
	case *CopyAck:
		k.handleKept(ev.From, m.Name)
	case *BatchesStored:
		for _, name := range m.Names {
			k.dropCopy(ev.From, name)
		}
	}
}

// handleKept records that the copy is held. If the batch is no longer in
// memory, because it is stored, the holder is told to drop its copy.
func (k *Recorder) handleKept(from host.Session, name string) {
	b := k.batches[name]
	if b == nil {
		k.emit(Send{To: from, Message: &BatchesStored{Names: []string{name}}})
		return
	}
	if b.copyHolder == from {
		b.copyKept = true
	}
}

// askIfNeeded sends another Kept to the holder of the original if the last one
// is older than Config.Remind, because a Dropped may have been lost. The answer
// is a Dropped if the batch has been saved.
func (k *Recorder) askIfNeeded(now mono.Time, b *batch) {
	if now.Sub(b.copyMessageAt) < k.cfg.CopyCheckInterval {
		return
	}
	b.copyMessageAt = now
	k.emit(Send{To: b.origin, Message: &CopyAck{Name: b.Name}})
}

// keepCopy stores a copy in memory and confirms it. If the memory is full it
// does not answer, and the sender asks another daemon.
func (k *Recorder) keepCopy(now mono.Time, from host.Session, copied Batch) {
	if k.batches[copied.Name] == nil {
		if k.heldOutcomes+len(copied.Outcomes) > k.cfg.MaxOutcomes {
			return
		}
		b := &batch{Batch: copied, state: batchChart.Initial, origin: from, opened: now, copyMessageAt: now, retryPause: k.cfg.Retry}
		k.batches[copied.Name] = b
		k.heldOutcomes += len(copied.Outcomes)
	}
	k.emit(Send{To: from, Message: &CopyAck{Name: copied.Name}})
}

// dropCopy removes a copy whose original is stored. Only the holder of the
// original can have it removed.
func (k *Recorder) dropCopy(from host.Session, name string) {
	if b := k.batches[name]; b != nil && b.origin == from {
		k.forget(b)
	}
}
