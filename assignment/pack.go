package assignment

import (
	"slices"
	"sort"

	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/key"
)

// entry is the assignment of one slice in 8 bytes: owner and next are places
// in the pack's table of sessions, where 0 is nobody.
type entry struct {
	owner uint16
	next  uint16
	epoch uint32
}

type carveOut struct {
	key string
	id  key.SliceID
	entry
}

// Pack is the assignment of a run of slices of one app. Reads may be shared;
// a pack that is being changed belongs to one user.
type Pack struct {
	// Token is unique to the write that stored the pack, so that a writer
	// whose answer was lost can tell whether its write landed.
	Token string
	// App is the app.
	App key.App
	// First is the first slice, a multiple of PackSlices.
	First key.SliceID
	// Total is the number of regular slices of the app. It never changes
	// while the app lives, since it decides which slice a key belongs to.
	Total uint32

	floor    uint32 // Highest epoch of a carve-out that was merged back.
	sessions []host.Session
	index    map[host.Session]uint16
	entries  []entry
	carved   []carveOut // In ascending order of id.
}

// NewPack returns the pack that begins at slice first of an app of total
// slices, owned by nobody. First is a multiple of PackSlices below total.
func NewPack(app key.App, total uint32, first key.SliceID) *Pack {
	count := min(PackSlices, total-uint32(first))
	return &Pack{
		App: app, First: first, Total: total,
		sessions: []host.Session{host.Nobody}, entries: make([]entry, count),
	}
}

// Len returns the number of regular slices.
func (p *Pack) Len() int {
	return len(p.entries)
}

// Clone returns an independent copy.
func (p *Pack) Clone() *Pack {
	q := *p
	q.index = nil
	q.sessions = append([]host.Session(nil), p.sessions...)
	q.entries = append([]entry(nil), p.entries...)
	q.carved = append([]carveOut(nil), p.carved...)
	return &q
}

// At returns the assignment of a slice of the pack, regular or carved out,
// and whether the pack holds it.
func (p *Pack) At(id key.SliceID) (Slice, bool) {
	e := p.find(id)
	if e == nil {
		return Slice{}, false
	}
	return p.open(*e), true
}

// Set changes the assignment of a slice of the pack and reports whether the
// pack holds it. The epoch must not exceed MaxEpoch.
func (p *Pack) Set(id key.SliceID, s Slice) bool {
	e := p.find(id)
	if e == nil || s.Epoch > MaxEpoch {
		return false
	}
	*e = p.pack(s)
	return true
}

// CarveOuts returns the carved-out keys in ascending order of ID.
func (p *Pack) CarveOuts() []CarveOut {
	out := make([]CarveOut, len(p.carved))
	for i, c := range p.carved {
		out[i] = CarveOut{Key: c.key, ID: c.id, Assigned: p.open(c.entry)}
	}
	return out
}

// Parent returns the regular slice that a key belongs to when it is not carved
// out, and whether that slice is in the pack.
func (p *Pack) Parent(k string) (key.SliceID, bool) {
	id := key.SliceOf(p.App, k, p.Total).ID
	return id, FirstOf(id) == p.First
}

// CarveOut makes a key of one of the pack's slices a slice of its own. It
// begins with the owner of that parent slice, who therefore serves the key by
// either view. Its first epoch is above that of every carve-out that the pack
// ever merged, so that IDs can be used again. It returns false if the pack is
// full of carve-outs, the key is carved out already, the key belongs to
// another pack, or the parent has no owner.
func (p *Pack) CarveOut(k string) (key.SliceID, bool) {
	parent, ok := p.Parent(k)
	if !ok || len(k) > MaxKeyBytes || p.floor == MaxEpoch {
		return 0, false
	}
	e := p.find(parent)
	if e.owner == 0 {
		return 0, false
	}
	if p.isCarved(k) {
		return 0, false
	}
	n := p.firstGap()
	if n >= MaxCarveOuts {
		return 0, false
	}
	id := carveOutID(p.First, n)
	p.insertCarved(carveOut{key: k, id: id, entry: entry{owner: e.owner, epoch: p.floor + 1}})
	return id, true
}

func (p *Pack) insertCarved(c carveOut) {
	p.carved = append(p.carved, c)
	sort.Slice(p.carved, func(i, j int) bool { return p.carved[i].id < p.carved[j].id })
}

// firstGap returns the number of the first free carve-out ID.
func (p *Pack) firstGap() int {
	for i, c := range p.carved {
		if c.id != carveOutID(p.First, i) {
			return i
		}
	}
	return len(p.carved)
}

func (p *Pack) carvedKey(id key.SliceID) (string, bool) {
	for _, c := range p.carved {
		if c.id == id {
			return c.key, true
		}
	}
	return "", false
}

func (p *Pack) isCarved(k string) bool {
	for _, c := range p.carved {
		if c.key == k {
			return true
		}
	}
	return false
}

// Merge gives a carved-out key back to its parent slice. Both must have the
// same owner and no handover under way. The parent's epoch rises by one with
// the same owner: an earlier release of the parent, made without knowledge of
// the merge, then can't stand for the key. It returns false if the rules don't
// allow the merge.
func (p *Pack) Merge(id key.SliceID) bool {
	k, ok := p.carvedKey(id)
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
	p.floor = max(p.floor, c.epoch)
	p.removeCarved(id)
	return true
}

func (p *Pack) removeCarved(id key.SliceID) {
	for i, c := range p.carved {
		if c.id == id {
			p.carved = slices.Delete(p.carved, i, i+1)
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
	for i := range p.carved {
		if p.carved[i].id == id {
			return &p.carved[i].entry
		}
	}
	return nil
}

func (p *Pack) open(e entry) Slice {
	return Slice{Owner: p.sessions[e.owner], Epoch: uint64(e.epoch), Next: p.sessions[e.next]}
}

func (p *Pack) pack(s Slice) entry {
	if len(p.sessions) > maxTable {
		p.compact()
	}
	return entry{owner: p.intern(s.Owner), next: p.intern(s.Next), epoch: uint32(s.Epoch)}
}

// intern returns the session's place in the table. The table can't overflow:
// a pack names at most two sessions for each of its slices and carve-outs, and
// pack drops those that none names when there are more.
func (p *Pack) intern(s host.Session) uint16 {
	if s.IsNobody() {
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

// maxTable is above the sessions that a full pack can name.
const maxTable = 4 * (PackSlices + MaxCarveOuts)

// compact rebuilds the table of sessions with those that are still named, in
// the order of their first use, so that equal packs encode to equal bytes.
func (p *Pack) compact() {
	old := p.sessions
	places := make([]uint16, len(old))
	p.sessions = append(make([]host.Session, 0, len(old)), host.Nobody)
	p.index = nil
	place := func(i uint16) uint16 {
		if i != 0 && places[i] == 0 {
			places[i] = uint16(len(p.sessions))
			p.sessions = append(p.sessions, old[i])
		}
		return places[i]
	}
	for i := range p.entries {
		e := &p.entries[i]
		e.owner, e.next = place(e.owner), place(e.next)
	}
	for i := range p.carved {
		e := &p.carved[i].entry
		e.owner, e.next = place(e.owner), place(e.next)
	}
}

// Table returns the sessions that the pack may name, by place; place 0 is
// nobody. The caller must not change it.
func (p *Pack) Table() []host.Session {
	return p.sessions
}

// Places returns the places in the table of the owner and the next owner of
// the i-th regular slice, and its epoch. It serves loops over many packs.
func (p *Pack) Places(i int) (owner, next int, epoch uint64) {
	e := p.entries[i]
	return int(e.owner), int(e.next), uint64(e.epoch)
}

// Trim drops what only changes of the pack need. It writes nothing to a pack
// that was decoded and not changed, which others may be reading.
func (p *Pack) Trim() {
	if p.index != nil {
		p.index = nil
	}
}

// Handovers returns the number of slices and carve-outs that have a next
// owner.
func (p *Pack) Handovers() int {
	n := 0
	for _, e := range p.entries {
		if e.next != 0 {
			n++
		}
	}
	for _, c := range p.carved {
		if c.next != 0 {
			n++
		}
	}
	return n
}
