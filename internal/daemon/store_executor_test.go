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

// slowStore answers reads after a delay, and never says whether a write took
// effect.
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

// lostStore blocks every read until it has recovered. Reads sent before that
// stay blocked.
type lostStore struct {
	objectstore.Store
	started   chan bool
	unblock   chan bool
	recovered atomic.Bool
}

func (s *lostStore) Get(string, string) (objectstore.Object, error) {
	if s.recovered.Load() {
		return objectstore.Object{Version: 7}, nil
	}
	s.started <- true
	<-s.unblock
	return objectstore.Object{}, &result.Error{Code: result.StoreUnavailable}
}

// Calls that were lost while the store was unreachable must not delay calls
// that are made once it has recovered.
func TestLostCallsAreGivenUpWhenStoreRecovers(t *testing.T) {
	registry := metrics.NewRegistry()
	store := &lostStore{started: make(chan bool), unblock: make(chan bool)}
	defer close(store.unblock)
	executor := newStoreExecutor(store, eventlog.New(io.Discard, event.Info, "a", registry), registry)
	executor.start()
	answers := make(chan storeAnswer, 2*storeWorkers)
	enqueueGet := func() {
		executor.enqueue(storeCall{op: opGet, done: func(a storeAnswer) { answers <- a }})
	}
	for range storeWorkers {
		enqueueGet()
		<-store.started
	}
	executor.recordResult("watch", "session", &result.Error{Code: result.StoreUnavailable})
	store.recovered.Store(true)
	began := time.Now()
	executor.recordResult("watch", "session", nil)
	enqueueGet()
	codes := map[result.Code]int{}
	for range storeWorkers + 1 {
		codes[(<-answers).code]++
	}
	must.Eq(t, map[result.Code]int{result.StoreUnavailable: storeWorkers, result.OK: 1}, codes)
	must.Less(t, storeTimeout/2, time.Since(began))
	executor.close()
}

// Calls to a slow store that does not fail are not logged: their time must
// appear in the metrics.
func TestStoreCallTimeIsMeasured(t *testing.T) {
	registry := metrics.NewRegistry()
	const delay = 20 * time.Millisecond
	executor := newStoreExecutor(slowStore{delay: delay}, eventlog.New(io.Discard, event.Info, "a", registry), registry)
	took := registry.Get("store.call_us").(metrics.Histogram)

	must.Eq(t, 7, int(executor.execute(storeCall{op: opGet}).object.Version))
	must.Eq(t, 1, took.Count())
	must.GreaterEq(t, delay.Microseconds(), took.Min())

	must.Eq(t, result.StoreDoubt, executor.execute(storeCall{op: opPut}).code)
	must.Eq(t, 2, took.Count(), must.Sprint("calls without an answer count too"))
}
