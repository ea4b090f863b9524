// Package settings reads and validates the JSON file with a daemon's settings.
package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"net/netip"
	"os"
	"strconv"

	"github.com/rhubarbring/rhubarbring/document"
	"github.com/rhubarbring/rhubarbring/evacuation"
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/result"
)

// Log sets the destination and the level of the log.
type Log struct {
	// File is the path of rhubarbd's log file; empty means standard error.
	// rhubarb-sidecar always logs to standard output.
	File string `json:"file"`
	// Level is the lowest level that is written: debug, info, warn or alarm. It
	// is required.
	Level string `json:"level"`
}

// Placement sets how fast the placement of slices follows the load. All daemons
// of an environment should have the same values; an omitted field has its
// default.
type Placement struct {
	// LoadReportInterval is the interval at which the load of the target is
	// reported to the leader. It is longer in large fleets. Default: 5s.
	LoadReportInterval document.Duration `json:"report_every"`
	// RebalanceInterval is the interval of the rounds that move slices between
	// living owners for balance. Default: 5s.
	RebalanceInterval document.Duration `json:"round_every"`
	// MoveCooldown is how long a slice that was moved stays before it is moved
	// again for balance. Default: 60s.
	MoveCooldown document.Duration `json:"settle"`
	// WarmUp is how long a new host is given less than its share of the load.
	// Default: 30s.
	WarmUp document.Duration `json:"warm_up"`
	// StartupClaimJitter is the largest extra delay, derived from the session,
	// before a daemon that started recently claims leadership. Default: 2s.
	StartupClaimJitter document.Duration `json:"claim_spread"`
}

// Retries bounds the retries of requests by a daemon.
type Retries struct {
	// Ratio is how many retries that may reach a target each first attempt
	// allows, and Burst how many can be saved up. If Ratio is above 0, Burst
	// has to be set too, and retries of attempts that did not reach a target
	// have a separate budget with ratio 0.1 and burst 200. Default: one budget
	// for all retries, with ratio 0.1 and burst 200; Burst is then ignored.
	Ratio float64 `json:"ratio"`
	Burst float64 `json:"burst"`
	// MaxRedirects bounds how often one request is sent to a further daemon
	// after a gate refused it for lack of capacity. Default: no bound.
	MaxRedirects int `json:"max_redirects"`
	// MaxWait is how long a request waits for an owner of its key. Default: 2s.
	MaxWait document.Duration `json:"max_wait"`
}

// PlannedStop sets the times of a planned stop. Each counts from its begin.
type PlannedStop struct {
	// Limit is the time after which the process is killed. The stop ends a little
	// earlier. Default: no bound.
	Limit document.Duration `json:"within"`
	// ServeDuration is how long the daemon continues to serve its slices and its
	// target before it hands them over. Default: 0.
	ServeDuration document.Duration `json:"serve_for"`
	// UnreadyGrace is how long requests of callers are accepted whatever their
	// deadline, because callers need that long to notice that the daemon is not
	// ready. Under a Limit, later ones are refused unless their deadline is before
	// the end of the stop. Default: 0.
	UnreadyGrace document.Duration `json:"notice"`
	// ListenDuration is how long connections of callers are accepted. Default:
	// UnreadyGrace.
	ListenDuration document.Duration `json:"listen_for"`
}

// validate returns an error if the times contradict each other.
func (s *PlannedStop) validate() error {
	for _, t := range []struct {
		field string
		value document.Duration
	}{{"stop.within", s.Limit}, {"stop.serve_for", s.ServeDuration}, {"stop.notice", s.UnreadyGrace}, {"stop.listen_for", s.ListenDuration}} {
		if t.value < 0 {
			return newError(t.field, "the time is negative", "give a time from 0 on")
		}
	}
	if s.ListenDuration != 0 && s.ListenDuration < s.UnreadyGrace {
		return newError("stop.listen_for", "it is shorter than stop.notice", "accept connections for as long as any request is accepted")
	}
	return nil
}

// Spread sets how documents and assignments are distributed to a daemon. All
// daemons of an environment should have the same values; an omitted field has
// its default.
type Spread struct {
	// Interval is the time between two exchanges with the parent, the daemon
	// from which this one receives objects. Default: 1s.
	Interval document.Duration `json:"interval"`
	// SuspectAfter is how long a parent may be silent before it is suspected
	// to have failed. Default: 3s.
	SuspectAfter document.Duration `json:"suspect_after"`
	// SlowWatchWait is how long a relay's watch of any kind but documents waits
	// in the store. Default: 2s.
	SlowWatchWait document.Duration `json:"slow_watch"`
	// WatchesPerSecond is how many watches of the document a daemon starts per
	// second while changes follow each other closely. Default: 2.
	WatchesPerSecond float64 `json:"watch_rate"`
	// WatchDocument makes two daemons of each zone watch the document in the
	// store and announce it to the whole zone, for fleets so small that each can
	// be told. A daemon that hears no other watches it too. Default: false.
	WatchDocument bool `json:"watch_document"`
}

// Daemon holds the settings of one daemon. A field is required unless its
// comment gives a default.
type Daemon struct {
	// Host is the name of the host, unique within the environment.
	Host host.ID `json:"host"`
	// Region and Zone are the location of the host, named as in the document.
	Region host.Region `json:"region"`
	Zone   host.Zone   `json:"zone"`
	// Environment is the name of the document that the daemon follows.
	Environment string `json:"environment"`
	// PeerAddress is the address for frames of other daemons, "IP:port".
	PeerAddress string `json:"peer"`
	// AdvertisedPeer is the address that other daemons connect to, "IP:port", if
	// they reach PeerAddress through a proxy. No other daemon may be reached at
	// it. Default: PeerAddress.
	AdvertisedPeer string `json:"advertised_peer"`
	// ControlAddress is the address for operators, the local target and control
	// calls of other daemons, "IP:port".
	ControlAddress string `json:"control"`
	// CallerAddress is the address that callers connect to, "IP:port".
	CallerAddress string `json:"caller"`
	// StoreAddress is the address of the platform's store, "IP:port".
	StoreAddress string `json:"store"`
	// MetricsAddress is an additional address, "IP:port", that serves only the
	// daemon's metrics. The control address serves them in any case. Default:
	// none.
	MetricsAddress string `json:"metrics"`
	// SeedPeers are the control addresses of some other daemons, "IP:port". A
	// daemon that starts while the store is unreachable learns about the fleet
	// from them. Default: none; such a daemon then waits for the store.
	SeedPeers []string `json:"peers"`
	// MachineID identifies the machine, for fleets in which a machine keeps its
	// addresses across a power failure and no other machine ever gets them.
	// Default: the running kernel's boot id.
	MachineID string `json:"machine"`
	// Group is the name of a set of hosts that are likely to fail together,
	// besides those of one zone, such as the hosts that run one app. Default:
	// none.
	Group string `json:"group"`
	// Log sets the destination and the level of the log.
	Log Log `json:"log"`
	// Placement sets how fast the placement of slices follows the load.
	Placement Placement `json:"placement"`
	// Retries bounds the retries of requests.
	Retries Retries `json:"repeats"`
	// JoinInStore makes the daemon start with a lease in the store and look for
	// witnesses afterwards, for fleets so small that the store can bear the
	// load when all daemons start at once. Default: false.
	JoinInStore bool `json:"join_in_store"`
	// Stop sets the times of a planned stop.
	Stop PlannedStop `json:"stop"`
	// Spread sets how documents and assignments are distributed to the daemon.
	Spread Spread `json:"spread"`
	// Evacuation sets how zones are evacuated.
	Evacuation Evacuation `json:"evacuation"`
	// LimitConcurrency lets the gate start fewer runs than the target has slots if
	// the target's runs take longer the more of them there are.
	LimitConcurrency bool `json:"limit_concurrency"`
	// HostLinkMbps is the capacity of the host's link in megabits per second.
	// Requests with large answers are refused while it is full. Default: 0, not
	// limited.
	HostLinkMbps float64 `json:"host_link_mbps"`
	// MemoryMB is the memory that the process may take, in units of 1,000,000
	// bytes. A part of it is set aside for callers' connections, bodies, answers and
	// other daemons' messages; what finds no room there is refused, or the slowest
	// and largest connections are closed for it. Default: 0, no bound.
	MemoryMB float64 `json:"memory_mb"`
	// MaxDescriptors is how many files and connections the process may have open.
	// Callers' connections get three quarters of them. Default: the limit that the
	// process was started with.
	MaxDescriptors int `json:"max_descriptors"`
	// Seed is the seed of the daemon's random number generators. Some of them
	// also use the time of the start. Default: 0.
	Seed uint64 `json:"seed"`
	// DebugAddress is the address, "IP:port", that serves profiles of the
	// running daemon under /debug/pprof/. Only rhubarbd uses it. The IP must be
	// a loopback address, because anyone who can reach it can slow the daemon
	// down. Default: none.
	DebugAddress string `json:"debug_address"`
}

// Evacuation sets how zones are evacuated. All daemons of an environment should have
// the same values.
type Evacuation struct {
	// Within is the time after the store's answer to the operator from which no target
	// in the zone gets any work, at least 3s. Default: 0, evacuations have no effect.
	Within document.Duration `json:"within"`
}

const (
	bytesPerMB = 1_000_000
	// clientMemoryShare is the part of the memory, one in so many, that callers and
	// other daemons may make the process hold. The rest is for what the process
	// needs itself, for what the garbage collector has not yet freed, and for the
	// kernel's buffers.
	clientMemoryShare = 4
	// memoryPerBodyByte is how much memory is set aside for a byte of a request's
	// body: the body, its frame and the buffers of its connections, on the way in and
	// out, each with as much again that is not collected yet.
	memoryPerBodyByte = 12
	// heapShare is the part of the memory up to which the garbage collector lets
	// the heap grow by its own rule. The rest is for the program, and for the
	// kernel's buffers.
	heapShare = 0.7
	// callerDescriptorShare is the part of the descriptors that callers'
	// connections may use.
	callerDescriptorShare = 0.75
)

// BodyBudgetBytes returns how many bytes of request bodies may be held at a time at
// the gate; 0 if they are not bounded.
func (d *Daemon) BodyBudgetBytes() int {
	return int(d.MemoryMB * bytesPerMB / memoryPerBodyByte)
}

// ClientMemoryBytes returns how many bytes callers and other daemons may make the
// process hold; 0 if they are not bounded.
func (d *Daemon) ClientMemoryBytes() int {
	return int(d.MemoryMB * bytesPerMB / clientMemoryShare)
}

// HeapLimitBytes returns the limit for the garbage collector; 0 if there is none.
func (d *Daemon) HeapLimitBytes() int64 {
	return int64(d.MemoryMB * bytesPerMB * heapShare)
}

// CallerConnections returns how many connections of callers may be open, given how
// many descriptors the process was started with.
func (d *Daemon) CallerConnections(descriptors int) int {
	if d.MaxDescriptors > 0 {
		descriptors = min(descriptors, d.MaxDescriptors)
	}
	return max(int(float64(descriptors)*callerDescriptorShare), 1)
}

// Load reads and validates the settings in a file. Its errors have the code
// BadSettings and name the field if one is at fault.
func Load(path string) (*Daemon, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, &result.Error{Code: result.BadSettings, Field: "--settings", Cause: err, Remedy: "name a readable file"}
	}
	return Parse(raw)
}

// Parse decodes and validates settings. Its errors are like those of Load.
func Parse(raw []byte) (*Daemon, error) {
	var d Daemon
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&d); err != nil {
		return nil, decodeError(err)
	}
	if dec.More() {
		return nil, newError("", "there is text after the JSON document", "keep one document in the file")
	}
	if err := d.validate(); err != nil {
		return nil, err
	}
	return &d, nil
}

func decodeError(err error) error {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		return newError(wrongType.Field, "the value is a "+wrongType.Value+", not a "+wrongType.Type.String(), "correct the value")
	}
	return &result.Error{Code: result.BadSettings, Cause: err, Remedy: "correct the file; docs/SETTINGS.md lists the fields"}
}

func (d *Daemon) validate() error {
	names := []struct{ field, value string }{
		{"host", string(d.Host)},
		{"region", string(d.Region)},
		{"zone", string(d.Zone)},
		{"environment", d.Environment},
	}
	for _, n := range names {
		if n.value == "" {
			return newError(n.field, "the field is empty", "give it a value")
		}
	}
	addresses := []struct{ field, value string }{
		{"peer", d.PeerAddress},
		{"control", d.ControlAddress},
		{"caller", d.CallerAddress},
		{"store", d.StoreAddress},
	}
	for _, a := range addresses {
		if err := checkAddress(a.field, a.value); err != nil {
			return err
		}
	}
	optional := []struct{ field, value string }{
		{"advertised_peer", d.AdvertisedPeer},
		{"metrics", d.MetricsAddress},
	}
	for _, a := range optional {
		if a.value == "" {
			continue
		}
		if err := checkAddress(a.field, a.value); err != nil {
			return err
		}
	}
	for i, peer := range d.SeedPeers {
		if err := checkAddress("peers["+strconv.Itoa(i)+"]", peer); err != nil {
			return err
		}
	}
	if err := d.checkLimits(); err != nil {
		return err
	}
	if d.DebugAddress == "" {
		return nil
	}
	return checkLoopback("debug_address", d.DebugAddress)
}

// checkLimits checks the limits of the host and the times of the fleet.
func (d *Daemon) checkLimits() error {
	if d.HostLinkMbps < 0 {
		return newError("host_link_mbps", "the capacity is below 0", "write the megabits per second, or leave the field out")
	}
	if d.MemoryMB < 0 {
		return newError("memory_mb", "the memory is below 0", "write the millions of bytes, or leave the field out")
	}
	if w := d.Evacuation.Within.Std(); w != 0 && w < evacuation.MinWithin {
		return newError("evacuation.within", w.String()+" is too short", "write "+evacuation.MinWithin.String()+" or more, or leave the field out")
	}
	if d.MaxDescriptors < 0 {
		return newError("max_descriptors", "the number is below 0", "write how many descriptors the process may use, or leave the field out")
	}
	return d.Stop.validate()
}

func checkLoopback(field, value string) error {
	if err := checkAddress(field, value); err != nil {
		return err
	}
	if !netip.MustParseAddrPort(value).Addr().IsLoopback() {
		return newError(field, strconv.Quote(value)+" is reachable from other hosts", "name a loopback address such as 127.0.0.1:6060")
	}
	return nil
}

func checkAddress(field, value string) error {
	address, err := netip.ParseAddrPort(value)
	if err != nil {
		return newError(field, strconv.Quote(value)+" is not an address", `write "IP:port" in numbers`)
	}
	if address.Port() == 0 {
		return newError(field, "port 0 in "+strconv.Quote(value), "name a port")
	}
	return nil
}

func newError(field, detail, remedy string) error {
	return &result.Error{Code: result.BadSettings, Field: field, Detail: detail, Remedy: remedy}
}
