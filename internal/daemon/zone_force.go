package daemon

import (
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/rhubarbring/rhubarbring/document"
	"github.com/rhubarbring/rhubarbring/event"
	"github.com/rhubarbring/rhubarbring/internal/objectstore"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/spread"
)

// zoneForce follows, at an availability zone's relay, whether the newest
// document is in force on every living daemon of the zone, and records it in
// the store: a promotion asks for it.
type zoneForce struct {
	// behind is since when some daemon of the zone lacks the newest document,
	// or 0. Other duties read it.
	behind atomic.Int64
	// recorded is the document's version in the last record that landed, and
	// hosts the count in it.
	recorded uint64
	hosts    int
	writing  bool
	notUntil mono.Time
	// since is since when the daemon is the relay, or 0.
	since mono.Time
}

const (
	// forcePause is the pause after a write of the zone's record that failed.
	forcePause = 2 * time.Second
	// relaySettles is how long a daemon is the relay before it speaks for its
	// zone: when many start at once, each is alone at first.
	relaySettles = 3 * time.Second
)

// documentLag returns for how long the zone has lacked the newest document; 0
// if it does not.
func (s *spreadDuty) documentLag(now mono.Time) time.Duration {
	behind := mono.Time(s.zone.behind.Load())
	if behind == 0 {
		return 0
	}
	return max(now.Sub(behind), 1)
}

func (s *spreadDuty) followForce(now mono.Time) {
	if !s.core.IsRelay() {
		s.zone.since = 0
	} else if s.zone.since == 0 {
		s.zone.since = now
	}
	newest, ok := s.core.Get(spread.Key{Kind: document.Kind, Name: s.d.settings.Environment})
	if !ok || s.zone.since == 0 {
		s.zone.behind.Store(0)
		return
	}
	view := s.core.View(now)
	if view.InForce < newest.Version {
		s.zone.behind.CompareAndSwap(0, int64(now))
		return
	}
	s.zone.behind.Store(0)
	inForce := s.d.fleet.document.Load()
	settled := now.Sub(s.zone.since) >= relaySettles
	if inForce == nil || !settled || s.zone.writing || now.Before(s.zone.notUntil) {
		return
	}
	if s.zone.recorded == inForce.stored.Version && s.zone.hosts == view.Hosts {
		return
	}
	if view.Hosts == s.zoneMembers() {
		s.recordForce(inForce.stored, view.Hosts)
	}
}

// zoneMembers counts the zone's sessions that are live or draining, this
// daemon's among them. A view counts only daemons that are heard: one that is
// not may lack the document.
func (s *spreadDuty) zoneMembers() int {
	n := 1
	for id, v := range s.d.fleet.sessions.Load().records {
		if id != s.d.self && v.Record.Place.Zone == s.d.settings.Zone && !v.Record.State.Final() {
			n++
		}
	}
	return n
}

func (s *spreadDuty) recordForce(stored *document.Stored, hosts int) {
	record := document.InForce{Version: stored.Version, Hash: stored.Hash, Hosts: hosts, When: time.Now().UTC()}
	raw, err := json.Marshal(record)
	if err != nil {
		return
	}
	s.zone.writing = true
	name := document.InForceName(s.d.settings.Environment, s.d.settings.Zone)
	go s.writeForce(name, raw, record)
}

// writeForce replaces the zone's record, on a goroutine of its own. Relays
// that race write the same or a later truth; the loser tries again.
func (s *spreadDuty) writeForce(name string, raw []byte, record document.InForce) {
	old, err := s.d.client.Get(document.InForceKind, name)
	if err == nil || objectstore.IsNotFound(err) {
		_, err = s.d.client.Put(document.InForceKind, name, old.Version, raw)
	}
	s.ring.Wait(forceRecorded{record: record, landed: err == nil}, s.stop)
}

// forceRecorded is the end of a write of the zone's record.
type forceRecorded struct {
	record document.InForce
	landed bool
}

func (w forceRecorded) spreadWork(s *spreadDuty, now mono.Time) {
	s.zone.writing = false
	if !w.landed {
		s.zone.notUntil = now.Add(forcePause)
		return
	}
	if s.zone.recorded != w.record.Version {
		s.d.log.Event(event.ZoneInForce, "zone", string(s.d.settings.Zone), "version", w.record.Version, "hosts", w.record.Hosts)
	}
	s.zone.recorded = w.record.Version
	s.zone.hosts = w.record.Hosts
}
