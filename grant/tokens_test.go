package grant

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/restore"
)

// In eras above 0 epochs don't count up by one: the next owner must find the token
// all the same, or the keys are slow after each handover.
func TestTokenIsFoundInLaterEras(t *testing.T) {
	slice := key.Slice{App: "one", ID: 3}
	released, _ := restore.NewEpoch(1, 90)
	granted, _ := restore.NewEpoch(1, 95)
	stored := make(tokens)
	stored.put(1, slice, uint64(released)+1, "new")
	stored.put(1, slice, 8, "old")
	stored.put(1, key.Slice{App: "one", ID: 4}, uint64(granted), "other")
	must.False(t, stored.has(SliceEpoch{Slice: slice, Epoch: uint64(released)}) && stored.take(SliceEpoch{Slice: slice, Epoch: uint64(released)}) == "new")
	must.Eq(t, "new", stored.take(SliceEpoch{Slice: slice, Epoch: uint64(granted)}))
	must.False(t, stored.has(SliceEpoch{Slice: slice, Epoch: 9}))
}
