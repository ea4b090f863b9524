package placement

import (
	"container/heap"
	"math/rand/v2"
	"slices"

	"github.com/rhubarbring/rhubarbring/key"
)

const (
	// baseMoveCost is the price of a move at equal weights, as a gap between the
	// uses of two hosts in units of the mean use.
	baseMoveCost = 0.05
	// minMoveCost keeps noise from moving slices even if only imbalance counts.
	minMoveCost = 0.05
	// hysteresis is the multiple of the price at which moves begin. They go on
	// until the gap is below the price itself.
	hysteresis = 2
	// maxSources bounds the givers that are tried for one transfer. If none of
	// the most used hosts has a slice that fits, the greatest use can't fall.
	maxSources = 64
	// minMoveShare is the part of the giver's capacity below which a slice's load
	// is not worth a move, unless the taker has next to nothing.
	minMoveShare = 0.004
	// emptyShare is the part of the mean use below which a host has next to
	// nothing: it is new.
	emptyShare = 0.5
	// maxMoveCost moves slices away from a host at twice the mean in any case.
	maxMoveCost = 1.0
)

// Balanced places slices on the host whose use is lowest, and moves
// slices from the most to the least used hosts while the gain in balance
// exceeds the price of the move.
//
// The price comes from the app's weights: basePrice times (churn + unavailable)
// over imbalance, within minPrice and maxPrice. A slice moves only if the uses
// of giver and taker differ by more than the price afterwards as well, in
// units of the mean use; so a move is never undone by the next round.
type Balanced struct {
	app      key.App
	moveCost float64
	active   map[key.App]bool // Apps whose moves have begun and are not finished.
	queue    hostQueue
}

// Begin orders the hosts by use. Hosts of equal use are taken in an order
// drawn from the seed, so that no name is favoured.
func (b *Balanced) Begin(app App, hosts []HostLoad, seed uint64) {
	b.app, b.moveCost = app.Name, moveCost(app.Weights)
	b.queue.hosts = hosts
	b.queue.order = rand.New(rand.NewPCG(seed, uint64(len(hosts)))).Perm(len(hosts))
	heap.Init(&b.queue)
}

func moveCost(w Weights) float64 {
	if w.Imbalance <= 0 {
		return maxMoveCost
	}
	return min(max(baseMoveCost*(w.Churn+w.Unavailable)/w.Imbalance, minMoveCost), maxMoveCost)
}

// Choose returns the host of lowest use. Of all loads, only that of the host
// chosen last may have changed since the call before.
func (b *Balanced) Choose(hosts []HostLoad, _ float64) int {
	b.queue.hosts = hosts
	heap.Fix(&b.queue, 0)
	return b.queue.order[0]
}

// Transfers moves slices from the most used host to the least used one until
// the gap is below the price or the limit is reached.
func (b *Balanced) Transfers(hosts []HostLoad, above func(use float64) []Candidate, limit int) []Transfer {
	if len(hosts) < 2 || limit <= 0 {
		return nil
	}
	plan := newPlan(hosts)
	source, dest := plan.mostAndLeastUtilized()
	if plan.gap(source, dest) <= b.threshold()*plan.mean {
		b.setActive(false)
		return nil
	}
	plan.addCandidates(above(hosts[dest].Utilization() + b.moveCost*plan.mean))
	var out []Transfer
	for len(out) < limit {
		t, ok := plan.nextTransfer(b.moveCost)
		if !ok {
			break
		}
		out = append(out, t)
	}
	b.setActive(len(out) > 0)
	return out
}

// threshold returns the gap at which moves begin, or go on once they have
// begun.
func (b *Balanced) threshold() float64 {
	if b.active[b.app] {
		return b.moveCost
	}
	return b.moveCost * hysteresis
}

func (b *Balanced) setActive(active bool) {
	if b.active == nil {
		b.active = make(map[key.App]bool)
	}
	b.active[b.app] = active
}

// plan works on copies of the loads.
type plan struct {
	hosts     []HostLoad
	byHost    [][]Candidate
	mean      float64
	exhausted []bool // Nothing on the host can move with a gain.
}

func newPlan(hosts []HostLoad) *plan {
	p := &plan{hosts: slices.Clone(hosts), byHost: make([][]Candidate, len(hosts)), exhausted: make([]bool, len(hosts))}
	var load, capacity float64
	for _, h := range hosts {
		load += h.Load
		capacity += h.Capacity
	}
	p.mean = load / capacity
	return p
}

func (p *plan) addCandidates(candidates []Candidate) {
	for _, c := range candidates {
		p.byHost[c.Host] = append(p.byHost[c.Host], c)
	}
}

func (p *plan) gap(source, dest int) float64 {
	return p.hosts[source].Utilization() - p.hosts[dest].Utilization()
}

// nextTransfer returns the most useful transfer and takes it into the loads.
func (p *plan) nextTransfer(moveCost float64) (Transfer, bool) {
	for tried := 0; p.mean > 0 && tried < maxSources; tried++ {
		source, dest := p.mostAndLeastUtilized()
		if source < 0 || dest < 0 || source == dest {
			return Transfer{}, false
		}
		if p.gap(source, dest) <= moveCost*p.mean {
			return Transfer{}, false
		}
		if i := p.largestFitting(source, dest, moveCost); i >= 0 {
			return p.apply(source, dest, i), true
		}
		if i, dest := p.relieveFull(source, moveCost); i >= 0 {
			return p.apply(source, dest, i), true
		}
		p.exhausted[source] = true
	}
	return Transfer{}, false
}

// mostAndLeastUtilized returns the most used host that can give and the least used host.
func (p *plan) mostAndLeastUtilized() (source, dest int) {
	source, dest = -1, -1
	for i := range p.hosts {
		utilization := p.hosts[i].Utilization()
		if dest < 0 || utilization < p.hosts[dest].Utilization() {
			dest = i
		}
		if !p.exhausted[i] && (source < 0 || utilization > p.hosts[source].Utilization()) {
			source = i
		}
	}
	return source, dest
}

// largestFitting returns the largest candidate that is worth a move and does not leave
// the taker more used than the giver by over half the price, or -1.
func (p *plan) largestFitting(source, dest int, moveCost float64) int {
	from, to := &p.hosts[source], &p.hosts[dest]
	best, bestLoad := -1, 0.0
	if to.Utilization() > emptyShare*p.mean {
		bestLoad = minMoveShare * from.Capacity
	}
	for i, c := range p.byHost[source] {
		after := (from.Load-c.Load)/from.Capacity - (to.Load+c.Load)/to.Capacity
		if after < -moveCost*p.mean/2 || c.Load <= bestLoad {
			continue
		}
		best, bestLoad = i, c.Load
	}
	return best
}

// fullUtilization is the use from which callers wait at a host.
const fullUtilization = 0.8

// relieveFull returns the move of the largest slice of a host that is full to the
// host that has the most room for it, if both are less used afterwards than the
// giver was, by the price; else -1. So one slice that is too hot for its host
// goes to a faster one, although it then is the most used one itself.
func (p *plan) relieveFull(source int, moveCost float64) (slice, dest int) {
	slice = p.largest(source)
	if slice < 0 || p.hosts[source].Utilization() < fullUtilization {
		return -1, -1
	}
	c := p.byHost[source][slice]
	dest = p.leastUtilizedWith(source, c.Load)
	from, to := p.hosts[source], p.hosts[dest]
	from.Load -= c.Load
	to.Load += c.Load
	if max(from.Utilization(), to.Utilization()) > p.hosts[source].Utilization()-moveCost*p.mean {
		return -1, -1
	}
	return slice, dest
}

// largest returns the largest candidate of a host, or -1.
func (p *plan) largest(source int) int {
	largest := -1
	for i, c := range p.byHost[source] {
		if largest < 0 || c.Load > p.byHost[source][largest].Load {
			largest = i
		}
	}
	return largest
}

// leastUtilizedWith returns the host, other than the giver, that is least used after it
// took a load.
func (p *plan) leastUtilizedWith(source int, load float64) int {
	best, bestUtilization := -1, 0.0
	for i, h := range p.hosts {
		utilization := (h.Load + load) / h.Capacity
		if i != source && (best < 0 || utilization < bestUtilization) {
			best, bestUtilization = i, utilization
		}
	}
	return best
}

func (p *plan) apply(source, dest, i int) Transfer {
	c := p.byHost[source][i]
	p.byHost[source] = slices.Delete(p.byHost[source], i, i+1)
	p.hosts[source].Load -= c.Load
	p.hosts[source].Slices--
	p.hosts[dest].Load += c.Load
	p.hosts[dest].Slices++
	return Transfer{ID: c.ID, Load: c.Load, From: source, To: dest}
}

// hostQueue is a heap of hosts, least used first.
type hostQueue struct {
	hosts []HostLoad
	order []int
}

func (q *hostQueue) Len() int { return len(q.order) }
func (q *hostQueue) Less(i, j int) bool {
	return q.hosts[q.order[i]].Utilization() < q.hosts[q.order[j]].Utilization()
}
func (q *hostQueue) Swap(i, j int) { q.order[i], q.order[j] = q.order[j], q.order[i] }
func (q *hostQueue) Push(any)      {}
func (q *hostQueue) Pop() any      { return nil }
