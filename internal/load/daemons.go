package load

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rhubarbring/rhubarbring/mono"
)

// avoidDuration is how long callers avoid a daemon to which no connection was
// available: dialing failed or the client's limit of connections was reached.
const avoidDuration = time.Second

// daemonList is the list of daemons, with those to which no connection was
// available recently. All callers share it.
type daemonList struct {
	mu           sync.Mutex
	addresses    []string
	avoidedUntil map[string]mono.Time
}

func newDaemonList(all []string) *daemonList {
	return &daemonList{addresses: all, avoidedUntil: map[string]mono.Time{}}
}

// pick returns a random daemon that is not avoided, or any daemon if all are
// avoided.
func (d *daemonList) pick(rng *rand.Rand, now mono.Time) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var available []string
	for _, daemon := range d.addresses {
		if until, ok := d.avoidedUntil[daemon]; !ok || now.After(until) {
			available = append(available, daemon)
		}
	}
	if len(available) == 0 {
		available = d.addresses
	}
	return available[rng.IntN(len(available))]
}

// avoid has callers avoid a daemon until avoidDuration after now.
func (d *daemonList) avoid(daemon string, now mono.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.avoidedUntil[daemon] = now.Add(avoidDuration)
}
