package placement

import (
	"fmt"
	"slices"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/key"
)

// ringPoints is the number of points of each host on the hash ring.
const ringPoints = 100

// ringPoint is one point of a host on the hash ring.
type ringPoint struct {
	hash uint64
	host host.Session
}

// ringPlacement returns a function that places keys by consistent hashing.
func ringPlacement(hosts []host.Session) func(k string) host.Session {
	var points []ringPoint
	for _, h := range hosts {
		for i := range ringPoints {
			points = append(points, ringPoint{hash: key.Hash(fmt.Sprint(h, i)), host: h})
		}
	}
	slices.SortFunc(points, func(a, b ringPoint) int {
		if a.hash < b.hash {
			return -1
		}
		return 1
	})
	return func(k string) host.Session {
		h := key.Hash(k)
		i, _ := slices.BinarySearchFunc(points, h, func(p ringPoint, h uint64) int {
			if p.hash < h {
				return -1
			}
			return 1
		})
		return points[i%len(points)].host
	}
}

// rendezvousPlacement returns a function that places keys by rendezvous
// hashing, on the host with the highest hash of key and host.
func rendezvousPlacement(hosts []host.Session) func(k string) host.Session {
	return func(k string) host.Session {
		best, highest := host.NoSession, uint64(0)
		for _, h := range hosts {
			if v := key.Hash(k + h.String()); v >= highest {
				best, highest = h, v
			}
		}
		return best
	}
}

// Under Zipf-distributed keys, placement by hashing without a table is less
// even than Balanced, and on the loss of a host it moves exactly the keys of
// that host, which is the fewest possible.
func TestBalancedIsMoreEvenThanHashing(t *testing.T) {
	f := newSimFleet(6, 12, rayuelaApp(), &Balanced{})
	f.setZipfLoads(0.6 * 6 * 12)
	f.runRounds()
	balanced := f.imbalance()
	var hosts []host.Session
	for i := range 6 {
		hosts = append(hosts, simHost(i))
	}
	for name, placementOf := range map[string]func([]host.Session) func(string) host.Session{"ring": ringPlacement, "rendezvous": rendezvousPlacement} {
		before, after := placementOf(hosts), placementOf(hosts[:5])
		loads := map[host.Session]float64{}
		var moved, fewest int
		for _, k := range f.keys {
			loads[before(k)] += f.keyLoads[k]
			if before(k) != after(k) {
				moved++
			}
			if before(k) == hosts[5] {
				fewest++
			}
		}
		var highest, sum float64
		for _, l := range loads {
			highest = max(highest, l)
			sum += l
		}
		t.Logf("%s: max/mean %.3f (balanced %.3f); a loss moves %d keys, fewest possible %d", name, highest/(sum/6), balanced, moved, fewest)
		must.Less(t, highest/(sum/6), balanced)
		must.Eq(t, fewest, moved)
	}
}
