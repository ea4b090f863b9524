package document

import (
	"encoding/json"
	"maps"
	"strconv"
	"strings"
	"time"

	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/result"
)

// Kinds of the objects in the platform's store that concern documents.
const (
	// Kind holds the document of an environment, named by the environment.
	Kind = "document"
	// HistoryKind holds replaced versions, each named by HistoryName.
	HistoryKind = "document-history"
	// InForceKind holds InForce records, each named by InForceName.
	InForceKind = "document-in-force"
)

// Stored is a document as it is kept in the store. Its content is exactly what
// the operator wrote; nothing is reformatted.
type Stored struct {
	// Version increases by one with each accepted change of the environment's
	// document, also when the change restores an earlier content.
	Version uint64 `json:"version"`
	// Hash is the hash of Content.
	Hash Hash `json:"hash"`
	// Content is the document's exact bytes, which are valid UTF-8. They
	// are stored as text, so that the stored values of similar documents are
	// similar too.
	Content string `json:"content"`
	// Token is unique to the change, so that a writer that got no answer can
	// tell whether its write was applied.
	Token string `json:"token"`
	// Who names the person who made the change, as given on the command line.
	Who string `json:"who"`
	// When is the time of the change, by the clock of the operator's machine.
	When time.Time `json:"when"`
	// LongestDeadlines holds, for each app, the longest deadline that any
	// version so far allowed. A partitioned owner may still run requests under
	// an earlier version, so a takeover waits for this deadline, not for the
	// newest one.
	LongestDeadlines map[key.App]Duration `json:"longest,omitempty"`
	// Incomplete reports that routes of the operator's version are left out of
	// Content, because they can't be used.
	Incomplete bool `json:"incomplete,omitempty"`
	// Trial is the evidence that the content was in force in the trial
	// environment; nil in the trial environment itself.
	Trial *Evidence `json:"trial,omitempty"`
}

// Evidence records where and as which version a content was in force before it
// was promoted.
type Evidence struct {
	// Environment is the trial environment.
	Environment string `json:"environment"`
	// Version is the version that was in force there.
	Version uint64 `json:"version"`
	// Hash is the hash that was in force there.
	Hash Hash `json:"hash"`
	// Hosts is the number of daemons that had it in force.
	Hosts int `json:"hosts"`
}

// InForce is the lowest document version that is in force on the live daemons
// of an availability zone. The zone's relay writes it to the store once all of
// them have a new version.
type InForce struct {
	Version uint64 `json:"version"`
	Hash    Hash   `json:"hash"`
	// Hosts is the number of daemons.
	Hosts int `json:"hosts"`
	// When is the time at which the relay recorded that all of them have it in
	// force, by the clock of the relay's host.
	When time.Time `json:"when,omitzero"`
}

// HistoryName names the object of a replaced version.
func HistoryName(environment string, version uint64) string {
	return environment + "." + strconv.FormatUint(version, 10)
}

// InForceName names the InForce record of an availability zone.
func InForceName(environment string, zone host.Zone) string {
	return environment + "." + string(zone)
}

// Encode returns the value as it is stored.
func (s *Stored) Encode() ([]byte, error) {
	return json.Marshal(s)
}

// DecodeStored reads a stored document and checks that content and hash agree.
func DecodeStored(raw []byte) (*Stored, error) {
	var s Stored
	if err := json.Unmarshal(raw, &s); err != nil {
		return nil, &result.Error{Code: result.BadDocument, Detail: "the stored value does not decode", Cause: err}
	}
	if HashOf([]byte(s.Content)) != s.Hash {
		return nil, &result.Error{Code: result.HashMismatch, Field: "hash", Detail: "the stored content does not have the hash " + s.Hash.Short()}
	}
	return &s, nil
}

// LongestDeadline returns the longest deadline of an app's requests that any
// daemon may have admitted under this or an earlier version.
func (s *Stored) LongestDeadline(a App) time.Duration {
	return max(a.Deadline.Maximum, s.LongestDeadlines[a.Name]).Std()
}

// longerDeadlines returns the longer deadline of each app.
func longerDeadlines(a, b map[key.App]Duration) map[key.App]Duration {
	longest := maps.Clone(a)
	if longest == nil {
		longest = make(map[key.App]Duration)
	}
	for app, d := range b {
		longest[app] = max(longest[app], d)
	}
	return longest
}

// Document decodes the stored content and checks what daemons rely on. It does
// not apply the bounds that the schema and MaxBytes set for what a person
// writes: whoever wrote this version to the store has accepted it, so that
// refusing it would keep an older version in force.
func (s *Stored) Document() (*Document, error) {
	doc := &Document{}
	dec := json.NewDecoder(strings.NewReader(s.Content))
	dec.DisallowUnknownFields()
	if err := dec.Decode(doc); err != nil {
		return nil, &result.Error{Code: result.BadDocument, Field: "content", Detail: "the stored content does not decode", Cause: err}
	}
	if dec.More() {
		return nil, &result.Error{Code: result.BadDocument, Field: "content", Detail: "something follows the document's closing brace"}
	}
	if problems := check(doc); len(problems) > 0 {
		return nil, problems.Err()
	}
	return doc, nil
}
