package session

import (
	"github.com/cespare/xxhash/v2"

	"github.com/rhubarbring/rhubarbring/host"
)

// WitnessSelector describes whose witnesses are chosen and from whom.
type WitnessSelector struct {
	// Self is the holder and Place where it stands; Group is that of its
	// record.
	Self  host.Session
	Place host.Place
	Group string
	// Members are the candidates. Only live sessions of other hosts count,
	// and of each host only the newest.
	Members []Member
	// Current are the present witnesses: one that fits as well as any other
	// stays.
	Current []host.Session
	// Exclude reports members that must not be chosen; nil avoids none.
	Exclude func(*Member) bool
}

// Select returns WitnessCount sessions, or none if the fleet has too few.
// Two stand in the holder's region, in different availability zones that are
// not the holder's if there are such; one stands in another region. Where the
// fleet has fewer places, the nearest to this is taken. Of two that fit alike,
// one of another group than the holder's is taken; other ties are broken by
// rendezvous hashing of the two hosts, so that load spreads evenly and a
// restarted host has the same witnesses as before.
func (c *WitnessSelector) Select() []host.Session {
	pool := c.candidates()
	if len(pool) < WitnessCount {
		return nil
	}
	near := pickBest(pool, c.firstPenalty)
	pool = without(pool, near)
	second := pickBest(pool, func(m *candidate) int { return c.secondPenalty(m, near.Place.Zone) })
	pool = without(pool, second)
	far := pickBest(pool, func(m *candidate) int { return c.thirdPenalty(m, near.Place.Zone, second.Place.Zone) })
	return []host.Session{near.Session, second.Session, far.Session}
}

// Penalty says how far a set, in the order in which Witnesses returns it,
// stands from the best placing: 0 is none. A set of which a witness is not a
// member has the worst.
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
	placing := c.firstPenalty(at[0]) + c.secondPenalty(at[1], zone0) + c.thirdPenalty(at[2], zone0, zone1)
	return placementWeight*placing + c.sameGroupCount(at[:])
}

// placementWeight makes the least step of placing count more than all groups.
const placementWeight = WitnessCount + 1

// sameGroupCount counts the witnesses of the holder's own group.
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
	otherGroup bool // It is of another group than the holder, or groups are unknown.
	current  bool
	score uint64
}

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

// A fit is a penalty: 0 is the best.

func (c *WitnessSelector) firstPenalty(m *candidate) int {
	switch {
	case m.Place.Region != c.Place.Region:
		return 2
	case m.Place.Zone == c.Place.Zone:
		return 1
	}
	return 0
}

func (c *WitnessSelector) secondPenalty(m *candidate, used host.Zone) int {
	switch {
	case m.Place.Region != c.Place.Region && m.Place.Zone == used:
		return 4
	case m.Place.Region != c.Place.Region:
		return 3
	case m.Place.Zone == used:
		return 2
	case m.Place.Zone == c.Place.Zone:
		return 1
	}
	return 0
}

func (c *WitnessSelector) thirdPenalty(m *candidate, used1, used2 host.Zone) int {
	taken := m.Place.Zone == used1 || m.Place.Zone == used2
	switch {
	case m.Place.Region != c.Place.Region && !taken:
		return 0
	case m.Place.Region != c.Place.Region:
		return 1
	case taken:
		return 4
	case m.Place.Zone == c.Place.Zone:
		return 3
	}
	return 2
}

func pickBest(pool []*candidate, fit func(*candidate) int) *candidate {
	var best *candidate
	bestFit := 0
	for _, m := range pool {
		f := fit(m)
		if best == nil || f < bestFit || f == bestFit && m.preferredTo(best) {
			best, bestFit = m, f
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

func without(pool []*candidate, gone *candidate) []*candidate {
	out := pool[:0]
	for _, m := range pool {
		if m != gone {
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
