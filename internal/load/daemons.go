package load

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rhubarbring/rhubarbring/mono"
)

// avoidFor is how long callers leave a daemon alone that took no connection.
const avoidFor = time.Second

// daemonList shares between callers which daemons take connections.
type daemonList struct {
	mu      sync.Mutex
	all     []string
	avoided map[string]mono.Time
}

func newDaemonList(all []string) *daemonList {
	return &daemonList{all: all, avoided: map[string]mono.Time{}}
}

// pick returns a random daemon that is not avoided, or any if all are.
func (d *daemonList) pick(rng *rand.Rand, now mono.Time) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var open []string
	for _, daemon := range d.all {
		if until, ok := d.avoided[daemon]; !ok || now.After(until) {
			open = append(open, daemon)
		}
	}
	if len(open) == 0 {
		open = d.all
	}
	return open[rng.IntN(len(open))]
}

func (d *daemonList) avoid(daemon string, now mono.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.avoided[daemon] = now.Add(avoidFor)
}
