package spread

import (
	"bytes"
	"compress/flate"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// How the transport between daemons paces large messages of objects, which it compresses.
const (
	minBulkBytes  = 4 << 10
	bulkLinkShare = 0.5
	maxBulkWait   = time.Second
)

// useLink returns how long a message takes to leave the host, and false if the transport
// refuses it.
func (f *fleet) useLink(n *node, m Message) (time.Duration, bool) {
	if n.link == 0 {
		return 0, true
	}
	raw, err := cbor.Marshal(m)
	if err != nil {
		panic(err)
	}
	size := float64(len(raw) + frameOverhead)
	if _, objects := m.(*Objects); objects && size >= minBulkBytes && !f.unpaced {
		return f.useLinkForBulk(n, compressedBytes(raw))
	}
	n.linkFree = max(n.linkFree, f.now).Add(time.Duration(size / n.link * float64(time.Second)))
	wait := n.linkFree.Sub(f.now)
	n.linkWait = max(n.linkWait, wait)
	return wait, true
}

// compressedBytes returns the length of a compressed message.
func compressedBytes(raw []byte) float64 {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		panic(err)
	}
	if _, err := w.Write(raw); err != nil {
		panic(err)
	}
	if err := w.Close(); err != nil {
		panic(err)
	}
	return float64(out.Len())
}

// useLinkForBulk is useLink for a large message of objects.
func (f *fleet) useLinkForBulk(n *node, size float64) (time.Duration, bool) {
	if n.bulkFree.Sub(f.now) > maxBulkWait {
		return 0, false
	}
	n.bulkFree = max(n.bulkFree, f.now).Add(time.Duration(size / (bulkLinkShare * n.link) * float64(time.Second)))
	return n.bulkFree.Sub(f.now), true
}
