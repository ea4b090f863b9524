// Package document holds the configuration document of an environment: its
// fields, the schema and checks that it must pass, what a change of it means
// for whom, and the decisions of applying and promoting it.
//
// Operators write one JSON document for each environment, try it in the trial
// environment, and promote the same bytes. Nothing in it names a host or a
// target: those announce themselves.
package document

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/key"
)

// Document is the configuration of one environment. Parse makes one; it is
// not changed afterwards.
type Document struct {
	// Environment names the environment that the document is for.
	Environment string `json:"environment"`
	// Trial names the environment in which it is tried first.
	Trial string `json:"trial"`
	// Regions lists the regions and their availability zones.
	Regions []Region `json:"regions"`
	// Links gives one link for each pair of regions.
	Links []Link `json:"links"`
	// Apps lists the applications.
	Apps []App `json:"apps"`
	// Routes lead requests to apps by host name and path, for callers that
	// don't name the app.
	Routes []Route `json:"routes,omitempty"`
	// Alarm says when the alarm rings and whom it calls.
	Alarm Alarm `json:"alarm"`
}

// Region is a region with its availability zones.
type Region struct {
	// Name is unique among the regions.
	Name host.Region `json:"name"`
	// Zones are unique across all regions.
	Zones []host.Zone `json:"zones"`
}

// Link is the link between two regions. Traffic on it is paid by volume.
type Link struct {
	// Between names the two regions.
	Between []host.Region `json:"between"`
	// BitsPerSecond is the capacity each way, for all traffic.
	BitsPerSecond int64 `json:"bits_per_second"`
	// RequestShare of the capacity, from 0 to 1, is for requests.
	RequestShare float64 `json:"request_share"`
	// ControlShare of the capacity, from 0 to 1, is for the daemons' own
	// messages.
	ControlShare float64 `json:"control_share"`
}

// App is an application.
type App struct {
	// Name is unique among the apps.
	Name key.App `json:"name"`
	// DividedByKey says that each key has one owner.
	DividedByKey bool `json:"divided_by_key"`
	// Slices counts the slices of an app divided by key; otherwise 0.
	Slices uint32 `json:"slices,omitempty"`
	// KeyNumbers says that keys are whole numbers below it, and that slices are
	// ranges of them; 0 if keys are texts that are hashed.
	KeyNumbers uint32 `json:"key_numbers,omitempty"`
	// FreshIDs says that no request id is ever used twice, also not by a
	// repeat, so that no gate needs to remember ids.
	FreshIDs bool `json:"fresh_ids,omitempty"`
	// TargetConnections bounds the connections to a target that does not
	// announce a bound itself; 0 sets none.
	TargetConnections int `json:"target_connections,omitempty"`
	// Deadline says how long callers wait.
	Deadline Deadline `json:"deadline"`
	// TargetsCheckGrants says that the targets are expected to check the
	// grant of each request.
	TargetsCheckGrants bool `json:"targets_check_grants"`
	// QueueBound is the most requests that wait for one target.
	QueueBound int `json:"queue_bound"`
	// Weights are the weights of placement.
	Weights Weights `json:"weights"`
	// MaxMovesPerRound bounds the planned moves of one round of placement.
	MaxMovesPerRound int `json:"max_moves_per_round"`
	// HotKeys says when a key becomes a slice of its own; nil if none does.
	HotKeys *HotKeys `json:"hot_keys,omitempty"`
	// RetryBudget is the number of retries for each request, averaged.
	RetryBudget float64 `json:"retry_budget"`
}

// Deadline gives the deadlines of an app's requests.
type Deadline struct {
	// Default holds for a request that names none.
	Default Duration `json:"default"`
	// Maximum is the longest that a request may name.
	Maximum Duration `json:"maximum"`
}

// Weights are what placement weighs against what; only their ratios count.
type Weights struct {
	// Imbalance is the weight of unequal load.
	Imbalance float64 `json:"imbalance"`
	// Churn is the weight of changes of ownership.
	Churn float64 `json:"churn"`
	// Unavailable is the weight of time in which keys are not served.
	Unavailable float64 `json:"unavailable"`
}

// HotKeys says when a key becomes a slice of its own.
type HotKeys struct {
	// Share of one target's capacity, from 0 to 1, above which it does.
	Share float64 `json:"share"`
	// Expiry is the time below Share after which it returns.
	Expiry Duration `json:"expiry"`
	// Maximum bounds the number of such keys of the app.
	Maximum int `json:"maximum"`
}

// Alarm says when the alarm rings and whom it calls.
type Alarm struct {
	// Receiver is the URL that alarms are posted to; empty for none.
	Receiver string `json:"receiver,omitempty"`
	// UnownedKey bounds the time of a slice without an owner.
	UnownedKey Duration `json:"unowned_key"`
	// DocumentNotInForce bounds the time until an accepted document is in
	// force on every living daemon.
	DocumentNotInForce Duration `json:"document_not_in_force"`
	// AssignmentAtRisk bounds the time that an owner is without a majority
	// of its witnesses, or an assignment without a sure record.
	AssignmentAtRisk Duration `json:"assignment_at_risk"`
	// CannotSee bounds the time without news of a part of the fleet.
	CannotSee Duration `json:"cannot_see"`
}

// Hash identifies a document by its exact bytes: the SHA-256 in hexadecimal.
type Hash string

// HashOf returns the hash of a document's exact bytes.
func HashOf(raw []byte) Hash {
	sum := sha256.Sum256(raw)
	return Hash(hex.EncodeToString(sum[:]))
}

// Short returns the first 12 digits, for people to read.
func (h Hash) Short() string {
	const digits = 12
	if len(h) <= digits {
		return string(h)
	}
	return string(h[:digits])
}

// App returns the app of the given name, and whether there is one.
func (d *Document) App(name key.App) (App, bool) {
	for _, a := range d.Apps {
		if a.Name == name {
			return a, true
		}
	}
	return App{}, false
}

// RegionOf returns the region of an availability zone, and whether the
// document has the zone.
func (d *Document) RegionOf(zone host.Zone) (host.Region, bool) {
	for _, r := range d.Regions {
		for _, z := range r.Zones {
			if z == zone {
				return r.Name, true
			}
		}
	}
	return "", false
}

// HasPlace reports whether the document has the zone in that region.
func (d *Document) HasPlace(p host.Place) bool {
	region, ok := d.RegionOf(p.Zone)
	return ok && region == p.Region
}

// Link returns the link between two regions, whichever is named first, and
// whether there is one.
func (d *Document) Link(a, b host.Region) (Link, bool) {
	for _, l := range d.Links {
		if l.joins(a, b) {
			return l, true
		}
	}
	return Link{}, false
}

// Deadlines returns the maximum deadline of each app.
func (d *Document) Deadlines() map[key.App]Duration {
	all := make(map[key.App]Duration, len(d.Apps))
	for _, a := range d.Apps {
		all[a.Name] = a.Deadline.Maximum
	}
	return all
}

// Serves reports whether the document may be in force in the environment:
// its own or its trial.
func (d *Document) Serves(environment string) bool {
	return environment == d.Environment || environment == d.Trial
}

func (l Link) joins(a, b host.Region) bool {
	if len(l.Between) != 2 {
		return false
	}
	x, y := l.Between[0], l.Between[1]
	return x == a && y == b || x == b && y == a
}
