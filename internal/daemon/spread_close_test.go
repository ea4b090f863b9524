package daemon

import (
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/event"
	"github.com/rhubarbring/rhubarbring/internal/objectstore"
)

// blockedWatchStore is a store whose watches block until the test ends.
type blockedWatchStore struct {
	objectstore.Store
	watchStarted chan struct{}
	unblock      chan struct{}
}

func (h blockedWatchStore) List(string, string, int) (objectstore.Page, error) {
	return objectstore.Page{Revision: 1}, nil
}

func (h blockedWatchStore) Watch(string, uint64, time.Duration) (objectstore.Changes, error) {
	h.watchStarted <- struct{}{}
	<-h.unblock
	return objectstore.Changes{Revision: 1}, nil
}

// A daemon's next session begins when the loops of the previous one are closed.
// A pending watch must not delay that.
func TestPendingWatchDoesNotDelayClose(t *testing.T) {
	d := newRoutingPair(t, event.Info).entry
	store := blockedWatchStore{watchStarted: make(chan struct{}, 8), unblock: make(chan struct{})}
	defer close(store.unblock)
	d.client = store
	d.settings.Spread.WatchDocument = true
	registry := metrics.NewRegistry()
	d.store = newStoreExecutor(store, d.log, registry)
	loop := newSpreadLoop(d, 1, registry)
	loop.start()
	<-store.watchStarted

	closed := make(chan struct{})
	go func() {
		loop.close()
		close(closed)
	}()
	select {
	case <-closed:
	case <-time.After(2 * time.Second):
		must.Unreachable(t, must.Sprint("close waits for the watch"))
	}
}
