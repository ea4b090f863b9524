// Package trial prepares a trial on loopback addresses: the hosts of a
// customer's fleet, the settings of every process, the commands that start
// them, and the load.
package trial

import (
	"strconv"

	"github.com/rhubarbring/rhubarbring/internal/judge"
	"github.com/rhubarbring/rhubarbring/internal/load"
	"github.com/rhubarbring/rhubarbring/result"
)

// AppLayout describes the targets of one app and the load on it.
type AppLayout struct {
	Targets      int
	ChecksGrants bool
	// MeanServiceMs is the mean service time of the app's targets, in
	// milliseconds.
	MeanServiceMs float64
	Traffic       load.App
}

// Layout describes the fleet of one customer.
type Layout struct {
	Name        string
	Region      map[string]string // Region of each availability zone.
	Zones       []string
	Slots       int
	Connections int
	Apps        []AppLayout
	// StopHost is the host of the planned stop, and KillHost that of the kill.
	StopHost string
	KillHost string
}

// payments is the app without keys, which both customers run alike.
var payments = AppLayout{Targets: 4, ChecksGrants: true, MeanServiceMs: 20, Traffic: load.App{
	Name: "payments", Weight: 1, NonIdempotent: 0.8, DeadlineMs: 5000, BodyBytes: 256,
}}

var layouts = []Layout{
	{
		Name:  "rayuela",
		Zones: []string{"pampa-norte-1", "patagonia-sur-1", "pampa-norte-2", "patagonia-sur-2"},
		Region: map[string]string{
			"pampa-norte-1": "pampa-norte", "pampa-norte-2": "pampa-norte",
			"patagonia-sur-1": "patagonia-sur", "patagonia-sur-2": "patagonia-sur",
		},
		Slots:       12,
		Connections: 130,
		Apps: []AppLayout{
			{Targets: 6, MeanServiceMs: 10, Traffic: load.App{
				Name: "catalogue", Keys: 5000, Zipf: 1.1, Weight: 6, Urgent: 0.05, DeadlineMs: 2000, BodyBytes: 64,
			}},
			{Targets: 5, ChecksGrants: true, MeanServiceMs: 20, Traffic: load.App{
				Name: "reservation", Keys: 2000, Zipf: 1.05, Weight: 3, NonIdempotent: 0.5, DeadlineMs: 5000, BodyBytes: 256,
			}},
			payments,
		},
		StopHost: "h2",
		KillHost: "h8",
	},
	{
		Name:  "kalderimi",
		Zones: []string{"mainland-1", "islands-1", "mainland-2", "islands-2"},
		Region: map[string]string{
			"mainland-1": "mainland", "mainland-2": "mainland",
			"islands-1": "islands", "islands-2": "islands",
		},
		Slots:       6,
		Connections: 60,
		Apps: []AppLayout{
			{Targets: 5, MeanServiceMs: 10, Traffic: load.App{
				Name: "availability", Keys: 3000, Zipf: 1.1, Weight: 5, DeadlineMs: 2000, BodyBytes: 32,
			}},
			payments,
			{Targets: 4, ChecksGrants: true, MeanServiceMs: 20, Traffic: load.App{
				Name: "booking", Keys: 1000, Zipf: 1.05, Weight: 2, NonIdempotent: 0.7, DeadlineMs: 5000, BodyBytes: 256,
			}},
		},
		StopHost: "h2",
		KillHost: "h11",
	},
}

// LayoutByName returns the layout with the given name.
func LayoutByName(name string) (Layout, error) {
	for _, l := range layouts {
		if l.Name == name {
			return l, nil
		}
	}
	return Layout{}, &result.Error{
		Code:   result.BadSettings,
		Field:  "layout",
		Detail: strconv.Quote(name) + " is not a layout",
		Remedy: "name rayuela or kalderimi",
	}
}

// Offsets of ports from the base port, and the bounds of the base port.
const (
	storeOffset   = 0
	peerOffset    = 1000
	controlOffset = 2000
	callerOffset  = 3000
	targetOffset  = 4000
	maxBasePort   = 60000
	minBasePort   = 1024
)

// Host is a host of a layout with the addresses of its processes.
type Host struct {
	judge.Host
	Region  string
	Peer    string
	Control string
	Target  string
	App     AppLayout
}

func address(port int) string {
	return "127.0.0.1:" + strconv.Itoa(port)
}

// StoreAddress returns the address of the store, "IP:port".
func StoreAddress(basePort int) string {
	return address(basePort + storeOffset)
}

// Hosts returns the hosts of the layout, app by app. They are assigned to the
// availability zones in rotation.
func (l Layout) Hosts(basePort int) []Host {
	var out []Host
	for _, app := range l.Apps {
		for range app.Targets {
			n := len(out) + 1
			zone := l.Zones[(n-1)%len(l.Zones)]
			out = append(out, Host{
				Host: judge.Host{
					Name: "h" + strconv.Itoa(n), Zone: zone, App: app.Traffic.Name,
					Slots: l.Slots, CallerAddress: address(basePort + callerOffset + n),
				},
				Region:  l.Region[zone],
				Peer:    address(basePort + peerOffset + n),
				Control: address(basePort + controlOffset + n),
				Target:  address(basePort + targetOffset + n),
				App:     app,
			})
		}
	}
	return out
}
