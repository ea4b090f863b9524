// Package settings reads the JSON file that a daemon starts from.
package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"net/netip"
	"os"
	"strconv"

	"github.com/rhubarbring/rhubarbring/document"
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/result"
)

// Log says where log lines go.
type Log struct {
	// File is the path of the log; empty means standard error.
	File string `json:"file"`
	// Level is the lowest level written: debug, info, warn or alarm.
	// Default: info.
	Level string `json:"level"`
}

// Placement says how fast slices follow the load. All daemons of an environment
// should have the same; a field that is left out has its default.
type Placement struct {
	// ReportEvery is the time between two reports of a target's load to the
	// leader, more in large fleets. Default: 5s.
	ReportEvery document.Duration `json:"report_every"`
	// RoundEvery is the time between two rounds that move slices between
	// living owners. Default: 5s.
	RoundEvery document.Duration `json:"round_every"`
	// Settle is how long a slice that was moved stays. Default: 60s.
	Settle document.Duration `json:"settle"`
	// WarmUp is how long a new host gets less than its share. Default: 30s.
	WarmUp document.Duration `json:"warm_up"`
	// ClaimSpread is the time over which daemons that started a short while
	// ago spread their claims to lead. Default: 2s.
	ClaimSpread document.Duration `json:"claim_spread"`
}

// Repeats bounds how often a daemon sends a request again.
type Repeats struct {
	// Ratio is how many repeats that may reach a target each first sending
	// pays for, and Burst how many can be saved up. Sendings that follow a
	// daemon's own refusal then count apart. Default: 0.1 and 200 for both.
	Ratio float64 `json:"ratio"`
	Burst float64 `json:"burst"`
	// MaxRedirects bounds the daemons that one request is sent to because
	// others had no room for it. Default: no bound.
	MaxRedirects int `json:"max_redirects"`
	// MaxWait is how long a request waits for an owner of its key. Default: 2s.
	MaxWait document.Duration `json:"max_wait"`
}

// Stop bounds a planned stop.
type Stop struct {
	// Within is the time after which the process is killed, or a little less.
	// Default: as long as it takes.
	Within document.Duration `json:"within"`
	// ServeFor is how long the daemon goes on serving its slices and its
	// target after it was asked to stop, before it hands them over. Default:
	// none.
	ServeFor document.Duration `json:"serve_for"`
	// Notice is how long callers are still taken after the daemon said that
	// it is not ready: they need that long to learn of it. Default: none.
	Notice document.Duration `json:"notice"`
}

// Spread says how documents and assignments reach a daemon. All daemons of an
// environment should have the same; a field that is left out has its default.
type Spread struct {
	// Interval is the time between two exchanges with the parent. Default: 1s.
	Interval document.Duration `json:"interval"`
	// SuspectAfter is how long a parent may be silent. Default: 3s.
	SuspectAfter document.Duration `json:"suspect_after"`
	// SlowWatch is how long a relay's watch of sessions or assignments waits
	// in the store. Default: 2s.
	SlowWatch document.Duration `json:"slow_watch"`
	// WatchRate is how many watches of a kind a relay begins in a second when
	// changes follow each other. Default: 2.
	WatchRate float64 `json:"watch_rate"`
	// WatchDocument says that the daemon also watches the document in the
	// store itself, for fleets so small that the store can bear it.
	WatchDocument bool `json:"watch_document"`
}

// Daemon is the settings of one daemon. All fields are needed unless they
// name a default.
type Daemon struct {
	// Host names the host, unique within the environment.
	Host host.ID `json:"host"`
	// Region and Zone say where the host stands, as the document names them.
	Region host.Region `json:"region"`
	Zone   host.Zone   `json:"zone"`
	// Environment names the document that the daemon follows.
	Environment string `json:"environment"`
	// Peer is the address for other daemons, "IP:port".
	Peer string `json:"peer"`
	// Control is the address for operators, the local target and control
	// calls of other daemons, "IP:port".
	Control string `json:"control"`
	// Caller is the address for callers, "IP:port".
	Caller string `json:"caller"`
	// Store is the address of the platform's store, "IP:port".
	Store string `json:"store"`
	// Metrics is a further address, "IP:port", that serves the daemon's metrics
	// and nothing else. Default: none; the control address serves them too.
	Metrics string `json:"metrics"`
	// Peers are control addresses of some other daemons, "IP:port". A daemon
	// that starts while the store can't be reached learns of the fleet from
	// them. Default: none; such a daemon then waits for the store.
	Peers []string `json:"peers"`
	// Machine identifies the machine, for fleets in which a machine keeps its
	// addresses over a loss of power and no other machine ever gets them.
	// Default: the running kernel's own id.
	Machine string `json:"machine"`
	// Group names hosts that are likely lost together, beside those of one
	// zone, such as those that run one app. Default: none.
	Group string `json:"group"`
	// Log says where log lines go.
	Log Log `json:"log"`
	// Placement says how fast slices follow the load.
	Placement Placement `json:"placement"`
	// Repeats bounds how often the daemon sends a request again.
	Repeats Repeats `json:"repeats"`
	// JoinInStore says that a daemon begins with a lease in the store and looks
	// for witnesses afterwards, for fleets so small that the store can bear
	// it when all start at once. Default: false.
	JoinInStore bool `json:"join_in_store"`
	// Stop bounds a planned stop.
	Stop Stop `json:"stop"`
	// Spread says how documents and assignments reach the daemon.
	Spread Spread `json:"spread"`
	// Seed starts the daemon's random numbers. Default: drawn at start.
	Seed uint64 `json:"seed"`
	// DebugAddress serves profiles of the running daemon under /debug/pprof/
	// on "IP:port" when set. The IP must be a loopback address, since anyone
	// who reaches it can slow the daemon. Default: none.
	DebugAddress string `json:"debug_address"`
}

// Load reads and checks the settings in a file. Its errors have the code
// BadSettings and name the field.
func Load(path string) (*Daemon, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, &result.Error{Code: result.BadSettings, Field: "--settings", Cause: err, Remedy: "name a readable file"}
	}
	return Parse(raw)
}

// Parse reads and checks settings.
func Parse(raw []byte) (*Daemon, error) {
	var d Daemon
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&d); err != nil {
		return nil, decodeError(err)
	}
	if dec.More() {
		return nil, bad("", "there is text after the JSON document", "keep one document in the file")
	}
	if err := d.check(); err != nil {
		return nil, err
	}
	return &d, nil
}

func decodeError(err error) error {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		return bad(wrongType.Field, "a "+wrongType.Value+" stands where a "+wrongType.Type.String()+" is due", "correct the value")
	}
	return &result.Error{Code: result.BadSettings, Cause: err, Remedy: "correct the file; docs/SETTINGS.md lists the fields"}
}

func (d *Daemon) check() error {
	names := []struct{ field, value string }{
		{"host", string(d.Host)},
		{"region", string(d.Region)},
		{"zone", string(d.Zone)},
		{"environment", d.Environment},
	}
	for _, n := range names {
		if n.value == "" {
			return bad(n.field, "the field is empty", "give it a value")
		}
	}
	addresses := []struct{ field, value string }{
		{"peer", d.Peer},
		{"control", d.Control},
		{"caller", d.Caller},
		{"store", d.Store},
	}
	for _, a := range addresses {
		if err := checkAddress(a.field, a.value); err != nil {
			return err
		}
	}
	if d.Metrics != "" {
		if err := checkAddress("metrics", d.Metrics); err != nil {
			return err
		}
	}
	for i, peer := range d.Peers {
		if err := checkAddress("peers["+strconv.Itoa(i)+"]", peer); err != nil {
			return err
		}
	}
	if d.DebugAddress == "" {
		return nil
	}
	return checkLoopback("debug_address", d.DebugAddress)
}

func checkLoopback(field, value string) error {
	if err := checkAddress(field, value); err != nil {
		return err
	}
	if !netip.MustParseAddrPort(value).Addr().IsLoopback() {
		return bad(field, strconv.Quote(value)+" is reachable from other hosts", "name a loopback address such as 127.0.0.1:6060")
	}
	return nil
}

func checkAddress(field, value string) error {
	address, err := netip.ParseAddrPort(value)
	if err != nil {
		return bad(field, strconv.Quote(value)+" is not an address", `write "IP:port" in numbers`)
	}
	if address.Port() == 0 {
		return bad(field, "port 0 in "+strconv.Quote(value), "name a port")
	}
	return nil
}

func bad(field, detail, remedy string) error {
	return &result.Error{Code: result.BadSettings, Field: field, Detail: detail, Remedy: remedy}
}
