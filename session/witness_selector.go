package session

import (
	"github.com/cespare/xxhash/v2"

	"github.com/rhubarbring/rhubarbring/host"
)

// WitnessSelector selects the witnesses of a session from the members of the
// fleet.
type WitnessSelector struct {
	// Self is the holder, Place its location, and Group that of its record.
	Self  host.Session
	Place host.Place
	Group string
	// Members are the candidates. Only live sessions of other hosts are
	// eligible, and only the newest of each host.
	Members []Member
	// Current are the present witnesses; they win ties against other candidates.
	Current []host.Session
	// Exclude reports members that must not be selected; nil excludes none.
	Exclude func(*Member) bool
}

// Select returns WitnessCount sessions, or none if too few are eligible. The
// first two are in the holder's region, if possible in two availability zones
// other than the holder's; the third is in another region. If the fleet has no
// such hosts, those with the lowest penalties are taken. Among candidates of
// equal penalty, one of another group than the holder's is preferred, then a
// current witness; other ties are broken by rendezvous hashing of the two
// hosts, so that load spreads evenly and a restarted host gets the same
// witnesses as before.
func (c *WitnessSelector) Select() []host.Session {
	pool := c.candidates()
	if len(pool) < WitnessCount {
		return nil
	}
	first := pickBest(pool, c.firstPenalty)
	pool = without(pool, first)
	second := pickBest(pool, func(m *candidate) int { return c.secondPenalty(m, first.Place.Zone) })
	pool = without(pool, second)
	third := pickBest(pool, func(m *candidate) int { return c.thirdPenalty(m, first.Place.Zone, second.Place.Zone) })
	return []host.Session{first.Session, second.Session, third.Session}
}

// Penalty rates the placement of a set, in the order in which Select returns
// it: 0 is the best. A set of the wrong size, or with a witness that is not a
// member, has the highest penalty.
func (c *WitnessSelector) Penalty(set []host.Session) int {
	if len(set) != WitnessCount {
		return maxPenalty
	}
	var at [WitnessCount]*candidate
	for i := range c.Members {
		for j, s := range set {
			if c.Members[i].Session == s {
				at[j] = &candidate{Member: &c.Members[i]}
			}
		}
	}
	if at[0] == nil || at[1] == nil || at[2] == nil {
		return maxPenalty
	}
	zone0, zone1 := at[0].Place.Zone, at[1].Place.Zone
	placement := c.firstPenalty(at[0]) + c.secondPenalty(at[1], zone0) + c.thirdPenalty(at[2], zone0, zone1)
	return placementWeight*placement + c.sameGroupCount(at[:])
}

// placementWeight makes the smallest difference of placement outweigh the
// groups of all witnesses.
const placementWeight = WitnessCount + 1

// sameGroupCount returns how many witnesses are of the holder's own group.
func (c *WitnessSelector) sameGroupCount(set []*candidate) int {
	n := 0
	for _, m := range set {
		if c.Group != "" && m.Group == c.Group {
			n++
		}
	}
	return n
}

const maxPenalty = 100

type candidate struct {
	*Member
	otherGroup bool // Of another group than the holder's, or the holder's is unknown.
	current    bool
	score      uint64
}

// candidates returns the eligible members.
func (c *WitnessSelector) candidates() []*candidate {
	newest := make(map[host.ID]uint64, len(c.Members))
	for i := range c.Members {
		s := c.Members[i].Session
		newest[s.Host] = max(newest[s.Host], s.Incarnation)
	}
	all := make([]candidate, 0, len(c.Members))
	pool := make([]*candidate, 0, len(c.Members))
	for i := range c.Members {
		m := &c.Members[i]
		if m.State != Live || m.Session.Host == c.Self.Host || newest[m.Session.Host] != m.Session.Incarnation {
			continue
		}
		if c.Exclude != nil && c.Exclude(m) {
			continue
		}
		all = append(all, candidate{Member: m, otherGroup: c.Group == "" || m.Group != c.Group, current: contains(c.Current, m.Session), score: c.score(m.Session.Host)})
		pool = append(pool, &all[len(all)-1])
	}
	return pool
}

func (c *WitnessSelector) score(other host.ID) uint64 {
	return xxhash.Sum64String(string(c.Self.Host) + "\x00" + string(other))
}

// firstPenalty, secondPenalty and thirdPenalty rate a candidate as the first,
// second or third witness: 0 is the best. The zone parameters are those of
// the witnesses selected before it.

func (c *WitnessSelector) firstPenalty(m *candidate) int {
	switch {
	case m.Place.Region != c.Place.Region:
		return 2
	case m.Place.Zone == c.Place.Zone:
		return 1
	}
	return 0
}

func (c *WitnessSelector) secondPenalty(m *candidate, firstZone host.Zone) int {
	switch {
	case m.Place.Region != c.Place.Region && m.Place.Zone == firstZone:
		return 4
	case m.Place.Region != c.Place.Region:
		return 3
	case m.Place.Zone == firstZone:
		return 2
	case m.Place.Zone == c.Place.Zone:
		return 1
	}
	return 0
}

func (c *WitnessSelector) thirdPenalty(m *candidate, firstZone, secondZone host.Zone) int {
	sameZone := m.Place.Zone == firstZone || m.Place.Zone == secondZone
	switch {
	case m.Place.Region != c.Place.Region && !sameZone:
		return 0
	case m.Place.Region != c.Place.Region:
		return 1
	case sameZone:
		return 4
	case m.Place.Zone == c.Place.Zone:
		return 3
	}
	return 2
}

func pickBest(pool []*candidate, penalty func(*candidate) int) *candidate {
	var best *candidate
	bestPenalty := 0
	for _, m := range pool {
		p := penalty(m)
		if best == nil || p < bestPenalty || p == bestPenalty && m.preferredTo(best) {
			best, bestPenalty = m, p
		}
	}
	return best
}

func (m *candidate) preferredTo(o *candidate) bool {
	if m.otherGroup != o.otherGroup {
		return m.otherGroup
	}
	if m.current != o.current {
		return m.current
	}
	if m.score != o.score {
		return m.score > o.score
	}
	return m.Session.Host < o.Session.Host
}

func without(pool []*candidate, excluded *candidate) []*candidate {
	out := pool[:0]
	for _, m := range pool {
		if m != excluded {
			out = append(out, m)
		}
	}
	return out
}

func contains(list []host.Session, s host.Session) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}
