package daemon

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/document"
	"github.com/rhubarbring/rhubarbring/event"
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/internal/objectstore"
	"github.com/rhubarbring/rhubarbring/result"
	"github.com/rhubarbring/rhubarbring/session"
)

// recordingStore records the calls for documents, and answers the watches with the
// errors in turn, then not at all.
type recordingStore struct {
	objectstore.Store
	mu    sync.Mutex
	calls []string
	errs  []error
	done  chan struct{} // Closed at the watch without an answer.
	never chan struct{}
}

func (r *recordingStore) record(call string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls = append(r.calls, call)
}

func (r *recordingStore) List(kind, _ string, _ int) (objectstore.Page, error) {
	if kind == document.Kind {
		r.record("list")
	}
	return objectstore.Page{Revision: 9}, nil
}

func (r *recordingStore) Watch(kind string, revision uint64, _ time.Duration) (objectstore.Changes, error) {
	if kind != document.Kind {
		<-r.never
		return objectstore.Changes{}, nil
	}
	r.record(fmt.Sprint("watch ", revision))
	if len(r.errs) == 0 {
		close(r.done)
		<-r.never
		return objectstore.Changes{}, nil
	}
	err := r.errs[0]
	r.errs = r.errs[1:]
	return objectstore.Changes{}, err
}

// newLargeZone returns a daemon in a fleet of more than largeFleet sessions, of which
// members, itself included, are of its zone.
func newLargeZone(t *testing.T, store objectstore.Store, members int) *spreadLoop {
	d := newRoutingPair(t, event.Warn).entry
	d.client = store
	d.settings.Spread.WatchDocument = true
	registry := metrics.NewRegistry()
	d.store = newStoreExecutor(store, d.log, registry)
	var records []session.VersionedRecord
	for i := range largeFleet + 1 {
		r := session.Record{Session: host.Session{Host: host.ID(fmt.Sprint("h", i)), Incarnation: 1}, State: session.Live}
		if i < members-1 {
			r.Place.Zone = d.settings.Zone
		}
		records = append(records, session.VersionedRecord{Version: 1, Record: r})
	}
	d.fleet.sessions.Store(&sessionDirectory{records: map[host.Session]session.VersionedRecord{}})
	d.fleet.update(records, nil)
	return newSpreadLoop(d, 1, registry)
}

// When a fleet grew large, every daemon listed the document at the same time, although it
// had it: 15 MB over a link between regions, behind which requests and the next version
// waited. A list is needed only after the store has forgotten the changes.
func TestDocumentIsNotListedAgainWhenZoneGrowsLarge(t *testing.T) {
	tooOld := &result.Error{Code: result.StoreNotFound}
	down := &result.Error{Code: result.StoreUnavailable}
	for _, c := range []struct {
		known uint64
		errs  []error
		calls []string
	}{
		{7, nil, []string{"watch 7"}},
		{0, nil, []string{"list", "watch 9"}},
		{7, []error{tooOld}, []string{"watch 7", "list", "watch 9"}},
		{7, []error{down}, []string{"watch 7", "watch 7"}},
	} {
		store := &recordingStore{errs: c.errs, done: make(chan struct{}), never: make(chan struct{})}
		s := newLargeZone(t, store, largeZone+1)
		s.documentRevision.Store(c.known)
		go s.watchDocument()
		<-store.done
		close(s.stop)
		close(store.never)
		must.Eq(t, c.calls, store.calls)
	}
}

// A fleet of many sessions in small zones leaves documents to the zones' readers.
func TestMembersOfSmallZoneDoNotWatchDocument(t *testing.T) {
	must.False(t, newLargeZone(t, nil, largeZone).zoneIsLarge())
	must.True(t, newLargeZone(t, nil, largeZone+1).zoneIsLarge())
}
