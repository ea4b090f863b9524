package ring_test

import (
	"testing"

	"github.com/rcrowley/go-metrics"
	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/internal/ring"
)

func TestFullRingRefusesAndCounts(t *testing.T) {
	r := ring.New[int]("x", 2, metrics.NewRegistry())
	must.True(t, r.PushIfBelow(1, 1))
	must.False(t, r.PushIfBelow(1, 2))
	must.True(t, r.Push(2))
	must.False(t, r.Push(3))
	must.Eq(t, 2, r.Refused())
	must.Eq(t, 1, <-r.Items())
	stop := make(chan struct{})
	close(stop)
	must.True(t, r.Push(4))
	must.False(t, r.PushWait(5, stop))
	must.Eq(t, 2, r.Len())
}

func BenchmarkPush(b *testing.B) {
	r := ring.New[any]("x", 1024, metrics.NewRegistry())
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		for {
			select {
			case <-r.Items():
			case <-stop:
				return
			}
		}
	}()
	b.ReportAllocs()
	for b.Loop() {
		r.PushWait(nil, stop)
	}
}
