package quarantine

import (
	"encoding/json"
	"slices"

	"github.com/rhubarbring/rhubarbring/result"
)

// ObjectKind is the kind of the store's objects that hold Reports, each named by
// the host whose daemon writes it.
const ObjectKind = "crash-report"

// maxReported bounds the crashes of a Report.
const maxReported = 16

// Report holds the last crashes of the targets of one host, the newest last.
type Report struct {
	Crashes []Crash `json:"crashes"`
}

// Add adds a crash, or replaces it if the report has its instance, and drops the
// oldest one if there are too many.
func (r *Report) Add(c Crash) {
	if i := slices.IndexFunc(r.Crashes, func(known Crash) bool { return known.Instance == c.Instance }); i >= 0 {
		c.Answered = union(r.Crashes[i].Answered, c.Answered)
		r.Crashes[i] = c
		return
	}
	r.Crashes = append(r.Crashes, c)
	if excess := len(r.Crashes) - maxReported; excess > 0 {
		r.Crashes = r.Crashes[excess:]
	}
}

// Answer records that a target has answered a request after the crashes of the
// report. It returns false if that says nothing new of any of them.
func (r *Report) Answer(f Fingerprint) bool {
	isNew := false
	for i := range r.Crashes {
		c := &r.Crashes[i]
		if slices.Contains(c.Requests, f) && !slices.Contains(c.Answered, f) {
			c.Answered = append(slices.Clip(c.Answered), f)
			isNew = true
		}
	}
	return isNew
}

// union returns the fingerprints of both lists, each once.
func union(a, b []Fingerprint) []Fingerprint {
	out := slices.Clip(a)
	for _, f := range b {
		if !slices.Contains(out, f) {
			out = append(out, f)
		}
	}
	return out
}

// Merge adds the crashes of an earlier report before those of this one.
func (r *Report) Merge(earlier Report) {
	merged := Report{Crashes: slices.Clone(earlier.Crashes)}
	for _, c := range r.Crashes {
		merged.Add(c)
	}
	*r = merged
}

// Encode returns the report as it is stored.
func (r *Report) Encode() ([]byte, error) {
	return json.Marshal(r)
}

// DecodeReport decodes a stored report.
func DecodeReport(raw []byte) (Report, error) {
	var r Report
	if err := json.Unmarshal(raw, &r); err != nil {
		return Report{}, &result.Error{Code: result.BadFrame, Field: ObjectKind, Detail: "the report does not decode", Cause: err}
	}
	return r, nil
}
