package placement

import (
	"fmt"
	"slices"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/key"
)

// ringPoints is the number of points of each host on the ring.
const ringPoints = 100

// ringPoint is one point of a host on the ring.
type ringPoint struct {
	hash uint64
	host host.Session
}

// ringPlacement places keys by consistent hashing.
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

// rendezvousPlacement places keys by the highest hash of key and host.
func rendezvousPlacement(hosts []host.Session) func(k string) host.Session {
	return func(k string) host.Session {
		best, top := host.Nobody, uint64(0)
		for _, h := range hosts {
			if v := key.Hash(k + h.String()); v >= top {
				best, top = h, v
			}
		}
		return best
	}
}

// The ways of placing keys without a table are as unequal as round robin under
// Zipf keys; and on a loss they move no fewer keys.
func TestBalancedIsMoreEvenThanHashing(t *testing.T) {
	f := newSimFleet(6, 12, rayuelaApp(), &Balanced{})
	f.setZipfLoads(0.6 * 6 * 12)
	f.runRounds()
	table := f.imbalance()
	var hosts []host.Session
	for i := range 6 {
		hosts = append(hosts, simHost(i))
	}
	for name, way := range map[string]func([]host.Session) func(string) host.Session{"ring": ringPlacement, "rendezvous": rendezvousPlacement} {
		before, after := way(hosts), way(hosts[:5])
		loads := map[host.Session]float64{}
		var moved, least int
		for _, k := range f.keys {
			loads[before(k)] += f.keyLoads[k]
			if before(k) != after(k) {
				moved++
			}
			if before(k) == hosts[5] {
				least++
			}
		}
		var top, sum float64
		for _, l := range loads {
			top = max(top, l)
			sum += l
		}
		t.Logf("%s: max/mean %.3f (table %.3f); a loss moves %d keys, least possible %d", name, top/(sum/6), table, moved, least)
		must.Less(t, top/(sum/6), table)
		must.Eq(t, least, moved)
	}
}
