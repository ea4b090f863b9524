package assignment_test

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/rhubarbring/rhubarbring/assignment"
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/restore"
	"github.com/rhubarbring/rhubarbring/result"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}

func drawSession(t *rapid.T) host.Session {
	n := rapid.IntRange(0, 12).Draw(t, "session")
	if n == 0 {
		return host.NoSession
	}
	return host.Session{Host: host.ID(fmt.Sprintf("h%d", n%5)), Incarnation: uint64(n)}
}

const total = assignment.PackSlices + 40

// drawEdit makes one random change to a pack: a carve-out, a merge or a new
// assignment.
func drawEdit(t *rapid.T, p *assignment.Pack) {
	id := p.First + key.SliceID(rapid.IntRange(0, 5).Draw(t, "slice"))
	switch rapid.IntRange(0, 3).Draw(t, "edit") {
	case 0:
		p.AddCarveOut(fmt.Sprintf("key%d", rapid.IntRange(0, 40).Draw(t, "key")))
	case 1:
		for _, c := range p.CarveOuts() {
			if p.MergeCarveOut(c.ID) {
				break
			}
		}
	default:
		if cs := p.CarveOuts(); len(cs) > 0 && rapid.Bool().Draw(t, "carved") {
			id = rapid.SampledFrom(cs).Draw(t, "carve-out").ID
		}
		epoch := rapid.Uint64().Draw(t, "epoch")
		must.True(t, p.Set(id, assignment.Ownership{Owner: drawSession(t), Epoch: epoch, Next: drawSession(t)}))
	}
}

func encode(t must.T, p *assignment.Pack) []byte {
	raw, err := p.Encode()
	must.NoError(t, err)
	return raw
}

// A pack is unchanged by encoding and decoding, and by storing it in a map and
// reading it back. A delta gives the same pack whether applied to a pack or to a
// map.
func TestPackDeltaAndMapRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		first := key.SliceID(rapid.SampledFrom([]int{0, assignment.PackSlices}).Draw(t, "first"))
		p := assignment.NewPack("catalogue", total, first)
		relay, peer := assignment.NewMap(), assignment.NewMap()
		relay.PutPack(p, 1)
		peer.PutPack(p, 1)
		for v := uint64(2); v < 8; v++ {
			next := p.Clone()
			next.Token = fmt.Sprint("w", v)
			for range rapid.IntRange(0, 4).Draw(t, "edits") {
				drawEdit(t, next)
			}
			raw := encode(t, next)
			back, err := assignment.Decode(raw)
			must.NoError(t, err)
			must.Eq(t, raw, encode(t, back))

			held, base := relay.Pack("catalogue", first)
			must.Eq(t, encode(t, p), encode(t, held))
			d := assignment.Diff(held, base, back, v)
			applied, err := p.ApplyDelta(d)
			must.NoError(t, err)
			must.Eq(t, raw, encode(t, applied))
			changes, err := peer.ApplyDelta(d)
			must.NoError(t, err)
			must.Eq(t, relay.PutPack(back, v), changes)
			p = next
		}
		for _, c := range p.CarveOuts() {
			s, assigned, ok := peer.Lookup("catalogue", c.Key)
			must.True(t, ok)
			must.Eq(t, c.ID, s.ID)
			must.Eq(t, c.Ownership, assigned)
		}
	})
}

// A map rejects a delta to another base version, and ignores an older pack.
func TestMapRejectsOtherBaseAndOlderVersion(t *testing.T) {
	p := assignment.NewPack("catalogue", total, 0)
	q := p.Clone()
	alpha := host.Session{Host: "alpha", Incarnation: 1}
	must.True(t, q.Set(7, assignment.Ownership{Owner: alpha, Epoch: 1}))
	m := assignment.NewMap()
	m.PutPack(p, 3)
	_, err := m.ApplyDelta(assignment.Diff(p, 5, q, 6))
	must.ErrorIs(t, err, &result.Error{Code: result.StaleMessage})
	changes, err := m.ApplyDelta(assignment.Diff(p, 3, q, 6))
	must.NoError(t, err)
	must.SliceLen(t, 1, changes)
	must.SliceEmpty(t, m.PutPack(p, 3))
	s, _ := m.At(key.Slice{App: "catalogue", ID: 7})
	must.Eq(t, alpha, s.Owner)
}

// A merge needs the same owner and no handover. It raises the parent's epoch, and
// the next carve-out of the key begins above every earlier epoch.
func TestMergeNeedsSameOwnerAndRaisesEpochs(t *testing.T) {
	alpha, beta := host.Session{Host: "alpha", Incarnation: 1}, host.Session{Host: "beta", Incarnation: 1}
	p := assignment.NewPack("catalogue", 64, 0)
	_, ok := p.AddCarveOut("k")
	must.False(t, ok, must.Sprint("the parent has no owner"))
	parent, _ := p.Parent("k")
	p.Set(parent, assignment.Ownership{Owner: alpha, Epoch: 9})
	id, ok := p.AddCarveOut("k")
	must.True(t, ok)
	p.Set(id, assignment.Ownership{Owner: beta, Epoch: 2})
	must.False(t, p.MergeCarveOut(id))
	p.Set(id, assignment.Ownership{Owner: alpha, Epoch: 3, Next: beta})
	must.False(t, p.MergeCarveOut(id))
	p.Set(id, assignment.Ownership{Owner: alpha, Epoch: 3})
	must.True(t, p.MergeCarveOut(id))
	s, _ := p.At(parent)
	must.Eq(t, assignment.Ownership{Owner: alpha, Epoch: 10}, s)
	again, ok := p.AddCarveOut("k")
	must.True(t, ok)
	must.Eq(t, id, again)
	s, _ = p.At(again)
	must.Eq(t, 4, s.Epoch)
}

// Packs and maps must not grow with the number of sessions that have owned their
// slices over time.
func TestSessionTablesStayBounded(t *testing.T) {
	p := assignment.NewPack("catalogue", 64, 0)
	m := assignment.NewMap()
	for i := range 200_000 {
		p.Set(key.SliceID(i%64), assignment.Ownership{Owner: host.Session{Host: "h", Incarnation: uint64(i + 1)}, Epoch: 1})
		if i%64 == 63 {
			m.PutPack(p, uint64(i))
		}
	}
	must.Less(t, 2000, len(encode(t, p)))
	last, _ := p.At(63)
	inMap, _ := m.At(key.Slice{App: "catalogue", ID: 63})
	must.Eq(t, last, inMap)
}

func TestPackNameRoundTrip(t *testing.T) {
	must.Eq(t, "a.b.512", assignment.PackName("a.b", 700))
	app, first, ok := assignment.ParsePackName("a.b.512")
	must.True(t, ok)
	must.Eq(t, "a.b", app)
	must.Eq(t, 512, first)
	for _, bad := range []string{"", ".0", "a.1", "a", "a.-512", "a.99999999999"} {
		_, _, ok := assignment.ParsePackName(bad)
		must.False(t, ok, must.Sprint(bad))
	}
}

func FuzzDecode(f *testing.F) {
	p := assignment.NewPack("catalogue", 64, 0)
	p.Set(1, assignment.Ownership{Owner: host.Session{Host: "alpha", Incarnation: 1}, Epoch: 300, Next: host.Session{Host: "beta", Incarnation: 2}})
	raw, _ := p.Encode()
	f.Add(raw)
	f.Add(raw[:len(raw)/2])
	f.Add([]byte{0x88, 0x61, 'w', 0x61, 'a', 0, 0x1a, 0xff, 0xff, 0xff, 0xff, 0, 0x80, 0x40, 0x80})
	f.Fuzz(func(t *testing.T, raw []byte) {
		p, err := assignment.Decode(raw)
		if err != nil {
			must.ErrorIs(t, err, &result.Error{Code: result.BadFrame})
			return
		}
		again, err := assignment.Decode(encode(t, p))
		must.NoError(t, err)
		must.Eq(t, encode(t, p), encode(t, again))
		assignment.NewMap().PutPack(p, 1)
	})
}

// An invalid delta from a peer gives an error, and no delta modifies the pack
// that it is applied to.
func FuzzApplyDelta(f *testing.F) {
	p := assignment.NewPack("catalogue", 64, 0)
	q := p.Clone()
	q.Set(1, assignment.Ownership{Owner: host.Session{Host: "alpha", Incarnation: 1}, Epoch: 3})
	parent := q.Clone()
	for i := range key.SliceID(64) {
		parent.Set(i, assignment.Ownership{Owner: host.Session{Host: "beta", Incarnation: 1}, Epoch: 4, Next: host.Session{Host: "alpha", Incarnation: 1}})
	}
	parent.AddCarveOut("k")
	for _, d := range []*assignment.Delta{assignment.Diff(p, 1, q, 2), assignment.Diff(p, 1, parent, 2), assignment.Diff(parent, 1, p, 2)} {
		raw, err := cbor.Marshal(d)
		must.NoError(f, err)
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		var d assignment.Delta
		if cbor.Unmarshal(raw, &d) != nil {
			return
		}
		before := encode(t, p)
		next, err := p.ApplyDelta(&d)
		must.Eq(t, before, encode(t, p))
		if err != nil {
			must.ErrorIs(t, err, &result.Error{Code: result.BadFrame})
			return
		}
		again, err := assignment.Decode(encode(t, next))
		must.NoError(t, err)
		must.Eq(t, encode(t, next), encode(t, again))
	})
}

// An entry is in force in the era of its epoch only. One that a restore of the store
// brought back, or that was written without knowing of it, gives nothing.
func TestEntriesOfOtherErasAreNotInForce(t *testing.T) {
	alpha := host.Session{Host: "alpha", Incarnation: 1}
	given, ok := restore.NewEpoch(1, 70)
	must.True(t, ok)
	version, err := restore.Version{Era: 1, Revision: 71}.Number()
	must.NoError(t, err)
	p := assignment.NewPack("catalogue", 64, 0)
	p.Set(1, assignment.Ownership{Owner: alpha, Epoch: 5})
	p.Set(2, assignment.Ownership{Owner: alpha, Epoch: uint64(given)})
	p, err = assignment.Decode(encode(t, p))
	must.NoError(t, err)
	m := assignment.NewMap()
	changes := m.PutPack(p, version)
	must.SliceLen(t, 2, changes)
	must.True(t, changes[0].NotInForce)
	must.False(t, changes[1].NotInForce)
	must.Eq(t, uint64(given), changes[1].To.Epoch)
	must.False(t, m.InForce(key.Slice{App: "catalogue", ID: 0}))
	must.False(t, m.InForce(key.Slice{App: "catalogue", ID: 1}))
	must.True(t, m.InForce(key.Slice{App: "catalogue", ID: 2}))
	must.True(t, m.InForce(key.Slice{App: "other", ID: 2}))
}
