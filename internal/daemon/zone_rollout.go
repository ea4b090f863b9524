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

// zoneRollout tracks, at the relay of an availability zone, whether the newest
// document is in force on every living daemon of the zone, and records this in
// the store. Promotion of a document depends on that record.
type zoneRollout struct {
	// behindSince is the time since which some daemon of the zone has lacked
	// the newest document, or 0. Other loops read it.
	behindSince atomic.Int64
	// recordedVersion is the document's version in the last record that was
	// written, and recordedHosts the number of hosts in it.
	recordedVersion uint64
	recordedHosts   int
	writing         bool
	retryAt         mono.Time
	// relaySince is the time since which the daemon has been the relay, or 0.
	relaySince mono.Time
}

const (
	// rolloutRetryDelay is the pause after a failed write of the zone's record.
	rolloutRetryDelay = 2 * time.Second
	// relaySettleTime is how long a daemon must have been the relay before it
	// records the state of its zone. When many daemons start at once, each of
	// them first sees no other daemon.
	relaySettleTime = 3 * time.Second
)

// documentLag returns how long some daemon of the zone has lacked the newest
// document, or 0 if none does.
func (s *spreadLoop) documentLag(now mono.Time) time.Duration {
	behind := mono.Time(s.rollout.behindSince.Load())
	if behind == 0 {
		return 0
	}
	return max(now.Sub(behind), 1)
}

// checkRollout updates the zone's state after a step, and records the document
// in the store once it is in force on every member of the zone and the record
// differs.
func (s *spreadLoop) checkRollout(now mono.Time) {
	if !s.core.IsRelay() {
		s.rollout.relaySince = 0
	} else if s.rollout.relaySince == 0 {
		s.rollout.relaySince = now
	}
	newest, ok := s.core.Get(spread.Key{Kind: document.Kind, Name: s.d.settings.Environment})
	if !ok || s.rollout.relaySince == 0 {
		s.rollout.behindSince.Store(0)
		return
	}
	view := s.core.View(now)
	if view.InForce < newest.Version {
		s.rollout.behindSince.CompareAndSwap(0, int64(now))
		return
	}
	s.rollout.behindSince.Store(0)
	inForce := s.d.fleet.document.Load()
	settled := now.Sub(s.rollout.relaySince) >= relaySettleTime
	if inForce == nil || !settled || s.rollout.writing || now.Before(s.rollout.retryAt) {
		return
	}
	if s.rollout.recordedVersion == inForce.stored.Version && s.rollout.recordedHosts == view.Hosts {
		return
	}
	if view.Hosts == s.zoneMembers() {
		s.recordRollout(inForce.stored, view.Hosts)
	}
}

// zoneMembers counts the zone's sessions that are live or draining, including
// this daemon's. The spread core's view counts only the daemons that it hears,
// and a daemon that is not heard may lack the document.
func (s *spreadLoop) zoneMembers() int {
	n := 1
	for id, v := range s.d.fleet.sessions.Load().records {
		if id != s.d.self && v.Record.Place.Zone == s.d.settings.Zone && !v.Record.State.Final() {
			n++
		}
	}
	return n
}

// recordRollout starts a write of the zone's record.
func (s *spreadLoop) recordRollout(stored *document.Stored, hosts int) {
	record := document.InForce{Version: stored.Version, Hash: stored.Hash, Hosts: hosts, When: time.Now().UTC()}
	raw, err := json.Marshal(record)
	if err != nil {
		return
	}
	s.rollout.writing = true
	name := document.InForceName(s.d.settings.Environment, s.d.settings.Zone)
	go s.writeRollout(name, raw, record)
}

// writeRollout replaces the zone's record. It runs on its own goroutine. Two
// relays that write at the same time write the same or a newer state; the store
// rejects one of the writes by its version, and that relay tries again.
func (s *spreadLoop) writeRollout(name string, raw []byte, record document.InForce) {
	old, err := s.d.client.Get(document.InForceKind, name)
	if err == nil || objectstore.IsNotFound(err) {
		_, err = s.d.client.Put(document.InForceKind, name, old.Version, raw)
	}
	s.ring.PushWait(rolloutRecorded{record: record, written: err == nil}, s.stop)
}

// rolloutRecorded is the result of a write of the zone's record.
type rolloutRecorded struct {
	record  document.InForce
	written bool
}

func (w rolloutRecorded) handle(s *spreadLoop, now mono.Time) {
	s.rollout.writing = false
	if !w.written {
		s.rollout.retryAt = now.Add(rolloutRetryDelay)
		return
	}
	if s.rollout.recordedVersion != w.record.Version {
		s.d.log.Event(event.ZoneInForce, "zone", string(s.d.settings.Zone), "version", w.record.Version, "hosts", w.record.Hosts)
	}
	s.rollout.recordedVersion = w.record.Version
	s.rollout.recordedHosts = w.record.Hosts
}
