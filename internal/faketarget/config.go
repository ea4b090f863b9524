package faketarget

import (
	"io"
	"time"
)

// Config configures a Target.
type Config struct {
	Name         string
	App          string
	Address      string // Address announced to the daemon, "IP:port".
	Daemon       string // Control address of the daemon; empty announces nothing.
	Slots        int
	Queue        int // Requests that wait for a slot before the target sheds.
	Connections  int
	ConnectCost  time.Duration
	ChecksGrants bool
	// Instance is the announced number of this run of the target; 0 announces none.
	Instance uint64
	Seed     uint64
	// Journal receives a line of JSON for each record; if nil, records are kept in
	// memory only.
	Journal io.Writer
	Behaviour
}

// Behaviour is the part of the configuration that POST /stand/set can change
// while the target runs.
type Behaviour struct {
	// MeanServiceMs is the mean of the exponentially distributed service time,
	// which is capped at ten times the mean.
	MeanServiceMs float64 `json:"mean_service_ms"`
	// ColdFactor multiplies the service time during the first ColdForMs
	// milliseconds after the start.
	ColdForMs  int     `json:"cold_for_ms"`
	ColdFactor float64 `json:"cold_factor"`
	// Shed is the fraction of requests that are refused.
	Shed float64 `json:"shed"`
	// LagMs is the age of the load in health answers and announcements.
	LagMs int `json:"lag_ms"`
	// FalseLoad, unless negative, is reported in place of the load.
	FalseLoad float64 `json:"false_load"`
	// FalseState, unless empty, is reported in place of the state.
	FalseState string `json:"false_state"`
	// AnswerBytes is the number of bytes of padding in each answer.
	AnswerBytes int `json:"answer_bytes"`
	// RateLimit is the limit, in requests a second, that answers name; 0 for none.
	RateLimit float64 `json:"rate_limit"`
	// Leaving makes answers say that the target is about to end. Its announcements
	// do not say so.
	Leaving bool `json:"leaving"`
	// Silent stops the announcements to the daemon.
	Silent bool `json:"silent"`
}

// DefaultBehaviour returns the behaviour of a warm target that reports its true
// load and state.
func DefaultBehaviour() Behaviour {
	return Behaviour{MeanServiceMs: 4, ColdFactor: 1, FalseLoad: -1}
}
