package spread

import (
	"sort"

	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/mono"
)

// tree ranks the zone's members by host. The first is the relay; each other's
// parent stands Fanout places nearer to it. Members that don't answer are
// passed over, so two daemons may see different trees; that does no harm,
// since whoever hears from a daemon that is behind serves it.
type tree struct {
	self     host.Session
	zone     host.Zone
	fanout   int
	members  []host.Session
	others   []host.Session
	suspects map[host.Session]mono.Time
}

// set takes the living daemons: the own zone's, by rank, and the first of
// each other zone.
func (t *tree) set(all []Member) {
	sorted := append([]Member(nil), all...)
	sort.Slice(sorted, func(i, j int) bool {
		return before(sorted[i].Session, sorted[j].Session)
	})
	t.members = t.members[:0]
	t.others = t.others[:0]
	relays := make(map[host.Zone]int)
	for _, m := range sorted {
		if m.Zone == t.zone {
			t.members = append(t.members, m.Session)
			continue
		}
		if relays[m.Zone] < relaysKnown {
			relays[m.Zone]++
			t.others = append(t.others, m.Session)
		}
	}
}

// relaysKnown is how many daemons of each other zone a relay speaks to in
// turn: one of them may be lost.
const relaysKnown = 3

func before(a, b host.Session) bool {
	if a.Host != b.Host {
		return a.Host < b.Host
	}
	return a.Incarnation < b.Incarnation
}

// suspect passes over a member until the given time.
func (t *tree) suspect(s host.Session, until mono.Time) {
	t.suspects[s] = until
}

// trust takes back a suspicion.
func (t *tree) trust(s host.Session) {
	delete(t.suspects, s)
}

// expire forgets suspicions whose time is over.
func (t *tree) expire(now mono.Time) {
	for s, until := range t.suspects {
		if !until.After(now) {
			delete(t.suspects, s)
		}
	}
}

// ranked returns the members that are not suspected, this daemon among them.
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

// rank returns this daemon's place among the members; 0 is the relay's. A
// daemon that is not yet listed stands last.
func (t *tree) rank() (int, []host.Session) {
	ranked := t.ranked()
	i := sort.Search(len(ranked), func(i int) bool { return !before(ranked[i], t.self) })
	if i < len(ranked) && ranked[i] == t.self {
		return i, ranked
	}
	return len(ranked), ranked
}

// parent returns the daemon that this one takes its versions from, or nobody
// for the relay.
func (t *tree) parent() host.Session {
	rank, ranked := t.rank()
	if rank == 0 || len(ranked) == 0 {
		return host.Nobody
	}
	return ranked[(rank-1)/t.fanout]
}
