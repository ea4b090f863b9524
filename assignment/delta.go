package assignment

import (
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/key"
)

// Delta is the difference between two versions of a pack. Relays send it to
// daemons that have the base version.
type Delta struct {
	_ struct{} `cbor:",toarray"`
	// App and First identify the pack.
	App   key.App
	First key.SliceID
	// Base is the version that the delta applies to, Version the version that
	// results.
	Base    uint64
	Version uint64
	// Token is the Pack.Token of the new version.
	Token string
	// EpochFloor is the highest epoch of any merged carve-out in the new version.
	EpochFloor uint64
	// Sessions lists the sessions that the changes name; its indexes count from 1.
	Sessions []host.Session
	// Changed lists the slices and carve-outs that are new or different.
	Changed []ChangedSlice
	// Merged lists the carve-outs that no longer exist.
	Merged []key.SliceID
}

// ChangedSlice is one slice or carve-out of a delta.
type ChangedSlice struct {
	_  struct{} `cbor:",toarray"`
	ID key.SliceID
	// Owner and Next are indexes of Delta.Sessions, from 1; 0 is nobody.
	Owner uint16
	Next  uint16
	Epoch uint64
	// Key is the key of a carve-out; empty for a regular slice.
	Key string
}

// Diff returns the delta from one version of a pack to another. Both must have
// the same app, first slice and total.
func Diff(from *Pack, base uint64, to *Pack, version uint64) *Delta {
	d := &Delta{App: to.App, First: to.First, Base: base, Version: version, Token: to.Token, EpochFloor: to.epochFloor}
	b := deltaBuilder{delta: d, pack: to, indexes: map[host.Session]uint16{}}
	for i, e := range to.entries {
		if from.toSlice(from.entries[i]) != to.toSlice(e) {
			b.add(to.First+key.SliceID(i), e, "")
		}
	}
	b.addCarveOuts(from)
	return d
}

type deltaBuilder struct {
	delta   *Delta
	pack    *Pack
	indexes map[host.Session]uint16
}

func (b *deltaBuilder) add(id key.SliceID, e entry, k string) {
	c := ChangedSlice{ID: id, Owner: b.sessionIndex(e.owner), Next: b.sessionIndex(e.next), Epoch: e.epoch, Key: k}
	b.delta.Changed = append(b.delta.Changed, c)
}

func (b *deltaBuilder) sessionIndex(i uint16) uint16 {
	if i == 0 {
		return 0
	}
	s := b.pack.sessions[i]
	if _, ok := b.indexes[s]; !ok {
		b.delta.Sessions = append(b.delta.Sessions, s)
		b.indexes[s] = uint16(len(b.delta.Sessions))
	}
	return b.indexes[s]
}

func (b *deltaBuilder) addCarveOuts(from *Pack) {
	old := make(map[key.SliceID]CarveOut, len(from.carveOuts))
	for _, c := range from.CarveOuts() {
		old[c.ID] = c
	}
	for _, c := range b.pack.carveOuts {
		now := CarveOut{Key: c.key, ID: c.id, Ownership: b.pack.toSlice(c.entry)}
		if old[c.id] != now {
			b.add(c.id, c.entry, c.key)
		}
		delete(old, c.id)
	}
	for _, c := range from.carveOuts {
		if _, gone := old[c.id]; gone {
			b.delta.Merged = append(b.delta.Merged, c.id)
		}
	}
}

// ApplyDelta returns the pack that results from applying a delta to p, which
// must be the delta's base version. It returns a *result.Error with code
// BadFrame if the delta does not fit the pack. It does not modify p.
func (p *Pack) ApplyDelta(d *Delta) (*Pack, error) {
	if d.App != p.App || d.First != p.First {
		return nil, badPack("delta of another pack", nil)
	}
	for _, s := range d.Sessions {
		if s.IsZero() || len(s.Host) > MaxHostBytes {
			return nil, badPack("wrong session in the table", nil)
		}
	}
	q := p.Clone()
	q.Token, q.epochFloor = d.Token, d.EpochFloor
	for _, id := range d.Merged {
		q.removeCarveOut(id)
	}
	for _, c := range d.Changed {
		if err := q.applyChanged(d, c); err != nil {
			return nil, err
		}
	}
	return q, nil
}

func (p *Pack) applyChanged(d *Delta, c ChangedSlice) error {
	if int(c.Owner) > len(d.Sessions) || int(c.Next) > len(d.Sessions) {
		return badPack("delta names a session that it doesn't list", nil)
	}
	s := Ownership{Owner: d.session(c.Owner), Epoch: c.Epoch, Next: d.session(c.Next)}
	if c.ID < key.CarveOutBase {
		if !p.Set(c.ID, s) {
			return badPack("delta names a slice outside the pack", nil)
		}
		return nil
	}
	_, inPack := p.Parent(c.Key)
	if PackFirstSlice(c.ID) != p.First || !inPack || len(c.Key) > MaxKeyBytes {
		return badPack("delta names a carve-out outside the pack", nil)
	}
	p.removeCarveOut(c.ID)
	if p.hasCarveOut(c.Key) {
		return badPack("delta carves a key out twice", nil)
	}
	p.insertCarveOut(carveOut{key: c.Key, id: c.ID, entry: p.toEntry(s)})
	return nil
}

func (d *Delta) session(index uint16) host.Session {
	if index == 0 {
		return host.NoSession
	}
	return d.Sessions[index-1]
}
