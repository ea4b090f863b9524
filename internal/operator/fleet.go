package operator

import (
	"sort"
	"sync"

	"github.com/rhubarbring/rhubarbring/document"
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/internal/objectstore"
	"github.com/rhubarbring/rhubarbring/session"
	"github.com/rhubarbring/rhubarbring/status"
)

// maxConcurrentQueries limits the daemons that are queried at the same time.
const maxConcurrentQueries = 16

// Host is a live daemon and its answer to a status query.
type Host struct {
	// Session, Place and Control come from its session record in the store
	// (Hosts) or from the status of another daemon (HostsKnownTo).
	Session host.Session
	Place   host.Place
	Control string
	// Target is what its target announced; nil if none has, or if the store
	// wasn't read.
	Target *session.Target
	// Status is its answer; nil if it didn't answer, and then Err says why.
	Status *status.Daemon
	Err    error
}

// Hosts queries every daemon of an environment that has a live or draining
// session in the store. The result includes those that don't answer.
func (c *Client) Hosts(environment string) ([]Host, error) {
	var hosts []Host
	err := forEachObject(c.store.ForEnvironment(environment), session.ObjectKind, func(object objectstore.Object) error {
		record, err := session.Decode(object.Value)
		if err != nil || record.State.Final() {
			return err
		}
		hosts = append(hosts, Host{Session: record.Session, Place: record.Place, Control: record.ControlAddress, Target: record.Target})
		return nil
	})
	if err != nil {
		return nil, err
	}
	c.queryStatuses(hosts)
	return inEnvironment(environment, hosts), nil
}

// HostsKnownTo queries every live daemon that the daemon at an address knows.
// It works without the store. An empty environment means the daemon's own.
func (c *Client) HostsKnownTo(daemon, environment string) ([]Host, error) {
	first, err := c.Status(daemon)
	if err != nil {
		return nil, err
	}
	if environment == "" {
		environment = first.Document.Environment
	}
	hosts := []Host{{Session: first.Session, Place: first.Place, Control: daemon}}
	for _, s := range first.Fleet {
		if s.Session != first.Session && !s.State.Final() {
			hosts = append(hosts, Host{Session: s.Session, Place: s.Place, Control: s.Control})
		}
	}
	c.queryStatuses(hosts)
	return inEnvironment(environment, hosts), nil
}

func inEnvironment(environment string, hosts []Host) []Host {
	var kept []Host
	for _, h := range hosts {
		if h.Status == nil || h.Status.Document.Environment == environment {
			kept = append(kept, h)
		}
	}
	sort.Slice(kept, func(i, j int) bool { return kept[i].Session.String() < kept[j].Session.String() })
	return kept
}

func (c *Client) queryStatuses(hosts []Host) {
	var done sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentQueries)
	for i := range hosts {
		done.Go(func() {
			slots <- struct{}{}
			hosts[i].Status, hosts[i].Err = c.Status(hosts[i].Control)
			<-slots
		})
	}
	done.Wait()
}

// TrialState returns the state of the trial environment that document.Promote
// needs.
func (c *Client) TrialState(environment string) (document.TrialState, error) {
	t := document.TrialState{Environment: environment, Zones: make(map[host.Zone]document.InForce)}
	stored, err := c.Document(environment)
	if err != nil {
		return t, err
	}
	t.Stored = stored
	hosts, err := c.Hosts(environment)
	for _, h := range hosts {
		if h.Status == nil {
			t.Unresponsive = append(t.Unresponsive, h.Session.Host)
			continue
		}
		t.Zones[h.Place.Zone] = mergeInForce(t.Zones[h.Place.Zone], h.Status.Document)
	}
	return t, err
}

func mergeInForce(zone document.InForce, d status.Document) document.InForce {
	if zone.Hosts == 0 || d.Version < zone.Version {
		zone.Version = d.Version
		zone.Hash = document.Hash(d.Hash)
	}
	zone.Hosts++
	return zone
}

// Fleet converts the hosts to the form that document.NewPlan needs.
func Fleet(hosts []Host) document.Fleet {
	var fleet document.Fleet
	for _, h := range hosts {
		member := document.FleetHost{Host: h.Session.Host, Place: h.Place}
		if h.Target != nil {
			member.App = h.Target.App
			member.ChecksGrants = h.Target.ChecksGrants
		}
		if h.Status != nil {
			member.Slices = h.Status.Slices.Owned
		}
		fleet.Hosts = append(fleet.Hosts, member)
	}
	return fleet
}
