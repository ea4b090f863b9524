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

// asking is how many daemons are asked at a time.
const asking = 16

// Host is a living daemon and what it answered.
type Host struct {
	// Session, Place and Control are those of its record.
	Session host.Session
	Place   host.Place
	Control string
	// Target is what its target announced; nil if none has.
	Target *session.Target
	// Status is its answer; nil if it didn't answer, for the reason Err.
	Status *status.Daemon
	Err    error
}

// Hosts asks every living daemon of an environment whose session stands in
// the store. Those that don't answer are kept.
func (o *Operator) Hosts(environment string) ([]Host, error) {
	var hosts []Host
	err := each(o.store.Scoped(environment), session.Kind, func(object objectstore.Object) error {
		record, err := session.Decode(object.Value)
		if err != nil || record.State.Final() {
			return err
		}
		hosts = append(hosts, Host{Session: record.Session, Place: record.Place, Control: record.Control, Target: record.Target})
		return nil
	})
	if err != nil {
		return nil, err
	}
	o.askAll(hosts)
	return of(environment, hosts), nil
}

// HostsKnownTo asks every living daemon that the one at an address knows. It
// works without the store. An empty environment is that of the daemon.
func (o *Operator) HostsKnownTo(daemon, environment string) ([]Host, error) {
	first, err := o.Status(daemon)
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
	o.askAll(hosts)
	return of(environment, hosts), nil
}

func of(environment string, hosts []Host) []Host {
	var kept []Host
	for _, h := range hosts {
		if h.Status == nil || h.Status.Document.Environment == environment {
			kept = append(kept, h)
		}
	}
	sort.Slice(kept, func(i, j int) bool { return kept[i].Session.String() < kept[j].Session.String() })
	return kept
}

func (o *Operator) askAll(hosts []Host) {
	var done sync.WaitGroup
	slots := make(chan struct{}, asking)
	for i := range hosts {
		done.Go(func() {
			slots <- struct{}{}
			hosts[i].Status, hosts[i].Err = o.Status(hosts[i].Control)
			<-slots
		})
	}
	done.Wait()
}

// Trial returns what the trial environment has in force, as Promote needs it.
func (o *Operator) Trial(environment string) (document.TrialState, error) {
	t := document.TrialState{Environment: environment, Zones: make(map[host.Zone]document.InForce)}
	stored, err := o.Document(environment)
	if err != nil {
		return t, err
	}
	t.Stored = stored
	hosts, err := o.Hosts(environment)
	for _, h := range hosts {
		if h.Status == nil {
			t.Silent = append(t.Silent, h.Session.Host)
			continue
		}
		t.Zones[h.Place.Zone] = lowest(t.Zones[h.Place.Zone], h.Status.Document)
	}
	return t, err
}

func lowest(zone document.InForce, d status.Document) document.InForce {
	if zone.Hosts == 0 || d.Version < zone.Version {
		zone.Version = d.Version
		zone.Hash = document.Hash(d.Hash)
	}
	zone.Hosts++
	return zone
}

// Fleet returns the hosts as a plan needs them.
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
