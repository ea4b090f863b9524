package placement

import (
	"container/heap"
	"math/rand/v2"
	"slices"

	"github.com/rhubarbring/rhubarbring/key"
)

const (
	// basePrice is the price of a move at equal weights, as a gap between the
	// uses of two hosts in units of the mean use.
	basePrice = 0.05
	// minPrice keeps noise from moving slices even if only imbalance counts.
	minPrice = 0.05
	// hysteresis is the multiple of the price at which moves begin. They go on
	// until the gap is below the price itself.
	hysteresis = 2
	// maxTries bounds the givers that are tried for one transfer. If none of
	// the most used hosts has a slice that fits, the greatest use can't fall.
	maxTries = 64
	// leastShare is the part of the giver's capacity below which a slice's load
	// is not worth a move, unless the taker has next to nothing.
	leastShare = 0.004
	// emptyShare is the part of the mean use below which a host has next to
	// nothing: it is new.
	emptyShare = 0.5
	// maxPrice moves slices away from a host at twice the mean in any case.
	maxPrice = 1.0
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
	app    key.App
	price  float64
	active map[key.App]bool // Apps whose moves have begun and are not finished.
	queue  hostQueue
}

// Begin orders the hosts by use. Hosts of equal use are taken in an order
// drawn from the seed, so that no name is favoured.
func (b *Balanced) Begin(app App, hosts []HostLoad, seed uint64) {
	b.app, b.price = app.Name, movePrice(app.Weights)
	b.queue.hosts = hosts
	b.queue.order = rand.New(rand.NewPCG(seed, uint64(len(hosts)))).Perm(len(hosts))
	heap.Init(&b.queue)
}

func movePrice(w Weights) float64 {
	if w.Imbalance <= 0 {
		return maxPrice
	}
	return min(max(basePrice*(w.Churn+w.Unavailable)/w.Imbalance, minPrice), maxPrice)
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
	p := newPlan(hosts)
	giver, taker := p.extremes()
	if p.gap(giver, taker) <= b.threshold()*p.mean {
		b.setActive(false)
		return nil
	}
	p.fill(above(hosts[taker].Use() + b.price*p.mean))
	var out []Transfer
	for len(out) < limit {
		t, ok := p.next(b.price)
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
		return b.price
	}
	return b.price * hysteresis
}

func (b *Balanced) setActive(active bool) {
	if b.active == nil {
		b.active = make(map[key.App]bool)
	}
	b.active[b.app] = active
}

// plan works on copies of the loads.
type plan struct {
	hosts  []HostLoad
	byHost [][]Candidate
	mean   float64
	stuck  []bool // Nothing on the host can move with a gain.
}

func newPlan(hosts []HostLoad) *plan {
	p := &plan{hosts: slices.Clone(hosts), byHost: make([][]Candidate, len(hosts)), stuck: make([]bool, len(hosts))}
	var load, capacity float64
	for _, h := range hosts {
		load += h.Load
		capacity += h.Capacity
	}
	p.mean = load / capacity
	return p
}

func (p *plan) fill(candidates []Candidate) {
	for _, c := range candidates {
		p.byHost[c.Host] = append(p.byHost[c.Host], c)
	}
}

func (p *plan) gap(giver, taker int) float64 {
	return p.hosts[giver].Use() - p.hosts[taker].Use()
}

// next returns the most useful transfer and takes it into the loads.
func (p *plan) next(price float64) (Transfer, bool) {
	for tries := 0; p.mean > 0 && tries < maxTries; tries++ {
		giver, taker := p.extremes()
		if giver < 0 || taker < 0 || giver == taker {
			return Transfer{}, false
		}
		if p.gap(giver, taker) <= price*p.mean {
			return Transfer{}, false
		}
		if i := p.pick(giver, taker, price); i >= 0 {
			return p.take(giver, taker, i), true
		}
		if i, taker := p.relieve(giver, price); i >= 0 {
			return p.take(giver, taker, i), true
		}
		p.stuck[giver] = true
	}
	return Transfer{}, false
}

// extremes returns the most used host that can give and the least used host.
func (p *plan) extremes() (giver, taker int) {
	giver, taker = -1, -1
	for i := range p.hosts {
		use := p.hosts[i].Use()
		if taker < 0 || use < p.hosts[taker].Use() {
			taker = i
		}
		if !p.stuck[i] && (giver < 0 || use > p.hosts[giver].Use()) {
			giver = i
		}
	}
	return giver, taker
}

// pick returns the largest candidate that is worth a move and does not leave
// the taker more used than the giver by over half the price, or -1.
func (p *plan) pick(giver, taker int, price float64) int {
	from, to := &p.hosts[giver], &p.hosts[taker]
	best, bestLoad := -1, 0.0
	if to.Use() > emptyShare*p.mean {
		bestLoad = leastShare * from.Capacity
	}
	for i, c := range p.byHost[giver] {
		after := (from.Load-c.Load)/from.Capacity - (to.Load+c.Load)/to.Capacity
		if after < -price*p.mean/2 || c.Load <= bestLoad {
			continue
		}
		best, bestLoad = i, c.Load
	}
	return best
}

// fullUse is the use from which callers wait at a host.
const fullUse = 0.8

// relieve returns the move of the largest slice of a host that is full to the
// host that has the most room for it, if both are less used afterwards than the
// giver was, by the price; else -1. So one slice that is too hot for its host
// goes to a faster one, although it then is the most used one itself.
func (p *plan) relieve(giver int, price float64) (slice, taker int) {
	slice = p.largest(giver)
	if slice < 0 || p.hosts[giver].Use() < fullUse {
		return -1, -1
	}
	c := p.byHost[giver][slice]
	taker = p.roomiest(giver, c.Load)
	from, to := p.hosts[giver], p.hosts[taker]
	from.Load -= c.Load
	to.Load += c.Load
	if max(from.Use(), to.Use()) > p.hosts[giver].Use()-price*p.mean {
		return -1, -1
	}
	return slice, taker
}

// largest returns the largest candidate of a host, or -1.
func (p *plan) largest(giver int) int {
	largest := -1
	for i, c := range p.byHost[giver] {
		if largest < 0 || c.Load > p.byHost[giver][largest].Load {
			largest = i
		}
	}
	return largest
}

// roomiest returns the host, other than the giver, that is least used after it
// took a load.
func (p *plan) roomiest(giver int, load float64) int {
	best, bestUse := -1, 0.0
	for i, h := range p.hosts {
		use := (h.Load + load) / h.Capacity
		if i != giver && (best < 0 || use < bestUse) {
			best, bestUse = i, use
		}
	}
	return best
}

func (p *plan) take(giver, taker, i int) Transfer {
	c := p.byHost[giver][i]
	p.byHost[giver] = slices.Delete(p.byHost[giver], i, i+1)
	p.hosts[giver].Load -= c.Load
	p.hosts[giver].Slices--
	p.hosts[taker].Load += c.Load
	p.hosts[taker].Slices++
	return Transfer{ID: c.ID, Load: c.Load, From: giver, To: taker}
}

// hostQueue is a heap of hosts, least used first.
type hostQueue struct {
	hosts []HostLoad
	order []int
}

func (q *hostQueue) Len() int           { return len(q.order) }
func (q *hostQueue) Less(i, j int) bool { return q.hosts[q.order[i]].Use() < q.hosts[q.order[j]].Use() }
func (q *hostQueue) Swap(i, j int)      { q.order[i], q.order[j] = q.order[j], q.order[i] }
func (q *hostQueue) Push(any)           {}
func (q *hostQueue) Pop() any           { return nil }
