package daemon

import (
	"github.com/rhubarbring/rhubarbring/internal/objectstore"
	"github.com/rhubarbring/rhubarbring/internal/peer"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/spread"
)

// spreadTask is a unit of work for the spread loop.
type spreadTask interface {
	handle(s *spreadLoop, now mono.Time)
}

// Tasks of the spread loop.
type (
	spreadReceived struct {
		conn    *peer.Conn
		message spread.Message
	}
	watchDone struct {
		watch   spread.Watch
		number  uint64
		changes objectstore.Changes
		err     error
	}
	listDone struct {
		list spread.List
		page objectstore.Page
		err  error
	}
	// objectWritten is an object that this daemon itself wrote to the store.
	objectWritten struct{ object objectstore.Object }
)

func (w spreadReceived) handle(s *spreadLoop, now mono.Time) {
	from := w.conn.Session()
	if from.IsZero() {
		return
	}
	if s.d.fleet.peerAddress(from) == "" {
		s.unknownPeers[from] = w.conn
	} else {
		delete(s.unknownPeers, from)
	}
	s.lastHeard.Store(int64(now))
	s.step(now, spread.Received{From: from, Message: w.message})
}

func (w watchDone) handle(s *spreadLoop, now mono.Time) {
	if s.watches[w.watch.Kind] != w.number {
		return
	}
	if w.err != nil {
		s.storeFailed(now, w.watch.Kind, w.err)
		return
	}
	s.step(now, spread.Watched{Kind: w.watch.Kind, Revision: w.changes.Revision, Objects: spreadObjects(w.changes.Events)})
}

func (s *spreadLoop) storeFailed(now mono.Time, kind spread.Kind, err error) {
	if objectstore.IsRevisionTooOld(err) {
		s.step(now, spread.Watched{Kind: kind, TooOld: true})
		return
	}
	s.step(now, spread.StoreFailed{Kind: kind})
}

func (w listDone) handle(s *spreadLoop, now mono.Time) {
	if w.err != nil {
		s.step(now, spread.StoreFailed{Kind: w.list.Kind})
		return
	}
	s.step(now, spread.Listed{
		Kind:     w.list.Kind,
		After:    w.list.After,
		Revision: w.page.Revision,
		Objects:  spreadObjects(w.page.Items),
		Next:     w.page.Next,
	})
}

// The version takes effect here at once, and goes to the relays of all zones.
func (w objectWritten) handle(s *spreadLoop, now mono.Time) {
	o := spread.Object{Name: w.object.Name, Version: w.object.Version, Value: w.object.Value}
	s.step(now, spread.Written{Kind: spread.Kind(w.object.Kind), Object: o})
}

func spreadObjects(items []objectstore.Object) []spread.Object {
	out := make([]spread.Object, 0, len(items))
	for _, o := range items {
		out = append(out, spread.Object{Name: o.Name, Version: o.Version, Deleted: o.Deleted, Value: o.Value})
	}
	return out
}
