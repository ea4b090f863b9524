package restore_test

import (
	"fmt"
)

// forget drops what can't matter any more, so that more states are equal: the
// copy after the last restore, and a late write whose revision won't come back.
func (m *model) forget(w *world) {
	if w.restores < m.maxRestores {
		return
	}
	w.copied, w.copies = contents{}, 0
	if w.late.sent && m.revisionOf(w, w.late) > w.late.ifRev {
		w.late = write{}
	}
}

// remember notes new holders of epochs and returns what is wrong with the state:
// two holders of a slice, or an epoch that was given twice.
func (m *model) remember(w *world) string {
	for i := range w.daemons {
		if w.daemons[i].life == maxLife {
			return "a host has more lives than the model can number"
		}
	}
	for s := range m.slices {
		holders := 0
		for i := range w.daemons {
			h := w.daemons[i].held[s]
			if h.ttl == 0 {
				continue
			}
			if holders++; holders > 1 {
				return fmt.Sprintf("slice %d has two holders", s)
			}
			if !remembered(&w.given[s], given{h.epoch, sessionOf(i, h.life)}) {
				return fmt.Sprintf("epoch %v of slice %d is given twice", h.epoch.full(), s)
			}
		}
	}
	return ""
}

// remembered adds an epoch and its holder, and returns false if another holder
// had the epoch.
func remembered(list *[givenLen]given, g given) bool {
	for _, old := range list {
		if old.epoch == g.epoch {
			return old.holder == g.holder
		}
	}
	copy(list[1:], list[:givenLen-1])
	list[0] = g
	return true
}
