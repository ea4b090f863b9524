package assignment

import (
	"slices"
	"sort"

	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/key"
)

// entry is the assignment of one slice in 16 bytes. The fields owner and next are
// indexes of the pack's session table, where 0 is nobody.
type entry struct {
	owner uint16
	next  uint16
	epoch uint64
}

type carveOut struct {
	key string
	id  key.SliceID
	entry
}

// Pack holds the assignments of a range of consecutive slices of one app.
// Concurrent reads are safe; while a pack is changed, nothing else may use it.
type Pack struct {
	// Token is unique to the write that stored the pack, so that a writer that
	// lost the store's answer can tell whether its write took effect.
	Token string
	App   key.App
	// First is the first slice, a multiple of PackSlices.
	First key.SliceID
	// Total is the number of regular slices of the app. It never changes while
	// the app exists, since it decides which slice a key belongs to.
	Total uint32

	epochFloor uint64 // Highest epoch of any merged carve-out.
	sessions   []host.Session
	index      map[host.Session]uint16
	entries    []entry
	carveOuts  []carveOut // In ascending order of id.
}

// NewPack returns the pack that begins at slice first of an app with total
// slices. No slice has an owner. The argument first must be a multiple of
// PackSlices below total.
func NewPack(app key.App, total uint32, first key.SliceID) *Pack {
	count := min(PackSlices, total-uint32(first))
	return &Pack{
		App: app, First: first, Total: total,
		sessions: []host.Session{host.NoSession}, entries: make([]entry, count),
	}
}

// Len returns the number of regular slices.
func (p *Pack) Len() int {
	return len(p.entries)
}

// Clone returns a deep copy.
func (p *Pack) Clone() *Pack {
	q := *p
	q.index = nil
	q.sessions = append([]host.Session(nil), p.sessions...)
	q.entries = append([]entry(nil), p.entries...)
	q.carveOuts = append([]carveOut(nil), p.carveOuts...)
	return &q
}

// At returns the assignment of a regular or carved-out slice, and whether the
// pack contains it.
func (p *Pack) At(id key.SliceID) (Ownership, bool) {
	e := p.find(id)
	if e == nil {
		return Ownership{}, false
	}
	return p.toSlice(*e), true
}

// Set changes the assignment of a slice. It returns false, and changes nothing,
// if the pack does not contain the slice.
func (p *Pack) Set(id key.SliceID, s Ownership) bool {
	e := p.find(id)
	if e == nil {
		return false
	}
	*e = p.toEntry(s)
	return true
}

// CarveOuts returns the carve-outs in ascending order of ID.
func (p *Pack) CarveOuts() []CarveOut {
	out := make([]CarveOut, len(p.carveOuts))
	for i, c := range p.carveOuts {
		out[i] = CarveOut{Key: c.key, ID: c.id, Ownership: p.toSlice(c.entry)}
	}
	return out
}

// Parent returns the regular slice that a key belongs to if it is not carved out,
// and whether the pack contains that slice.
func (p *Pack) Parent(k string) (key.SliceID, bool) {
	id := key.SliceOf(p.App, k, p.Total).ID
	return id, PackFirstSlice(id) == p.First
}

// AddCarveOut makes a key of one of the pack's slices a slice of its own. Its
// first owner is the owner of that parent slice, so that the key's owner is the
// same in the versions before and after. Its first epoch is above that of every
// carve-out that the pack ever merged, so that IDs can be reused. It returns
// false if the key is longer than MaxKeyBytes, belongs to another pack or is
// carved out already, if the parent has no owner, or if no ID or epoch is left.
func (p *Pack) AddCarveOut(k string) (key.SliceID, bool) {
	parent, ok := p.Parent(k)
	if !ok || len(k) > MaxKeyBytes || p.epochFloor == MaxEpoch {
		return 0, false
	}
	e := p.find(parent)
	if e.owner == 0 {
		return 0, false
	}
	if p.hasCarveOut(k) {
		return 0, false
	}
	n := p.firstFreeIndex()
	if n >= MaxCarveOuts {
		return 0, false
	}
	id := carveOutID(p.First, n)
	p.insertCarveOut(carveOut{key: k, id: id, entry: entry{owner: e.owner, epoch: p.epochFloor + 1}})
	return id, true
}

func (p *Pack) insertCarveOut(c carveOut) {
	p.carveOuts = append(p.carveOuts, c)
	sort.Slice(p.carveOuts, func(i, j int) bool { return p.carveOuts[i].id < p.carveOuts[j].id })
}

// firstFreeIndex returns the index of the first free carve-out ID.
func (p *Pack) firstFreeIndex() int {
	for i, c := range p.carveOuts {
		if c.id != carveOutID(p.First, i) {
			return i
		}
	}
	return len(p.carveOuts)
}

func (p *Pack) carveOutKey(id key.SliceID) (string, bool) {
	for _, c := range p.carveOuts {
		if c.id == id {
			return c.key, true
		}
	}
	return "", false
}

func (p *Pack) hasCarveOut(k string) bool {
	for _, c := range p.carveOuts {
		if c.key == k {
			return true
		}
	}
	return false
}

// MergeCarveOut returns a carved-out key to its parent slice. Both must have
// the same owner and no handover in progress. The parent's epoch is raised by
// one under the same owner, so that an earlier release of the parent, made
// without knowledge of the merge, does not cover the key. It returns false if
// the merge is not allowed or there is no such carve-out.
func (p *Pack) MergeCarveOut(id key.SliceID) bool {
	k, ok := p.carveOutKey(id)
	if !ok {
		return false
	}
	parent, _ := p.Parent(k)
	c, e := p.find(id), p.find(parent)
	if c.owner == 0 || e.epoch == MaxEpoch {
		return false
	}
	if c.owner != e.owner || c.next != 0 || e.next != 0 {
		return false
	}
	e.epoch++
	p.epochFloor = max(p.epochFloor, c.epoch)
	p.removeCarveOut(id)
	return true
}

func (p *Pack) removeCarveOut(id key.SliceID) {
	for i, c := range p.carveOuts {
		if c.id == id {
			p.carveOuts = slices.Delete(p.carveOuts, i, i+1)
			return
		}
	}
}

func (p *Pack) find(id key.SliceID) *entry {
	if id < key.CarveOutBase {
		i := int64(id) - int64(p.First)
		if i < 0 || i >= int64(len(p.entries)) {
			return nil
		}
		return &p.entries[i]
	}
	for i := range p.carveOuts {
		if p.carveOuts[i].id == id {
			return &p.carveOuts[i].entry
		}
	}
	return nil
}

func (p *Pack) toSlice(e entry) Ownership {
	return Ownership{Owner: p.sessions[e.owner], Epoch: e.epoch, Next: p.sessions[e.next]}
}

// toEntry converts an assignment to an entry of the pack. It compacts the session
// table first if that has grown beyond maxSessions.
func (p *Pack) toEntry(s Ownership) entry {
	if len(p.sessions) > maxSessions {
		p.compactSessions()
	}
	return entry{owner: p.intern(s.Owner), next: p.intern(s.Next), epoch: s.Epoch}
}

// intern returns the session's index in the table, and adds the session if
// needed. The table cannot overflow: a pack names at most two sessions for each
// of its slices and carve-outs, and toEntry removes unused sessions when the
// table grows beyond maxSessions.
func (p *Pack) intern(s host.Session) uint16 {
	if s.IsZero() {
		return 0
	}
	if p.index == nil {
		p.index = make(map[host.Session]uint16, len(p.sessions))
		for i, known := range p.sessions {
			p.index[known] = uint16(i)
		}
	}
	if i, ok := p.index[s]; ok {
		return i
	}
	i := uint16(len(p.sessions))
	p.sessions = append(p.sessions, s)
	p.index[s] = i
	return i
}

// maxSessions is the table size above which toEntry compacts the table. A full
// pack names at most half as many sessions.
const maxSessions = 4 * (PackSlices + MaxCarveOuts)

// compactSessions rebuilds the session table from the sessions that are still
// named, in the order of their first use, so that equal packs encode to equal
// bytes.
func (p *Pack) compactSessions() {
	old := p.sessions
	indexes := make([]uint16, len(old))
	p.sessions = append(make([]host.Session, 0, len(old)), host.NoSession)
	p.index = nil
	index := func(i uint16) uint16 {
		if i != 0 && indexes[i] == 0 {
			indexes[i] = uint16(len(p.sessions))
			p.sessions = append(p.sessions, old[i])
		}
		return indexes[i]
	}
	for i := range p.entries {
		e := &p.entries[i]
		e.owner, e.next = index(e.owner), index(e.next)
	}
	for i := range p.carveOuts {
		e := &p.carveOuts[i].entry
		e.owner, e.next = index(e.owner), index(e.next)
	}
}

// SessionTable returns the session table, which may contain unused sessions.
// Index 0 is nobody. The result must not be modified.
func (p *Pack) SessionTable() []host.Session {
	return p.sessions
}

// EntryIndexes returns the indexes in SessionTable of the owner and the next
// owner of the i-th regular slice, and its epoch. It is cheaper than At, for
// loops over many packs.
func (p *Pack) EntryIndexes(i int) (owner, next int, epoch uint64) {
	e := p.entries[i]
	return int(e.owner), int(e.next), e.epoch
}

// DropIndex frees the look-up index that only changes of the pack need. It writes
// nothing to a pack that was decoded and not changed, which may be in use by
// concurrent readers.
func (p *Pack) DropIndex() {
	if p.index != nil {
		p.index = nil
	}
}

// Handovers returns the number of slices and carve-outs that have a next owner.
func (p *Pack) Handovers() int {
	n := 0
	for _, e := range p.entries {
		if e.next != 0 {
			n++
		}
	}
	for _, c := range p.carveOuts {
		if c.next != 0 {
			n++
		}
	}
	return n
}
