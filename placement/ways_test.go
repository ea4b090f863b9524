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

// point is one point of a host on the ring.
type point struct {
	at uint64
	on host.Session
}

// ring places keys by consistent hashing.
func ring(hosts []host.Session) func(k string) host.Session {
	var points []point
	for _, h := range hosts {
		for i := range ringPoints {
			points = append(points, point{at: key.Hash(fmt.Sprint(h, i)), on: h})
		}
	}
	slices.SortFunc(points, func(a, b point) int {
		if a.at < b.at {
			return -1
		}
		return 1
	})
	return func(k string) host.Session {
		h := key.Hash(k)
		i, _ := slices.BinarySearchFunc(points, h, func(p point, h uint64) int {
			if p.at < h {
				return -1
			}
			return 1
		})
		return points[i%len(points)].on
	}
}

// rendezvous places keys by the highest hash of key and host.
func rendezvous(hosts []host.Session) func(k string) host.Session {
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
func TestTableIsMoreEvenThanHashing(t *testing.T) {
	f := newTrialFleet(6, 12, rayuelaApp(), &Balanced{})
	f.zipf(0.6 * 6 * 12)
	f.rounds()
	table := f.imbalance()
	var hosts []host.Session
	for i := range 6 {
		hosts = append(hosts, trialHost(i))
	}
	for name, way := range map[string]func([]host.Session) func(string) host.Session{"ring": ring, "rendezvous": rendezvous} {
		before, after := way(hosts), way(hosts[:5])
		loads := map[host.Session]float64{}
		var moved, least int
		for _, k := range f.keys {
			loads[before(k)] += f.busy[k]
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
