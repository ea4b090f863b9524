// Package explain says where a request would go now and why, without sending it:
// the answer of a daemon to an operator's question, and the verdict that follows
// from what the daemon knows.
package explain

import (
	"strings"

	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/result"
	"github.com/rhubarbring/rhubarbring/session"
)

// Query names a request, either by host name and path, as callers address it, or
// by its app.
type Query struct {
	Host string  `json:"host,omitempty"`
	Path string  `json:"path,omitempty"`
	App  key.App `json:"app,omitempty"`
	// Key is the request's key or, in an app that is not divided by key, its ID.
	Key    string `json:"key,omitempty"`
	Method string `json:"method,omitempty"`
	// Bytes is the size of the request's body.
	Bytes int `json:"bytes,omitempty"`
}

// Check returns an error that names the field and a remedy if the query is not
// complete.
func (q *Query) Check() error {
	switch {
	case q.App == "" && q.Host == "":
		return badQuery("host, app", "neither is given", "name the host and path of the request, or its app")
	case q.App != "" && q.Host != "":
		return badQuery("host, app", "both are given", "name the host and path of the request, or its app, since a route determines the app")
	case q.Host != "" && !strings.HasPrefix(q.Path, "/"):
		return badQuery("path", "it does not begin with a slash", `write the path of the request, such as "/book/7"`)
	case strings.ContainsAny(q.Host, "/: "):
		return badQuery("host", "it is not a host name", "write it without a scheme, a port and a path")
	case q.Bytes < 0:
		return badQuery("bytes", "it is below 0", "write the size of the request's body")
	}
	return nil
}

func badQuery(field, detail, remedy string) error {
	return &result.Error{Code: result.BadRequest, Field: field, Detail: detail, Remedy: remedy}
}

// Answer is the answer of one daemon. Times are in milliseconds.
type Answer struct {
	Query Query `json:"query"`
	// Daemon is the session that was asked, and Place its location.
	Daemon host.Session `json:"daemon"`
	Place  host.Place   `json:"place"`
	// Document is the version of the document in force there.
	Document uint64 `json:"document"`
	// Route is the route that matched; empty if the query names an app.
	Route      string        `json:"route,omitempty"`
	Regions    []host.Region `json:"allowed_regions,omitempty"`
	Idempotent bool          `json:"idempotent"`
	// LatencyTargetMs is 0 if none is set. MaxAttempts is 0 without a bound.
	TimeoutMs       float64 `json:"timeout_ms"`
	LatencyTargetMs float64 `json:"latency_target_ms,omitempty"`
	MaxAttempts     int     `json:"max_attempts,omitempty"`
	// RetriesLeft is what the retry budget of the daemon allows now.
	RetriesLeft float64 `json:"retries_left"`
	// EvacuatedZones are the availability zones whose targets get no work.
	EvacuatedZones []host.Zone `json:"evacuated_zones,omitempty"`
	// Apps are the apps that the request may go to, one without a split.
	Apps []App `json:"apps"`
}

// App is one app that the request may go to.
type App struct {
	Name key.App `json:"app"`
	// Part is the app's share of the route's requests, from 0 to 1.
	Part         float64 `json:"part"`
	DividedByKey bool    `json:"divided_by_key"`
	// AnyGate says that each gate of the app may take the request; otherwise the
	// owner of its slice does.
	AnyGate bool   `json:"any_gate"`
	Slice   *Slice `json:"slice,omitempty"`
	// Gates are the app's gates in the allowed regions, and Elsewhere the number of
	// its gates in other regions. Neither includes those in evacuated zones, whose
	// number is Evacuated.
	Gates     []Gate `json:"gates"`
	Elsewhere int    `json:"gates_elsewhere"`
	Evacuated int    `json:"gates_evacuated"`
	// LinkRoom says that the daemon's share of the link between regions has room
	// for the request.
	LinkRoom bool `json:"link_room"`
	// SpillShare is the share of the requests that go to another region because the
	// daemon's own is busier.
	SpillShare float64 `json:"spill_share"`
	// RefusedShare is the share of such requests that the daemon refuses now because
	// no gate is expected to serve them in time, and RoomMs the time after which one
	// may be.
	RefusedShare float64 `json:"refused_at_entry"`
	RoomMs       float64 `json:"room_ms,omitempty"`
	// QuarantineMs is for how long requests of this content are not run any more. It
	// is known only for a request without a body. Held is the number of contents in
	// quarantine.
	QuarantineMs float64 `json:"quarantine_ms,omitempty"`
	Held         int     `json:"quarantined_contents"`
	Verdict      Verdict `json:"verdict"`
}

// Slice is the slice of the request, with its owner; the zero session if none is
// known.
type Slice struct {
	ID        key.SliceID  `json:"slice"`
	CarvedOut bool         `json:"carved_out"`
	Owner     host.Session `json:"owner"`
	Epoch     uint64       `json:"epoch"`
	Next      host.Session `json:"next"`
	// OwnerPlace and OwnerState are those of the owner's record, if it is known.
	OwnerKnown bool          `json:"owner_known"`
	OwnerPlace host.Place    `json:"owner_place"`
	OwnerState session.State `json:"owner_state"`
}

// Gate is a gate that may take the request.
type Gate struct {
	Session host.Session `json:"session"`
	Place   host.Place   `json:"place"`
	Near    bool         `json:"near"`
	Avoided bool         `json:"avoided"`
	// ExpectedMs is the time that an answer is expected to take, with the way there
	// and back, and RankingMs the value by which gates are compared.
	ExpectedMs float64 `json:"expected_ms"`
	RankingMs  float64 `json:"ranking_ms"`
	// Slots and Jobs are the load that the gate stated last; 0 if that is not
	// recent.
	Slots int `json:"slots"`
	Jobs  int `json:"jobs"`
	// WaitMs is how long a new request would wait at the gate, and Cold says that
	// its target bears little since it is cold. Only the daemon beside the gate knows
	// them: they are nil for the gates of other daemons.
	WaitMs *float64 `json:"wait_ms,omitempty"`
	Cold   *bool    `json:"cold,omitempty"`
}

// Verdict says what would happen to the request.
type Verdict struct {
	// Code is "ok" if it would be sent, otherwise the result that it would be
	// refused with.
	Code string `json:"code"`
	// To is the session that it would be sent to.
	To  host.Session `json:"to"`
	Why string       `json:"why"`
}
