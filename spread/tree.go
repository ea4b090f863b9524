package spread

import (
	"sort"

	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/mono"
)

// tree ranks the zone's members by host. The first is the relay and the root;
// the parent of the member at rank r is the one at rank (r-1)/fanout, so each
// has at most fanout children. Members that don't answer are passed over, so
// two daemons may see different trees. That is harmless, because a daemon sends
// changes to any daemon that it finds behind, child or not.
type tree struct {
	self       host.Session
	zone       host.Zone
	fanout     int
	members    []host.Session
	otherZones []host.Session
	// otherRanks has the rank of each of otherZones in its zone.
	otherRanks []int
	// otherRelays has the first daemon of each other zone: its relay, unless that
	// daemon does not answer in its zone.
	otherRelays []host.Session
	suspects    map[host.Session]mono.Time
}

// set replaces the members: the live daemons of the own zone in the order of
// rank, and the first peersPerOtherZone of each other zone.
func (t *tree) set(all []Member) {
	sorted := append([]Member(nil), all...)
	sort.Slice(sorted, func(i, j int) bool {
		return ranksBefore(sorted[i].Session, sorted[j].Session)
	})
	t.members = t.members[:0]
	t.otherZones = t.otherZones[:0]
	t.otherRanks = t.otherRanks[:0]
	t.otherRelays = t.otherRelays[:0]
	taken := make(map[host.Zone]int)
	for _, m := range sorted {
		if m.Zone == t.zone {
			t.members = append(t.members, m.Session)
			continue
		}
		if taken[m.Zone] == 0 {
			t.otherRelays = append(t.otherRelays, m.Session)
		}
		if taken[m.Zone] < peersPerOtherZone {
			t.otherRanks = append(t.otherRanks, taken[m.Zone])
			taken[m.Zone]++
			t.otherZones = append(t.otherZones, m.Session)
		}
	}
}

// otherReaders returns the first daemons of each other zone, up to a number.
func (t *tree) otherReaders(perZone int) []host.Session {
	var out []host.Session
	for i, m := range t.otherZones {
		if t.otherRanks[i] < perZone {
			out = append(out, m)
		}
	}
	return out
}

// peersPerOtherZone is the number of daemons of each other zone among which a
// relay chooses: a single one might be lost.
const peersPerOtherZone = 3

// ranksBefore orders sessions by host, then by incarnation.
func ranksBefore(a, b host.Session) bool {
	if a.Host != b.Host {
		return a.Host < b.Host
	}
	return a.Incarnation < b.Incarnation
}

// suspect has a member passed over until the given time.
func (t *tree) suspect(s host.Session, until mono.Time) {
	t.suspects[s] = until
}

// clearSuspicion ends the suspicion of a member.
func (t *tree) clearSuspicion(s host.Session) {
	delete(t.suspects, s)
}

// expireSuspicions ends the suspicions whose time is over.
func (t *tree) expireSuspicions(now mono.Time) {
	for s, until := range t.suspects {
		if !until.After(now) {
			delete(t.suspects, s)
		}
	}
}

// ranked returns the members that are not suspected, by rank. This daemon is
// never left out if it is a member.
func (t *tree) ranked() []host.Session {
	if len(t.suspects) == 0 {
		return t.members
	}
	kept := make([]host.Session, 0, len(t.members))
	for _, m := range t.members {
		if _, bad := t.suspects[m]; !bad || m == t.self {
			kept = append(kept, m)
		}
	}
	return kept
}

// rank returns this daemon's position among the ranked members, and those
// members. Position 0 is the relay's. A daemon that is not yet a member comes
// last.
func (t *tree) rank() (int, []host.Session) {
	ranked := t.ranked()
	i := sort.Search(len(ranked), func(i int) bool { return !ranksBefore(ranked[i], t.self) })
	if i < len(ranked) && ranked[i] == t.self {
		return i, ranked
	}
	return len(ranked), ranked
}

// parent returns the daemon that this one gets its versions from. The relay,
// and a daemon without members, have host.NoSession.
func (t *tree) parent() host.Session {
	rank, ranked := t.rank()
	if rank == 0 || len(ranked) == 0 {
		return host.NoSession
	}
	return ranked[(rank-1)/t.fanout]
}
