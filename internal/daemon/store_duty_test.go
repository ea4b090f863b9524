package daemon

import (
	"io"
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
