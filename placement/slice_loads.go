package placement

import "github.com/rhubarbring/rhubarbring/key"

// unreported is the load of a regular slice that was never reported.
const unreported = -1

// sliceLoads holds the normalized load of each slice of an app.
type sliceLoads struct {
	regular       []float32
	carvedOut     map[key.SliceID]float32
	reportedCount int     // Regular slices whose load was reported.
	sum           float64 // Load of those slices.

	// balanceRound counts the balance rounds. regularRound and carvedOutRound
	// hold the round in which each slice's load was last set.
	balanceRound   uint32
	regularRound   []uint32
	carvedOutRound map[key.SliceID]uint32
}

func newSliceLoads(slices uint32) sliceLoads {
	l := sliceLoads{
		regular: make([]float32, slices), regularRound: make([]uint32, slices),
		carvedOut: make(map[key.SliceID]float32), carvedOutRound: make(map[key.SliceID]uint32), balanceRound: 1,
	}
	for i := range l.regular {
		l.regular[i] = unreported
	}
	return l
}

// get returns a slice's load and whether there is one. The load of a slice that
// was never reported is not valid.
func (l *sliceLoads) get(id key.SliceID) (float64, bool) {
	if id < key.SliceID(len(l.regular)) {
		busy := l.regular[id]
		return float64(busy), busy != unreported
	}
	busy, ok := l.carvedOut[id]
	return float64(busy), ok
}

// estimate returns a slice's load, or the mean of the reported regular slices
// if it was never reported.
func (l *sliceLoads) estimate(id key.SliceID) float64 {
	if busy, ok := l.get(id); ok {
		return busy
	}
	return l.sum / float64(max(1, l.reportedCount))
}

func (l *sliceLoads) set(id key.SliceID, busy float64) {
	if id >= key.SliceID(len(l.regular)) {
		l.carvedOut[id], l.carvedOutRound[id] = float32(busy), l.balanceRound
		return
	}
	l.regularRound[id] = l.balanceRound
	if old, ok := l.get(id); ok {
		l.reportedCount--
		l.sum -= old
	}
	l.regular[id] = float32(busy)
	l.reportedCount++
	l.sum += busy
}

// shift moves up to busy of the load of one slice to another.
func (l *sliceLoads) shift(from, to key.SliceID, busy float64) {
	l.set(from, max(0, l.estimate(from)-busy))
	old, _ := l.get(to)
	l.set(to, max(0, old)+busy)
}

func (l *sliceLoads) remove(id key.SliceID) {
	delete(l.carvedOut, id)
	delete(l.carvedOutRound, id)
}

// decay lowers the load of a slice that was not reported in this balance round.
// It is called for slices whose owner did report, so the slice had no load.
func (l *sliceLoads) decay(id key.SliceID) {
	round := l.carvedOutRound[id]
	if id < key.SliceID(len(l.regular)) {
		round = l.regularRound[id]
	}
	if round == l.balanceRound {
		return
	}
	busy, _ := l.get(id)
	l.set(id, max(0, busy)*(1-reportWeight))
}
