package timer_test

import (
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/timer"
)

func TestPopDueReturnsEntriesInOrderWhenDue(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 1))
	var q timer.Queue[int]
	for i := range 500 {
		q.Add(mono.Time(rnd.IntN(100)), i)
	}
	var last timer.Entry[int]
	for now := range mono.Time(100) {
		for {
			e, due := q.PopDue(now)
			if !due {
				break
			}
			must.Eq(t, now, e.At)
			must.True(t, e.At > last.At || e.ID > last.ID)
			last = e
		}
		if next, ok := q.NextAt(); ok {
			must.Greater(t, now, next)
		}
	}
	must.Zero(t, q.Len())
}

func TestCompactKeepsSelectedEntriesInOrder(t *testing.T) {
	rnd := rand.New(rand.NewPCG(2, 1))
	var q timer.Queue[int]
	for i := range 500 {
		q.Add(mono.Time(rnd.IntN(1000)), i)
	}
	q.Compact(func(e timer.Entry[int]) bool { return e.Item%5 == 0 })
	must.Eq(t, 100, q.Len())
	last := mono.Time(0)
	for range 100 {
		e, due := q.PopDue(1000)
		must.True(t, due)
		must.Zero(t, e.Item%5)
		must.LessEq(t, e.At, last)
		last = e.At
	}
}
