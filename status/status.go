// Package status defines the JSON answers of GET /status and GET /explain on a
// daemon's control address. They describe the daemon itself and a key.
package status

import (
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/session"
)

// Daemon is the answer of GET /status.
type Daemon struct {
	// Session and Place identify the daemon.
	Session host.Session `json:"session"`
	Place   host.Place   `json:"place"`
	// Ready is empty if the daemon can route requests. Otherwise it tells
	// what is missing.
	Ready string `json:"ready"`
	// StoreReachable reports whether the last call to the store was answered.
	StoreReachable bool `json:"store_reachable"`
	// Lease describes the daemon's own session and its lease.
	Lease Lease `json:"lease"`
	// Document is the configuration in force here.
	Document Document `json:"document"`
	// Fleet lists the sessions that the daemon knows.
	Fleet []Session `json:"fleet"`
	// RenewedHere lists the sessions of which this daemon is a witness and that
	// have renewed their lease here within the duration of a lease.
	RenewedHere []host.Session `json:"heard"`
	// Placement tells which daemon leads placement.
	Placement Placement `json:"placement"`
	// Slices counts the slices of this daemon.
	Slices Slices `json:"slices"`
	// Target is the daemon's local target, or nil if none has announced
	// itself.
	Target *Target `json:"target,omitempty"`
	// Requests counts the requests routed since the daemon started.
	Requests Requests `json:"requests"`
	// Unowned counts, for each app, the slices that have no live owner
	// according to the assignment that this daemon knows.
	Unowned []Unowned `json:"unowned"`
	// BoundRoutes are the routes of the document that name allowed regions.
	BoundRoutes []BoundRoute `json:"bound_routes,omitempty"`
	// Evacuated lists the availability zones that are evacuated.
	Evacuated []host.Zone `json:"evacuated,omitempty"`
	// Relay reports whether the daemon watches the store for its zone.
	Relay bool `json:"relay"`
	// OpenOutcomes counts the outcomes at risk that this daemon has yet to
	// save in the store.
	OpenOutcomes int `json:"open_outcomes"`
	// Alarms lists this daemon's alarms that nobody has acknowledged, each as a
	// line of severity, ID, cause and counts.
	Alarms []string `json:"alarms"`
}

// Lease describes the daemon's own session and its lease.
type Lease struct {
	State      session.State  `json:"state"`
	Generation uint64         `json:"generation"`
	Witnesses  []host.Session `json:"witnesses"`
	// LeftMs is the time left on the lease in milliseconds. It is negative if
	// the lease has lapsed.
	LeftMs int64 `json:"left_ms"`
}

// Document describes the configuration in force.
type Document struct {
	Environment string `json:"environment"`
	Version     uint64 `json:"version"`
	Hash        string `json:"hash"`
	Who         string `json:"who"`
}

// Session describes a daemon by its session record.
type Session struct {
	Session host.Session  `json:"session"`
	Place   host.Place    `json:"place"`
	State   session.State `json:"state"`
	App     key.App       `json:"app"`
	Control string        `json:"control"`
}

// Placement tells which daemon leads placement, in which term, and whether it is
// the daemon that answers.
type Placement struct {
	Leader host.Session `json:"leader"`
	Term   uint64       `json:"term"`
	Leads  bool         `json:"leads"`
}

// Slices counts a daemon's slices by state.
type Slices struct {
	Owned    int `json:"owned"`
	Draining int `json:"draining"`
	Released int `json:"released"`
}

// Target describes the local target as the gate sees it.
type Target struct {
	App     key.App `json:"app"`
	Address string  `json:"address"`
	Gone    bool    `json:"gone"`
	// Slots is the number of requests that may run at once, Busy the number
	// that run, and Queued the number that wait.
	Slots  int `json:"slots"`
	Busy   int `json:"busy"`
	Queued int `json:"queued"`
	// ServiceMs is the mean service time in milliseconds.
	ServiceMs float64 `json:"service_ms"`
	// RateLimit is the number of requests a second that the target says it takes,
	// 0 for no limit, and Leaving reports that it says it is about to end.
	RateLimit float64 `json:"rate_limit"`
	Leaving   bool    `json:"leaving"`
}

// Requests counts requests since the daemon started.
type Requests struct {
	Submitted uint64 `json:"submitted"`
	Replied   uint64 `json:"replied"`
	Sent      uint64 `json:"sent"`
	Retried   uint64 `json:"retried"`
	// Raised counts the outcomes at risk that were reported.
	Raised uint64 `json:"raised"`
	// Dropped counts the answers that matched no sent request.
	Dropped uint64 `json:"dropped"`
}

// Unowned counts the slices of an app that have no live owner, and all of its
// slices (Total).
type Unowned struct {
	App    key.App `json:"app"`
	Slices int     `json:"slices"`
	Total  int     `json:"of"`
}

// BoundRoute is a route whose requests run only in some regions.
type BoundRoute struct {
	Route   string        `json:"route"`
	Regions []host.Region `json:"regions"`
	// Unserved are the apps of the route that have no gate in these regions.
	Unserved []key.App `json:"unserved,omitempty"`
}

// Key is the answer of GET /explain.
type Key struct {
	App   key.App     `json:"app"`
	Key   string      `json:"key"`
	Slice key.SliceID `json:"slice"`
	// CarvedOut reports that the key is a slice of its own because it is hot.
	CarvedOut bool `json:"carved_out"`
	// Owner, Epoch and Next are the slice's assignment as this daemon knows
	// it. Next is the owner-to-be during a handover.
	Owner host.Session `json:"owner"`
	Epoch uint64       `json:"epoch"`
	Next  host.Session `json:"next"`
	// OwnerState and OwnerPlace are those of the owner's session record.
	OwnerState session.State `json:"owner_state"`
	OwnerPlace host.Place    `json:"owner_place"`
	// IsOwner reports that this daemon is the owner. Admits and LeaseLeftMs are
	// set only then.
	IsOwner bool `json:"here"`
	// Admits is the result with which the gate would answer a request for the
	// slice: ok if it admits it, or the name of another result.
	Admits string `json:"admits,omitempty"`
	// LeaseLeftMs is the time left on the owner's lease in milliseconds.
	LeaseLeftMs int64 `json:"lease_left_ms,omitempty"`
	// Moves lists the latest changes of the slice's assignment that this
	// daemon saw, newest last.
	Moves []Move `json:"moves"`
}

// Move is a change of a slice's assignment.
type Move struct {
	// AtMs is the time at which this daemon saw the change, in milliseconds
	// since 1970.
	AtMs  int64        `json:"at_ms"`
	Owner host.Session `json:"owner"`
	Epoch uint64       `json:"epoch"`
	Next  host.Session `json:"next"`
}
