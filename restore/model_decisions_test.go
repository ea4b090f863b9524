package restore_test

import (
	"github.com/rhubarbring/rhubarbring/restore"
)

// assign returns the write that makes a session the owner of a slice, and whether
// the daemon may make it at all.
func (m *model) assign(d *daemon, s int, to sessionID) (write, bool) {
	e := d.slices[s]
	replaced := restore.Version{Era: restore.Era(d.era), Revision: uint64(e.rev)}
	next, ok := restore.Next(e.epoch.full(), replaced)
	if m.off.countEpochs {
		known := max(e.epoch, d.held[s].epoch)
		next, _ = restore.NewEpoch(replaced.Era, known.full().Counter()+1)
	}
	if !ok || !replaced.Conditions(restore.Era(d.era)) {
		return write{}, false
	}
	return write{index: uint8(s), ifRev: e.rev, era: d.era, entry: entry{epoch: compactEpoch(next), owner: to}}, true
}

// mayMove reports whether a daemon may name another session the owner of its slice.
func (m *model) mayMove(d *daemon, i, s int) bool {
	e, h := d.slices[s], d.held[s]
	holds := h.ttl > 0 && h.life == d.life && h.epoch == e.epoch
	return e.owner == sessionOf(i, d.life) && m.inForce(e, d) && (holds || d.released[s] == e.epoch)
}

// mayConfirm reports whether a daemon holds a slice whose entry is of an earlier
// era, and may write it again.
func (m *model) mayConfirm(d *daemon, s int) bool {
	h := d.held[s]
	return d.slices[s].rev != 0 && !m.inForce(d.slices[s], d) && h.ttl > 0 && h.life == d.life && d.lease > 0
}

// mayTake reports whether a daemon may take over a slice.
func (m *model) mayTake(d *daemon, s int) bool {
	e := d.slices[s]
	if e.rev == 0 || d.lease == 0 {
		return false
	}
	if !m.inForce(e, d) {
		return d.sliceAge[s] >= holdTicks || m.off.shortWait && d.sliceAge[s] >= holdTicks-1 || m.off.noWait
	}
	r := d.sessions[e.owner.host()]
	if r.era != d.era && !m.off.trustLost {
		return false
	}
	return r.rev != 0 && (r.life > e.owner.life() || r.lost && r.life == e.owner.life())
}

// mayDeclareLost reports whether a daemon has seen a session unchanged for long
// enough.
func (m *model) mayDeclareLost(d *daemon, j int) bool {
	r := d.sessions[j]
	return d.lease > 0 && r.rev != 0 && (!r.lost || r.era != d.era) && d.sessionAge[j] >= holdTicks
}
