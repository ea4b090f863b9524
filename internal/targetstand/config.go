package targetstand

import (
	"io"
	"time"
)

// Config holds the target's settings.
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
	Seed         uint64
	// Journal receives a line for each record; nil keeps them in memory only.
	Journal io.Writer
	Behaviour
}

// Behaviour is what POST /stand/set can change while the target runs.
type Behaviour struct {
	// MeanServiceMs is the mean of the service time, which is drawn from an
	// exponential distribution and cut at ten times the mean.
	MeanServiceMs float64 `json:"mean_service_ms"`
	// ColdForMs and ColdFactor make the service time so many times longer
	// for so long after the start.
	ColdForMs  int     `json:"cold_for_ms"`
	ColdFactor float64 `json:"cold_factor"`
	// Shed refuses this fraction of the requests.
	Shed float64 `json:"shed"`
	// LagMs delays the load that health and announcements tell.
	LagMs int `json:"lag_ms"`
	// FalseLoad, unless negative, is told in place of the load.
	FalseLoad float64 `json:"false_load"`
	// FalseState, unless empty, is told in place of the state.
	FalseState string `json:"false_state"`
	// AnswerBytes pads each answer to at least so many bytes.
	AnswerBytes int `json:"answer_bytes"`
	// Silent stops the announcements.
	Silent bool `json:"silent"`
}

// DefaultBehaviour returns the behaviour of a truthful, warm target.
func DefaultBehaviour() Behaviour {
	return Behaviour{MeanServiceMs: 4, ColdFactor: 1, FalseLoad: -1}
}
