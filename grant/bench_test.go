package grant

import (
	"fmt"
	"testing"
	"time"

	"github.com/rhubarbring/rhubarbring/key"
)

// BenchmarkSecond measures one second of a Core whose target holds a number of
// units: ten ticks, with every renewal that is due answered.
func BenchmarkSecond(b *testing.B) {
	for _, units := range []int{1, 16, 64} {
		b.Run(fmt.Sprint(units), func(b *testing.B) {
			c := New(DefaultConfig())
			now := start
			for i := range units {
				c.SetOwned(now.Add(-c.cfg.TokenWait), permit(slice(key.SliceID(2*i)), 1))
			}
			var out Actions
			grants := 0
			b.ReportAllocs()
			for b.Loop() {
				for range 10 {
					now = now.Add(100 * time.Millisecond)
					c.SetLease(now.Add(lease))
					out.Reset()
					c.Tick(now, &out)
					for _, g := range out.Grants {
						c.GrantAnswered(now, g.Unit, Accepted, &out)
						grants++
					}
				}
			}
			b.ReportMetric(float64(grants)/float64(b.N), "grants/s")
		})
	}
}

// BenchmarkReleaseOfAll measures the release of all slices of a target that was
// replaced, each a unit of its own: a tick, and a tick after each answer.
func BenchmarkReleaseOfAll(b *testing.B) {
	for _, units := range []int{16, 128, 512} {
		b.Run(fmt.Sprint(units), func(b *testing.B) {
			for b.Loop() {
				b.StopTimer()
				c := newCoreWithUnits(units)
				p := NewPrevious(start, c)
				for i := range units {
					p.RequestRelease(start, slice(key.SliceID(2*i)), 1)
				}
				b.StartTimer()
				var out Actions
				p.Tick(start, false, &out)
				calls := out.Releases
				for _, r := range calls {
					out = Actions{}
					p.ReleaseAnswered(start, r, "", Accepted, &out)
					p.Tick(start, false, &out)
				}
			}
		})
	}
}

// newCoreWithUnits returns a core whose target holds a number of units.
func newCoreWithUnits(units int) *Core {
	c := New(DefaultConfig())
	c.SetLease(start.Add(lease))
	for i := range units {
		c.SetOwned(start.Add(-c.cfg.TokenWait), permit(slice(key.SliceID(2*i)), 1))
	}
	var out Actions
	c.Tick(start, &out)
	for _, g := range out.Grants {
		c.GrantAnswered(start, g.Unit, Accepted, &out)
	}
	return c
}
