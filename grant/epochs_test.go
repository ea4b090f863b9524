package grant

import (
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/rhubarbring/rhubarbring/key"
)

// permit returns the permit of a new session for a slice.
func permit(s key.Slice, epoch uint64) Permit {
	p, _ := new(Epochs).Permit(s, epoch)
	return p
}

func TestEpochIsOfferedToOneInstanceOnly(t *testing.T) {
	var e Epochs
	_, ok := e.Permit(slice(0), 4)
	must.True(t, ok)
	_, ok = e.Permit(slice(0), 4)
	must.True(t, ok, must.Sprint("the same instance"))
	e.Replace()
	_, ok = e.Permit(slice(0), 4)
	must.False(t, ok)
	_, ok = e.Permit(slice(0), 3)
	must.False(t, ok)
	_, ok = e.Permit(slice(1), 4)
	must.True(t, ok, must.Sprint("another slice"))
	p, ok := e.Permit(slice(0), 5)
	must.True(t, ok)
	must.Eq(t, Permit{slice: slice(0), epoch: 5}, p)
}

// The history of all offers of a slice is the naive version of Epochs.
func TestEpochsPermitWhatTheHistoryOfOffersAllows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var e Epochs
		type offered struct {
			epoch    uint64
			instance int
		}
		history := map[key.Slice][]offered{}
		instance := 0
		for range 60 {
			if rapid.IntRange(0, 4).Draw(t, "replace") == 0 {
				e.Replace()
				instance++
			}
			s := slice(key.SliceID(rapid.IntRange(0, 2).Draw(t, "slice")))
			epoch := rapid.Uint64Range(1, 8).Draw(t, "epoch")
			allowed := true
			for _, o := range history[s] {
				allowed = allowed && (epoch > o.epoch || epoch == o.epoch && instance == o.instance)
			}
			_, ok := e.Permit(s, epoch)
			must.Eq(t, allowed, ok)
			if ok {
				history[s] = append(history[s], offered{epoch: epoch, instance: instance})
			}
		}
	})
}
