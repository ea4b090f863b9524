package placement

import (
	"container/heap"
	"math/rand/v2"
	"slices"

	"github.com/rhubarbring/rhubarbring/key"
)

const (
	// baseMoveCost is the factor on the ratio of weights that gives the cost of
	// a move. Costs are gaps between the utilizations of two hosts, in units of
	// the mean utilization.
	baseMoveCost = 0.05
	// minMoveCost keeps noise from moving slices even if only imbalance has
	// weight.
	minMoveCost = 0.05
	// hysteresis is the multiple of the cost above which moves begin. They
	// continue until the gap is no more than the cost itself.
	hysteresis = 2
	// maxSources limits the source hosts that are tried for one transfer. If
	// none of the most utilized hosts has a slice that fits, the highest
	// utilization can't be lowered.
	maxSources = 64
	// minMoveShare is the share of the source's capacity that a slice's load
	// must exceed to be worth a move, unless the destination is nearly empty.
	minMoveShare = 0.004
	// emptyShare is the share of the mean utilization up to which a host counts
	// as nearly empty, as a new host is.
	emptyShare = 0.5
	// maxMoveCost limits the cost: the gap between a host at over twice the
	// mean utilization and the least utilized host always exceeds it.
	maxMoveCost = 1.0
)

// Balanced is a Policy that places slices on the host of lowest utilization,
// and moves slices from the most to the least utilized hosts while the gap
// between their utilizations exceeds the cost of a move.
//
// The cost follows from the app's weights: baseMoveCost times (churn +
// unavailable) over imbalance, within minMoveCost and maxMoveCost, in units of
// the mean utilization. A move may reverse the gap by at most half the cost, so
// the next round does not undo it. The moves that relieve a full host are the
// exception: each lowers the higher of the two utilizations by at least the
// cost, and so is not undone either.
type Balanced struct {
	app      key.App
	moveCost float64
	active   map[key.App]bool // Apps whose moves have begun and are not finished.
	queue    hostQueue
}

// Begin orders the hosts by utilization. Hosts of equal utilization are taken
// in a random order derived from the seed, so that no host ID is favoured.
func (b *Balanced) Begin(app App, hosts []HostLoad, seed uint64) {
	b.app, b.moveCost = app.Name, moveCost(app.Weights)
	b.queue.hosts = hosts
	b.queue.order = rand.New(rand.NewPCG(seed, uint64(len(hosts)))).Perm(len(hosts))
	heap.Init(&b.queue)
}

// moveCost returns the cost of a move, in units of the mean utilization.
func moveCost(w Weights) float64 {
	if w.Imbalance <= 0 {
		return maxMoveCost
	}
	return min(max(baseMoveCost*(w.Churn+w.Unavailable)/w.Imbalance, minMoveCost), maxMoveCost)
}

// Choose returns the host of lowest utilization. Since the previous call, only
// the load of the host chosen then may have changed.
func (b *Balanced) Choose(hosts []HostLoad, _ float64) int {
	b.queue.hosts = hosts
	heap.Fix(&b.queue, 0)
	return b.queue.order[0]
}

// Transfers moves slices from the most to the least utilized hosts until the
// gap is no more than the cost, no slice fits, or the limit is reached.
func (b *Balanced) Transfers(hosts []HostLoad, candidatesAbove func(utilization float64) []Candidate, limit int) []Transfer {
	if len(hosts) < 2 || limit <= 0 {
		return nil
	}
	plan := newTransferPlan(hosts)
	source, dest := plan.mostAndLeastUtilized()
	if plan.gap(source, dest) <= b.threshold()*plan.mean {
		b.setActive(false)
		return nil
	}
	plan.addCandidates(candidatesAbove(hosts[dest].Utilization() + b.moveCost*plan.mean))
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

// threshold returns the gap above which moves begin or, once they have begun,
// continue.
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

// transferPlan plans transfers on copies of the hosts' loads.
type transferPlan struct {
	hosts     []HostLoad
	byHost    [][]Candidate
	mean      float64
	exhausted []bool // Hosts none of whose slices is worth a move.
}

func newTransferPlan(hosts []HostLoad) *transferPlan {
	p := &transferPlan{hosts: slices.Clone(hosts), byHost: make([][]Candidate, len(hosts)), exhausted: make([]bool, len(hosts))}
	var load, capacity float64
	for _, h := range hosts {
		load += h.Load
		capacity += h.Capacity
	}
	p.mean = load / capacity
	return p
}

func (p *transferPlan) addCandidates(candidates []Candidate) {
	for _, c := range candidates {
		p.byHost[c.Host] = append(p.byHost[c.Host], c)
	}
}

func (p *transferPlan) gap(source, dest int) float64 {
	return p.hosts[source].Utilization() - p.hosts[dest].Utilization()
}

// nextTransfer returns the next transfer and applies it to the loads.
func (p *transferPlan) nextTransfer(moveCost float64) (Transfer, bool) {
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

// mostAndLeastUtilized returns the most utilized host that is not exhausted and
// the least utilized host.
func (p *transferPlan) mostAndLeastUtilized() (source, dest int) {
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

// largestFitting returns the largest candidate that is worth a move and whose
// move leaves dest above source by no more than half the cost, or -1.
func (p *transferPlan) largestFitting(source, dest int, moveCost float64) int {
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

// fullUtilization is the utilization from which callers wait at a host.
const fullUtilization = 0.8

// relieveFull returns the largest slice of a full host and the host that would
// be the least utilized with it, provided that the move leaves both below the
// source's present utilization by at least the cost; otherwise -1. Thus a slice
// that is too hot for its host can move to a faster one even if that one then
// becomes the most utilized.
func (p *transferPlan) relieveFull(source int, moveCost float64) (slice, dest int) {
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

// largest returns the index of the largest candidate of a host, or -1.
func (p *transferPlan) largest(source int) int {
	largest := -1
	for i, c := range p.byHost[source] {
		if largest < 0 || c.Load > p.byHost[source][largest].Load {
			largest = i
		}
	}
	return largest
}

// leastUtilizedWith returns the host other than source whose utilization would
// be the lowest with the load added.
func (p *transferPlan) leastUtilizedWith(source int, load float64) int {
	best, bestUtilization := -1, 0.0
	for i, h := range p.hosts {
		utilization := (h.Load + load) / h.Capacity
		if i != source && (best < 0 || utilization < bestUtilization) {
			best, bestUtilization = i, utilization
		}
	}
	return best
}

// apply applies the move of the i-th candidate of source to the loads.
func (p *transferPlan) apply(source, dest, i int) Transfer {
	c := p.byHost[source][i]
	p.byHost[source] = slices.Delete(p.byHost[source], i, i+1)
	p.hosts[source].Load -= c.Load
	p.hosts[source].Slices--
	p.hosts[dest].Load += c.Load
	p.hosts[dest].Slices++
	return Transfer{ID: c.ID, Load: c.Load, From: source, To: dest}
}

// hostQueue is a heap of hosts, the least utilized first.
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
