package restore_test

import (
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
	prolongOld     bool // A hold of an earlier era is prolonged by an answer that does not show its entry in force.
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
