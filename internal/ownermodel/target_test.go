package ownermodel

import (
	"fmt"
	"slices"
	"time"

	"github.com/rhubarbring/rhubarbring/grant"
	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/mono"
)

// maxDrift is by how much a target's clock may run slow.
const maxDrift = 0.02

// instance is one life of a target's process.
type instance struct {
	m         *model
	host      *hostModel
	number    uint64
	name      string
	startedMs int64
	address   string
	alive     bool
	// listenerClosed is set if the instance refuses connections while it may run on.
	listenerClosed bool
	// seenToEnd is set once the connections of the daemons show that it has ended.
	seenToEnd bool
	drift     float64
	holds     [sliceCount]hold
	seen      [sliceCount]uint64 // Highest epoch seen of each slice.
	work      []*work
	releases  []*releaseCall // Whose work has not ended.
	heartbeats
}

// hold is a grant of a slice. A released one begins no more requests.
type hold struct {
	epoch    uint64
	until    mono.Time
	released bool
}

// work is a request that an instance runs, as long as the slice's hold lasts.
type work struct {
	run  *run
	ends mono.Time
}

// releaseCall is a release that is answered once no request of its range runs.
type releaseCall struct {
	release grant.Release
	answer  func()
}

func newInstance(h *hostModel) *instance {
	m := h.m
	m.instances++
	i := &instance{
		m:         m,
		host:      h,
		number:    m.instances,
		name:      "a",
		startedMs: int64(m.instances),
		address:   fmt.Sprint("address ", m.instances),
		alive:     true,
		drift:     m.rng.Float64() * maxDrift,
	}
	i.nextBeat = m.now.Add(m.between(0, 50*time.Millisecond))
	if m.chance(2) {
		i.name = fmt.Sprint("a", m.instances)
	}
	if m.opts.clockJumps && m.chance(10) {
		i.startedMs -= hostCount // The wall clock has jumped back.
	}
	return i
}

// listens reports whether the instance accepts connections.
func (i *instance) listens() bool {
	return i.alive && !i.listenerClosed
}

// crash ends the instance. The connections of its runs are lost soon after. Mostly a
// daemon has another connection, which shows the end at once or a little later.
func (i *instance) crash() {
	i.alive = false
	switch {
	case i.m.chance(4):
	case i.m.chance(4):
		i.m.after(i.m.between(0, 100*time.Millisecond), func() { i.seenToEnd = true })
	default:
		i.seenToEnd = true
	}
	for _, w := range i.work {
		i.lose(w.run)
	}
	i.work = nil
}

// loseConnection loses the connection of a run that goes on.
func (i *instance) loseConnection() {
	if len(i.work) > 0 {
		i.lose(i.work[i.m.rng.IntN(len(i.work))].run)
	}
}

func (i *instance) lose(r *run) {
	m := i.m
	r.lost = true
	m.after(m.between(0, 100*time.Millisecond), func() { r.daemon.runLost(r) })
}

// seeHigherEpoch makes the instance refuse the present epoch of a slice that it
// does not hold.
func (i *instance) seeHigherEpoch() {
	id := key.SliceID(i.m.rng.IntN(sliceCount))
	if o, _ := i.m.leader.pack.At(id); !i.holdsSlice(id) {
		i.seen[id] = max(i.seen[id], o.Epoch+1)
	}
}

// forgetHigherEpochs ends the refusals that seeHigherEpoch has caused.
func (i *instance) forgetHigherEpochs() {
	for id := range i.seen {
		i.seen[id] = i.m.had[id][i.number]
	}
}

// holdsSlice reports whether the instance begins requests of a slice.
func (i *instance) holdsSlice(id key.SliceID) bool {
	h := &i.holds[id]
	return i.alive && !h.released && i.m.now.Before(h.until)
}

// worksOn reports whether the instance works on a request of a slice within its
// hold.
func (i *instance) worksOn(id key.SliceID) bool {
	if !i.alive || !i.m.now.Before(i.holds[id].until) {
		return false
	}
	return slices.ContainsFunc(i.work, func(w *work) bool { return w.run.slice.ID == id && i.m.now.Before(w.ends) })
}

// step ends the work that is over, and answers the releases that waited for it.
func (i *instance) step() {
	if !i.alive {
		return
	}
	i.work = slices.DeleteFunc(i.work, i.endWork)
	waiting := i.releases
	i.releases = nil
	for _, r := range waiting {
		if i.worksOnRange(r.release.Range) {
			i.releases = append(i.releases, r)
			continue
		}
		r.answer()
	}
	i.beat()
}

// endWork reports whether a run has ended, and answers it if so. A run that
// outlasts its hold is answered with an error.
func (i *instance) endWork(w *work) bool {
	if i.m.now.Before(w.ends) && i.m.now.Before(i.holds[w.run.slice.ID].until) {
		return false
	}
	if !w.run.lost {
		i.m.after(transit(i.m), func() { w.run.daemon.runEnded(w.run) })
	}
	return true
}

func (i *instance) worksOnRange(r grant.Range) bool {
	for id := r.First; id <= r.Last; id++ {
		if i.worksOn(id) {
			return true
		}
	}
	return false
}

// accepts reports whether the instance has seen no higher epoch in a range.
func (i *instance) accepts(r grant.Range, epoch uint64) bool {
	for id := r.First; id <= r.Last; id++ {
		if i.seen[id] > epoch {
			return false
		}
	}
	return true
}

// take applies a grant of one slice until an instant. A grant whose time is over
// has no effect.
func (i *instance) take(id key.SliceID, epoch uint64, until mono.Time) {
	i.seen[id] = max(i.seen[id], epoch)
	if !i.alive || !i.m.now.Before(until) {
		return
	}
	i.m.checkTake(i, id, epoch)
	i.holds[id] = hold{epoch: epoch, until: until}
}

// takeCall applies the grant of a call that has arrived at an instant. It returns
// false if the instance refuses it.
func (i *instance) takeCall(g grant.Grant, arrived mono.Time) bool {
	if !i.accepts(g.Range, g.Epoch) {
		return false
	}
	until := arrived.Add(time.Duration(float64(g.Hold) * (1 + i.drift)))
	for id := g.Range.First; id <= g.Range.Last; id++ {
		i.take(id, g.Epoch, max(until, i.sameHold(id, g.Epoch)))
	}
	return true
}

// sameHold returns until when the instance holds a slice at an epoch already.
func (i *instance) sameHold(id key.SliceID, epoch uint64) mono.Time {
	if h := i.holds[id]; h.epoch == epoch {
		return h.until
	}
	return mono.Never
}

// release stops new requests of a range. The answer follows when none is running.
func (i *instance) release(r grant.Release, answer func()) {
	for id := r.Range.First; id <= r.Range.Last; id++ {
		if i.holds[id].epoch <= r.Epoch {
			i.holds[id].released = true
		}
	}
	i.releases = append(i.releases, &releaseCall{release: r, answer: answer})
}

// checkTake checks the invariants of a grant that takes effect.
func (m *model) checkTake(i *instance, id key.SliceID, epoch uint64) {
	m.stats.takes++
	for number, other := range m.had[id] {
		if number != i.number && other >= epoch {
			m.fail("%s takes slice %d at epoch %d, instance %d had it at %d", i, id, epoch, number, other)
		}
	}
	for _, h := range m.hosts {
		for _, other := range append(slices.Clone(h.lingering), h.target) {
			m.checkAlone(i, id, epoch, other)
		}
	}
	if m.had[id][i.number] < epoch {
		m.note("%s takes slice %d at epoch %d", i, id, epoch)
		m.had[id][i.number] = epoch
	}
}

// checkAlone checks that another instance neither holds a slice that an instance takes,
// nor works on it.
func (m *model) checkAlone(i *instance, id key.SliceID, epoch uint64, other *instance) {
	switch {
	case other == i:
	case other.holdsSlice(id):
		m.fail("%s takes slice %d at epoch %d, %s holds it at %d", i, id, epoch, other, other.holds[id].epoch)
	case other.worksOn(id):
		m.fail("%s takes slice %d at epoch %d, %s works on it at %d", i, id, epoch, other, other.holds[id].epoch)
	}
}
