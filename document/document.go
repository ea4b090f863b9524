// Package document holds the configuration document of an environment: its
// fields, the schema and checks that it must pass, the plan of a change, and
// the decisions of applying and promoting it.
//
// Operators write one JSON document for each environment, apply it in the
// trial environment first, and then promote the same bytes. It names no host
// or target: those announce themselves.
package document

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/key"
)

// Document is the configuration of one environment. Parse returns one;
// it must not be modified afterwards.
type Document struct {
	// Environment names the environment that the document is for.
	Environment string `json:"environment"`
	// Trial names the environment in which the document is applied first.
	Trial string `json:"trial"`
	// Regions lists the regions and their availability zones.
	Regions []Region `json:"regions"`
	// Links gives one link for each pair of regions.
	Links []Link `json:"links"`
	// Apps lists the applications.
	Apps []App `json:"apps"`
	// Routes map requests to apps by host name and path, for callers that
	// don't name the app.
	Routes []Route `json:"routes,omitempty"`
	// CallerLimits are the operators' limits for callers; nil if there are none.
	CallerLimits *CallerLimits `json:"caller_limits,omitempty"`
	// Alarm sets when alarms are raised and where they are posted.
	Alarm Alarm `json:"alarm"`
}

// Region is a region with its availability zones.
type Region struct {
	// Name is unique among the regions.
	Name host.Region `json:"name"`
	// Zones are unique across all regions.
	Zones []host.Zone `json:"zones"`
}

// Link is the link between two regions. Traffic on it is charged by
// volume.
type Link struct {
	// Between names the two regions.
	Between []host.Region `json:"between"`
	// BitsPerSecond is the capacity in each direction, for all traffic.
	BitsPerSecond int64 `json:"bits_per_second"`
	// RequestShare is the part of the capacity for requests, from 0 to 1.
	RequestShare float64 `json:"request_share"`
	// ControlShare is the part of the capacity for messages between daemons,
	// from 0 to 1.
	ControlShare float64 `json:"control_share"`
}

// App is an application.
type App struct {
	// Name is unique among the apps.
	Name key.App `json:"name"`
	// DividedByKey is set if the app's keys are divided into slices, so that
	// each key has one owner.
	DividedByKey bool `json:"divided_by_key"`
	// Slices is the number of slices of an app divided by key, otherwise 0.
	Slices uint32 `json:"slices,omitempty"`
	// KeyNumbers, if not 0, means that keys are whole numbers below it and that
	// slices are ranges of them. If it is 0, keys are strings that are hashed.
	KeyNumbers uint32 `json:"key_numbers,omitempty"`
	// FreshIDs promises that no request id is used twice, not even by a
	// repeated request. The gates of an app that is not divided by key then do
	// not deduplicate by id, and any target may take a request.
	FreshIDs bool `json:"fresh_ids,omitempty"`
	// TargetConnections limits the connections to a target that does not
	// announce a limit itself. The target's number of slots applies if it is
	// higher.
	TargetConnections int `json:"target_connections,omitempty"`
	// Deadline sets how long callers wait.
	Deadline Deadline `json:"deadline"`
	// TargetsCheckGrants says that the targets are expected to check the
	// grant of each request.
	TargetsCheckGrants bool `json:"targets_check_grants"`
	// GrantDelivery says how targets that hold slices for a time are granted
	// them: GrantsByCall, also if it is empty, or GrantsByHeartbeat.
	GrantDelivery GrantDelivery `json:"grant_delivery,omitempty"`
	// QueueBound is the maximum number of requests that wait for one target.
	QueueBound int `json:"queue_bound"`
	// Weights are the weights of placement.
	Weights Weights `json:"weights"`
	// MaxMovesPerRound limits the planned moves of one round of placement.
	MaxMovesPerRound int `json:"max_moves_per_round"`
	// HotKeys sets when a key becomes a slice of its own; nil if none does.
	HotKeys *HotKeys `json:"hot_keys,omitempty"`
	// RetryBudget is the average number of retries allowed for each request.
	RetryBudget float64 `json:"retry_budget"`
	// ColdRequestsPerSecond is the number of requests a second that a target
	// bears while it is cold, as it is after a start; 0 for no such limit.
	ColdRequestsPerSecond float64 `json:"cold_requests_per_second,omitempty"`
	// ColdStart is how long a target counts as cold after it has started.
	ColdStart Duration `json:"cold_start,omitempty"`
	// HedgeBudget is the average number of second attempts allowed for each
	// repeatable request while the first one is under way; 0 for none. They also
	// count against RetryBudget.
	HedgeBudget float64 `json:"hedge_budget,omitempty"`
}

// GrantDelivery is a way in which targets are granted slices.
type GrantDelivery string

const (
	// GrantsByCall grants and takes back slices by calls to the target.
	GrantsByCall GrantDelivery = "call"
	// GrantsByHeartbeat names all slices that the target is to hold in the
	// answer to each of its heartbeats.
	GrantsByHeartbeat GrantDelivery = "heartbeat"
)

// Deadline gives the deadlines of an app's requests.
type Deadline struct {
	// Default applies to requests that name no deadline.
	Default Duration `json:"default"`
	// Maximum is the longest that a request may name.
	Maximum Duration `json:"maximum"`
}

// Weights are the weights of placement's costs; only their ratios matter.
type Weights struct {
	// Imbalance is the weight of unequal load.
	Imbalance float64 `json:"imbalance"`
	// Churn is the weight of changes of ownership.
	Churn float64 `json:"churn"`
	// Unavailable is the weight of time in which keys are not served.
	Unavailable float64 `json:"unavailable"`
}

// HotKeys sets when a key becomes a slice of its own.
type HotKeys struct {
	// Share is the part of one target's capacity, from 0 to 1, above which a
	// key becomes a slice of its own.
	Share float64 `json:"share"`
	// Expiry is how long a key stays below half of Share before it returns to
	// its slice.
	Expiry Duration `json:"expiry"`
	// Maximum limits the number of such keys of the app.
	Maximum int `json:"maximum"`
}

// Alarm sets when alarms are raised and where they are posted.
type Alarm struct {
	// Receiver is the URL that alarms are posted to; empty for none.
	Receiver string `json:"receiver,omitempty"`
	// UnownedKey is the longest time that a slice may be without an owner.
	UnownedKey Duration `json:"unowned_key"`
	// DocumentNotInForce is the longest time until an accepted document is in
	// force on every live daemon.
	DocumentNotInForce Duration `json:"document_not_in_force"`
	// AssignmentAtRisk is the longest time that an owner may be without a
	// majority of its witnesses, or that an assignment's write to the store may
	// be unconfirmed.
	AssignmentAtRisk Duration `json:"assignment_at_risk"`
	// CannotSee is the longest time without information about a part of the
	// fleet before an alarm is raised.
	CannotSee Duration `json:"cannot_see"`
}

// Hash identifies a document by its exact bytes: the SHA-256 in hexadecimal.
type Hash string

// HashOf returns the hash of a document's exact bytes.
func HashOf(raw []byte) Hash {
	sum := sha256.Sum256(raw)
	return Hash(hex.EncodeToString(sum[:]))
}

// Short returns the first 12 hexadecimal digits, for display.
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

// HasPlace reports whether the document lists the place's zone in its region.
func (d *Document) HasPlace(p host.Place) bool {
	region, ok := d.RegionOf(p.Zone)
	return ok && region == p.Region
}

// Link returns the link between two regions, in either order, and whether
// there is one.
func (d *Document) Link(a, b host.Region) (Link, bool) {
	for _, l := range d.Links {
		if l.joins(a, b) {
			return l, true
		}
	}
	return Link{}, false
}

// MaxDeadlines returns the maximum deadline of each app.
func (d *Document) MaxDeadlines() map[key.App]Duration {
	all := make(map[key.App]Duration, len(d.Apps))
	for _, a := range d.Apps {
		all[a.Name] = a.Deadline.Maximum
	}
	return all
}

// AllowedIn reports whether the document may be in force in the environment:
// its own or its trial.
func (d *Document) AllowedIn(environment string) bool {
	return environment == d.Environment || environment == d.Trial
}

func (l Link) joins(a, b host.Region) bool {
	if len(l.Between) != 2 {
		return false
	}
	x, y := l.Between[0], l.Between[1]
	return x == a && y == b || x == b && y == a
}
