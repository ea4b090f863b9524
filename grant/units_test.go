package grant

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/key"
)

// scanForUnit finds the unit of a slice by a walk over all units.
func scanForUnit(c *Core, s key.Slice) *unit {
	for _, u := range c.units {
		if u.grant.Range.Has(s) {
			return u
		}
	}
	return nil
}

func TestUnitOfSliceIsTheOneWhoseRangeHasIt(t *testing.T) {
	const ids, steps, plays = 12, 200, 50
	for seed := range uint64(plays) {
		rng := rand.New(rand.NewPCG(seed, 0))
		c := New(DefaultConfig())
		now, epoch := start, uint64(1)
		for range steps {
			now = now.Add(time.Duration(rng.Int64N(int64(200 * time.Millisecond))))
			c.SetLease(now.Add(lease))
			s := slice(key.SliceID(rng.IntN(ids)))
			switch rng.IntN(4) {
			case 0, 1:
				epoch += uint64(rng.IntN(2))
				c.SetOwned(now, permit(s, epoch))
			case 2:
				c.RequestRelease(now, s, epoch)
			case 3:
				c.Revoke(s)
			}
			var out Actions
			c.Tick(now, &out)
			for _, g := range out.Grants {
				c.GrantAnswered(now, g.Unit, Answer(1+rng.IntN(int(OtherProcess))), &out)
			}
			for _, r := range out.Releases {
				c.ReleaseAnswered(now, r, "", Accepted, &out)
			}
			for id := range key.SliceID(ids) {
				must.Eq(t, scanForUnit(c, slice(id)), c.unitOf(slice(id)), must.Sprintf("seed %d, slice %d", seed, id))
			}
		}
	}
}
