package daemon

import (
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/event"
	"github.com/rhubarbring/rhubarbring/internal/objectstore"
)

// heldWatch is a store whose watches wait until the test ends.
type heldWatch struct {
	objectstore.Store
	asked chan struct{}
	held  chan struct{}
}

func (h heldWatch) List(string, string, int) (objectstore.Page, error) {
	return objectstore.Page{Revision: 1}, nil
}

func (h heldWatch) Watch(string, uint64, time.Duration) (objectstore.Changes, error) {
	h.asked <- struct{}{}
	<-h.held
	return objectstore.Changes{Revision: 1}, nil
}

// The next session of a daemon begins when the duties of the last one are
// closed: a watch under way in the store must not hold that up.
func TestAWatchUnderWayDoesNotHoldUpTheEnd(t *testing.T) {
	d := newRoutingPair(t, event.Info).entry
	store := heldWatch{asked: make(chan struct{}, 8), held: make(chan struct{})}
	defer close(store.held)
	d.client = store
	d.settings.Spread.WatchDocument = true
	registry := metrics.NewRegistry()
	d.store = newStoreDuty(store, d.log, registry)
	duty := newSpreadDuty(d, 1, registry)
	duty.start()
	<-store.asked

	closed := make(chan struct{})
	go func() {
		duty.close()
		close(closed)
	}()
	select {
	case <-closed:
	case <-time.After(2 * time.Second):
		must.Unreachable(t, must.Sprint("close waits for the watch"))
	}
}
