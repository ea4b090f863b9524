// Package load generates load on a list of daemons over HTTP. Requests arrive
// at a configured rate regardless of outstanding answers (open loop), and the
// package records what each caller saw.
package load

import (
	"encoding/json"
	"os"
	"strconv"

	"github.com/rhubarbring/rhubarbring/result"
)

// App describes the traffic to one app.
type App struct {
	Name string `json:"name"`
	// Keys is the number of keys; 0 sends no key.
	Keys uint64 `json:"keys"`
	// Zipf is the exponent of the keys' popularity, above 1; 0 makes all
	// keys equally popular.
	Zipf float64 `json:"zipf"`
	// Weight is the app's share of the traffic, relative to the others.
	Weight float64 `json:"weight"`
	// NonIdempotent and Urgent are the fractions of the app's requests that are
	// not idempotent and that are in the class urgent.
	NonIdempotent float64 `json:"non_idempotent"`
	Urgent        float64 `json:"urgent"`
	// DeadlineMs is the deadline of each request, counted from its arrival.
	DeadlineMs int64 `json:"deadline_ms"`
	// BodyBytes is the size of each request's body.
	BodyBytes int `json:"body_bytes"`
}

// Config describes a run; it is read from a JSON file.
type Config struct {
	// Daemons are the addresses, "IP:port", on which the daemons serve callers.
	Daemons       []string `json:"daemons"`
	Apps          []App    `json:"apps"`
	Seed          uint64   `json:"seed"`
	RatePerSecond float64  `json:"rate_per_second"`
	ForMs         int64    `json:"for_ms"`
	// RepeatUnknown lets callers resend a request that is not idempotent, with
	// the same id, if its connection broke before the answer.
	RepeatUnknown bool `json:"repeat_unknown"`
	// GraceMs is how long past the deadline a caller waits for the answer.
	GraceMs int64 `json:"grace_ms"`
	// MaxInFlight bounds the requests in flight. An arrival that would exceed it
	// is not sent, only counted.
	MaxInFlight int `json:"max_in_flight"`
}

// ReadConfig reads and validates a configuration file. Its errors have the
// code result.BadSettings.
func ReadConfig(path string) (Config, error) {
	file, err := os.Open(path)
	if err != nil {
		return Config{}, &result.Error{Code: result.BadSettings, Field: "settings", Cause: err}
	}
	defer func() { _ = file.Close() }()
	decoder := json.NewDecoder(file)
	decoder.DisallowUnknownFields()
	var c Config
	if err := decoder.Decode(&c); err != nil {
		return Config{}, &result.Error{Code: result.BadSettings, Field: path, Cause: err}
	}
	return c, c.check()
}

func (c Config) check() error {
	if len(c.Daemons) == 0 {
		return settingsError("daemons", "the list is empty")
	}
	if len(c.Apps) == 0 {
		return settingsError("apps", "the list is empty")
	}
	if c.RatePerSecond <= 0 || c.ForMs <= 0 || c.MaxInFlight <= 0 || c.GraceMs < 0 {
		return settingsError("rate_per_second, for_ms, max_in_flight, grace_ms", "the first three must be positive and grace_ms not negative")
	}
	for i, a := range c.Apps {
		if a.Name == "" || a.Weight <= 0 || a.DeadlineMs <= 0 {
			return settingsError("apps["+strconv.Itoa(i)+"]", "name, weight or deadline_ms is missing")
		}
		if a.Zipf != 0 && a.Zipf <= 1 {
			return settingsError("apps["+strconv.Itoa(i)+"].zipf", "the exponent is neither 0 nor above 1")
		}
	}
	return nil
}

func settingsError(field, detail string) error {
	return &result.Error{Code: result.BadSettings, Field: field, Detail: detail, Remedy: "correct the settings file"}
}
