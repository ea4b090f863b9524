package assignment

import (
	"encoding/binary"

	"github.com/fxamacker/cbor/v2"

	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/result"
)

// wirePack is the stored form of a pack: each session once, then each slice as
// two or three variable-length integers (see appendEntry).
type wirePack struct {
	_          struct{} `cbor:",toarray"`
	Token      string
	App        key.App
	First      key.SliceID
	Total      uint32
	EpochFloor uint64
	Sessions   []host.Session
	Entries    []byte
	CarveOuts  []wireCarveOut
}

// wireCarveOut is the stored form of a carve-out. Index is its position among the
// carve-out IDs of the pack.
type wireCarveOut struct {
	_     struct{} `cbor:",toarray"`
	Key   string
	Index uint32
	Entry []byte
}

// decoder limits the size and depth of decoded messages, so that a few bytes
// cannot cause a large allocation.
var decoder = mustDecoder(cbor.DecOptions{
	DupMapKey:        cbor.DupMapKeyEnforcedAPF,
	IndefLength:      cbor.IndefLengthForbidden,
	TagsMd:           cbor.TagsForbidden,
	MaxArrayElements: 4 * (PackSlices + MaxCarveOuts),
	MaxNestedLevels:  8,
})

func mustDecoder(o cbor.DecOptions) cbor.DecMode {
	m, err := o.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}

// Encode returns the stored form of the pack. Equal packs give equal bytes.
func (p *Pack) Encode() ([]byte, error) {
	q := p.Clone()
	q.compactSessions()
	w := wirePack{
		Token: p.Token, App: p.App, First: p.First, Total: p.Total,
		EpochFloor: p.epochFloor, Sessions: q.sessions[1:],
	}
	for _, e := range q.entries {
		w.Entries = appendEntry(w.Entries, e)
	}
	for _, c := range q.carveOuts {
		index := uint32(c.id - carveOutID(p.First, 0))
		w.CarveOuts = append(w.CarveOuts, wireCarveOut{Key: c.key, Index: index, Entry: appendEntry(nil, c.entry)})
	}
	return cbor.Marshal(&w)
}

// Decode parses a stored pack. It returns a *result.Error with code BadFrame if
// raw is not a valid pack.
func Decode(raw []byte) (*Pack, error) {
	var w wirePack
	if err := decoder.Unmarshal(raw, &w); err != nil {
		return nil, badPack("not a pack", err)
	}
	if w.Total > MaxSlices {
		return nil, badPack("too many slices", nil)
	}
	if uint32(w.First) >= w.Total || w.First%PackSlices != 0 {
		return nil, badPack("wrong first slice", nil)
	}
	p := NewPack(w.App, w.Total, w.First)
	p.Token, p.epochFloor = w.Token, w.EpochFloor
	if err := p.readSessions(w.Sessions); err != nil {
		return nil, err
	}
	if err := p.readEntries(w.Entries); err != nil {
		return nil, err
	}
	if err := p.readCarveOuts(w.CarveOuts); err != nil {
		return nil, err
	}
	return p, nil
}

func (p *Pack) readSessions(sessions []host.Session) error {
	seen := make(map[host.Session]bool, len(sessions))
	for _, s := range sessions {
		if s.IsZero() || seen[s] || len(s.Host) > MaxHostBytes {
			return badPack("wrong session in the table", nil)
		}
		seen[s] = true
	}
	p.sessions = append(p.sessions, sessions...)
	return nil
}

func (p *Pack) readEntries(raw []byte) error {
	for i := range p.entries {
		e, rest, ok := readEntry(raw, len(p.sessions))
		if !ok {
			return badPack("wrong slice entry", nil)
		}
		p.entries[i], raw = e, rest
	}
	if len(raw) > 0 {
		return badPack("bytes after the last slice", nil)
	}
	return nil
}

func (p *Pack) readCarveOuts(carved []wireCarveOut) error {
	keys := make(map[string]bool, len(carved))
	last := -1
	for _, w := range carved {
		e, rest, ok := readEntry(w.Entry, len(p.sessions))
		if !ok || len(rest) > 0 || len(w.Key) > MaxKeyBytes || keys[w.Key] {
			return badPack("wrong carve-out", nil)
		}
		if w.Index >= MaxCarveOuts || int(w.Index) <= last {
			return badPack("wrong place of a carve-out", nil)
		}
		if _, ok := p.Parent(w.Key); !ok {
			return badPack("carve-out of another pack's key", nil)
		}
		keys[w.Key] = true
		last = int(w.Index)
		p.carveOuts = append(p.carveOuts, carveOut{key: w.Key, id: carveOutID(p.First, last), entry: e})
	}
	return nil
}

// appendEntry appends the owner shifted left by one, with the low bit set if a
// next owner follows, then the epoch, then the next owner if there is one.
func appendEntry(b []byte, e entry) []byte {
	if e.next == 0 {
		b = binary.AppendUvarint(b, uint64(e.owner)<<1)
		return binary.AppendUvarint(b, e.epoch)
	}
	b = binary.AppendUvarint(b, uint64(e.owner)<<1|1)
	b = binary.AppendUvarint(b, e.epoch)
	return binary.AppendUvarint(b, uint64(e.next))
}

// readEntry parses an entry whose sessions are below the given table size, and
// returns the remaining bytes. It returns false if the entry is malformed.
func readEntry(raw []byte, sessions int) (entry, []byte, bool) {
	r := reader{raw: raw}
	owner := r.uvarint(uint64(sessions)<<1 - 1)
	epoch := r.uvarint(MaxEpoch)
	var next uint64
	if owner&1 == 1 {
		next = r.uvarint(uint64(sessions) - 1)
		r.bad = r.bad || next == 0
	}
	e := entry{owner: uint16(owner >> 1), next: uint16(next), epoch: epoch}
	return e, r.raw, !r.bad
}

// reader reads variable-length integers. It sets bad once one is malformed or
// exceeds its limit.
type reader struct {
	raw []byte
	bad bool
}

func (r *reader) uvarint(limit uint64) uint64 {
	v, n := binary.Uvarint(r.raw)
	if n <= 0 || v > limit {
		r.bad = true
		return 0
	}
	r.raw = r.raw[n:]
	return v
}

func badPack(detail string, cause error) error {
	return &result.Error{Code: result.BadFrame, Field: Kind, Detail: detail, Cause: cause}
}
