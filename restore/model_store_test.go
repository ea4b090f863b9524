package restore_test

import (
	"github.com/rhubarbring/rhubarbring/restore"
)

// nextRevision returns the revision for a write of an object.
func (m *model) nextRevision(w *world, current uint16) uint16 {
	if m.objectRevisions {
		return current + 1
	}
	w.store.rev++
	return w.store.rev
}

func (m *model) tick(w *world) {
	for i := range w.daemons {
		d := &w.daemons[i]
		d.lease -= min(d.lease, 1)
		d.wait -= min(d.wait, 1)
		for j, r := range d.sessions {
			if j != i && r.rev != 0 {
				d.sessionAge[j] = min(d.sessionAge[j]+1, holdTicks)
			}
		}
		for s := range m.slices {
			if d.slices[s].rev != 0 && (m.off.waitFromRise || !m.inForce(d.slices[s], d)) {
				d.sliceAge[s] = min(d.sliceAge[s]+1, holdTicks)
			}
			m.runDown(&d.held[s])
		}
	}
}

// revisionOf returns the revision of the object that a write is to change.
func (m *model) revisionOf(w *world, x write) uint16 {
	if x.session {
		return w.store.sessions[x.index].rev
	}
	return w.store.slices[x.index].rev
}

// carryOut lets a write land. It reports whether its condition held.
func (m *model) carryOut(w *world, x write) bool {
	current := m.revisionOf(w, x)
	if current != x.ifRev {
		return false
	}
	if x.era < w.era {
		m.seen.stale++
	}
	if !x.session && x.era < w.era && w.store.slices[x.index].epoch.era() == w.era {
		m.seen.overwrote++
	}
	next := m.nextRevision(w, current)
	if x.session {
		w.store.sessions[x.index] = record{rev: next, era: x.era, life: x.life, lost: true}
		return true
	}
	x.entry.rev = next
	w.store.slices[x.index] = x.entry
	return true
}

// send sends a daemon's write. A late write has no answer.
func (m *model) send(w *world, i int, x write, late bool) {
	x.sent = true
	if late {
		w.late = x
		return
	}
	applied := m.carryOut(w, x)
	d := &w.daemons[i]
	m.noticeEra(w, d)
	version := restore.Version{Era: restore.Era(x.era), Revision: uint64(x.ifRev)}
	if !applied || !version.Applied(restore.Era(w.era)) && !m.off.trustAnswer {
		return
	}
	if x.session {
		d.sessions[x.index], d.sessionAge[x.index] = w.store.sessions[x.index], 0
		return
	}
	e := w.store.slices[x.index]
	d.slices[x.index], d.sliceAge[x.index] = e, 0
	if e.owner == sessionOf(i, d.life) && d.lease > 0 {
		m.grant(d, int(x.index), e.epoch, d.lease)
	}
}
