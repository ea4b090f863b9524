package faulttest

import (
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/document"
	"github.com/rhubarbring/rhubarbring/internal/fakestore"
	"github.com/rhubarbring/rhubarbring/internal/objectstore"
	"github.com/rhubarbring/rhubarbring/result"
)

const maxStoreFailures = 200

// applyDocument runs an update of the document until it finishes, as an
// operator's command does.
func (f *fleet) applyDocument(content []byte, who string, base *uint64) document.UpdateResult {
	u := document.NewUpdate(document.UpdateConfig{
		Environment: environment, Content: content, Token: who, Who: who, When: time.Now(), Base: base,
		MaxFailures: maxStoreFailures, InitialBackoff: 50 * time.Millisecond, MaxBackoff: 200 * time.Millisecond,
	})
	action := u.Start()
	for {
		switch a := action.(type) {
		case document.Load:
			action = u.Step(f.loadDocument(a))
		case document.Save:
			action = u.Step(f.saveDocument(a))
		case document.Pause:
			time.Sleep(a.For)
			action = u.Step(document.PauseOver{})
		case document.Finish:
			return a.Result
		}
	}
}

func (f *fleet) loadDocument(a document.Load) document.UpdateEvent {
	o, err := f.client.Get(a.Object.Kind, a.Object.Name)
	if err != nil && !objectstore.IsNotFound(err) {
		return document.LoadFailed{}
	}
	return document.Loaded{Object: a.Object, Revision: o.Version, Value: o.Value}
}

func (f *fleet) saveDocument(a document.Save) document.UpdateEvent {
	_, err := f.client.Put(a.Object.Kind, a.Object.Name, a.IfRevision, a.Value)
	switch objectstore.CodeOf(err) {
	case result.OK:
		return document.Saved{}
	case result.StoreConflict:
		return document.SaveRefused{}
	default:
		return document.SaveUnconfirmed{}
	}
}

// documentWithQueueBound returns the document with another bound for one queue.
func (f *fleet) documentWithQueueBound(bound string) []byte {
	return []byte(strings.Replace(string(f.document()), `"queue_bound": 12`, `"queue_bound": `+bound, 1))
}

// versionWatch polls the document version in force on each host and records the
// sessions in which it decreases.
type versionWatch struct {
	stop      chan struct{}
	done      sync.WaitGroup
	regressed []string
}

func (f *fleet) watchVersions() *versionWatch {
	v := &versionWatch{stop: make(chan struct{})}
	v.done.Go(func() {
		seen := map[string]uint64{}
		for {
			for _, h := range f.hosts {
				s := h.status()
				name := s.Session.String()
				if s.Document.Version < seen[name] {
					v.regressed = append(v.regressed, name)
				}
				seen[name] = max(seen[name], s.Document.Version)
			}
			select {
			case <-v.stop:
				return
			case <-time.After(pollInterval):
			}
		}
	})
	return v
}

// documentInForce reports whether a version of the document is in force on all
// hosts. It does not ask the host except, which may be nil.
func (f *fleet) documentInForce(version uint64, except *node) bool {
	for _, h := range f.hosts {
		if h != except && h.status().Document.Version != version {
			return false
		}
	}
	return true
}

// The document is updated twice while one daemon is down and the store
// alternates between faults. The second version must come into force on every
// daemon, including the one that was down, and no daemon may return to an
// earlier version.
func TestDocumentUpdatesReachAllDaemonsWhileStoreFlaps(t *testing.T) {
	f := newFleet(t)
	versions := f.watchVersions()
	absent := f.hosts[5]
	absent.kill()
	stopFlapping := make(chan struct{})
	var flapping sync.WaitGroup
	flapping.Go(func() {
		faults := []fakestore.Fault{{Outage: true}, {LoseAnswers: 0.7}, {SlowMs: 100}, {LateWritesMs: 700}, {}}
		for i := 0; ; i++ {
			f.store.SetFault(faults[i%len(faults)])
			select {
			case <-stopFlapping:
				f.store.SetFault(fakestore.Fault{})
				return
			case <-time.After(300 * time.Millisecond):
			}
		}
	})
	first := f.applyDocument(f.documentWithQueueBound("13"), "ana", nil)
	must.NoError(t, first.Err())
	second := f.applyDocument(f.documentWithQueueBound("14"), "ben", nil)
	must.NoError(t, second.Err())
	took := f.eventually("the document is in force on the daemons that run", func() bool { return f.documentInForce(second.Mine.Version, absent) })
	close(stopFlapping)
	flapping.Wait()
	t.Logf("in force %s after it was accepted", took)
	absent.restart()
	f.eventually("the document is in force on the daemon that was down", func() bool { return f.documentInForce(second.Mine.Version, nil) })
	close(versions.stop)
	versions.done.Wait()
	must.SliceEmpty(t, versions.regressed)
	must.Eq(t, first.Mine.Version+1, second.Mine.Version)
}

// Two operators update the same version at once. One of them must get a
// conflict, and the document in force must be the other one's.
func TestConcurrentUpdatesOfOneVersionConflict(t *testing.T) {
	f := newFleet(t)
	base := uint64(1)
	ends := make(chan document.UpdateResult, 2)
	go func() { ends <- f.applyDocument(f.documentWithQueueBound("13"), "ana", &base) }()
	go func() { ends <- f.applyDocument(f.documentWithQueueBound("14"), "ben", &base) }()
	a, b := <-ends, <-ends
	if a.Verdict == document.Conflict {
		a, b = b, a
	}
	must.Eq(t, document.AcceptedNow, a.Verdict)
	must.Eq(t, document.Conflict, b.Verdict)
	must.ErrorIs(t, b.Err(), &result.Error{Code: result.DocumentConflict})
	f.eventually("the winner's document is in force", func() bool {
		for _, h := range f.hosts {
			if d := h.status().Document; d.Hash != string(a.Mine.Hash) {
				return false
			}
		}
		return true
	})
}
