package faulttest

import (
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/document"
	"github.com/rhubarbring/rhubarbring/internal/objectstore"
	"github.com/rhubarbring/rhubarbring/internal/storestand"
	"github.com/rhubarbring/rhubarbring/result"
)

const updateTries = 200

// apply takes a change of the document to its end, as an operator's command does.
func (f *fleet) apply(content []byte, who string, base *uint64) document.UpdateResult {
	u := document.NewUpdate(document.UpdateConfig{
		Environment: environment, Content: content, Token: who, Who: who, When: time.Now(), Base: base,
		Tries: updateTries, Pause: 50 * time.Millisecond, MaxPause: 200 * time.Millisecond,
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
		return document.SaveInDoubt{}
	}
}

// variant returns the document with another bound of a queue.
func (f *fleet) variant(bound string) []byte {
	return []byte(strings.Replace(string(f.document()), `"queue_bound": 12`, `"queue_bound": `+bound, 1))
}

// versions notes the versions in force and checks that none goes back.
type versions struct {
	stop chan struct{}
	done sync.WaitGroup
	back []string
}

func (f *fleet) watchVersions() *versions {
	v := &versions{stop: make(chan struct{})}
	v.done.Go(func() {
		seen := map[string]uint64{}
		for {
			for _, h := range f.hosts {
				s := h.status()
				name := s.Session.String()
				if s.Document.Version < seen[name] {
					v.back = append(v.back, name)
				}
				seen[name] = max(seen[name], s.Document.Version)
			}
			select {
			case <-v.stop:
				return
			case <-time.After(poll):
			}
		}
	})
	return v
}

func (f *fleet) inForce(version uint64, except *node) bool {
	for _, h := range f.hosts {
		if h != except && h.status().Document.Version != version {
			return false
		}
	}
	return true
}

// A document is changed twice while a daemon is down and the store flaps: it
// is in force everywhere, the daemon that was down included, and never an
// earlier one again.
func TestDocumentAppliedWhileTheStoreFlaps(t *testing.T) {
	f := newFleet(t)
	seen := f.watchVersions()
	absent := f.hosts[5]
	absent.kill()
	flaps := make(chan struct{})
	var flapping sync.WaitGroup
	flapping.Go(func() {
		faults := []storestand.Fault{{Outage: true}, {LoseAnswers: 0.7}, {SlowMs: 100}, {LateWritesMs: 700}, {}}
		for i := 0; ; i++ {
			f.store.SetFault(faults[i%len(faults)])
			select {
			case <-flaps:
				f.store.SetFault(storestand.Fault{})
				return
			case <-time.After(300 * time.Millisecond):
			}
		}
	})
	first := f.apply(f.variant("13"), "ana", nil)
	must.NoError(t, first.Err())
	second := f.apply(f.variant("14"), "ben", nil)
	must.NoError(t, second.Err())
	took := f.eventually("the document is in force on the daemons that run", func() bool { return f.inForce(second.Mine.Version, absent) })
	close(flaps)
	flapping.Wait()
	t.Logf("in force %s after it was accepted", took)
	absent.restart()
	f.eventually("the document is in force on the daemon that was down", func() bool { return f.inForce(second.Mine.Version, nil) })
	close(seen.stop)
	seen.done.Wait()
	must.SliceEmpty(t, seen.back)
	must.Eq(t, first.Mine.Version+1, second.Mine.Version)
}

// Two operators change the same version: one is told that the other came
// first, and what is in force is the winner's.
func TestOperatorsRace(t *testing.T) {
	f := newFleet(t)
	base := uint64(1)
	ends := make(chan document.UpdateResult, 2)
	go func() { ends <- f.apply(f.variant("13"), "ana", &base) }()
	go func() { ends <- f.apply(f.variant("14"), "ben", &base) }()
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
