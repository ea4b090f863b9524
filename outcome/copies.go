package outcome

import (
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/mono"
)

// copy asks a daemon of another availability zone to keep the batch. One that
// doesn't answer in time is followed by another.
func (k *Keeper) copy(now mono.Time, b *batch) {
	b.copyAt = now
	if len(k.elsewhere) == 0 {
		return
	}
	b.copyTo = k.elsewhere[k.rand.IntN(len(k.elsewhere))]
	b.kept = false
	k.do(Send{To: b.copyTo, Message: &Copy{Batch: b.Batch}})
}

// drop forgets a saved batch, here and where it was copied to.
func (k *Keeper) drop(b *batch) {
	if !b.copyTo.IsNobody() {
		k.do(Send{To: b.copyTo, Message: &Dropped{Names: []string{b.Name}}})
	}
	k.forget(b)
}

// peers takes the living daemons. Batches whose copy was lost are copied
// again; copies whose original was lost are saved from here.
func (k *Keeper) peers(now mono.Time, ev Peers) {
	k.elsewhere = append(k.elsewhere[:0], ev.Elsewhere...)
	k.living = make(map[host.Session]bool, len(ev.Living))
	for _, s := range ev.Living {
		k.living[s] = true
	}
	for _, name := range k.names() {
		b := k.batches[name]
		if k.mine(b) {
			k.checkCopy(now, b)
			continue
		}
		if !k.living[b.from] {
			k.inherit(now, b)
		}
	}
}

func (k *Keeper) checkCopy(now mono.Time, b *batch) {
	if b.state != stateOpen && !k.living[b.copyTo] {
		k.copy(now, b)
	}
}

// inherit makes this daemon the one that saves the batch. The name is still
// the lost daemon's, so a write that it had in flight does no harm.
func (k *Keeper) inherit(now mono.Time, b *batch) {
	k.do(Inherited{Name: b.Name, Count: len(b.Outcomes), From: b.from})
	b.from = k.cfg.Self
	b.pause = k.cfg.Retry
	k.follow(now, b, "close")
}

func (k *Keeper) receive(now mono.Time, ev Received) {
	switch m := ev.Message.(type) {
	case *Copy:
		k.take(now, ev.From, m.Batch)
	case *Kept:
		k.heardKept(ev.From, m.Name)
	case *Dropped:
		for _, name := range m.Names {
			k.release(ev.From, name)
		}
	}
}

// heardKept notes who keeps a copy. Whoever keeps one of a batch that is no
// longer held, since it stands in the store, is told to drop it.
func (k *Keeper) heardKept(from host.Session, name string) {
	b := k.batches[name]
	if b == nil {
		k.do(Send{To: from, Message: &Dropped{Names: []string{name}}})
		return
	}
	if b.copyTo == from {
		b.kept = true
	}
}

// remind tells the holder of the original that the copy is still kept: a
// Dropped may have been lost.
func (k *Keeper) remind(now mono.Time, b *batch) {
	if now.Sub(b.copyAt) < k.cfg.Remind {
		return
	}
	b.copyAt = now
	k.do(Send{To: b.from, Message: &Kept{Name: b.Name}})
}

// take keeps a copy, unless the memory is full: then another daemon is asked.
func (k *Keeper) take(now mono.Time, from host.Session, copied Batch) {
	if k.batches[copied.Name] == nil {
		if k.held+len(copied.Outcomes) > k.cfg.MaxOutcomes {
			return
		}
		b := &batch{Batch: copied, state: batchChart.Initial, from: from, opened: now, copyAt: now, pause: k.cfg.Retry}
		k.batches[copied.Name] = b
		k.held += len(copied.Outcomes)
	}
	k.do(Send{To: from, Message: &Kept{Name: copied.Name}})
}

// release drops a copy once its original stands in the store.
func (k *Keeper) release(from host.Session, name string) {
	if b := k.batches[name]; b != nil && b.from == from {
		k.forget(b)
	}
}
