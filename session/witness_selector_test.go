package session_test

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/session"
)

func memberAt(id, zone, region string) session.Member {
	return session.Member{Session: host.Session{Host: host.ID(id), Incarnation: 1}, Place: host.Place{Region: host.Region(region), Zone: host.Zone(zone)}, State: session.Live}
}

func selectedZones(self session.Member, members []session.Member) []host.Zone {
	c := session.WitnessSelector{Self: self.Session, Place: self.Place, Members: members}
	var zones []host.Zone
	for _, w := range c.Select() {
		for _, m := range members {
			if m.Session == w {
				zones = append(zones, m.Place.Zone)
			}
		}
	}
	return zones
}

func TestWitnessesAreSelectedByZoneAndRegion(t *testing.T) {
	self := memberAt("self", "a", "r1")
	for _, c := range []struct {
		name    string
		members []session.Member
		want    []host.Zone
	}{
		{"three zones and another region", []session.Member{memberAt("1", "a", "r1"), memberAt("2", "b", "r1"), memberAt("3", "c", "r1"), memberAt("4", "c", "r1"), memberAt("5", "x", "r2")}, nil},
		{"two zones and another region", []session.Member{memberAt("1", "a", "r1"), memberAt("2", "b", "r1"), memberAt("3", "b", "r1"), memberAt("5", "x", "r2")}, []host.Zone{"b", "a", "x"}},
		{"one host in each other zone", []session.Member{memberAt("2", "b", "r1"), memberAt("5", "x", "r2"), memberAt("6", "y", "r2")}, []host.Zone{"b", "y", "x"}},
		{"one zone", []session.Member{memberAt("1", "a", "r1"), memberAt("2", "a", "r1"), memberAt("3", "a", "r1")}, []host.Zone{"a", "a", "a"}},
		{"too few", []session.Member{memberAt("1", "a", "r1"), memberAt("2", "b", "r1")}, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := selectedZones(self, c.members)
			if c.name == "three zones and another region" {
				must.SliceContainsAll(t, got, []host.Zone{"b", "c", "x"})
				return
			}
			must.SliceContainsAll(t, got, c.want)
		})
	}
}

// For any fleet, there are WitnessCount witnesses or none. They are of distinct
// other hosts, live and the newest session of their host, and do not depend on
// the order of the members.
func TestSelectedWitnessesAreDistinctLiveAndOrderIndependent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		states := []session.State{session.Live, session.Draining, session.Left, session.Lost}
		var members []session.Member
		seen := make(map[host.Session]session.Member)
		newest := make(map[host.ID]uint64)
		for range rapid.IntRange(0, 30).Draw(t, "members") {
			m := memberAt(rapid.StringMatching("[a-h]").Draw(t, "host"), rapid.StringMatching("[p-s]").Draw(t, "zone"), "r")
			m.Place.Region = host.Region(map[bool]string{true: "r1", false: "r2"}[m.Place.Zone > "q"])
			m.Session.Incarnation = rapid.Uint64Range(1, 3).Draw(t, "incarnation")
			m.State = rapid.SampledFrom(states).Draw(t, "state")
			if _, ok := seen[m.Session]; ok {
				continue
			}
			seen[m.Session] = m
			newest[m.Session.Host] = max(newest[m.Session.Host], m.Session.Incarnation)
			members = append(members, m)
		}
		selector := session.WitnessSelector{Self: host.Session{Host: "a", Incarnation: 9}, Place: host.Place{Region: "r2", Zone: "p"}, Members: members}
		got := selector.Select()
		if len(got) != 0 && len(got) != session.WitnessCount {
			t.Fatalf("%d witnesses", len(got))
		}
		hosts := make(map[host.ID]bool)
		for _, w := range got {
			hosts[w.Host] = true
			if seen[w].State != session.Live || w.Host == "a" || w.Incarnation != newest[w.Host] {
				t.Fatalf("%s is not suitable", w)
			}
		}
		if len(hosts) != len(got) {
			t.Fatalf("a host is chosen twice: %v", got)
		}
		selector.Members = rapid.Permutation(members).Draw(t, "order")
		again := selector.Select()
		for i := range got {
			if again[i] != got[i] {
				t.Fatalf("order matters: %v, %v", got, again)
			}
		}
	})
}

// Among members with equal placement, those of another group than the holder's
// are selected, and the penalty of a set counts the witnesses of the holder's
// own group.
func TestWitnessesOfOtherGroupsArePreferred(t *testing.T) {
	var members []session.Member
	for i := range 12 {
		group := "a"
		if i%2 == 1 {
			group = "b"
		}
		members = append(members, session.Member{
			Session: host.Session{Host: host.ID(fmt.Sprintf("g%02d", i)), Incarnation: 1},
			Place:   host.Place{Region: host.Region(fmt.Sprint("r", i/6)), Zone: host.Zone(fmt.Sprint("z", i/2))},
			State:   session.Live,
			Group:   group,
		})
	}
	groups := make(map[host.Session]string)
	for _, m := range members {
		groups[m.Session] = m.Group
	}
	selector := session.WitnessSelector{Self: members[0].Session, Place: members[0].Place, Group: "a", Members: members}
	set := selector.Select()
	must.Len(t, session.WitnessCount, set)
	for _, w := range set {
		must.Eq(t, "b", groups[w])
	}
	must.Zero(t, selector.Penalty(set))
	selector.Group = "b"
	must.Eq(t, session.WitnessCount, selector.Penalty(set))
}
