package daemon

import (
	"github.com/rhubarbring/rhubarbring/assignment"
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/session"
)

// thinSlices is the number of slices of each app until a document says.
const thinSlices = 64

// view is what the daemon knows of the fleet. It is never changed once it is
// published; a newer one replaces it.
type view struct {
	sessions map[host.Session]session.Record
	versions map[string]uint64
	packs    map[key.App]*assignment.Pack
}

func (v *view) owner(app key.App, k string) (assignment.Slice, key.SliceID, bool) {
	pack, ok := v.packs[app]
	if !ok {
		return assignment.Slice{}, 0, false
	}
	s := key.SliceOf(app, k, pack.Total)
	assigned, ok := pack.At(s.ID)
	return assigned, s.ID, ok
}
