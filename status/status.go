// Package status defines what a daemon tells operators about itself and about
// keys: the JSON answers of GET /status and GET /explain on its control
// address.
package status

import (
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/session"
)

// Daemon is the answer of GET /status.
type Daemon struct {
	// Session and Place say who answers.
	Session host.Session `json:"session"`
	Place   host.Place   `json:"place"`
	// Ready is empty if the daemon can route requests, else what it lacks.
	Ready string `json:"ready"`
	// StoreReachable says whether the last call to the store was answered.
	StoreReachable bool `json:"store_reachable"`
	// Lease is the daemon's own session.
	Lease Lease `json:"lease"`
	// Document is the configuration in force here.
	Document Document `json:"document"`
	// Fleet counts the sessions that the daemon knows.
	Fleet []Session `json:"fleet"`
	// Heard are the sessions that renewed their lease here, as one of their
	// witnesses, within the time of a lease.
	Heard []host.Session `json:"heard"`
	// Placement says who leads.
	Placement Placement `json:"placement"`
	// Slices counts the slices here.
	Slices Slices `json:"slices"`
	// Target is the target beside the daemon; nil if none announced itself.
	Target *Target `json:"target,omitempty"`
	// Requests counts what was routed since the start.
	Requests Requests `json:"requests"`
	// Unowned counts the slices of each app that have no live owner by this
	// daemon's map.
	Unowned []Unowned `json:"unowned"`
	// Relay says whether the daemon watches the store for its zone.
	Relay bool `json:"relay"`
	// OpenOutcomes counts the outcomes at risk that this daemon keeps and
	// that are not yet saved in the store.
	OpenOutcomes int `json:"open_outcomes"`
	// Alarms are the alarms that ring here.
	Alarms []string `json:"alarms"`
}

// Lease describes a daemon's session.
type Lease struct {
	State      session.State  `json:"state"`
	Generation uint64         `json:"generation"`
	Witnesses  []host.Session `json:"witnesses"`
	// LeftMs is how long the lease still runs; negative if it has lapsed.
	LeftMs int64 `json:"left_ms"`
}

// Document describes the configuration in force.
type Document struct {
	Environment string `json:"environment"`
	Version     uint64 `json:"version"`
	Hash        string `json:"hash"`
	Who         string `json:"who"`
}

// Session describes another daemon by its record.
type Session struct {
	Session host.Session  `json:"session"`
	Place   host.Place    `json:"place"`
	State   session.State `json:"state"`
	App     key.App       `json:"app"`
	Control string        `json:"control"`
}

// Placement says who leads placement.
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
	// Slots may be used now, Busy are, and Queued requests wait.
	Slots  int `json:"slots"`
	Busy   int `json:"busy"`
	Queued int `json:"queued"`
	// ServiceMs is the mean service time.
	ServiceMs float64 `json:"service_ms"`
}

// Requests counts requests.
type Requests struct {
	Submitted uint64 `json:"submitted"`
	Replied   uint64 `json:"replied"`
	Sent      uint64 `json:"sent"`
	Retried   uint64 `json:"retried"`
	Raised    uint64 `json:"raised"`
	// Dropped counts answers that matched no sending.
	Dropped uint64 `json:"dropped"`
}

// Unowned counts an app's slices that have no live owner.
type Unowned struct {
	App    key.App `json:"app"`
	Slices int     `json:"slices"`
	Of     int     `json:"of"`
}

// Key is the answer of GET /explain.
type Key struct {
	App   key.App     `json:"app"`
	Key   string      `json:"key"`
	Slice key.SliceID `json:"slice"`
	// CarvedOut says that the key is a slice of its own because it is hot.
	CarvedOut bool `json:"carved_out"`
	// Owner, Epoch and Next are the assignment by this daemon's map.
	Owner host.Session `json:"owner"`
	Epoch uint64       `json:"epoch"`
	Next  host.Session `json:"next"`
	// OwnerState and OwnerPlace are those of the owner's record.
	OwnerState session.State `json:"owner_state"`
	OwnerPlace host.Place    `json:"owner_place"`
	// Here says that this daemon is the owner; the rest is known only then.
	Here bool `json:"here"`
	// Admits is the gate's word on the slice: ok, or a result's name.
	Admits string `json:"admits,omitempty"`
	// LeaseLeftMs is how long the owner's lease still runs.
	LeaseLeftMs int64 `json:"lease_left_ms,omitempty"`
	// Moves are the slice's latest changes that this daemon saw, newest last.
	Moves []Move `json:"moves"`
}

// Move is a change of a slice's assignment.
type Move struct {
	// AtMs is when this daemon saw it, milliseconds since 1970.
	AtMs  int64        `json:"at_ms"`
	Owner host.Session `json:"owner"`
	Epoch uint64       `json:"epoch"`
	Next  host.Session `json:"next"`
}
