package restore_test

import (
	"fmt"

	"github.com/rhubarbring/rhubarbring/restore"
)

// The model is a small fleet whose sessions keep their leases in the store, as
// fleets of fewer than four hosts do. Calls to the store are atomic steps, but a
// write may also land later, or never, without an answer. A daemon knows of the
// store only what its latest call showed. Clocks don't drift, so a wait may be as
// long as a hold.
const (
	hosts     = 3
	maxSlices = 4
	// holdTicks is how long a hold lasts after the answer that prolonged it.
	holdTicks = 2
	// givenLen is how many holders of a slice are remembered to find an epoch
	// that is given twice.
	givenLen = 4
	maxLife  = 255
)

// sessionID is a host's index and the number of its life; 0 is nobody.
type sessionID uint16

func sessionOf(host int, life uint8) sessionID { return sessionID(life)*4 + sessionID(host) + 1 }

func (s sessionID) host() int   { return int(s-1) % 4 }
func (s sessionID) life() uint8 { return uint8((s - 1) / 4) }

// epoch is a restore.Epoch in four bytes.
type epoch uint32

func (e epoch) era() uint8 { return uint8(e >> 24) }

func (e epoch) full() restore.Epoch {
	full, _ := restore.NewEpoch(restore.Era(e.era()), uint64(e&0xffffff))
	return full
}

func compactEpoch(e restore.Epoch) epoch {
	return epoch(e.Era())<<24 | epoch(e.Counter())
}

// entry is the ownership of a slice as stored.
type entry struct {
	epoch epoch
	rev   uint16
	owner sessionID
}

// record is a session's record as stored, with the era that its writer had seen.
type record struct {
	rev       uint16
	era, life uint8
	lost      bool
}

// contents is what a copy of the store contains.
type contents struct {
	rev      uint16
	doc      uint8
	sessions [hosts]record
	slices   [maxSlices]entry
}

// hold is what a target holds: it runs out with ttl, but its epoch stays as the
// highest one that the target has seen.
type hold struct {
	epoch     epoch
	ttl, life uint8
}

// daemon is a daemon and the target beside it. Only held outlasts a restart.
type daemon struct {
	era, life, lease, wait, doc uint8
	own                         record // The session's record as last written.
	sessions                    [hosts]record
	sessionAge                  [hosts]uint8
	slices                      [maxSlices]entry
	sliceAge                    [maxSlices]uint8
	released                    [maxSlices]epoch
	held                        [maxSlices]hold
}

// write is a conditional write of a slice's entry or of a session's loss.
type write struct {
	sent    bool
	session bool
	index   uint8
	ifRev   uint16
	era     uint8 // The era in which the condition was read.
	life    uint8
	entry   entry
}

// given is an epoch of a slice and its first holder.
type given struct {
	epoch  epoch
	holder sessionID
}

// world is a state of the model. It is comparable.
type world struct {
	era                        uint8
	copies, restores, restarts uint8
	operatorDoc                uint8
	store, copied              contents
	daemons                    [hosts]daemon
	late                       write
	given                      [maxSlices][givenLen]given
}

// rules are switches that turn off a rule each.
type rules struct {
	keepViews      bool // Versions seen in an earlier era stay in use.
	trustRestored  bool // An entry of an earlier era counts for its owner.
	prolongOld     bool // A hold of an earlier era is prolonged without a confirmation.
	noWait         bool // An entry of an earlier era may be reassigned at once.
	waitFromRise   bool // That wait counts from the rise, not from the entry's version.
	shortWait      bool // That wait is shorter than a hold.
	noStartWait    bool // A daemon that starts takes part at once.
	countEpochs    bool // Epochs count up from the entry's, in every era.
	prolongUnshown bool // A hold is prolonged by the session's lease alone.
	trustLost      bool // A loss recorded in an earlier era counts.
	anyRecord      bool // A session goes on with any record but a loss of this era.
	trustAnswer    bool // An answer of a later era counts as done.
	takeStoredDoc  bool // The stored document is put in force whatever its version.
}

// model is a fleet with its bounds.
type model struct {
	off    rules
	slices int
	// objectRevisions numbers the revisions of each object on its own. Writes of
	// different objects then commute, which makes the search deeper; a revision is
	// given out again to the same number of writes after the copy.
	objectRevisions bool
	maxRestores     uint8
	maxRestarts     uint8
	documents       bool
	seen            counts
}

// counts tells how often a run came to what the rules are about.
type counts struct {
	restores   int
	stale      int // Writes of an earlier era whose condition held.
	overwrote  int // Those of them that replaced an entry in force.
	confirmed  int
	reassigned int // Entries of an earlier era given to another owner.
	refused    int // Grants refused because the target had seen a higher epoch.
}

func (c *counts) add(d counts) {
	c.restores += d.restores
	c.stale += d.stale
	c.overwrote += d.overwrote
	c.confirmed += d.confirmed
	c.reassigned += d.reassigned
	c.refused += d.refused
}

func (m *model) start() world {
	var w world
	for i := range hosts {
		w.store.rev++
		w.store.sessions[i] = record{rev: w.store.rev}
	}
	for s := range m.slices {
		w.store.rev++
		w.store.slices[s] = entry{epoch: 1, rev: w.store.rev, owner: sessionOf(s%hosts, 0)}
	}
	w.copied = w.store
	for i := range hosts {
		m.sync(&w, i)
	}
	m.remember(&w)
	return w
}

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
