package restore_test

import (
	"github.com/rhubarbring/rhubarbring/restore"
)

func (m *model) inForce(e entry, d *daemon) bool {
	return m.off.trustRestored || e.epoch.full().InForce(restore.Era(d.era))
}

// noticeEra handles the era of an answer: after a rise, no version that was seen
// before is used any more.
func (m *model) noticeEra(w *world, d *daemon) {
	if w.era <= d.era {
		return
	}
	d.era = w.era
	if m.off.keepViews {
		return
	}
	d.sessions, d.sessionAge = [hosts]record{}, [hosts]uint8{}
	d.slices, d.sliceAge = [maxSlices]entry{}, [maxSlices]uint8{}
}

// sync lets a daemon read the store and renew its session and its target's holds.
func (m *model) sync(w *world, i int) {
	d := &w.daemons[i]
	m.noticeEra(w, d)
	for j, r := range w.store.sessions {
		if r != d.sessions[j] {
			d.sessions[j], d.sessionAge[j] = r, 0
		}
	}
	renewed := m.renew(w, i)
	for s := range m.slices {
		m.readEntry(w, i, s, renewed)
	}
	if w.store.doc > d.doc || m.off.takeStoredDoc {
		d.doc = w.store.doc
	}
}

// renew writes the daemon's own record, or begins another life if its session is
// over. It reports whether the session holds a lease.
func (m *model) renew(w *world, i int) bool {
	d, r := &w.daemons[i], &w.store.sessions[i]
	if d.wait > 0 {
		return false
	}
	if !m.goesOn(d, r) {
		m.newLife(d)
		return false
	}
	if d.lease == holdTicks && *r == d.own && r.era == d.era {
		return true // Renewed in this tick already.
	}
	*r = record{rev: m.nextRevision(w, r.rev), era: d.era, life: d.life}
	d.own, d.lease = *r, holdTicks
	d.sessions[i] = *r
	return true
}

// goesOn reports whether a session may go on with the record that was read: with
// its own last one, or after a rise, while its lease still runs, with any. Another
// record may hide a loss that was recorded in this era.
func (m *model) goesOn(d *daemon, r *record) bool {
	switch lost := r.lost && r.life == d.life; {
	case m.off.trustLost && lost:
		return false
	case m.off.anyRecord:
		return !lost || r.era < d.era
	case d.own.rev == 0:
		return true
	case d.own.era < d.era:
		return d.lease > 0
	}
	return *r == d.own
}

// newLife begins the next session of a host with an empty memory. Its target
// keeps what it holds.
func (m *model) newLife(d *daemon) {
	*d = daemon{life: d.life + 1, wait: holdTicks, held: d.held}
	if m.off.noStartWait {
		d.wait = 0
	}
}

// readEntry handles a slice's entry as read.
func (m *model) readEntry(w *world, i, s int, renewed bool) {
	d := &w.daemons[i]
	e := w.store.slices[s]
	if e != d.slices[s] {
		if !m.off.waitFromRise || d.slices[s].rev == 0 {
			d.sliceAge[s] = 0
		}
		d.slices[s] = e
	}
	if renewed {
		m.updateHold(d, s, sessionOf(i, d.life))
	}
}

// updateHold prolongs or ends what the target holds of a slice. Only an entry
// that is in force and names the daemon's session prolongs it.
func (m *model) updateHold(d *daemon, s int, self sessionID) {
	e, h := d.slices[s], &d.held[s]
	own := h.ttl > 0 && h.life == d.life
	switch {
	case m.inForce(e, d) && e.owner == self:
		if d.released[s] != e.epoch {
			m.grant(d, s, e.epoch, holdTicks)
		}
	case m.inForce(e, d):
		if own {
			h.ttl, h.life = 0, 0
		}
	case own && m.prolongsUnshown(d, h):
		h.ttl = holdTicks
	}
}

// prolongsUnshown reports whether a dropped rule lets a daemon prolong a hold whose
// entry is not in force.
func (m *model) prolongsUnshown(d *daemon, h *hold) bool {
	if h.epoch.era() < d.era {
		return m.off.prolongOld
	}
	return m.off.prolongUnshown
}

// grant makes the daemon's target hold a slice, unless the target has seen a
// higher epoch.
func (m *model) grant(d *daemon, s int, e epoch, ttl uint8) {
	h := &d.held[s]
	if e < h.epoch {
		m.seen.refused++
		return
	}
	*h = hold{epoch: e, ttl: max(ttl, h.ttl), life: d.life}
}

// runDown lets a tick of a hold pass.
func (m *model) runDown(h *hold) {
	h.ttl -= min(h.ttl, 1)
	if h.ttl == 0 {
		h.life = 0
	}
}
