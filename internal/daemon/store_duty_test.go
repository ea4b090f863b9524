package daemon

import (
	"io"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/event"
	"github.com/rhubarbring/rhubarbring/internal/eventlog"
	"github.com/rhubarbring/rhubarbring/internal/objectstore"
	"github.com/rhubarbring/rhubarbring/result"
)

// slowStore answers a read late, and no other call.
type slowStore struct {
	objectstore.Store
	delay time.Duration
}

func (s slowStore) Get(string, string) (objectstore.Object, error) {
	time.Sleep(s.delay)
	return objectstore.Object{Version: 7}, nil
}

func (s slowStore) Put(string, string, uint64, []byte) (uint64, error) {
	return 0, &result.Error{Code: result.StoreDoubt}
}

// awayStore answers no read until it is back, and then none that was sent
// before.
type awayStore struct {
	objectstore.Store
	begun chan bool
	lost  chan bool
	back  atomic.Bool
}

func (s *awayStore) Get(string, string) (objectstore.Object, error) {
	if s.back.Load() {
		return objectstore.Object{Version: 7}, nil
	}
	s.begun <- true
	<-s.lost
	return objectstore.Object{}, &result.Error{Code: result.StoreUnavailable}
}

// Calls that were lost while the store was away do not hold up what is asked
// for once it is back.
func TestLostCallsAreGivenUpWhenTheStoreIsBack(t *testing.T) {
	registry := metrics.NewRegistry()
	store := &awayStore{begun: make(chan bool), lost: make(chan bool)}
	defer close(store.lost)
	duty := newStoreDuty(store, eventlog.New(io.Discard, event.Info, "a", registry), registry)
	duty.start()
	answers := make(chan storeAnswer, 2*storeWorkers)
	ask := func() {
		duty.ask(storeCall{op: opGet, done: func(a storeAnswer) { answers <- a }})
	}
	for range storeWorkers {
		ask()
		<-store.begun
	}
	duty.note("watch", "session", &result.Error{Code: result.StoreUnavailable})
	store.back.Store(true)
	began := time.Now()
	duty.note("watch", "session", nil)
	ask()
	given := map[result.Code]int{}
	for range storeWorkers + 1 {
		given[(<-answers).code]++
	}
	must.Eq(t, map[result.Code]int{result.StoreUnavailable: storeWorkers, result.OK: 1}, given)
	must.Less(t, storeTimeout/2, time.Since(began))
	duty.close()
}

// A store that is slow and does not fail leaves no log line: its time is in the
// metrics.
func TestTheTimeOfStoreCallsIsCounted(t *testing.T) {
	registry := metrics.NewRegistry()
	const delay = 20 * time.Millisecond
	duty := newStoreDuty(slowStore{delay: delay}, eventlog.New(io.Discard, event.Info, "a", registry), registry)
	took := registry.Get("store.call_us").(metrics.Histogram)

	must.Eq(t, 7, int(duty.make(storeCall{op: opGet}).object.Version))
	must.Eq(t, 1, took.Count())
	must.GreaterEq(t, delay.Microseconds(), took.Min())

	must.Eq(t, result.StoreDoubt, duty.make(storeCall{op: opPut}).code)
	must.Eq(t, 2, took.Count(), must.Sprint("calls without an answer count too"))
}
