// Package evacuation holds the availability zones that operators have evacuated: no
// target there gets any work until the evacuation ends.
//
// An evacuation is an object of the store, named after its zone, and lasts until that
// is removed. Set is what a process knows of these objects, whatever becomes of its
// sessions; Zones is what the loops of a daemon act on.
package evacuation

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/mono"
)

// ObjectKind is the kind of the objects. Their values are not read.
const ObjectKind = "evacuation"

// NoticeTime is how long a daemon that can reach the store or its peers takes at most
// to learn of an evacuation, with its relay lost at that moment left out. The rest of
// the settings' bound is for what its gate has admitted before.
const NoticeTime = 1500 * time.Millisecond

// MinWithin is the shortest bound on an evacuation: NoticeTime and as much to hand the
// slices over.
const MinWithin = 2 * NoticeTime

// Record is the value of an object that the command line writes.
type Record struct {
	Who     string `json:"who"`
	SinceMs int64  `json:"since_ms"`
}

// Zones are the evacuated zones, with the time at which this process learned of each.
// It is immutable.
type Zones map[host.Zone]mono.Time

// Contains reports whether a zone is evacuated.
func (z Zones) Contains(zone host.Zone) bool {
	_, ok := z[zone]
	return ok
}

// Names returns the zones in order.
func (z Zones) Names() []host.Zone {
	return slices.Sorted(maps.Keys(z))
}

// Equal reports whether the same zones are evacuated.
func (z Zones) Equal(other Zones) bool {
	return slices.Equal(z.Names(), other.Names())
}

// LastStart returns the time from which no target in a zone is given work that was
// admitted before, given the bound of the settings; false if it is not evacuated.
func (z Zones) LastStart(zone host.Zone, within time.Duration) (mono.Time, bool) {
	learned, ok := z[zone]
	return learned.Add(within - NoticeTime), ok
}

// Set is the set of evacuations that a process knows. The zero Set has none. It is not
// safe for concurrent use.
//
// Invariant: a zone that was evacuated stays so until a session has read that it is not
// any more; a session that ends or has not read the store ends no evacuation.
type Set struct {
	entries map[host.Zone]entry
}

type entry struct {
	learnedAt mono.Time
	// seen reports that the present session has read the object.
	seen bool
}

// Begin records that a zone is evacuated.
func (s *Set) Begin(now mono.Time, zone host.Zone) {
	if s.entries == nil {
		s.entries = make(map[host.Zone]entry)
	}
	e, known := s.entries[zone]
	if !known {
		e.learnedAt = now
	}
	e.seen = true
	s.entries[zone] = e
}

// End records that the evacuation of a zone is over.
func (s *Set) End(zone host.Zone) {
	delete(s.entries, zone)
}

// BeginSession begins to tell apart what the present session reads.
func (s *Set) BeginSession() {
	for zone, e := range s.entries {
		e.seen = false
		s.entries[zone] = e
	}
}

// CaughtUp ends the evacuations that the present session, which has read all there
// are, has not read.
func (s *Set) CaughtUp() {
	maps.DeleteFunc(s.entries, func(_ host.Zone, e entry) bool { return !e.seen })
}

// Zones returns the evacuated zones that exist, and in order the names that are no
// zone, which have no effect.
func (s *Set) Zones(exists func(host.Zone) bool) (Zones, []host.Zone) {
	zones := make(Zones, len(s.entries))
	var unknown []host.Zone
	for zone, e := range s.entries {
		if !exists(zone) {
			unknown = append(unknown, zone)
			continue
		}
		zones[zone] = e.learnedAt
	}
	slices.SortFunc(unknown, func(a, b host.Zone) int { return cmp.Compare(a, b) })
	return zones, unknown
}
