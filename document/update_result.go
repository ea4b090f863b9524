package document

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/rhubarbring/rhubarbring/result"
)

// Verdict is how an update ended: a final state of the chart document_update.
type Verdict string

// The verdicts.
const (
	AcceptedNow    Verdict = "in_force"
	AlreadyInForce Verdict = "already_in_force"
	Replaced       Verdict = "replaced"
	Conflict       Verdict = "conflict"
	NotWritten     Verdict = "not_written"
	Unknown        Verdict = "unknown"
)

// UpdateResult is how an update ended.
type UpdateResult struct {
	Verdict Verdict `json:"verdict"`
	// Mine is the document of this change. Its version is 0 if the document
	// in force could not be read.
	Mine Stored `json:"mine"`
	// Other is the document in force instead of Mine, or the replaced one that
	// took Mine's version. For AlreadyInForce it is the identical document in
	// force. It is nil if none was read.
	Other *Stored `json:"other,omitempty"`
}

// Err returns nil if the change is or was in force, and otherwise an error with
// a remedy.
func (r UpdateResult) Err() error {
	switch r.Verdict {
	case AcceptedNow, AlreadyInForce, Replaced:
		return nil
	case Conflict:
		return &result.Error{Code: result.DocumentConflict, Field: "version", Detail: r.conflictDetail(), Remedy: "read the version in force, plan again, apply again"}
	case NotWritten:
		return &result.Error{Code: result.StoreUnavailable, Detail: "not in force: the store could not be reached, and the document was not written", Remedy: "run the command again when the store answers"}
	}
	return &result.Error{Code: result.StoreDoubt, Detail: "unknown: the write may have been applied or may still be applied", Remedy: "run the same command again with " + r.retryFlags()}
}

// retryFlags returns the flags with which the same command continues this
// change.
func (r UpdateResult) retryFlags() string {
	return fmt.Sprintf("--base %d --token %s", r.Mine.Version-1, r.Mine.Token)
}

func (r UpdateResult) conflictDetail() string {
	if r.Other == nil {
		return "not in force: another change came first"
	}
	return "not in force: version " + describeStored(r.Other) + " came before this change to " + describeStored(&r.Mine)
}

func describeStored(s *Stored) string {
	text, err := json.Marshal(struct {
		Version uint64 `json:"version"`
		Hash    string `json:"hash"`
		Who     string `json:"who"`
		When    string `json:"when"`
	}{s.Version, s.Hash.Short(), s.Who, s.When.UTC().Format(time.RFC3339)})
	if err != nil {
		return s.Hash.Short()
	}
	return string(text)
}
